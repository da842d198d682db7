import type {DurationEstimator} from '../duration-estimator.js';
import {fits} from '../resources.js';
import {
	hasStarted, isWaitingForRack, worthUntil, type ActiveJob, type Task,
} from './active-job.js';
import type {Isolation} from './isolation.js';
import {freeCapacity, type Places, type PlaceState} from './places.js';
import type {Reservations} from './reservations.js';
import type {Policy} from './types.js';
import type {WorkerKnowledge} from './worker-knowledge.js';

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
/** The disadvantage of a place off the rack of the task's data: more than all advantages together. */
const farDisadvantage = 4;
/** By how much a difference in free share is divided beside a step of slowness, so that with the advantages above it stays under one step. */
const freeShareDivisor = 10;

/** More than any worker has, in thousandths of a core: it brings what is left free to the scale of free shares. */
const maxCpu = 1_000_000;

/** PlacementInputs is what placement looks at: the policy, the places, learned run times, what is known of workers, what is reserved and what is kept apart. */
export type PlacementInputs = {policy: Policy; places: Places; estimator: DurationEstimator; workers: WorkerKnowledge; reservations: Reservations; isolation: Isolation};

/** Placement chooses the place of a task. */
export class Placement {
	static create(inputs: PlacementInputs): Placement {
		return new Placement(inputs);
	}

	private constructor(private readonly inputs: PlacementInputs) {}

	/**
	 * Chooses among the places with enough free capacity, or `only` if that is given and has it. Of those where the
	 * task should end in time, it takes the one with the largest free share, which spreads load and keeps entries that
	 * see the same places from often choosing the same one. With `colocate`, a place that has got another task of the
	 * job goes first, but before a faster one only if the task should end in time there. Where the task would end in time
	 * at none, it takes the fastest. Off the rack of its data a task uses a place for longer, so it goes there only if
	 * there is no such place on that rack.
	 */
	choose(activeJob: ActiveJob, task: Task, now: number, only?: PlaceState): PlaceState | undefined {
		const {job, objectiveAt, tasks} = activeJob;
		const {
			policy, places, estimator, workers, reservations,
		} = this.inputs;
		const usualMs = estimator.expectedMs(job.route, task.spec.estimateMs);
		const shared = new Set(policy.colocate ? tasks.filter(({state}) => state === 'placed' || state === 'done').map(({place}) => place) : []);
		let best: {place: PlaceState; late: number; cost: number} | undefined;
		for (const place of only ? [only] : places.all()) {
			if (place.pool !== job.pool || !places.mayReceive(place, now) || !this.isRoomFor(activeJob, task, place, now)) {
				continue;
			}

			const runMs = usualMs * estimator.slowness(place.id) * workers.farFactor(task.spec, place);
			if (!reservations.allows(place, task, runMs, now)) {
				continue;
			}

			const avoided = place.id === task.lastFailedPlace;
			const late = policy.spread && !avoided && now + (runMs * policy.margin) + overheadMs <= objectiveAt ? 0 : 1;
			const slowness = Math.round(runMs * slownessSteps / usualMs) * (avoided ? failedPlaceFactor : 1);
			const advantage = this.fit(task, place, late) + (place.zone === policy.zone ? zoneAdvantage : 0) + (shared.has(place.id) ? colocationAdvantage : 0);
			const cost = late === 0 ? (Number(workers.isFar(task.spec, place)) * farDisadvantage) - advantage : slowness - (advantage / freeShareDivisor);
			if (!best || late < best.late || (late === best.late && cost < best.cost)) {
				best = {place, late, cost};
			}
		}

		return best?.place;
	}

	/**
	 * Whether a task waits for room in the rack of its data instead of starting at a place chosen elsewhere, where it
	 * would not end in time. It waits for no longer than the run takes longer there, and only while that run can still be
	 * of worth and its job is not refused for the wait.
	 */
	waitsForRack(activeJob: ActiveJob, task: Task, place: PlaceState, now: number): boolean {
		const {policy, workers} = this.inputs;
		const {job, objectiveAt, refuseAt} = activeJob;
		const farMs = workers.runMs({route: job.route, task: task.spec, place});
		if (!workers.isFar(task.spec, place) || now + (farMs * policy.margin) + overheadMs <= objectiveAt) {
			return false;
		}

		if (task.rackWaitUntil === undefined) {
			const nearMs = workers.nearRunMs(job.route, job.pool, task.spec);
			const latest = Math.min(worthUntil(activeJob) - farMs - overheadMs, hasStarted(activeJob) ? Number.POSITIVE_INFINITY : refuseAt);
			task.rackWaitUntil = Math.min(now + farMs - nearMs, latest);
		}

		return isWaitingForRack(task, now);
	}

	/** Whether a place has the free capacity for a task, and the task may run beside what is there. */
	private isRoomFor(activeJob: ActiveJob, task: Task, place: PlaceState, now: number): boolean {
		const {isolation} = this.inputs;
		return isolation.allows(activeJob, task, place, now) && fits(isolation.sizeAt(task.spec, place, now), freeCapacity(place));
	}

	/** Returns how well a task fits a place: by the largest free share, or with `bestFit`, where it should end in time, by the least that is left. */
	private fit({spec: {resources}}: Task, place: PlaceState, late: number): number {
		const free = freeCapacity(place);
		return this.inputs.policy.bestFit && late === 0 ? (resources.cpu - free.cpu) / maxCpu : free.cpu / place.room.cpu;
	}
}
