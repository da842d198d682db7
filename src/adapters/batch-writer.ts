import type {Clock} from '../ports/clock.js';
import {
	StoreError, type Table, type Transaction, type TransactionResult,
} from '../ports/table.js';

type Pending = {
	transaction: Transaction;
	resolve(result: TransactionResult): void;
	reject(error: unknown): void;
};

/** The maximum number of transactions in one write. */
const batchLimit = 500;
/** The minimum interval between writes, in milliseconds: at most a hundred writes a second. */
const spacingMs = 10;
/** The write rate that all entries of a table service share, in writes per second. */
const sharedPerSecond = 400;
/** The maximum delay of lazy transactions, for which no caller waits, in milliseconds. */
const lazyMs = 40;

/**
 * BatchWriter implements group commit: transactions that arrive while a write is in flight are sent
 * together in the next one. One write is in flight at a time.
 */
export class BatchWriter {
	/** Creates a writer; `entries` returns the number of entries that share the write rate of the table service. */
	static create(table: Table, clock: Clock, entries: () => number = () => 1): BatchWriter {
		return new BatchWriter(table, clock, entries);
	}

	/** The number of writes sent, for the metrics. */
	writeCount = 0;
	private readonly pending: Pending[] = [];
	private busy = false;
	private lastAt = Number.NEGATIVE_INFINITY;
	private timer: NodeJS.Timeout | undefined;
	private dueAt = Number.POSITIVE_INFINITY;

	private constructor(private readonly table: Table, private readonly clock: Clock, private readonly entries: () => number) {}

	/**
	 * Resolves to the result of one transaction. A `lazy` one may be delayed to share a write with others.
	 * Rejects with `StoreError` when the write got no answer; it may have taken effect then.
	 */
	async write(transaction: Transaction, lazy = false): Promise<TransactionResult> {
		return new Promise((resolve, reject) => {
			this.pending.push({transaction, resolve, reject});
			this.arm(lazy ? lazyMs : 0);
		});
	}

	private arm(waitMs: number): void {
		const now = this.clock.mono();
		const due = Math.max(now + waitMs, this.lastAt + writeIntervalMs(this.entries()));
		if (this.busy || due >= this.dueAt) {
			return;
		}

		clearTimeout(this.timer);
		this.dueAt = due;
		if (due <= now) {
			void this.flush();
			return;
		}

		this.timer = setTimeout(() => {
			void this.flush();
		}, due - now);
	}

	private async flush(): Promise<void> {
		const batch = this.pending.splice(0, batchLimit);
		this.busy = true;
		this.dueAt = Number.POSITIVE_INFINITY;
		this.lastAt = this.clock.mono();
		this.writeCount++;
		try {
			const results = await this.table.write(batch.map(({transaction}) => transaction));
			for (const [index, {resolve, reject}] of batch.entries()) {
				const result = results[index];
				if (result) {
					resolve(result);
				} else {
					reject(StoreError.create('the platform returned fewer results than transactions', true));
				}
			}
		} catch (error) {
			for (const {reject} of batch) {
				reject(error);
			}
		}

		this.busy = false;
		if (this.pending.length > 0) {
			this.arm(0);
		}
	}
}

/** Returns the minimum interval between the writes of one entry, in milliseconds, when `entries` share the table service. */
export function writeIntervalMs(entries: number): number {
	return Math.max(spacingMs, entries * 1000 / sharedPerSecond);
}
