import type {BatchWriter} from '../adapters/batch-writer.js';
import type {Usage} from '../decide/claim.js';
import type {MemberQuota} from '../decide/admission.js';
import type {Clock} from '../ports/clock.js';
import type {Member} from '../settings/schema.js';

/** How often usage that no claim carries is written, in milliseconds, and how long its marks are kept. */
const flushMs = 1000;
const markMs = 600_000;

type Use = {running: number; started: number; windowAt: number};

/** Meter counts what members use: against their quotas, and for requests that have no claim, for their account. */
export class UsageMeter {
	static create(batch: BatchWriter, clock: Clock, session: string): UsageMeter {
		return new UsageMeter(batch, clock, session);
	}

	private readonly uses = new Map<string, Use>();
	private pending = new Map<string, Usage>();
	private flushes = 0;
	private flushing: Promise<void> | undefined;

	private constructor(private readonly batch: BatchWriter, private readonly clock: Clock, private readonly session: string) {}

	/** This entry's part of a member's quota, and what the member uses of it. */
	quota(name: string, member: Member | undefined, entries: number): MemberQuota {
		const use = this.use(name);
		return {
			concurrent: Math.ceil((member?.concurrent ?? 0) / entries),
			perSecond: Math.ceil((member?.startsPerSecond ?? 0) / entries),
			running: use.running,
			started: use.started,
		};
	}

	/** Counts tasks that were let in and not entered yet; returns what takes them back. */
	reserve(name: string, tasks: number): () => void {
		this.start(name, tasks);
		return () => {
			const use = this.use(name);
			use.running -= tasks;
			use.started = Math.max(0, use.started - tasks);
		};
	}

	/** Notes that a member's tasks were let in. */
	start(name: string, tasks: number): void {
		const use = this.use(name);
		use.running += tasks;
		use.started += tasks;
	}

	/** Notes that a member's tasks are over. */
	end(name: string, tasks: number): void {
		this.use(name).running -= tasks;
	}

	/** Adds the usage of a request that has no claim. */
	add(name: string, usage: Usage): void {
		const sum = this.pending.get(name) ?? {jobs: 0, tasks: 0, ms: 0};
		this.pending.set(name, {jobs: sum.jobs + usage.jobs, tasks: sum.tasks + usage.tasks, ms: sum.ms + usage.ms});
	}

	/** Writes what was added, once, until it is written or `signal` aborts. */
	async flush(signal: AbortSignal): Promise<void> {
		this.flushing ??= this.write(signal);
		await this.flushing;
		this.flushing = undefined;
	}

	/** Flushes again and again until `signal` aborts. */
	async flushPeriodically(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.clock.sleep(flushMs, signal);
			await this.flush(signal);
		}
	}

	/** A mark row makes the addition happen once even when a reply is lost and the write sent again. */
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
					kind: 'put' as const, table: 'marks', key: mark, value: {}, ttlMs: markMs,
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
				await this.clock.sleep(flushMs, signal);
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
