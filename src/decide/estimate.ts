/** Estimate is what has been learned of times: each route's on an ordinary place, and each place's slowness. Immutable. */
export class Estimate {
	static create(): Estimate {
		return new Estimate(new Map(), new Map());
	}

	private constructor(
		private readonly routes: ReadonlyMap<string, Mean>,
		private readonly places: ReadonlyMap<string, Mean>,
	) {}

	/** The milliseconds that a task of the route takes on an ordinary place; the declared time until some have run. */
	taskMs(route: string, declaredMs: number): number {
		const mean = this.routes.get(route);
		return mean ? blend(mean, declaredMs, routePrior) : declaredMs;
	}

	/** How many times longer than ordinary the place takes. */
	slowness(place: string): number {
		const mean = this.places.get(place);
		return mean ? blend(mean, 1, placePrior) : 1;
	}

	/** Returns the estimate after one run of a task. */
	observe(route: string, place: string, ranMs: number, declaredMs: number): Estimate {
		const slowness = this.slowness(place);
		const usual = this.taskMs(route, declaredMs);
		const ratio = Math.min(longest, Math.max(1 / longest, ranMs / usual));
		return new Estimate(
			new Map(this.routes).set(route, follow(this.routes.get(route), ranMs / slowness, routeRate)),
			new Map(this.places).set(place, follow(this.places.get(place), ratio, placeRate)),
		);
	}

	/** Returns the estimate without the places that `keep` does not hold. */
	prune(keep: (place: string) => boolean): Estimate {
		return new Estimate(this.routes, new Map([...this.places].filter(([place]) => keep(place))));
	}
}

type Mean = {value: number; count: number};

/** How strongly the declared value holds, counted in runs. */
const routePrior = 3;
const placePrior = 1;
/** The least weight of one more run, which makes old runs fade. */
const routeRate = 0.02;
const placeRate = 0.1;
/** One run counts as at most this many times longer or shorter than usual. */
const longest = 10;

function follow(mean: Mean | undefined, value: number, rate: number): Mean {
	if (!mean) {
		return {value, count: 1};
	}

	const weight = Math.max(rate, 1 / (mean.count + 1));
	return {value: mean.value + ((value - mean.value) * weight), count: mean.count + 1};
}

function blend(mean: Mean, prior: number, strength: number): number {
	return ((mean.value * mean.count) + (prior * strength)) / (mean.count + strength);
}
