/**
 * Admission to a pool that is short: which jobs to refuse so that the others are served in time.
 *
 * It answers the load of docs/design/hard-load.md in which a burst of one kind of job meets the loss of a seventh of the
 * workers: demand exceeds capacity for seconds, and without it each kind is refused by its own patience alone, so that
 * the small urgent jobs, which can wait least, are refused most, and 9 of them for the work of one large job.
 *
 * A level rises while the queue is long, and falls more slowly once it is short, so that a burst of seconds makes
 * admission change once instead of with every job. It says how many classes of jobs are held back, the least urgent and
 * in each priority the largest first. A class is a route and a part of its jobs by work: the largest tenth, the fifth
 * below it, or the rest. Half of a class that is held back is admitted.
 *
 * Floors: a route whose admitted share is less than half of that of all jobs, or a class with less than half of its
 * route's, is not refused for its patience as long as it can be in time. Pure: state, job and time in, decision out.
 */
export type ShortageSettings = {
	/** Whether it acts also where all jobs of the pool have the same priority. */
	always: boolean;
	/** The level rises while the queueing time is above this, in milliseconds. */
	raiseAboveMs: number;
	/** The level falls while the queueing time is below this, in milliseconds. */
	lowerBelowMs: number;
	/** How long the level takes to rise by one class, in milliseconds. */
	raiseMs: number;
	/** The same to fall. */
	lowerMs: number;
};

/** Applicant is a job that asks to be admitted: its work is the declared cpu times time, summed over its tasks. */
export type Applicant = {route: string; priority: number; work: number};

/** The parts of a route's jobs by work, the largest first, and the quantile of work above which each lies. */
const sizeClasses = ['largest', 'large', 'usual'] as const;
type SizeClass = typeof sizeClasses[number];
const largestQuantile = 0.9;
const largeQuantile = 0.7;
/** By how much a quantile, in natural logarithms of work, moves with each job. */
const quantileStep = 0.05;
/** Counts of jobs lose half of their weight in this time, in milliseconds. */
const countHalfLifeMs = 20_000;
/** The share of a class that is admitted while it is held back. */
const heldBackShare = 0.5;
/** The floor of a route relative to all jobs, and of a class relative to its route. */
const floorShare = 0.5;
/** The longest time between two jobs by which the level changes, in milliseconds. */
const maxLevelStepMs = 100;

/** Counts of jobs; `credit` is the part of a job that a class held back has been left since one was admitted. */
type Counts = {asked: number; admitted: number; credit: number};
type RouteState = {priority: number; quantiles: {largest: number; large: number}; jobs: number; whole: Counts; classes: Record<SizeClass, Counts>};

const noCounts = (): Counts => ({asked: 0, admitted: 0, credit: 0});

/** Shortage is the state of admission to one pool. */
export class Shortage {
	static create(settings: ShortageSettings): Shortage {
		return new Shortage(settings);
	}

	/** How many classes of jobs are held back, in their order; a fraction counts as one more. */
	level = 0;

	private readonly routes = new Map<string, RouteState>();
	private readonly whole = noCounts();
	private levelAt = Number.NEGATIVE_INFINITY;
	private countsAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly settings: ShortageSettings) {}

	/** Decides whether a job is held back by the level. `queueMs` is the time in which all that waits in the pool can start. The caller reports the decision by `record`. */
	holdsBack(applicant: Applicant, queueMs: number, now: number): boolean {
		this.moveLevel(queueMs, now);
		const route = this.routes.get(applicant.route);
		if (!this.acts || !route || this.rankOf(applicant) >= this.level) {
			return false;
		}

		const counts = route.classes[sizeClassOf(route, applicant.work)];
		counts.credit += heldBackShare;
		if (counts.credit < 1) {
			return true;
		}

		counts.credit -= 1;
		return false;
	}

	/** How long the level takes to fall so far that jobs of this class are no longer held back, in milliseconds. */
	recoveryMs(applicant: Applicant): number {
		return Math.max(0, this.level - this.rankOf(applicant)) * this.settings.lowerMs;
	}

	/** Whether the pool's jobs differ in priority, or it always acts. */
	get acts(): boolean {
		const [first, ...others] = this.routes.values();
		return this.settings.always || others.some(({priority}) => priority !== first!.priority);
	}

	/** Whether the admitted jobs of the job's route or class are below its floor by at least one. */
	isBelowFloor(applicant: Applicant): boolean {
		const route = this.routes.get(applicant.route);
		if (!route || !this.acts) {
			return false;
		}

		const ofClass = route.classes[sizeClassOf(route, applicant.work)];
		return isOwed(route.whole, this.whole) || isOwed(ofClass, route.whole);
	}

	/** Records a new job and whether it was admitted. */
	record(applicant: Applicant, admitted: boolean, now: number): void {
		this.age(now);
		const route = this.routeOf(applicant);
		for (const counts of [this.whole, route.whole, route.classes[sizeClassOf(route, applicant.work)]]) {
			counts.asked++;
			counts.admitted += Number(admitted);
		}

		learnSize(route, applicant.work);
	}

	/** Records that an admitted job was refused after all. */
	withdraw(applicant: Applicant): void {
		const route = this.routeOf(applicant);
		for (const counts of [this.whole, route.whole, route.classes[sizeClassOf(route, applicant.work)]]) {
			counts.admitted = Math.max(0, counts.admitted - 1);
		}
	}

	private moveLevel(queueMs: number, now: number): void {
		const passedMs = Math.min(maxLevelStepMs, now - this.levelAt);
		this.levelAt = now;
		const {raiseAboveMs, lowerBelowMs, raiseMs, lowerMs} = this.settings;
		if (queueMs > raiseAboveMs) {
			this.level = Math.min(this.routes.size * sizeClasses.length, this.level + (passedMs / raiseMs));
		} else if (queueMs < lowerBelowMs) {
			this.level = Math.max(0, this.level - (passedMs / lowerMs));
		}
	}

	/** The number of classes held back before that of the job. */
	private rankOf({route, priority, work}: Applicant): number {
		let lessUrgent = 0;
		for (const [name, state] of this.routes) {
			lessUrgent += Number(state.priority > priority || (state.priority === priority && name > route));
		}

		const known = this.routes.get(route);
		return (lessUrgent * sizeClasses.length) + (known ? sizeClasses.indexOf(sizeClassOf(known, work)) : 0);
	}

	private routeOf({route, priority, work}: Applicant): RouteState {
		let state = this.routes.get(route);
		if (!state) {
			const log = Math.log(Math.max(1, work));
			state = {
				priority, quantiles: {largest: log, large: log}, jobs: 0, whole: noCounts(), classes: {largest: noCounts(), large: noCounts(), usual: noCounts()},
			};
			this.routes.set(route, state);
		}

		state.priority = priority;
		return state;
	}

	private age(now: number): void {
		const factor = this.countsAt === Number.NEGATIVE_INFINITY ? 1 : 0.5 ** ((now - this.countsAt) / countHalfLifeMs);
		this.countsAt = now;
		scale(this.whole, factor);
		for (const {whole, classes} of this.routes.values()) {
			scale(whole, factor);
			for (const name of sizeClasses) {
				scale(classes[name], factor);
			}
		}
	}
}

function sizeClassOf({quantiles}: RouteState, work: number): SizeClass {
	const log = Math.log(Math.max(1, work));
	if (log > quantiles.largest) {
		return 'largest';
	}

	return log > quantiles.large ? 'large' : 'usual';
}

/** Moves the quantiles towards the work of one more job, faster at first. */
function learnSize(route: RouteState, work: number): void {
	const log = Math.log(Math.max(1, work));
	const step = Math.max(quantileStep, 1 / ++route.jobs);
	const {quantiles} = route;
	quantiles.largest += step * (log > quantiles.largest ? largestQuantile : largestQuantile - 1);
	quantiles.large += step * (log > quantiles.large ? largeQuantile : largeQuantile - 1);
}

/** Whether a part lacks at least one admitted job to its floor relative to the whole. */
function isOwed(part: Counts, whole: Counts): boolean {
	return whole.asked > 0 && (floorShare * part.asked * whole.admitted / whole.asked) - part.admitted >= 1;
}

function scale(counts: Counts, factor: number): void {
	counts.asked *= factor;
	counts.admitted *= factor;
}
