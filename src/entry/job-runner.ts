import type {
	OwnedClaim, Claim, Usage, Outcome,
} from '../decide/claim.js';
import type {Clock} from '../ports/clock.js';
import type {Random} from '../ports/random.js';
import type {Row} from '../ports/table.js';
import {resultOf, results} from '../results.js';
import type {TaskDispatcher} from './task-dispatcher.js';
import type {TableWatcher} from './table-watcher.js';
import type {CloseResult, ClaimStore} from './claim-store.js';
import {JobExecution, type ExecutionResult} from './job-execution.js';
import {usageOf, type JobAnswer} from './submission.js';
import type {TakeoverResult} from './takeover.js';
import type {UsageMeter} from './usage-meter.js';

/** Parts is what runs are executed with. */
export type Dependencies = {clock: Clock; random: Random; watcher: TableWatcher; dispatcher: TaskDispatcher; claims: ClaimStore; meter: UsageMeter};

/** How long an answer waits for its outcome to be written, in milliseconds. */
const writeMs = 2000;
/** The failed reads in a row that make an outage. */
const outageMisses = 2;

/** Executor takes runs through dispatch to their outcomes and writes those. */
export class JobRunner {
	static create(parts: Dependencies): JobRunner {
		return new JobRunner(parts);
	}

	/** Monotonic milliseconds by which every answer must be out. */
	answerDeadline = Number.POSITIVE_INFINITY;
	private readonly runs = new Set<JobExecution>();
	private closing = 0;

	private constructor(private readonly parts: Dependencies) {}

	/** Whether every outcome has been written. */
	get isIdle(): boolean {
		return this.closing === 0;
	}

	/** Makes every answer come out by a moment of the monotonic clock: what is not done by then ends as past its deadline. */
	finishBy(moment: number): void {
		this.answerDeadline = moment;
		setTimeout(() => {
			for (const run of this.runs) {
				run.expire();
			}
		}, Math.max(0, moment - this.parts.clock.mono())).unref();
	}

	/** Counts work that goes on after its answer, so that a stop waits for it. */
	async trackBackground(work: Promise<unknown>): Promise<void> {
		this.closing++;
		await work;
		this.closing--;
	}

	/** Dispatches the tasks of a run that may start and resolves when the run has ended. */
	async execute(run: JobExecution, tasks: Iterable<number>): Promise<ExecutionResult> {
		const {meter, dispatcher: dispatch} = this.parts;
		const {member, bodies, claim} = run.job;
		meter.start(member, bodies.length);
		this.runs.add(run);
		dispatch.enqueue(run, tasks);
		const ending = await run.result;
		this.runs.delete(run);
		meter.end(member, bodies.length);
		if (!run.job.keyed) {
			dispatch.release(claim, run.sessions);
		}

		return ending;
	}

	/** Puts what a takeover found into a run and returns the tasks that may start. */
	resume(run: JobExecution, {recovery, addresses}: TakeoverResult): number[] {
		run.recover(recovery.ended);
		for (const task of recovery.unknown) {
			run.end(task, {kind: 'unknown', detail: 'a sidecar that may have started it cannot be heard'});
		}

		for (const {task, session} of recovery.running) {
			this.parts.dispatcher.joinRunning(run, task, session, addresses.get(session)!);
		}

		return recovery.notStarted;
	}

	/**
	 * Writes the outcome and then tells it, so that what callers hear, what is billed and what a
	 * takeover finds are one. Resolves to nothing when another entry took the job over. While the table
	 * gives no answer a "not run" cannot be told; anything else is told after a while unwritten.
	 */
	async closeAndAnswer(owned: OwnedClaim, ending: ExecutionResult, run: JobExecution): Promise<JobAnswer | undefined> {
		const {outcome} = ending;
		const usage = outcome.code === results.complete.code ? usageOf(ending) : undefined;
		const closing = this.closeAndRelease(owned, outcome, usage, run);
		void this.trackBackground(closing);
		const closed = await this.waitWritten(closing);
		if (closed === 'superseded') {
			return undefined;
		}

		const told = closed === 'closed' || resultOf(outcome.code).kind !== 'not-run';
		return told ? outcome : {code: results.storeUnavailable.code, retryMs: 1000};
	}

	/** Takes an orphaned claim, waits for what runs of it, and closes it without starting anything. */
	async closeOrphan(row: Row<Claim>): Promise<void> {
		const {claims: ledger, random, watcher: feed, clock} = this.parts;
		const claimed = await ledger.takeOver(row, random.id(), true);
		const route = feed.config.tables.routes.get(row.value.route)?.value;
		if (claimed.kind !== 'owned' || !route) {
			return;
		}

		const {claim} = claimed.owned;
		const bodies = Array.from({length: claim.tasks}, () => ({bytes: new Uint8Array(), contentType: ''}));
		const run = JobExecution.create({
			claim: row.key,
			keyed: true,
			epoch: claim.epoch,
			member: row.key.slice(0, row.key.indexOf('/')),
			route: claim.route,
			settings: route,
			repeatable: false,
			bodies,
			deadline: clock.mono() + route.deadlineMs,
		});
		const free = claimed.found ? this.resume(run, claimed.found) : [];
		if (free.length > 0) {
			run.giveUp(results.orphaned.code);
		}

		const ending = await this.execute(run, []);
		if (!ending.superseded) {
			await ledger.close(claimed.owned, ending.outcome, ending.outcome.code === results.complete.code ? usageOf(ending) : undefined);
		}
	}

	/**
	 * Waits for a write for a while, and for longer until two reads of the table in a row have failed: a
	 * process that was stopped must not take its pause for an outage.
	 */
	private async waitWritten(closing: Promise<CloseResult>): Promise<CloseResult | undefined> {
		const {clock, watcher: feed} = this.parts;
		const written = new AbortController();
		let closed: CloseResult | undefined;
		do {
			closed = await Promise.race([closing, clock.sleep(writeMs, written.signal).then(() => undefined)]);
		} while (!closed && feed.failedReads < outageMisses && clock.mono() < this.answerDeadline);

		written.abort();
		return closed;
	}

	/** What sidecars hold for a claim may go only once its outcome is written: a takeover would miss it. */
	private async closeAndRelease(owned: OwnedClaim, outcome: Outcome, usage: Usage | undefined, run: JobExecution): Promise<CloseResult> {
		const closed = await this.parts.claims.close(owned, outcome, usage);
		if (closed === 'closed') {
			this.parts.dispatcher.release(owned.key, run.sessions);
		}

		return closed;
	}
}
