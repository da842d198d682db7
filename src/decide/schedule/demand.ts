import {fits, type Resources} from '../resources.js';
import type {ActiveJob, Task} from './active-job.js';
import type {Isolation} from './isolation.js';
import type {Jobs} from './jobs.js';
import type {Places, PlaceState} from './places.js';
import type {Reservations} from './reservations.js';
import type {Action} from './types.js';
import {rackOf} from './worker-knowledge.js';

/** How many places of a pool may hold a capacity request at a time: enough that one soon has free capacity, few enough to be cheap in pools of hundreds. */
const maxRequestedPlaces = 16;

/**
 * UnmetDemand summarises the tasks of a pool that fitted no place: the minimum of each resource over them, the most urgent
 * task with its job, and all jobs with such tasks. `failed` holds the sizes that were tried and dominate no other.
 */
export type UnmetDemand = {smallest: Resources; activeJob: ActiveJob; task: Task; failed: Resources[]; jobs: ActiveJob[]};

/** RackWaiter is a task that waits for room in the rack of its data, with its job. */
type RackWaiter = {activeJob: ActiveJob; task: Task};

/** Demand summarises the tasks that have found no capacity since all places were last tried, by pool and apart for the quarantined routes of a pool, see `Isolation.groupOf`, and requests capacity for them. */
export class Demand {
	static create(places: Places, jobs: Jobs, reservations: Reservations, isolation: Isolation): Demand {
		return new Demand(places, jobs, reservations, isolation);
	}

	private readonly byGroup = new Map<string, UnmetDemand>();
	/** Of each group, by rack, the most urgent task that waits for room in the rack of its data. */
	private readonly rackWaiters = new Map<string, Map<string, RackWaiter>>();

	private constructor(
		private readonly places: Places,
		private readonly jobs: Jobs,
		private readonly reservations: Reservations,
		private readonly isolation: Isolation,
	) {}

	get(group: string): UnmetDemand | undefined {
		return this.byGroup.get(group);
	}

	/** Forgets the demand of a group, or of all, whose tasks are about to be tried again. */
	clear(group?: string): void {
		if (group === undefined) {
			this.byGroup.clear();
			this.rackWaiters.clear();
		} else {
			this.byGroup.delete(group);
			this.rackWaiters.delete(group);
		}
	}

	/** Records that a task waits for room in the rack of its data. The first one recorded for a rack counts as the most urgent. */
	addRackWaiter(activeJob: ActiveJob, task: Task): void {
		const group = this.groupOf(activeJob);
		const byRack = this.rackWaiters.get(group) ?? new Map<string, RackWaiter>();
		this.rackWaiters.set(group, byRack);
		if (!byRack.has(task.spec.dataRack!)) {
			byRack.set(task.spec.dataRack!, {activeJob, task});
		}
	}

	/** Whether a task that waits may start at a place with so much free: one that fitted no place, or one whose data is in the rack of the place. */
	mayFill(place: PlaceState, free: Resources): boolean {
		const group = this.isolation.groupOfPlace(place);
		const demand = this.byGroup.get(group);
		const waiter = this.rackWaiters.get(group)?.get(rackOf(place) ?? '');
		return (demand !== undefined && fits(demand.smallest, free)) || (waiter !== undefined && fits(waiter.task.spec.resources, free));
	}

	/** Records that a task found no capacity. The first one recorded in a group counts as the most urgent. */
	add(activeJob: ActiveJob, task: Task): void {
		const {resources} = task.spec;
		const group = this.groupOf(activeJob);
		const demand = this.byGroup.get(group);
		if (!demand) {
			this.byGroup.set(group, {
				smallest: {...resources}, activeJob, task, failed: [resources], jobs: [activeJob],
			});
			return;
		}

		demand.jobs.push(activeJob);
		if (!demand.failed.some(size => fits(size, resources))) {
			demand.failed.push(resources);
		}

		demand.smallest.cpu = Math.min(demand.smallest.cpu, resources.cpu);
		demand.smallest.memoryMb = Math.min(demand.smallest.memoryMb, resources.memoryMb);
		demand.smallest.accelerators = Math.min(demand.smallest.accelerators, resources.accelerators);
	}

	/** Whether a task is at least as large as one that has found no capacity, and so finds none either: in a pass any of those tried in it, else the most urgent. */
	isHopeless(group: string, resources: Resources, inPass: boolean): boolean {
		const demand = this.byGroup.get(group);
		return demand !== undefined && (inPass ? demand.failed.some(size => fits(size, resources)) : fits(demand.task.spec.resources, resources));
	}

	/** Requests capacity for the most urgent unplaced task of each group. */
	requestAll(now: number, actions: Action[]): void {
		for (const group of new Set([...this.byGroup.keys(), ...this.rackWaiters.keys()])) {
			this.request(group, now, actions);
		}
	}

	/** Sends capacity requests for the most urgent unplaced task of a group to its places, and for the most urgent that waits for each rack to the places there. */
	request(group: string, now: number, actions: Action[]): void {
		const demand = this.byGroup.get(group);
		if (demand) {
			if (this.isWaiting(demand)) {
				this.reservations.request(demand.activeJob.job.pool, demand.jobs, now, actions);
			}

			this.requestFor(demand, now, actions);
		}

		for (const [rack, waiter] of this.rackWaiters.get(group) ?? []) {
			this.requestFor({...waiter, rack}, now, actions);
		}
	}

	private groupOf({job: {pool, route}}: ActiveJob): string {
		return this.isolation.groupOf(pool, route);
	}

	private isWaiting({activeJob, task}: RackWaiter): boolean {
		return task.state === 'waiting' && this.jobs.get(activeJob.job.id) !== undefined;
	}

	private requestFor({activeJob, task, rack}: RackWaiter & {rack?: string}, now: number, actions: Action[]): void {
		const {job, latestStartAt} = activeJob;
		if (!this.isWaiting({activeJob, task})) {
			return;
		}

		const {resources} = task.spec;
		let asked = 0;
		for (const place of this.places.all()) {
			if (place.pool !== job.pool || !this.places.isOpen(place) || !fits(resources, place.room) || (rack !== undefined && rackOf(place) !== rack)) {
				continue;
			}

			if (!this.isolation.allows(activeJob, task, place, now)) {
				continue;
			}

			if (++asked > maxRequestedPlaces) {
				return;
			}

			if (!place.capacityRequested) {
				place.capacityRequested = true;
				actions.push({
					kind: 'want', place: place.id, resources, dueMs: Math.round(latestStartAt - now),
				});
			}
		}
	}
}
