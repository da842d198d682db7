import type {BatchWriter} from '../adapters/batch-writer.js';
import type {Usage} from '../decide/claim.js';
import type {MemberQuota} from '../decide/admission.js';
import type {Clock} from '../ports/clock.js';
import type {Member} from '../settings/schema.js';

/** How often usage of requests without a claim is written, and how long the marker rows of these writes are kept, in milliseconds. */
const flushIntervalMs = 1000;
const markTtlMs = 600_000;

type Use = {running: number; started: number; windowAt: number};

/** Counts the usage of client accounts: against their quotas, and for requests without a claim, for the stored totals of the account. */
export class UsageMeter {
	static create(batch: BatchWriter, clock: Clock, session: string): UsageMeter {
		return new UsageMeter(batch, clock, session);
	}

	private readonly uses = new Map<string, Use>();
	private pending = new Map<string, Usage>();
	private flushes = 0;
	private flushing: Promise<void> | undefined;

	private constructor(private readonly batch: BatchWriter, private readonly clock: Clock, private readonly session: string) {}

	/** This entry's share of the quota of a client account, and how much of it is in use. */
	quota(name: string, member: Member | undefined, entries: number): MemberQuota {
		const use = this.use(name);
		return {
			concurrent: Math.ceil((member?.concurrent ?? 0) / entries),
			perSecond: Math.ceil((member?.startsPerSecond ?? 0) / entries),
			running: use.running,
			started: use.started,
		};
	}

	/** Counts tasks that are admitted and not queued yet. Returns a function that undoes it. */
	reserve(name: string, tasks: number): () => void {
		this.start(name, tasks);
		return () => {
			const use = this.use(name);
			use.running -= tasks;
			use.started = Math.max(0, use.started - tasks);
		};
	}

	/** Counts tasks of a client account as started. */
	start(name: string, tasks: number): void {
		const use = this.use(name);
		use.running += tasks;
		use.started += tasks;
	}

	/** Counts tasks of a client account as ended. */
	end(name: string, tasks: number): void {
		this.use(name).running -= tasks;
	}

	/** Adds the usage of a request without a claim, to be written by the next flush. */
	add(name: string, usage: Usage): void {
		const sum = this.pending.get(name) ?? {jobs: 0, tasks: 0, ms: 0};
		this.pending.set(name, {jobs: sum.jobs + usage.jobs, tasks: sum.tasks + usage.tasks, ms: sum.ms + usage.ms});
	}

	/** Writes the added usage, with retries, until it is written or `signal` aborts. A call during a flush waits for that one. */
	async flush(signal: AbortSignal): Promise<void> {
		this.flushing ??= this.write(signal);
		await this.flushing;
		this.flushing = undefined;
	}

	/** Flushes at an interval until `signal` aborts. */
	async flushPeriodically(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.clock.sleep(flushIntervalMs, signal);
			await this.flush(signal);
		}
	}

	/** A marker row makes the addition happen once, even if a reply is lost and the write is sent again. */
	private async write(signal: AbortSignal): Promise<void> {
		if (this.pending.size === 0) {
			return;
		}

		const taken = this.pending;
		this.pending = new Map();
		const mark = `${this.session}/${this.flushes++}`;
		const transaction = {
			checks: [{table: 'marks', key: mark, version: 0}],
			changes: [
				{
					kind: 'put' as const, table: 'marks', key: mark, value: {}, ttlMs: markTtlMs,
				},
				...[...taken].map(([name, usage]) => ({
					kind: 'add' as const, table: 'usage', key: name, fields: {...usage},
				})),
			],
		};
		do {
			try {
				await this.batch.write(transaction, true);
				return;
			} catch {
				await this.clock.sleep(flushIntervalMs, signal);
			}
		} while (!signal.aborted);
	}

	private use(name: string): Use {
		const now = this.clock.mono();
		const use = this.uses.get(name) ?? {running: 0, started: 0, windowAt: now};
		if (now - use.windowAt >= 1000) {
			use.started = 0;
			use.windowAt = now;
		}

		this.uses.set(name, use);
		return use;
	}
}
