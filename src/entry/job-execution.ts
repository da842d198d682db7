import type {Outcome, Item, EndedTask} from '../decide/claim.js';
import {deferred} from '../deferred.js';
import {results, resultOf} from '../results.js';
import type {Route} from '../settings/schema.js';

/** TaskInput is one task's request body. */
export type TaskInput = {
	bytes: Uint8Array;
	contentType: string;
	/** The caller's declared duration on an ordinary place, in milliseconds. */
	expectMs?: number;
};

/** AdmittedJob is a job or request that has passed admission. */
export type AdmittedJob = {
	claim: string;
	/** Whether the claim is a table row, which another entry could take over. */
	keyed: boolean;
	epoch: number;
	member: string;
	route: string;
	settings: Route;
	/** Whether a task may be started again after it may have run, and hedged. */
	repeatable: boolean;
	bodies: readonly TaskInput[];
	/** Monotonic milliseconds. */
	deadline: number;
};

/** TaskEnd is how one task ended. `not-started` means that it certainly did not start and will not. */
export type TaskEnd
	= | {kind: 'done'; item: Item}
		| {kind: 'failed'; detail: string}
		| {kind: 'unknown'; detail: string}
		| {kind: 'not-started'; code: number}
		| {kind: 'superseded'};

/** ExecutionResult is the outcome of an execution and its usage. */
export type ExecutionResult = {outcome: Outcome; ranMs: number; done: number; superseded: boolean};

type TaskState = 'waiting' | 'sent' | 'ended';

/**
 * JobExecution is one job or request from its admission to its outcome. It ends once: when every task
 * is done, or as soon as one task cannot be.
 */
export class JobExecution {
	static create(job: AdmittedJob): JobExecution {
		return new JobExecution(job);
	}

	readonly result: Promise<ExecutionResult>;
	/** The result, once the execution has ended. */
	ended: ExecutionResult | undefined;
	/** The sidecar sessions that were sent a task. */
	readonly sessions = new Set<string>();
	private readonly states: TaskState[];
	private readonly copiesByAddress = new Map<string, number[]>();
	private readonly items: Array<Item | undefined>;
	private readonly resolveResult: (result: ExecutionResult) => void;
	private readonly endListeners: Array<() => void> = [];
	private remaining: number;
	private startedCount = 0;
	private ranMs = 0;
	private done = 0;

	private constructor(readonly job: AdmittedJob) {
		const {promise, resolve} = deferred<ExecutionResult>();
		this.result = promise;
		this.resolveResult = resolve;
		this.remaining = job.bodies.length;
		this.states = job.bodies.map(() => 'waiting');
		this.items = job.bodies.map(() => undefined);
	}

	/** Registers a callback for the end of the execution, where its remaining tasks are cancelled. */
	onEnd(listener: () => void): void {
		this.endListeners.push(listener);
	}

	/** The tasks of the copies in flight, by the address of their sidecar. */
	inFlightCopies(): Map<string, number[]> {
		return new Map([...this.copiesByAddress].filter(([, tasks]) => tasks.length > 0));
	}

	/** Whether the task still waits to be placed. */
	isWaiting(task: number): boolean {
		return !this.ended && this.states[task] === 'waiting';
	}

	/** Records that a task was sent to a sidecar: from now on it may have started. */
	recordSent(task: number, session: string, address: string): void {
		this.states[task] = 'sent';
		this.sessions.add(session);
		this.copiesByAddress.set(address, [...this.copiesByAddress.get(address) ?? [], task]);
	}

	/** Records that a copy of a task is no longer in flight at a sidecar. */
	recordReturned(task: number, address: string): void {
		const tasks = this.copiesByAddress.get(address) ?? [];
		const position = tasks.indexOf(task);
		this.copiesByAddress.set(address, tasks.filter((_, index) => index !== position));
	}

	/** Returns a sent task to the waiting state, to be placed again. */
	requeue(task: number): void {
		this.states[task] = 'waiting';
	}

	/** Adds the tasks that a takeover found to have ended before this execution began. */
	recover(tasks: readonly EndedTask[]): void {
		for (const ended of tasks) {
			this.end(ended.task, taskEndOf(ended));
		}
	}

	/** Records how a task ended; only the first end of a task counts. */
	end(task: number, end: TaskEnd): void {
		if (this.ended !== undefined || this.states[task] === 'ended') {
			return;
		}

		this.states[task] = 'ended';
		switch (end.kind) {
			case 'done': {
				this.complete(task, end.item);
				break;
			}

			case 'failed': {
				this.startedCount++;
				this.finish({code: results.taskFailed.code, detail: `task ${task}: ${end.detail}`});
				break;
			}

			case 'unknown': {
				this.startedCount++;
				this.finish({code: results.unknown.code, detail: `task ${task}: ${end.detail}`});
				break;
			}

			case 'not-started': {
				this.giveUp(end.code);
				break;
			}

			case 'superseded': {
				this.finish({code: results.unknown.code, detail: 'another entry took the job over'}, true);
				break;
			}
		}
	}

	/** Ends the execution because its deadline has passed. */
	expire(): void {
		this.giveUp(results.deadline.code);
	}

	/** Ends the execution because its caller cancelled it. */
	cancel(): void {
		this.finish({code: this.mayHaveStarted ? results.cancelled.code : results.cancelledBefore.code});
	}

	/** Ends the execution because a task cannot be started; reports "not run" only if no task may have started. */
	giveUp(code: number): void {
		if (!this.mayHaveStarted) {
			this.finish({code});
			return;
		}

		const isPastDeadline = code === results.deadline.code || code === results.late.code;
		this.finish({code: isPastDeadline ? results.deadlinePassed.code : results.incomplete.code, detail: resultOf(code).text});
	}

	private get mayHaveStarted(): boolean {
		return this.startedCount > 0 || this.states.includes('sent');
	}

	private complete(task: number, item: Item): void {
		this.items[task] = item;
		this.startedCount++;
		this.done++;
		this.ranMs += item.ranMs;
		this.remaining--;
		if (this.remaining === 0) {
			this.finish({code: results.complete.code, items: this.items as Item[]});
		}
	}

	private finish(outcome: Outcome, superseded = false): void {
		if (this.ended) {
			return;
		}

		this.ended = {
			outcome, ranMs: this.ranMs, done: this.done, superseded,
		};
		this.resolveResult(this.ended);
		for (const listener of this.endListeners) {
			listener();
		}
	}
}

/** Converts a sidecar's report of an ended task; a completed task without its answer counts as unknown. */
export function taskEndOf({code, detail, item}: EndedTask): TaskEnd {
	if (item && code === results.complete.code) {
		return {kind: 'done', item};
	}

	return code === results.taskFailed.code ? {kind: 'failed', detail} : {kind: 'unknown', detail};
}
