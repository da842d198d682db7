import type {Clock} from '../ports/clock.js';
import {
	StoreError, type Table, type Transaction, type TransactionResult,
} from '../ports/table.js';

type Pending = {
	transaction: Transaction;
	resolve(result: TransactionResult): void;
	reject(error: unknown): void;
};

/** The most transactions in one write. */
const batchLimit = 500;
/** The shortest time from one write to the next, in milliseconds: at most a hundred writes a second. */
const spacingMs = 10;
/** The writes a second that all entries of a table service may make together. */
const sharedPerSecond = 400;
/** How long transactions that nobody waits for may gather, in milliseconds. */
const lazyMs = 40;

/**
 * Batch is group commit: transactions that come while a write is under way go together in the next
 * one. One write is in flight at a time.
 */
export class BatchWriter {
	/** Creates a batch; `entries` tells how many entries write to the table, which share what it can take. */
	static create(table: Table, clock: Clock, entries: () => number = () => 1): BatchWriter {
		return new BatchWriter(table, clock, entries);
	}

	/** The writes sent, for the metrics. */
	writeCount = 0;
	private readonly pending: Pending[] = [];
	private busy = false;
	private lastAt = Number.NEGATIVE_INFINITY;
	private timer: NodeJS.Timeout | undefined;
	private dueAt = Number.POSITIVE_INFINITY;

	private constructor(private readonly table: Table, private readonly clock: Clock, private readonly entries: () => number) {}

	/**
	 * Resolves to what became of one transaction. `lazy` lets it wait a little for company. Rejects
	 * with `StoreError` when the write brought no answer; it may have taken effect then.
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
					reject(StoreError.create('the platform answered too few transactions', true));
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

/** Returns the time from one write to the next, in milliseconds, when so many entries share the table. */
export function writeIntervalMs(entries: number): number {
	return Math.max(spacingMs, entries * 1000 / sharedPerSecond);
}
