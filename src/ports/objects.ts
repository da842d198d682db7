/** ObjectStore is the platform's object store. Every method rejects with `StoreError`. */
export type ObjectStore = {
	put(key: string, body: Uint8Array): Promise<void>;
	/** Resolves to undefined when the object does not exist. */
	get(key: string): Promise<Uint8Array | undefined>;
};
