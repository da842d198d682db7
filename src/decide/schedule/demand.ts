import {fits, type Resources} from '../resources.js';
import type {ActiveJob, Task} from './active-job.js';
import type {Jobs} from './jobs.js';
import type {Places} from './places.js';
import type {Action} from './types.js';

/** How many places of a pool may hold a capacity request at a time: enough that one soon has free capacity, few enough to be cheap in pools of hundreds. */
const maxRequestedPlaces = 16;

/** UnmetDemand summarises the tasks of a pool that fitted no place: the minimum of each resource over them, and the most urgent task with its job. `failed` holds the sizes that were tried and dominate no other. */
export type UnmetDemand = {smallest: Resources; activeJob: ActiveJob; task: Task; failed: Resources[]};

/** Demand summarises by pool the tasks that have found no capacity since all places were last tried, and requests capacity for them. */
export class Demand {
	static create(places: Places, jobs: Jobs): Demand {
		return new Demand(places, jobs);
	}

	private readonly byPool = new Map<string, UnmetDemand>();

	private constructor(private readonly places: Places, private readonly jobs: Jobs) {}

	get(pool: string): UnmetDemand | undefined {
		return this.byPool.get(pool);
	}

	/** Forgets the demand of a pool, or of all, whose tasks are about to be tried again. */
	clear(pool?: string): void {
		if (pool === undefined) {
			this.byPool.clear();
		} else {
			this.byPool.delete(pool);
		}
	}

	/** Records that a task found no capacity. The first one recorded in a pool counts as the most urgent. */
	add(activeJob: ActiveJob, task: Task): void {
		const {resources} = task.spec;
		const demand = this.byPool.get(activeJob.job.pool);
		if (!demand) {
			this.byPool.set(activeJob.job.pool, {
				smallest: {...resources}, activeJob, task, failed: [resources],
			});
			return;
		}

		if (!demand.failed.some(size => fits(size, resources))) {
			demand.failed.push(resources);
		}

		demand.smallest.cpu = Math.min(demand.smallest.cpu, resources.cpu);
		demand.smallest.memoryMb = Math.min(demand.smallest.memoryMb, resources.memoryMb);
		demand.smallest.accelerators = Math.min(demand.smallest.accelerators, resources.accelerators);
	}

	/** Whether a task is at least as large as one that has found no capacity, and so finds none either: in a pass any of those tried in it, else the most urgent. */
	isHopeless(pool: string, resources: Resources, inPass: boolean): boolean {
		const demand = this.byPool.get(pool);
		return demand !== undefined && (inPass ? demand.failed.some(size => fits(size, resources)) : fits(demand.task.spec.resources, resources));
	}

	/** Requests capacity for the most urgent unplaced task of each pool. */
	requestAll(now: number, actions: Action[]): void {
		for (const pool of this.byPool.keys()) {
			this.request(pool, now, actions);
		}
	}

	/** Sends capacity requests for the most urgent unplaced task of a pool to its places. */
	request(pool: string, now: number, actions: Action[]): void {
		const demand = this.byPool.get(pool);
		if (demand?.task.state !== 'waiting' || !this.jobs.get(demand.activeJob.job.id)) {
			return;
		}

		const {resources} = demand.task.spec;
		let asked = 0;
		for (const place of this.places.all()) {
			if (place.pool !== pool || !this.places.isOpen(place) || !fits(resources, place.room)) {
				continue;
			}

			if (++asked > maxRequestedPlaces) {
				return;
			}

			if (!place.capacityRequested) {
				place.capacityRequested = true;
				actions.push({
					kind: 'want', place: place.id, resources, dueMs: Math.round(demand.activeJob.latestStartAt - now),
				});
			}
		}
	}
}
