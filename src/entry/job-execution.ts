import type {Outcome, Item, EndedTask} from '../decide/claim.js';
import {deferred} from '../deferred.js';
import {results, resultOf} from '../results.js';
import type {Route} from '../settings/schema.js';

/** Body is one task's input. */
export type TaskInput = {
	bytes: Uint8Array;
	contentType: string;
	/** How long its caller declares that it takes on an ordinary place, in milliseconds. */
	expectMs?: number;
};

/** Work is a job or request that has been let in. */
export type AdmittedJob = {
	claim: string;
	/** Whether the claim is a row that others could take over. */
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

/** TaskEnd is how one task ended. `never` says that it certainly did not start and will not. */
export type TaskEnd
	= | {kind: 'done'; item: Item}
		| {kind: 'failed'; detail: string}
		| {kind: 'unknown'; detail: string}
		| {kind: 'never'; code: number}
		| {kind: 'superseded'};

/** Ending is how a run ended: its outcome, and what it used. */
export type ExecutionResult = {outcome: Outcome; ranMs: number; done: number; superseded: boolean};

type TaskState = 'waiting' | 'sent' | 'ended';

/**
 * Run is one job or request from its admission to its outcome. It ends once: when every task is
 * done, or as soon as one cannot be.
 */
export class JobExecution {
	static create(job: AdmittedJob): JobExecution {
		return new JobExecution(job);
	}

	readonly result: Promise<ExecutionResult>;
	/** The outcome once it has ended. */
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

	/** Calls back when the run has ended, so that what is left of it can be withdrawn. */
	onEnd(listener: () => void): void {
		this.endListeners.push(listener);
	}

	/** The copies that are out, by the address of the sidecar that has them. */
	inFlightCopies(): Map<string, number[]> {
		return new Map([...this.copiesByAddress].filter(([, tasks]) => tasks.length > 0));
	}

	/** Whether the task still waits to be placed. */
	isWaiting(task: number): boolean {
		return !this.ended && this.states[task] === 'waiting';
	}

	/** Notes that a task went out to a sidecar: from now on it may have started. */
	recordSent(task: number, session: string, address: string): void {
		this.states[task] = 'sent';
		this.sessions.add(session);
		this.copiesByAddress.set(address, [...this.copiesByAddress.get(address) ?? [], task]);
	}

	/** Notes that a copy of a task came back from a sidecar. */
	recordReturned(task: number, address: string): void {
		const tasks = this.copiesByAddress.get(address) ?? [];
		const position = tasks.indexOf(task);
		this.copiesByAddress.set(address, tasks.filter((_, index) => index !== position));
	}

	/** Notes that a task that was out has certainly not started. */
	requeue(task: number): void {
		this.states[task] = 'waiting';
	}

	/** Takes tasks that ended before this run began, from a takeover. */
	recover(tasks: readonly EndedTask[]): void {
		for (const ended of tasks) {
			this.end(ended.task, taskEndOf(ended));
		}
	}

	/** Notes how a task ended. */
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

			case 'never': {
				this.giveUp(end.code);
				break;
			}

			case 'superseded': {
				this.finish({code: results.unknown.code, detail: 'another entry took the job over'}, true);
				break;
			}
		}
	}

	/** Ends the run because its deadline has passed. */
	expire(): void {
		this.giveUp(results.deadline.code);
	}

	/** Ends the run because its caller withdrew it. */
	cancel(): void {
		this.finish({code: this.mayHaveStarted ? results.cancelled.code : results.cancelledBefore.code});
	}

	/** Ends the run because a task cannot be started; says "not run" only if none may have been. */
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

/** Returns how a task that a sidecar told of ended; without its answer it is unknown. */
export function taskEndOf({code, detail, item}: EndedTask): TaskEnd {
	if (item && code === results.complete.code) {
		return {kind: 'done', item};
	}

	return code === results.taskFailed.code ? {kind: 'failed', detail} : {kind: 'unknown', detail};
}
