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

/** Dependencies of the runner. */
export type Dependencies = {clock: Clock; random: Random; watcher: TableWatcher; dispatcher: TaskDispatcher; claims: ClaimStore; meter: UsageMeter};

/** How long an answer waits for its outcome to be written before an outage is considered, in milliseconds. */
const writeTimeoutMs = 2000;
/** How many failed reads in a row count as an outage of the table. */
const outageFailedReads = 2;

/** JobRunner dispatches executions and writes their outcomes. */
export class JobRunner {
	static create(dependencies: Dependencies): JobRunner {
		return new JobRunner(dependencies);
	}

	/** Monotonic milliseconds by which every answer must have been sent. */
	answerDeadline = Number.POSITIVE_INFINITY;
	private readonly executions = new Set<JobExecution>();
	private backgroundCount = 0;

	private constructor(private readonly dependencies: Dependencies) {}

	/** Whether no background work, such as writing an outcome, is pending. */
	get isIdle(): boolean {
		return this.backgroundCount === 0;
	}

	/** Sets a deadline on the monotonic clock for every answer: executions still running then expire. */
	finishBy(deadline: number): void {
		this.answerDeadline = deadline;
		setTimeout(() => {
			for (const execution of this.executions) {
				execution.expire();
			}
		}, Math.max(0, deadline - this.dependencies.clock.mono())).unref();
	}

	/** Tracks work that continues after its answer was sent, so that shutdown waits for it. */
	async trackBackground(promise: Promise<unknown>): Promise<void> {
		this.backgroundCount++;
		await promise;
		this.backgroundCount--;
	}

	/** Dispatches the given tasks of an execution and resolves when the execution has ended. */
	async execute(execution: JobExecution, tasks: Iterable<number>): Promise<ExecutionResult> {
		const {meter, dispatcher} = this.dependencies;
		const {member, bodies, claim} = execution.job;
		meter.start(member, bodies.length);
		this.executions.add(execution);
		dispatcher.enqueue(execution, tasks);
		const result = await execution.result;
		this.executions.delete(execution);
		meter.end(member, bodies.length);
		if (!execution.job.keyed) {
			dispatcher.release(claim, execution.sessions);
		}

		return result;
	}

	/** Applies the result of a takeover to an execution and returns the tasks that may start. */
	resume(execution: JobExecution, {recovery, addresses}: TakeoverResult): number[] {
		execution.recover(recovery.ended);
		for (const task of recovery.unknown) {
			execution.end(task, {kind: 'unknown', detail: 'a sidecar that may have started it cannot be heard'});
		}

		for (const {task, session} of recovery.running) {
			this.dependencies.dispatcher.joinRunning(execution, task, session, addresses.get(session)!);
		}

		return recovery.notStarted;
	}

	/**
	 * Writes the outcome and then returns it, so that the caller's answer, the bill and what a takeover
	 * finds agree. Resolves to undefined when another entry took over the job. While the table does not
	 * answer, "not run" cannot be returned; any other outcome is returned unwritten after a while.
	 */
	async closeAndAnswer(owned: OwnedClaim, result: ExecutionResult, execution: JobExecution): Promise<JobAnswer | undefined> {
		const {outcome} = result;
		const usage = outcome.code === results.complete.code ? usageOf(result) : undefined;
		const closing = this.closeAndRelease(owned, outcome, usage, execution);
		void this.trackBackground(closing);
		const closed = await this.waitWritten(closing);
		if (closed === 'superseded') {
			return undefined;
		}

		const mayAnswer = closed === 'closed' || resultOf(outcome.code).kind !== 'not-run';
		return mayAnswer ? outcome : {code: results.storeUnavailable.code, retryMs: 1000};
	}

	/** Takes over an orphaned claim, waits for its running tasks, and closes it without starting any. */
	async closeOrphan(row: Row<Claim>): Promise<void> {
		const {claims, random, watcher, clock} = this.dependencies;
		const claimed = await claims.takeOver(row, random.id(), true);
		const route = watcher.config.tables.routes.get(row.value.route)?.value;
		if (claimed.kind !== 'owned' || !route) {
			return;
		}

		const {claim} = claimed.owned;
		const bodies = Array.from({length: claim.tasks}, () => ({bytes: new Uint8Array(), contentType: ''}));
		const execution = JobExecution.create({
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
		const startable = claimed.found ? this.resume(execution, claimed.found) : [];
		if (startable.length > 0) {
			execution.giveUp(results.orphaned.code);
		}

		const result = await this.execute(execution, []);
		if (!result.superseded) {
			await claims.close(claimed.owned, result.outcome, result.outcome.code === results.complete.code ? usageOf(result) : undefined);
		}
	}

	/**
	 * Waits for a write until it has taken `writeTimeoutMs` and two reads of the table in a row have failed:
	 * a process that was paused must not mistake its pause for an outage.
	 */
	private async waitWritten(closing: Promise<CloseResult>): Promise<CloseResult | undefined> {
		const {clock, watcher} = this.dependencies;
		const written = new AbortController();
		let closed: CloseResult | undefined;
		do {
			closed = await Promise.race([closing, clock.sleep(writeTimeoutMs, written.signal).then(() => undefined)]);
		} while (!closed && watcher.failedReads < outageFailedReads && clock.mono() < this.answerDeadline);

		written.abort();
		return closed;
	}

	/** Lets sidecars discard their results for a claim only once its outcome is written, since a takeover before that needs them. */
	private async closeAndRelease(owned: OwnedClaim, outcome: Outcome, usage: Usage | undefined, execution: JobExecution): Promise<CloseResult> {
		const closed = await this.dependencies.claims.close(owned, outcome, usage);
		if (closed === 'closed') {
			this.dependencies.dispatcher.release(owned.key, execution.sessions);
		}

		return closed;
	}
}
