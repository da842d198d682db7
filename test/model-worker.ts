import type {
	EndedRun, Ending, PollResult, StartOrder, Reply, RunId,
} from '../src/ports/executor.js';
import type {Resources} from '../src/decide/resources.js';

type ModelRun = {number: number; resources: Resources; endsAt: number; ending: Ending; isBeingKilled: boolean};

/** RunPlan is what the model needs beyond a start order: the resources of a run, its duration and how it ends. */
export type RunPlan = {resources: Resources; durationMs: number; ending: Ending};

/**
 * ModelWorker is a small model of a worker that follows the platform's published pages: it starts whatever
 * it is ordered to, keeps a fence and a lease, and lists ended runs until they are acknowledged. It records
 * every violation of the guard's guarantees.
 */
export class ModelWorker {
	/** `killMs` is how long the worker takes to end a run that is stopped or whose lease has expired, in milliseconds. */
	static create(capacity: Resources, leaseMs: number, killMs = 0): ModelWorker {
		return new ModelWorker(capacity, leaseMs, killMs);
	}

	born = 1;
	/** Descriptions of the violations seen. */
	readonly violations: string[] = [];
	/** All runs that ever began, as `task#number`. */
	readonly startedRuns = new Set<string>();
	/** All runs whose lease expired, as `task#number`. */
	readonly lapsedRuns = new Set<string>();

	private now = 0;
	private leaseUntil = 0;
	private fence = 0;
	private readonly running = new Map<string, ModelRun>();
	/** The highest run number of each task that ended or was stopped. */
	private readonly endedNumbers = new Map<string, number>();
	private ends: EndedRun[] = [];
	private sequence = 0;

	/** `capacity` may change while it runs. */
	private constructor(public capacity: Resources, private readonly leaseMs: number, private readonly killMs: number) {}

	/** The worker's clock in milliseconds, which starts from 0 with each incarnation. */
	get clock(): number {
		return this.now;
	}

	/** The tasks that are running. */
	get tasks(): string[] {
		return [...this.running.keys()];
	}

	/** Advances the clock: runs end as planned, or lapse if the lease expires first. */
	advance(ms: number): void {
		this.now += ms;
		for (const [task, going] of this.running) {
			if (this.leaseUntil < this.now && this.leaseUntil < going.endsAt && !going.isBeingKilled) {
				this.lapsedRuns.add(`${task}#${going.number}`);
				this.kill(going, this.leaseUntil, 'lapsed');
			}

			if (going.endsAt <= this.now) {
				this.end(task, going.ending);
			}
		}
	}

	/** Simulates a crash and restart: all runs and all state are lost. */
	restart(): void {
		this.born += 1;
		this.now = 0;
		this.leaseUntil = 0;
		this.fence = 0;
		this.sequence = 0;
		this.running.clear();
		this.endedNumbers.clear();
		this.ends = [];
	}

	start({
		task, number, leaseUntil, fence,
	}: StartOrder, {resources: room, durationMs: tookMs, ending}: RunPlan): Reply {
		if (fence < this.fence) {
			return this.refuse('fence');
		}

		this.fence = fence;
		if (leaseUntil < this.now) {
			return this.refuse('late');
		}

		this.extendLease(leaseUntil);
		const current = this.running.get(task);
		if (current?.number === number) {
			return {kind: 'done', clock: this.now};
		}

		if (number <= (this.endedNumbers.get(task) ?? 0)) {
			return this.refuse('old');
		}

		if (current) {
			this.violations.push(`two runs of ${task}`);
		}

		this.running.set(task, {
			number, resources: room, endsAt: this.now + tookMs, ending, isBeingKilled: false,
		});
		this.startedRuns.add(`${task}#${number}`);
		const used = [...this.running.values()].reduce((sum, going) => sum + going.resources.cpu, 0);
		if (used > this.capacity.cpu) {
			this.violations.push(`${used} of ${this.capacity.cpu} in use after the start of ${task}`);
		}

		return {kind: 'done', clock: this.now};
	}

	stop({task, number}: RunId, fence: number): Reply {
		if (fence < this.fence) {
			return this.refuse('fence');
		}

		this.fence = fence;
		const current = this.running.get(task);
		if (current?.number === number) {
			this.kill(current, this.now, 'stopped');
			if (current.endsAt <= this.now) {
				this.end(task, current.ending);
			}
		}

		this.endedNumbers.set(task, Math.max(number, this.endedNumbers.get(task) ?? 0));
		return {kind: 'done', clock: this.now};
	}

	renew({fence, leaseUntil, seen}: {fence: number; leaseUntil?: number; seen: number}): PollResult {
		if (fence < this.fence) {
			return {kind: 'refused', reason: 'fence', clock: this.now};
		}

		this.fence = fence;
		if (leaseUntil !== undefined) {
			this.extendLease(leaseUntil);
		}

		this.ends = this.ends.filter(({sequence}) => sequence > seen);
		return {
			kind: 'seen',
			clock: this.now,
			born: this.born,
			running: [...this.running].map(([task, {number}]) => ({task, number})),
			ended: [...this.ends],
		};
	}

	private refuse(reason: 'fence' | 'late' | 'old'): Reply {
		return {kind: 'refused', reason, clock: this.now};
	}

	private extendLease(until: number): void {
		this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, this.now + this.leaseMs));
	}

	private kill(going: ModelRun, from: number, ending: Ending): void {
		if (!going.isBeingKilled) {
			going.endsAt = Math.min(going.endsAt, from + this.killMs);
			going.ending = ending;
			going.isBeingKilled = true;
		}
	}

	private end(task: string, ending: Ending): void {
		const {number} = this.running.get(task)!;
		this.running.delete(task);
		this.endedNumbers.set(task, Math.max(number, this.endedNumbers.get(task) ?? 0));
		this.sequence++;
		this.ends.push({
			sequence: this.sequence, task, number, ending,
		});
	}
}
