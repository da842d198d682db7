import {hasStarted, type ActiveJob, type Task} from './active-job.js';

/**
 * Jobs holds the jobs under way, and keeps those with waiting tasks and those that have not started in sets of their
 * own, so that the work for an event grows with what waits instead of with all that is under way.
 */
export class Jobs {
	static create(): Jobs {
		return new Jobs();
	}

	/** The number of tasks of all jobs. */
	taskCount = 0;

	private readonly byId = new Map<string, ActiveJob>();
	/** The jobs with waiting tasks, by pool. */
	private readonly waitingByPool = new Map<string, Set<ActiveJob>>();
	private readonly pending = new Set<ActiveJob>();
	private readonly pendingByRoute = new Map<string, number>();
	/** The earliest `refuseAt` of the pending jobs; undefined when it has to be computed. */
	private earliestRefusal: number | undefined = Number.POSITIVE_INFINITY;

	private constructor() {
		// Created by `create`.
	}

	get size(): number {
		return this.byId.size;
	}

	get(id: string): ActiveJob | undefined {
		return this.byId.get(id);
	}

	has(activeJob: ActiveJob): boolean {
		return this.byId.get(activeJob.job.id) === activeJob;
	}

	all(): Iterable<ActiveJob> {
		return this.byId.values();
	}

	add(activeJob: ActiveJob): void {
		this.delete(activeJob.job.id);
		this.byId.set(activeJob.job.id, activeJob);
		this.taskCount += activeJob.tasks.length;
		this.refresh(activeJob);
	}

	delete(id: string): void {
		const activeJob = this.byId.get(id);
		if (activeJob) {
			this.byId.delete(id);
			this.taskCount -= activeJob.tasks.length;
			this.waitingByPool.get(activeJob.job.pool)?.delete(activeJob);
			this.setPending(activeJob, false);
		}
	}

	/** Sets the state of a task. */
	setState(activeJob: ActiveJob, task: Task, state: Task['state']): void {
		activeJob.waitingTasks += Number(state === 'waiting') - Number(task.state === 'waiting');
		activeJob.waitingWork = undefined;
		task.state = state;
		if (this.has(activeJob)) {
			this.refresh(activeJob);
		}
	}

	/** The jobs of a pool, or of all, with waiting tasks, in no particular order. */
	waiting(pool?: string): Iterable<ActiveJob> {
		if (pool !== undefined) {
			return this.waitingByPool.get(pool) ?? [];
		}

		return this.waitingByPool.size === 1 ? [...this.waitingByPool.values()][0]! : [...this.waitingByPool.values()].flatMap(jobs => [...jobs]);
	}

	/** Returns the number of jobs of a route, or of all routes, that have not started. */
	pendingCount(route?: string): number {
		return route === undefined ? this.pending.size : this.pendingByRoute.get(route) ?? 0;
	}

	/** When the next job is due to be refused unless it starts; infinite when there is none. */
	get nextRefusalAt(): number {
		if (this.earliestRefusal === undefined) {
			let due = Number.POSITIVE_INFINITY;
			for (const {refuseAt} of this.pending) {
				due = Math.min(due, refuseAt);
			}

			this.earliestRefusal = due;
		}

		return this.earliestRefusal;
	}

	/** Moves a job between the sets according to its state. */
	private refresh(activeJob: ActiveJob): void {
		const {pool} = activeJob.job;
		let waiting = this.waitingByPool.get(pool);
		if (activeJob.waitingTasks > 0) {
			if (!waiting) {
				waiting = new Set();
				this.waitingByPool.set(pool, waiting);
			}

			waiting.add(activeJob);
		} else {
			waiting?.delete(activeJob);
		}

		this.setPending(activeJob, !hasStarted(activeJob));
	}

	private setPending(activeJob: ActiveJob, isPending: boolean): void {
		if (this.pending.has(activeJob) === isPending) {
			return;
		}

		const {job: {route}, refuseAt} = activeJob;
		const count = (this.pendingByRoute.get(route) ?? 0) + (isPending ? 1 : -1);
		if (count === 0) {
			this.pendingByRoute.delete(route);
		} else {
			this.pendingByRoute.set(route, count);
		}

		if (isPending) {
			this.pending.add(activeJob);
			this.earliestRefusal = this.earliestRefusal === undefined ? undefined : Math.min(this.earliestRefusal, refuseAt);
		} else {
			this.pending.delete(activeJob);
			this.earliestRefusal = refuseAt === this.earliestRefusal ? undefined : this.earliestRefusal;
		}
	}
}
