/**
 * DurationEstimator learns run times: of each route the ratio of actual to declared time, and of each place its
 * slowness, the factor by which tasks take longer there than on an ordinary place.
 *
 * A place's slowness is averaged over logarithms of ratios, since single run times differ by more than ten to one: a
 * few long tasks must not make a place look slow.
 */
export class DurationEstimator {
	static create(): DurationEstimator {
		return new DurationEstimator(new Map(), new Map());
	}

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

	/** Returns the slowness of a place: as learned here or, where that comes from more runs, as reported by the place's sidecar. */
	slowness(place: string, reportedPace?: Pace): number {
		const own = this.places.get(place);
		const pace = reportedPace && reportedPace.count > (own?.count ?? 0) ? reportedPace : own;
		if (!pace) {
			return 1;
		}

		const {slow, fast, count} = pace;
		const hasChanged = count > minRunsForChange && Math.abs(fast - slow) > changeThreshold;
		return Math.exp((hasChanged ? fast : slow) * count / (count + placePriorRuns));
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
			geometricMeanLog: usualLog + ((Math.log(ordinaryRatio) - usualLog) * weightOfNextRun(times?.mean.count ?? 0, minRouteWeight)),
		});
		this.places.set(place, updatePace(this.places.get(place), log - usualLog));
		return this;
	}

	/** Removes the places for which `keep` returns false. */
	prune(keep: (place: string) => boolean): void {
		for (const place of this.places.keys()) {
			if (!keep(place)) {
				this.places.delete(place);
			}
		}
	}
}

/** Observation is one run of a task: its actual and its declared time in milliseconds, and the pace that the place's sidecar reported. */
export type Observation = {route: string; place: string; ranMs: number; declaredMs: number; reportedPace?: Pace};

/** Pace is the mean logarithm of a place's ratio of actual to ordinary time, as a slow and a fast moving average over `count` runs. */
export type Pace = {slow: number; fast: number; count: number};

type Mean = {value: number; count: number};
type RouteTimes = {mean: Mean; geometricMeanLog: number};

/** The weights of the priors, as numbers of runs: that a route takes the declared time, and that a place is of ordinary slowness. */
const routePriorRuns = 3;
const placePriorRuns = 2;
/** The minimum weights of a new run, which make the averages exponential, so that old runs lose influence. */
const minRouteWeight = 0.01;
const minSlowWeight = 0.03;
const minFastWeight = 0.25;
/** When the fast average is this far from the slow one, in natural logarithms, the place's speed has changed and the fast one is used. */
const changeThreshold = 1.2;
const minRunsForChange = 8;

/** Returns a pace after one more run, given the logarithm of its ratio of actual to ordinary time. */
export function updatePace(pace: Pace | undefined, log: number): Pace {
	const {slow, fast, count} = pace ?? {slow: log, fast: log, count: 0};
	return {slow: slow + ((log - slow) * weightOfNextRun(count, minSlowWeight)), fast: fast + ((log - fast) * weightOfNextRun(count, minFastWeight)), count: count + 1};
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
