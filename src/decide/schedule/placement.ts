import type {DurationEstimator} from '../duration-estimator.js';
import {fits} from '../resources.js';
import type {ActiveJob, Task} from './active-job.js';
import {freeCapacity, type Places, type PlaceState} from './places.js';
import type {Policy} from './types.js';

/** Slowness is compared in steps of a fifth of the expected time, so that places of nearly the same speed tie and the one with more free capacity wins. */
const slownessSteps = 5;
/** A place counts as this many times slower for a task that failed there last. */
const failedPlaceFactor = 8;
/** The overhead of a task beyond its run, in milliseconds: network round trip and start. */
const overheadMs = 10;
/** Places whose free shares differ by less than this count as equal, so that the one in the entry's own zone wins. */
const zoneAdvantage = 0.05;
/** The advantage of a place that has got another task of the job: more than any difference in free share, zone included. */
const colocationAdvantage = 2;
/** By how much a difference in free share is divided beside a step of slowness, so that with the advantages above it stays under one step. */
const freeShareDivisor = 10;

/** Placement chooses the place of a task. */
export class Placement {
	static create(policy: Policy, places: Places, estimator: DurationEstimator): Placement {
		return new Placement(policy, places, estimator);
	}

	private constructor(
		private readonly policy: Policy,
		private readonly places: Places,
		private readonly estimator: DurationEstimator,
	) {}

	/**
	 * Chooses among the places with enough free capacity, or `only` if that is given and has it. Of those where the
	 * task should end in time, it takes the one with the largest free share, which spreads load and keeps entries that
	 * see the same places from often choosing the same one. With `colocate`, a place that has got another task of the
	 * job goes first, but before a faster one only if the task should end in time there. Where the task would end in time
	 * at none, it takes the fastest.
	 */
	choose({job, objectiveAt, tasks}: ActiveJob, task: Task, now: number, only?: PlaceState): PlaceState | undefined {
		const usualMs = this.estimator.expectedMs(job.route, task.spec.estimateMs);
		const shared = new Set(this.policy.colocate ? tasks.filter(({state}) => state === 'placed' || state === 'done').map(({place}) => place) : []);
		let best: {place: PlaceState; late: number; cost: number} | undefined;
		for (const place of only ? [only] : this.places.all()) {
			if (place.pool !== job.pool || !this.places.mayReceive(place, now)) {
				continue;
			}

			const free = freeCapacity(place);
			if (!fits(task.spec.resources, free)) {
				continue;
			}

			const runMs = usualMs * this.estimator.slowness(place.id);
			const avoided = place.id === task.lastFailedPlace;
			const freeShare = free.cpu / place.room.cpu;
			const late = this.policy.spread && !avoided && now + (runMs * this.policy.margin) + overheadMs <= objectiveAt ? 0 : 1;
			const slowness = Math.round(runMs * slownessSteps / usualMs) * (avoided ? failedPlaceFactor : 1);
			const advantage = freeShare + (place.zone === this.policy.zone ? zoneAdvantage : 0) + (shared.has(place.id) ? colocationAdvantage : 0);
			const cost = late === 0 ? -advantage : slowness - (advantage / freeShareDivisor);
			if (!best || late < best.late || (late === best.late && cost < best.cost)) {
				best = {place, late, cost};
			}
		}

		return best?.place;
	}
}
