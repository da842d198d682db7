/**
 * Estimate is what has been learned of times: each route's, as a ratio to what is declared, and each
 * place's slowness.
 *
 * Ratios are averaged as logarithms, since single times differ by more than ten to one: a few long
 * tasks must not make a place look slow.
 */
export class DurationEstimator {
	static create(): DurationEstimator {
		return new DurationEstimator(new Map(), new Map());
	}

	private constructor(
		private readonly routes: Map<string, RouteTimes>,
		private readonly places: Map<string, Pace>,
	) {}

	/** The milliseconds that a task of the route takes on an ordinary place, when this much is declared. */
	expectedMs(route: string, declaredMs: number): number {
		const times = this.routes.get(route);
		return times ? declaredMs * blend(times.mean, routePrior) : declaredMs;
	}

	/** The same by the mean of logarithms, which is what a place's pace is measured against. */
	geometricMeanMs(route: string, declaredMs: number): number {
		return declaredMs * Math.exp(this.routes.get(route)?.log ?? 0);
	}

	/** How many times longer than ordinary the place takes, by what was learned here or, where that comes from more runs, by what the place's sidecar told. */
	slowness(place: string, told?: Pace): number {
		const own = this.places.get(place);
		const pace = told && told.count > (own?.count ?? 0) ? told : own;
		if (!pace) {
			return 1;
		}

		const {slow, fast, count} = pace;
		const shifted = count > shiftAfter && Math.abs(fast - slow) > shift;
		return Math.exp((shifted ? fast : slow) * count / (count + placePrior));
	}

	/** Takes in one run of a task that was declared to take so long. Returns itself. */
	observe({
		route, place, ranMs, declaredMs, reportedPace: told,
	}: Observation): this {
		const times = this.routes.get(route);
		const ratio = Math.max(ranMs, 1) / declaredMs;
		const log = Math.log(ratio);
		const slowness = this.slowness(place, told);
		const usual = times?.log ?? log - Math.log(slowness);
		const ordinary = ratio / slowness;
		this.routes.set(route, {mean: follow(times?.mean, ordinary, routeRate), log: usual + ((Math.log(ordinary) - usual) * weight(times?.mean.count ?? 0, routeRate))});
		this.places.set(place, updatePace(this.places.get(place), log - usual));
		return this;
	}

	/** Forgets the places that `keep` does not hold. */
	prune(keep: (place: string) => boolean): void {
		for (const place of this.places.keys()) {
			if (!keep(place)) {
				this.places.delete(place);
			}
		}
	}
}

/** Observation is one run of a task: how long it took and was declared to take, in milliseconds, and the place's pace as told. */
export type Observation = {route: string; place: string; ranMs: number; declaredMs: number; reportedPace?: Pace};

/** Pace is a place's mean logarithm of actual over ordinary time, followed slowly and fast, from so many runs. */
export type Pace = {slow: number; fast: number; count: number};

type Mean = {value: number; count: number};
type RouteTimes = {mean: Mean; log: number};

/** How strongly the declared time and ordinary slowness hold, counted in runs. */
const routePrior = 3;
const placePrior = 2;
/** The least weights of one more run, which make old runs fade. */
const routeRate = 0.01;
const slowRate = 0.03;
const fastRate = 0.25;
/** A fast average this far from the slow one, in logarithms, means that the place has changed. */
const shift = 1.2;
const shiftAfter = 8;

/** Returns a pace after one more run, by the logarithm of its actual over its ordinary time. */
export function updatePace(pace: Pace | undefined, log: number): Pace {
	const {slow, fast, count} = pace ?? {slow: log, fast: log, count: 0};
	return {slow: slow + ((log - slow) * weight(count, slowRate)), fast: fast + ((log - fast) * weight(count, fastRate)), count: count + 1};
}

function follow(mean: Mean | undefined, value: number, rate: number): Mean {
	const {value: old, count} = mean ?? {value, count: 0};
	return {value: old + ((value - old) * weight(count, rate)), count: count + 1};
}

function weight(count: number, least: number): number {
	return Math.max(least, 1 / (count + 1));
}

function blend(mean: Mean, strength: number): number {
	return ((mean.value * mean.count) + strength) / (mean.count + strength);
}
