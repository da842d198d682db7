import {RatioQuantiles} from './ratio-quantiles.js';

/**
 * DurationEstimator learns run times: of each route the ratio of actual to declared time, and of each place its
 * slowness, the factor by which tasks take longer there than on an ordinary place.
 *
 * A place's slowness is averaged over logarithms of ratios, since single run times differ by more than ten to one: a
 * few long tasks must not make a place look slow. A place of a known kind starts from the slowness that other places
 * of its kind have shown; its own runs outweigh that after a few.
 */
export class DurationEstimator {
	static create(): DurationEstimator {
		return new DurationEstimator(new Map(), new Map());
	}

	/** The kind of each place whose kind is known. */
	private readonly kindByPlace = new Map<string, Kind>();
	/** The mean logarithm of the ratio of actual to ordinary time of each kind by its key, and of all kinds of each pool, in order of last use. */
	private readonly kinds = new Map<string, Mean>();
	private readonly pools = new Map<string, Mean>();
	/** The distribution of the ratio of actual to declared time on an ordinary place of each route, in order of last use. */
	private readonly ratios = new Map<string, RatioQuantiles>();

	private constructor(
		private readonly routes: Map<string, RouteTimes>,
		private readonly places: Map<string, Pace>,
	) {}

	/** Returns the expected run time of a task on an ordinary place, in milliseconds, from its declared time. */
	expectedMs(route: string, declaredMs: number): number {
		const times = this.routes.get(route);
		return times ? declaredMs * shrinkToOne(times.mean, routePriorRuns) : declaredMs;
	}

	/** Returns the geometric mean of the same, which a place's pace is measured against. */
	geometricMeanMs(route: string, declaredMs: number): number {
		return declaredMs * Math.exp(this.routes.get(route)?.geometricMeanLog ?? 0);
	}

	/**
	 * Returns the time that a share of the runs of a route on an ordinary place does not exceed, in milliseconds, from
	 * the declared time; undefined after too few runs. No more than `maxRatio` times the declared time is returned.
	 */
	quantileMs(route: string, declaredMs: number, share: number): number | undefined {
		const ratio = this.ratios.get(route)?.quantile(share);
		return ratio === undefined ? undefined : ratio * declaredMs;
	}

	/** Returns the slowness of a place: as learned here or, where that comes from more runs, as reported by the place's sidecar. */
	slowness(place: string, reportedPace?: Pace): number {
		const own = this.places.get(place);
		const pace = reportedPace && reportedPace.count > (own?.count ?? 0) ? reportedPace : own;
		const priorLog = this.kindLog(this.kindByPlace.get(place));
		if (!pace) {
			return Math.exp(priorLog);
		}

		const {slow, fast, count} = pace;
		const hasChanged = count > minRunsForChange && Math.abs(fast - slow) > changeThreshold;
		return Math.exp((((hasChanged ? fast : slow) * count) + (priorLog * placePriorRuns)) / (count + placePriorRuns));
	}

	/**
	 * Sets the kind of a place; undefined where it is unknown. A place that changes its kind is another machine, so what
	 * was learned of it is dropped.
	 */
	assignKind(place: string, kind: Kind | undefined): void {
		const known = this.kindByPlace.get(place);
		if (known?.pool === kind?.pool && known?.name === kind?.name) {
			return;
		}

		if (known) {
			this.places.delete(place);
		}

		if (kind) {
			this.kindByPlace.set(place, kind);
		} else {
			this.kindByPlace.delete(place);
		}
	}

	/** Learns from one run. Returns itself. */
	observe({
		route, place, ranMs, declaredMs, reportedPace: told,
	}: Observation): this {
		const times = this.routes.get(route);
		const ratio = Math.max(ranMs, 1) / declaredMs;
		const log = Math.log(ratio);
		const slowness = this.slowness(place, told);
		const usualLog = times?.geometricMeanLog ?? log - Math.log(slowness);
		const ordinaryRatio = ratio / slowness;
		this.routes.set(route, {
			mean: updateMean(times?.mean, ordinaryRatio, minRouteWeight),
			geometricMeanLog: usualLog + ((Math.log(ordinaryRatio) + this.driftLog(place) - usualLog) * weightOfNextRun(times?.mean.count ?? 0, minRouteWeight)),
		});
		this.places.set(place, updatePace(this.places.get(place), log - usualLog));
		this.observeKind(this.kindByPlace.get(place), log - usualLog);
		this.observeRatio(route, ordinaryRatio);
		return this;
	}

	/**
	 * Learns that a run took at least so long when it was stopped. Only the quantiles use it: without such runs they
	 * would never show tasks that are longer than the limit at which runs are stopped.
	 */
	observeStopped({route, place, ranMs, declaredMs}: Observation): this {
		this.observeRatio(route, Math.max(ranMs, 1) / declaredMs / this.slowness(place));
		return this;
	}

	/** Removes the places for which `keep` returns false. */
	prune(keep: (place: string) => boolean): void {
		for (const place of this.places.keys()) {
			if (!keep(place)) {
				this.places.delete(place);
			}
		}

		for (const place of this.kindByPlace.keys()) {
			if (!keep(place)) {
				this.kindByPlace.delete(place);
			}
		}
	}

	/** Returns the logarithm of the slowness of a kind, 0 where nothing is known of it. */
	private kindLog(kind: Kind | undefined): number {
		const mean = kind && this.kinds.get(keyOf(kind));
		return mean ? mean.value * mean.count / (mean.count + kindPriorRuns) : 0;
	}

	/**
	 * Returns the mean logarithm of the slowness of the runs in the pool of a place, 0 where it is unknown. It should be 0:
	 * with a prior other than 1 nothing else keeps all places from drifting off, and the times of the routes the other way.
	 */
	private driftLog(place: string): number {
		const kind = this.kindByPlace.get(place);
		return (kind && this.pools.get(kind.pool)?.value) ?? 0;
	}

	private observeRatio(route: string, ratio: number): void {
		const ratios = this.ratios.get(route) ?? RatioQuantiles.create();
		this.ratios.delete(route);
		this.ratios.set(route, ratios.observe(ratio));
		if (this.ratios.size > maxRoutes) {
			this.ratios.delete(this.ratios.keys().next().value!);
		}
	}

	private observeKind(kind: Kind | undefined, log: number): void {
		if (kind) {
			observeLog(this.kinds, keyOf(kind), log);
			observeLog(this.pools, kind.pool, log);
		}
	}
}

/** Observation is one run of a task: its actual and its declared time in milliseconds, and the pace that the place's sidecar reported. */
export type Observation = {route: string; place: string; ranMs: number; declaredMs: number; reportedPace?: Pace};

/** Pace is the mean logarithm of a place's ratio of actual to ordinary time, as a slow and a fast moving average over `count` runs. */
export type Pace = {slow: number; fast: number; count: number};

/** Kind is the kind of a place, as its machine is labelled; kinds of the same name in different pools are different. */
export type Kind = {pool: string; name: string};

type Mean = {value: number; count: number};
type RouteTimes = {mean: Mean; geometricMeanLog: number};

/** The weights of the priors, as numbers of runs: that a route takes the declared time, that a place is as slow as its kind, and that a kind is of ordinary slowness. */
const routePriorRuns = 3;
const placePriorRuns = 2;
const kindPriorRuns = 3;
/** The minimum weights of a new run, which make the averages exponential, so that old runs lose influence. */
const minRouteWeight = 0.01;
const minSlowWeight = 0.03;
const minFastWeight = 0.25;
/** A kind has the runs of many places, so its average may be long; then a single ill place changes it little. */
const minKindWeight = 0.01;
/** The number of kinds, and of pools, remembered: the names come from peers, so without a limit they could pile up. */
const maxKinds = 256;
/** The number of routes whose distribution is remembered, at some 300 bytes each. */
const maxRoutes = 2048;
/** When the fast average is this far from the slow one, in natural logarithms, the place's speed has changed and the fast one is used. */
const changeThreshold = 1.2;
const minRunsForChange = 8;

/** Returns a pace after one more run, given the logarithm of its ratio of actual to ordinary time. */
export function updatePace(pace: Pace | undefined, log: number): Pace {
	const {slow, fast, count} = pace ?? {slow: log, fast: log, count: 0};
	return {slow: slow + ((log - slow) * weightOfNextRun(count, minSlowWeight)), fast: fast + ((log - fast) * weightOfNextRun(count, minFastWeight)), count: count + 1};
}

/** Learns a value into the mean of this key, and forgets the one least recently used beyond `maxKinds`. */
function observeLog(means: Map<string, Mean>, key: string, log: number): void {
	const mean = updateMean(means.get(key), log, minKindWeight);
	means.delete(key);
	means.set(key, mean);
	if (means.size > maxKinds) {
		means.delete(means.keys().next().value!);
	}
}

function keyOf({pool, name}: Kind): string {
	return JSON.stringify([pool, name]);
}

function updateMean(mean: Mean | undefined, value: number, minWeight: number): Mean {
	const {value: old, count} = mean ?? {value, count: 0};
	return {value: old + ((value - old) * weightOfNextRun(count, minWeight)), count: count + 1};
}

/** The weight of a new run in a running mean of `count` earlier ones. */
function weightOfNextRun(count: number, minWeight: number): number {
	return Math.max(minWeight, 1 / (count + 1));
}

/** Returns a mean drawn towards a prior of 1 that weighs as much as `priorRuns` runs. */
function shrinkToOne(mean: Mean, priorRuns: number): number {
	return ((mean.value * mean.count) + priorRuns) / (mean.count + priorRuns);
}
