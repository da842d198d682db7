import {offerHoldMs} from '../guard.js';
import {
	chooseReservation, expectedFreeMs, mayStartBeside, reportedHold, TaskSizes, type Hold, type ReservationOption,
} from '../look-ahead.js';
import {reservationMs} from '../reservation.js';
import {fits} from '../resources.js';
import {isWaitingForRack, type ActiveJob, type Task} from './active-job.js';
import type {Isolation} from './isolation.js';
import type {Jobs} from './jobs.js';
import {freeCapacity, type Places, type PlaceState} from './places.js';
import type {Action, Policy, TaskSpec} from './types.js';
import type {WorkerKnowledge} from './worker-knowledge.js';

/** OwnReservation is a reservation that this entry has asked for at a place. */
type OwnReservation = Hold & {activeJob: ActiveJob; task: Task};

export type ReservationsDependencies = {policy: Policy; places: Places; jobs: Jobs; workers: WorkerKnowledge; isolation: Isolation};

/** Reservations decides for which waiting task of a pool a reservation is asked for, and where, and keeps other tasks from what is reserved. */
export class Reservations {
	static create(dependencies: ReservationsDependencies): Reservations {
		return new Reservations(dependencies);
	}

	private readonly sizes = TaskSizes.create();
	private readonly byPlace = new Map<string, OwnReservation>();
	private readonly policy: Policy;
	private readonly places: Places;
	private readonly jobs: Jobs;
	private readonly workers: WorkerKnowledge;
	private readonly isolation: Isolation;

	private constructor({policy, places, jobs, workers, isolation}: ReservationsDependencies) {
		this.policy = policy;
		this.places = places;
		this.jobs = jobs;
		this.workers = workers;
		this.isolation = isolation;
	}

	/** Whether placement looks ahead in a pool. */
	isActive(pool: string): boolean {
		return this.policy.lookAhead === 'on' || (this.policy.lookAhead === 'auto' && this.sizes.isUneven(pool));
	}

	/** Counts the sizes of the tasks of an admitted job. */
	admitted(pool: string, tasks: readonly TaskSpec[], now: number): void {
		for (const {resources} of tasks) {
			this.sizes.observe(pool, resources.cpu, now);
		}
	}

	/** Whether a task may start at a place in spite of what is reserved there, as far as this entry knows. */
	allows(place: PlaceState, task: Task, runMs: number, now: number): boolean {
		if (!this.isActive(place.pool)) {
			return true;
		}

		const own = this.byPlace.get(place.id);
		const holds = [reportedHold(place.outlook, now), own?.task === task ? undefined : own];
		const at = {freeCpu: freeCapacity(place).cpu, outlook: place.outlook};
		return holds.every(hold => !hold || mayStartBeside(hold, {cpu: task.spec.resources.cpu, runMs}, at, now));
	}

	/** Asks for a reservation for the most urgent large task of these jobs of a pool, unless `Policy.reservations` are under way. */
	request(pool: string, waiting: readonly ActiveJob[], now: number, actions: Action[]): void {
		this.review(now, actions);
		if (!this.isActive(pool)) {
			return;
		}

		const held = [...this.byPlace.values()].filter(({activeJob}) => activeJob.job.pool === pool);
		let left = this.policy.reservations - held.length;
		for (const activeJob of waiting) {
			for (const task of activeJob.tasks) {
				if (left <= 0) {
					return;
				}

				const isWanted = task.state === 'waiting' && !isWaitingForRack(task, now) && this.sizes.isLarge(pool, task.spec.resources.cpu) && !held.some(one => one.task === task);
				if (isWanted && this.jobs.has(activeJob)) {
					left--;
					this.reserve(activeJob, task, now, actions);
				}
			}
		}
	}

	/** Forgets reservations that have expired, and withdraws those whose task no longer waits. */
	review(now: number, actions: Action[]): void {
		for (const [place, {activeJob, task, until}] of this.byPlace) {
			const isNeeded = task.state === 'waiting' && this.jobs.has(activeJob);
			if (isNeeded && now < until) {
				continue;
			}

			this.byPlace.delete(place);
			const isUsed = task.state === 'placed' && task.place === place;
			if (now < until && !isUsed && this.places.get(place)?.capacityRequested) {
				actions.push({
					kind: 'want', place, resources: task.spec.resources, dueMs: Math.round(activeJob.latestStartAt - now),
				});
			}
		}
	}

	/** Keeps the capacity that a place offers for the task for which it was reserved. */
	offered(place: string, now: number): void {
		const reservation = this.byPlace.get(place);
		if (reservation) {
			reservation.startsAt = now;
			reservation.until = now + offerHoldMs;
		}
	}

	/** Forgets the reservation at a place whose link was lost. */
	linkLost(place: string): void {
		this.byPlace.delete(place);
	}

	private reserve(activeJob: ActiveJob, task: Task, now: number, actions: Action[]): void {
		const {job: {pool, route}, latestStartAt} = activeJob;
		const {resources} = task.spec;
		const options: ReservationOption[] = [];
		for (const place of this.places.all()) {
			const isReservable = place.pool === pool && this.places.mayReceive(place, now) && fits(resources, place.room)
				&& this.isolation.allows(activeJob, task, place, now) && !this.byPlace.has(place.id) && !reportedHold(place.outlook, now);
			const startInMs = isReservable ? expectedFreeMs(freeCapacity(place).cpu, resources.cpu, place.outlook, now) : undefined;
			if (startInMs !== undefined) {
				options.push({place: place.id, startInMs, runMs: this.workers.runMs({route, task: task.spec, place})});
			}
		}

		const choice = chooseReservation(options);
		if (choice) {
			this.byPlace.set(choice.place, {
				activeJob, task, cpu: resources.cpu, startsAt: now + choice.startInMs, until: now + reservationMs,
			});
			this.places.get(choice.place)!.capacityRequested = true;
			actions.push({
				kind: 'want', place: choice.place, resources, dueMs: Math.round(latestStartAt - now), reserve: true,
			});
		}
	}
}
