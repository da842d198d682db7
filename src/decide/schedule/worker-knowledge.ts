import type {Departure} from '../departure.js';
import type {DurationEstimator} from '../duration-estimator.js';
import {fits} from '../resources.js';
import {worthUntil, type ActiveJob, type Task} from './active-job.js';
import {freeCapacity, type Places, type PlaceState} from './places.js';
import type {Policy, TaskSpec} from './types.js';

/** A run counts as hung after this many times its expected time plus this many milliseconds. */
const hangFactor = 3;
const hangMs = 600;
/** The same by the learned times of the route: this many times what `hangShare` of its runs do not exceed, where that is more. */
const hangTailFactor = 1.5;
const hangShare = 0.99;
/** The length of a kind's name that is still told apart; names come from peers. */
const maxKindLength = 128;

/** RunOfTask is a task of a route at a place. */
export type RunOfTask = {route: string; task: TaskSpec; place: PlaceState};

/** WorkerKnowledge is what an entry assumes about runs at workers, by their kinds and by what was learned of the route. */
export class WorkerKnowledge {
	static create(policy: Policy, places: Places, estimator: DurationEstimator): WorkerKnowledge {
		return new WorkerKnowledge(policy, places, estimator);
	}

	/** The pools whose places have reported more than one kind. Once that was seen the pool stays here, so that a loss of workers switches nothing. */
	private readonly mixedPools = new Set<string>();

	private constructor(
		private readonly policy: Policy,
		private readonly places: Places,
		private readonly estimator: DurationEstimator,
	) {}

	/** Whether the kinds of workers and the spread of run times are taken into account in a pool. */
	isOn(pool: string): boolean {
		switch (this.policy.workers) {
			case 'on': {
				return true;
			}

			case 'off': {
				return false;
			}

			case 'auto': {
				return this.mixedPools.has(pool);
			}
		}
	}

	/** Takes note of the kind of a place that has reported. */
	placeReported(place: PlaceState): void {
		const {pool} = place;
		const pooled = [...this.places.all()].filter(other => other.pool === pool);
		const wasOn = this.isOn(pool);
		if (new Set(pooled.map(other => kindOf(other)).filter(kind => kind !== undefined)).size > 1) {
			this.mixedPools.add(pool);
		}

		if (this.isOn(pool)) {
			for (const other of wasOn ? [place] : pooled) {
				const name = kindOf(other);
				this.estimator.assignKind(other.id, name === undefined ? undefined : {pool, name});
			}
		}
	}

	/** Forgets the pools that no place belongs to any more. */
	prune(): void {
		const pools = new Set([...this.places.all()].map(({pool}) => pool));
		for (const pool of this.mixedPools) {
			if (!pools.has(pool)) {
				this.mixedPools.delete(pool);
			}
		}
	}

	/** Whether a task would run off the rack of its data. A place whose rack is unknown counts as near: what it is like shows in its slowness. */
	isFar(task: TaskSpec, place: PlaceState): boolean {
		const rack = rackOf(place);
		return task.dataRack !== undefined && rack !== undefined && rack !== task.dataRack && this.isOn(place.pool);
	}

	/** Returns the factor by which the way to its data lengthens a run. */
	farFactor(task: TaskSpec, place: PlaceState): number {
		return this.isFar(task, place) ? this.policy.farFactor : 1;
	}

	/** Returns the expected time of a run, in milliseconds. */
	runMs({route, task, place}: RunOfTask): number {
		return this.estimator.expectedMs(route, task.estimateMs) * this.estimator.slowness(place.id) * this.farFactor(task, place);
	}

	/** Returns the least expected time of a run at the open places in the rack of its data, in milliseconds; infinite where there is none that can hold it. */
	nearRunMs(route: string, pool: string, task: TaskSpec): number {
		const near = this.places.openIn(pool).filter(place => rackOf(place) === task.dataRack && fits(task.resources, place.room));
		return Math.min(...near.map(place => this.runMs({route, task, place})));
	}

	/** Returns the figures that decide whether a run is moved, or undefined where its worker is not about to leave. */
	departureOf(activeJob: ActiveJob, {spec, place: id, placedAt}: Task, now: number): Departure | undefined {
		const {job: {route, pool}} = activeJob;
		const place = this.places.get(id);
		if (place?.leavesAt === undefined || !this.isOn(pool)) {
			return undefined;
		}

		const others = [...this.places.all()].filter(other => other.pool === pool && other !== place && this.places.mayReceive(other, now) && fits(spec.resources, freeCapacity(other)));
		return {
			remainingMs: Math.max(0, place.leavesAt - now),
			ageMs: now - placedAt,
			expectedMs: this.runMs({route, task: spec, place}),
			elsewhereMs: Math.min(...others.map(other => this.runMs({route, task: spec, place: other}))),
			worthMs: worthUntil(activeJob) - now,
		};
	}

	/** Learns from a run that has succeeded. */
	runDone({route, task, place}: RunOfTask, ranMs: number): void {
		this.estimator.observe({
			route, place: place.id, ranMs, declaredMs: Math.max(1, task.estimateMs) * this.farFactor(task, place),
		});
	}

	/**
	 * Returns the limit, in milliseconds, that a run of this age has exceeded and so counts as hung, or undefined. Where
	 * a route has tasks that are merely long, they are spared.
	 */
	exceededLimitMs(run: RunOfTask, ageMs: number): number | undefined {
		if (ageMs <= hangMs) {
			return undefined;
		}

		const usualLimitMs = (this.runMs(run) * hangFactor) + hangMs;
		const {route, task, place} = run;
		if (ageMs <= usualLimitMs || !this.isOn(place.pool)) {
			return ageMs > usualLimitMs ? usualLimitMs : undefined;
		}

		const tailMs = this.estimator.quantileMs(route, task.estimateMs, hangShare) ?? 0;
		const limitMs = Math.max(usualLimitMs, tailMs * hangTailFactor * this.estimator.slowness(place.id) * this.farFactor(task, place));
		return ageMs > limitMs ? limitMs : undefined;
	}

	/**
	 * Learns from a run that is stopped because it has reached the limit. Only the first one at a place since its last
	 * success tells something of the route; where several hang in a row the place stands still.
	 */
	runHung({route, task, place}: RunOfTask, limitMs: number): void {
		if (this.isOn(place.pool) && place.ejection.consecutiveFailures === 0) {
			this.estimator.observeStopped({
				route, place: place.id, ranMs: limitMs, declaredMs: Math.max(1, task.estimateMs) * this.farFactor(task, place),
			});
		}
	}
}

/** Returns the kind of a place, the first of its labels. */
function kindOf({labels}: PlaceState): string | undefined {
	const kind = labels?.[0];
	return kind === undefined || kind === '' || kind.length > maxKindLength ? undefined : kind;
}

/** Returns the rack of a place, the second of its labels. */
export function rackOf({labels}: Pick<PlaceState, 'labels'>): string | undefined {
	return labels?.[1] === '' ? undefined : labels?.[1];
}
