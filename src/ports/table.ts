/** Row is one row of the platform's table service. */
export type Row<Value = unknown> = {
	table: string;
	key: string;
	value: Value;
	/** The service's version when the row was last written; versions grow across all tables. */
	version: number;
	/** The service's version when the row was first written. */
	created: number;
	/** True on the tombstone that a deleted row leaves in a listing, otherwise absent. */
	deleted?: boolean;
};

/** Check is a condition of a transaction: the row's version, where 0 means that it is absent. */
export type Check = {table: string; key: string; version: number};

/**
 * Change is one effect of a transaction. `add` adds numbers to fields and creates the row when absent; a
 * row put with `ttlMs` is deleted that many milliseconds later.
 */
export type Change
	= | {kind: 'put'; table: string; key: string; value: unknown; ttlMs?: number}
		| {kind: 'delete'; table: string; key: string}
		| {kind: 'add'; table: string; key: string; fields: Record<string, number>};

/** Transaction applies all its changes when all its checks hold, and otherwise none. */
export type Transaction = {checks: Check[]; changes: Change[]};

/** TransactionResult says whether a transaction was applied; on a conflict, which check failed, with the current row. */
export type TransactionResult
	= | {kind: 'applied'; version: number}
		| {kind: 'conflict'; check: Check; row?: Row};

/** Listing is the result of a query, with the service's version at which it was read. */
export type Listing = {rows: Row[]; version: number};

/** Query selects the rows of a listing. */
export type Query = {
	tables: string[];
	/** Only rows written after this version. Tombstones of deleted rows are listed only when it is set. */
	after?: number;
	/** Only rows whose key starts with this prefix. */
	prefix?: string;
	/** Only rows whose value has this string in this field. */
	where?: {field: string; value: string};
};

/**
 * Table is the platform's transactional table service.
 *
 * Every method rejects with `StoreError`. A rejected `write` may have taken effect, since its
 * reply can be lost; `sent` of the error says whether the request may have been sent.
 */
export type Table = {
	/** Writes a batch in one request; each transaction is applied or conflicts independently of the others. */
	write(transactions: Transaction[]): Promise<TransactionResult[]>;
	list(query: Query): Promise<Listing>;
};

/** StoreError reports a request to the platform's service that failed or got no answer. */
export class StoreError extends Error {
	static create(message: string, sent: boolean, cause?: unknown): StoreError {
		return new StoreError(message, sent, cause);
	}

	private constructor(message: string, readonly sent: boolean, cause?: unknown) {
		super(message, {cause});
		this.name = 'StoreError';
	}
}
