import {
	CrashHistory, commonCauseMs, jobOf, type Crash,
} from '../crash-history.js';
import type {StartRefusal} from '../guard.js';
import {Quarantines} from '../quarantine.js';
import {rankByRendezvous} from '../rendezvous.js';
import type {Resources} from '../resources.js';
import type {ActiveJob, Task} from './active-job.js';
import type {Places, PlaceState} from './places.js';
import type {
	CrashNotice, Event, Job, Policy, TaskSpec,
} from './types.js';

/** A quarantine leaves a route this share of its pool's places. */
const quarantineShare = 1 / 5;
/** Pools of fewer places have no quarantine, which would take half of the places from the other routes. */
const minPlaces = 3;
/** What a place reports that no quarantine can use. */
const unusable: ReadonlySet<string> = new Set<StartRefusal>(['draining', 'stopping', 'zone-out']);
/** How long two suspects of one crash are not started at the same place one after the other, in milliseconds: tasks that crash their workers mostly do so soon after their start. */
const separationMs = 300;
/** For so many rounds, of so many milliseconds each, a suspect waits for a place that is kept for it in that round. */
const rounds = 3;
const roundMs = 100;
/** For how long after its last crash a task that should run alone waits for an empty place, in milliseconds. */
const aloneMs = 1000;

export type IsolationDependencies = {policy: Policy; places: Places};

/**
 * Isolation keeps tasks that may crash their workers apart from others: it gives up those that were found to, spreads the
 * suspects of a crash over places, starts a task with two unexplained crashes alone, and confines a quarantined route to a few
 * places of its pool, which take no other route meanwhile. Without a crash it costs a look at whether there was one.
 */
export class Isolation {
	static create(dependencies: IsolationDependencies): Isolation {
		return new Isolation(dependencies);
	}

	private readonly history = CrashHistory.create();
	private readonly quarantines = Quarantines.create();
	/** The places for the quarantined routes, by pool. */
	private readonly placesByPool = new Map<string, {key: string; ids: ReadonlySet<string>}>();
	/** Where and when the tasks of known crashes got orders of this entry, by task. */
	private readonly orderByTask = new Map<string, {place: string; at: number}>();
	/** The open places after each crash, in an order that is the same at all entries. */
	private readonly placesByCrash = new Map<Crash, readonly string[]>();
	private knownCauses: ReadonlySet<string> = new Set();

	private constructor(private readonly dependencies: IsolationDependencies) {}

	/** Whether no crash is known, so that nothing is isolated. */
	get isIdle(): boolean {
		return this.history.size === 0 && this.quarantines.isEmpty;
	}

	/** Records a crash. Returns what was found by it, or undefined if it was known. */
	crashed({place, life, ageMs, tasks}: Event & {kind: 'crashed'}, now: number): CrashNotice[] | undefined {
		const {policy, places} = this.dependencies;
		const crash: Crash = {
			place, life, at: now - ageMs, tasks: new Map(tasks),
		};
		this.history.expire(now);
		if (!policy.isolation || !this.history.record(crash)) {
			return undefined;
		}

		const pool = places.get(place)?.pool;
		if (pool !== undefined) {
			const others = places.openIn(pool).map(({id}) => id).filter(id => id !== place);
			this.placesByCrash.set(crash, rankByRendezvous(`${place} ${life}`, others));
		}

		return this.review(now);
	}

	/** Begins and ends quarantines. */
	review(now: number): CrashNotice[] {
		if (this.isIdle) {
			return [];
		}

		this.history.expire(now);
		this.forgetExpired();
		const causes = this.history.causes(now);
		const notices: CrashNotice[] = causes.filter(({task}) => !this.knownCauses.has(task)).map(({task, route, first, second}) => ({
			kind: 'cause', task, route, crashes: this.history.crashesOf(task).length, tasks: [first.tasks.size, second.tasks.size], places: [first.place, second.place],
		}));
		this.knownCauses = new Set(causes.map(({task}) => task));

		const {places} = this.dependencies;
		for (const {quarantine, end} of this.quarantines.update(this.history.suspectedRoutes(now), place => places.get(place)?.pool, now)) {
			const {route, pool, beganAt, lastCrashAt, successes, repeats} = quarantine;
			this.choosePlaces();
			notices.push({
				kind: 'quarantine', route, pool, end, places: [...this.placesIn(pool) ?? []], repeats, successes, sinceCrashMs: now - lastCrashAt, lastedMs: now - beganAt,
			});
		}

		this.choosePlaces();
		return notices;
	}

	/** Whether a job has a task that is given up. */
	isGivenUp({tasks}: ActiveJob, now: number): boolean {
		return !this.isIdle && tasks.some(({spec, state}) => state !== 'done' && this.history.suspicionOf(spec.name, now) === 'condemned');
	}

	/** Whether a worker has crashed under a task of the job, so that it has run, also under an earlier submission. */
	hasRun(job: Job): boolean {
		return !this.isIdle && job.tasks.some(({name}) => this.history.has(name));
	}

	/** Whether crashes speak against a task, so that the place for it is restricted. */
	isRestricted({spec: {name}}: Task): boolean {
		return !this.isIdle && this.history.has(name) && this.history.suspicionOf(name, Number.NEGATIVE_INFINITY) !== 'clear';
	}

	/** Whether a task waits until it is known whether the crashes under it have a common outside cause. */
	isHeld({spec: {name}}: Task, now: number): boolean {
		if (this.isIdle || !this.history.has(name)) {
			return false;
		}

		switch (this.history.suspicionOf(name, now)) {
			case 'clear':
			case 'suspect': {
				return false;
			}

			case 'alone': {
				return now - this.history.crashesOf(name).at(-1)!.at < commonCauseMs;
			}

			case 'open':
			case 'condemned': {
				return true;
			}
		}
	}

	/** Whether a task of a route may start at a place of its pool. */
	allows({job}: ActiveJob, {spec: {name}}: Task, place: PlaceState, now: number): boolean {
		return this.isIdle || (this.groupOf(job.pool, job.route) === this.groupOfPlace(place) && (!this.history.has(name) || this.allowsSuspect(job, name, place.id, now)));
	}

	/** Returns the capacity that a task takes at a place: all of it where it should run alone. */
	sizeAt({name, resources}: TaskSpec, {room}: PlaceState, now: number): Resources {
		const isAlone = !this.isIdle && this.history.suspicionOf(name, now) === 'alone' && now - this.history.crashesOf(name).at(-1)!.at < aloneMs;
		return isAlone ? room : resources;
	}

	/** Returns the name of the group of places at which a route of a pool starts: that of the pool, or of its quarantine. */
	groupOf(pool: string, route: string): string {
		return this.quarantines.get(route)?.pool === pool && this.placesIn(pool) ? quarantineOf(pool) : pool;
	}

	groupOfPlace({pool, id}: PlaceState): string {
		return this.placesIn(pool)?.has(id) ? quarantineOf(pool) : pool;
	}

	/** Records that an order for a task was sent. */
	sent({spec: {name}}: Task, place: string, now: number): void {
		if (!this.isIdle && this.history.has(name)) {
			this.orderByTask.set(name, {place, at: now});
		}
	}

	/** Records that the order for a task has ended. */
	ended(task: string): void {
		if (this.orderByTask.size > 0) {
			this.orderByTask.delete(task);
		}
	}

	/** Counts a run that has succeeded. */
	succeeded(route: string): void {
		this.quarantines.succeeded(route);
	}

	/** Forgets the orders and places of crashes that are no longer kept. */
	private forgetExpired(): void {
		for (const task of this.orderByTask.keys()) {
			if (!this.history.has(task)) {
				this.orderByTask.delete(task);
			}
		}

		for (const crash of this.placesByCrash.keys()) {
			if (!this.history.holds(crash)) {
				this.placesByCrash.delete(crash);
			}
		}
	}

	private placesIn(pool: string): ReadonlySet<string> | undefined {
		return this.placesByPool.size === 0 ? undefined : this.placesByPool.get(pool)?.ids;
	}

	/** Whether a suspect of another job in an unexplained crash under the task has got an order at the place within `separationMs`. */
	private hasOtherSuspect(name: string, place: string, now: number): boolean {
		return this.history.unexplainedOf(name).some(({tasks}) => [...tasks.keys()].some(other => {
			const order = this.orderByTask.get(other);
			return order?.place === place && now - order.at < separationMs && jobOf(name) !== jobOf(other);
		}));
	}

	/**
	 * Whether a task of crashes without a known cause may start at a place. In each of the first rounds each suspect of a crash has one
	 * place, so that the next crash tells which of them is the cause. All entries use the same list of places, so that their suspects
	 * do not meet. Those started last have their turn first, as tasks that crash their workers mostly do so soon after their start.
	 * After these rounds a suspect goes wherever this entry has started no other of that crash just now.
	 */
	private allowsSuspect({route, pool}: Job, name: string, id: string, now: number): boolean {
		const crash = this.history.unexplainedOf(name).at(-1);
		const round = crash && Math.floor((now - crash.at) / roundMs);
		if (round === undefined || round >= rounds) {
			return !this.hasOtherSuspect(name, id, now);
		}

		const group = this.groupOf(pool, route);
		const places = (this.placesByCrash.get(crash!) ?? []).filter(other => {
			const place = this.dependencies.places.get(other);
			return place && this.groupOfPlace(place) === group;
		});
		const position = [...crash!.tasks.keys()].toReversed().indexOf(name);
		return position < places.length * (round + 1) && places[(position + round) % places.length] === id;
	}

	/** Returns the places that a quarantine in a pool may use. A crashed worker's place keeps its part, or the quarantine would move on to the next place with each crash. */
	private usablePlaces(pool: string): string[] {
		const {places} = this.dependencies;
		return [...places.all()]
			.filter(place => place.pool === pool && place.linked && !places.unavailableZones.has(place.zone) && !unusable.has(place.hindrance ?? ''))
			.map(({id}) => id);
	}

	/** Chooses the places for quarantined routes among those linked. All entries that see the same places choose the same. */
	private choosePlaces(): void {
		const pools = new Set([...this.quarantines.all()].map(({pool}) => pool));
		for (const pool of this.placesByPool.keys()) {
			if (!pools.has(pool)) {
				this.placesByPool.delete(pool);
			}
		}

		for (const pool of pools) {
			const ids = this.usablePlaces(pool);
			const key = ids.toSorted().join(' ');
			if (ids.length < minPlaces) {
				this.placesByPool.delete(pool);
			} else if (this.placesByPool.get(pool)?.key !== key) {
				this.placesByPool.set(pool, {key, ids: new Set(rankByRendezvous(pool, ids).slice(0, Math.max(1, Math.floor(ids.length * quarantineShare))))});
			}
		}
	}
}

function quarantineOf(pool: string): string {
	return `${pool}\nquarantine`;
}
