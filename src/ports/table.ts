/** Row is one row of the platform's table service. */
export type Row<Value = unknown> = {
	table: string;
	key: string;
	value: Value;
	/** The service's version when the row was last written; versions grow across all tables. */
	version: number;
	/** The service's version when the row was first written. */
	created: number;
	/** Present and true on the trace that a deleted row leaves in a listing. */
	deleted?: boolean;
};

/** Check is a condition of a transaction: the row's version, where 0 means that it is absent. */
export type Check = {table: string; key: string; version: number};

/**
 * Change is one effect of a transaction. `add` adds numbers to fields and makes the row when absent; a
 * row put with `ttlMs` goes away that many milliseconds later.
 */
export type Change
	= | {kind: 'put'; table: string; key: string; value: unknown; ttlMs?: number}
		| {kind: 'delete'; table: string; key: string}
		| {kind: 'add'; table: string; key: string; fields: Record<string, number>};

/** Transaction applies all its changes when all its checks hold, and otherwise none. */
export type Transaction = {checks: Check[]; changes: Change[]};

/** TransactionResult says whether a transaction took effect; on a conflict, which row stood against it. */
export type TransactionResult
	= | {kind: 'applied'; version: number}
		| {kind: 'conflict'; check: Check; row?: Row};

/** Listing is the rows of some tables that changed after a version, with the version it is as of. */
export type Listing = {rows: Row[]; version: number};

/** Query selects the rows of a listing. */
export type Query = {
	tables: string[];
	/** Only rows written after this version; traces of deleted rows come only with it. */
	after?: number;
	/** Only rows whose key starts so. */
	prefix?: string;
	/** Only rows whose value has this text in this field. */
	where?: {field: string; value: string};
};

/**
 * Table is the platform's transactional table service.
 *
 * Every method rejects with `StoreError`. A rejected `write` may have taken effect, since its
 * reply can be lost; `sent` of the error says whether the request had left.
 */
export type Table = {
	/** Writes a batch in one request; each transaction applies or conflicts alone. */
	write(transactions: Transaction[]): Promise<TransactionResult[]>;
	list(query: Query): Promise<Listing>;
};

/** StoreError is a request to the platform's service that brought no answer. */
export class StoreError extends Error {
	static create(message: string, sent: boolean, cause?: unknown): StoreError {
		return new StoreError(message, sent, cause);
	}

	private constructor(message: string, readonly sent: boolean, cause?: unknown) {
		super(message, {cause});
		this.name = 'StoreError';
	}
}
