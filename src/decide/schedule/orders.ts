import {addResources, type Resources} from '../resources.js';
import type {ActiveJob, Task} from './active-job.js';
import type {Jobs} from './jobs.js';
import type {Places, PlaceState} from './places.js';
import type {StartAction} from './types.js';

/** OutstandingOrder is a start sent to a place whose end or refusal has not been reported. It holds its resources there. */
export type OutstandingOrder = {activeJob: ActiveJob; task: Task; place: string; resources: Resources};

/** Orders holds the outstanding orders and the resources that they reserve at the places. */
export class Orders {
	static create(places: Places, jobs: Jobs): Orders {
		return new Orders(places, jobs);
	}

	private readonly byRef = new Map<number, OutstandingOrder>();
	private nextRef = 1;

	private constructor(private readonly places: Places, private readonly jobs: Jobs) {}

	get(ref: number): OutstandingOrder | undefined {
		return this.byRef.get(ref);
	}

	/** Returns the outstanding orders at a place by their reference. */
	at(place: string): Array<[ref: number, order: OutstandingOrder]> {
		return [...this.byRef].filter(([, order]) => order.place === place);
	}

	/** Records an order for a task, reserves these resources for it and returns the start. */
	send({activeJob, task, resources}: Omit<OutstandingOrder, 'place'>, place: PlaceState, now: number): StartAction {
		const ref = this.nextRef++;
		this.jobs.setState(activeJob, task, 'placed');
		task.ref = ref;
		task.place = place.id;
		task.placedAt = now;
		task.stopSent = false;
		this.byRef.set(ref, {
			activeJob, task, place: place.id, resources,
		});
		addResources(place.ownUsage, resources, 1);
		place.outstandingOrders++;
		this.places.recordOrder(place, now);
		return {
			kind: 'start', place: place.id, ref, job: activeJob.job, task: resources === task.spec.resources ? task.spec : {...task.spec, resources},
		};
	}

	/** Removes an outstanding order and releases its resources at the place. */
	remove(ref: number, place: string): OutstandingOrder | undefined {
		const order = this.byRef.get(ref);
		if (order?.place !== place) {
			return undefined;
		}

		this.byRef.delete(ref);
		const at = this.places.get(place);
		if (at) {
			addResources(at.ownUsage, order.resources, -1);
			at.outstandingOrders--;
		}

		return order;
	}

	/** Removes the order of a task that has no run any more, which makes the task wait again. */
	requeue(activeJob: ActiveJob, task: Task, now: number): void {
		this.remove(task.ref, task.place);
		this.jobs.setState(activeJob, task, 'waiting');
		task.stopSent = false;
		task.notBefore = now;
	}
}
