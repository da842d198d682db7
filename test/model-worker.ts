import type {
	EndedRun, Ending, PollResult, StartOrder, Reply, RunId,
} from '../src/ports/executor.js';
import type {Resources} from '../src/decide/room.js';

type Going = {number: number; room: Resources; until: number; ending: Ending};

/** What a run in the model needs beyond an order: its room, how long it takes and how it ends. */
export type RunPlan = {resources: Resources; durationMs: number; ending: Ending};

/**
 * ModelWorker is a small model of a worker by the platform's published pages: it starts whatever it is
 * told, keeps a fence and a lease, and lists ends until they are taken note of. It records what would
 * break a promise.
 */
export class ModelWorker {
	static create(capacity: Resources, leaseMs: number): ModelWorker {
		return new ModelWorker(capacity, leaseMs);
	}

	born = 1;
	/** What went wrong, in words. */
	readonly violations: string[] = [];
	/** All runs that ever began, as task and number. */
	readonly startedRuns = new Set<string>();

	private now = 0;
	private lease = 0;
	private fence = 0;
	private readonly running = new Map<string, Going>();
	private readonly over = new Map<string, number>();
	private ends: EndedRun[] = [];
	private sequence = 0;

	private constructor(private readonly capacity: Resources, private readonly leaseMs: number) {}

	/** The worker's clock, which starts anew with each life. */
	get clock(): number {
		return this.now;
	}

	/** The tasks that run now. */
	get tasks(): string[] {
		return [...this.running.keys()];
	}

	/** Lets time pass: runs end, and lapse when their lease is over. */
	advance(ms: number): void {
		this.now += ms;
		for (const [task, going] of this.running) {
			if (this.lease < this.now && this.lease < going.until) {
				this.end(task, 'lapsed');
			} else if (going.until <= this.now) {
				this.end(task, going.ending);
			}
		}
	}

	/** Crashes and starts again: it runs nothing and knows nothing. */
	restart(): void {
		this.born += 1;
		this.now = 0;
		this.lease = 0;
		this.fence = 0;
		this.sequence = 0;
		this.running.clear();
		this.over.clear();
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

		this.extend(leaseUntil);
		const there = this.running.get(task);
		if (there?.number === number) {
			return {kind: 'done', clock: this.now};
		}

		if (number <= (this.over.get(task) ?? 0)) {
			return this.refuse('old');
		}

		if (there) {
			this.violations.push(`two runs of ${task}`);
		}

		this.running.set(task, {
			number, room, until: this.now + tookMs, ending,
		});
		this.startedRuns.add(`${task}#${number}`);
		const used = [...this.running.values()].reduce((sum, going) => sum + going.room.cpu, 0);
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
		if (this.running.get(task)?.number === number) {
			this.end(task, 'stopped');
		}

		this.over.set(task, Math.max(number, this.over.get(task) ?? 0));
		return {kind: 'done', clock: this.now};
	}

	renew({fence, leaseUntil, seen}: {fence: number; leaseUntil?: number; seen: number}): PollResult {
		if (fence < this.fence) {
			return {kind: 'refused', reason: 'fence', clock: this.now};
		}

		this.fence = fence;
		if (leaseUntil !== undefined) {
			this.extend(leaseUntil);
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

	private extend(until: number): void {
		this.lease = Math.max(this.lease, Math.min(until, this.now + this.leaseMs));
	}

	private end(task: string, ending: Ending): void {
		const {number} = this.running.get(task)!;
		this.running.delete(task);
		this.over.set(task, Math.max(number, this.over.get(task) ?? 0));
		this.sequence++;
		this.ends.push({
			sequence: this.sequence, task, number, ending,
		});
	}
}
