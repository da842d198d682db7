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
const maxTransactions = 500;
/** The minimum interval between writes, in milliseconds: at most a hundred writes a second. */
const minIntervalMs = 10;
/** The write rate that all entries of a table service share, in writes per second. */
const sharedWritesPerSecond = 400;
/** The maximum delay of lazy transactions, for which no caller waits, in milliseconds. */
const maxLazyDelayMs = 40;

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
	private isWriting = false;
	private lastWriteAt = Number.NEGATIVE_INFINITY;
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
			this.schedule(lazy ? maxLazyDelayMs : 0);
		});
	}

	private schedule(delayMs: number): void {
		const now = this.clock.mono();
		const due = Math.max(now + delayMs, this.lastWriteAt + writeIntervalMs(this.entries()));
		if (this.isWriting || due >= this.dueAt) {
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
		const batch = this.pending.splice(0, maxTransactions);
		this.isWriting = true;
		this.dueAt = Number.POSITIVE_INFINITY;
		this.lastWriteAt = this.clock.mono();
		this.writeCount++;
		try {
			const results = await this.table.write(batch.map(({transaction}) => transaction));
			for (const [index, {resolve, reject}] of batch.entries()) {
				const result = results[index];
				if (result) {
					resolve(result);
				} else {
					reject(StoreError.create('the platform answered too few transactions', true));
				}
			}
		} catch (error) {
			for (const {reject} of batch) {
				reject(error);
			}
		}

		this.isWriting = false;
		if (this.pending.length > 0) {
			this.schedule(0);
		}
	}
}

/** Returns the minimum interval between the writes of one entry, in milliseconds, when `entries` share the table service. */
export function writeIntervalMs(entries: number): number {
	return Math.max(minIntervalMs, entries * 1000 / sharedWritesPerSecond);
}
