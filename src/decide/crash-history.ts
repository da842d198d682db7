/** Crash is the end of a worker's incarnation `life` at the time `at`, in monotonic milliseconds, with the tasks that ran there or may have, by name with their routes. */
export type Crash = {place: string; life: string; at: number; tasks: ReadonlyMap<string, string>};

/**
 * Suspicion is what the crashes say of a task: `clear`; `suspect` after one crash that no known cause explains; `alone` after two,
 * so that its next run should have a worker of its own; `open` if it is the likely cause but more crashes may yet show a common one;
 * `condemned` if it was found the cause or three workers have crashed under it.
 */
export type Suspicion = 'clear' | 'suspect' | 'alone' | 'open' | 'condemned';

/**
 * Cause is a task that is likely to crash workers, with the crashes that show it. It is open until `settlesAt`: more crashes may show
 * by then that there is another reason. `isDoubtful`: they have.
 */
export type Cause = {task: string; route: string; first: Crash; second: Crash; settlesAt: number; isDoubtful: boolean};

/** RouteEvidence is why a route is suspected: when the latest evidence came, the last crash that involves the route, and the place of that crash. */
export type RouteEvidence = {evidenceAt: number; lastCrashAt: number; place: string};

/** RoutePair is two crashes that speak against a route. */
type RoutePair = Pick<Cause, 'route' | 'first' | 'second' | 'settlesAt' | 'isDoubtful'>;
type Assessment = {causes: Map<string, Cause>; routePairs: RoutePair[]};

/** How long a crash is kept, in milliseconds: as long as sidecars report it to entries. */
const retentionMs = 60_000;
/** How many crashes are kept. */
const maxCrashes = 128;
/**
 * Workers that crash within this time of two crashes, in milliseconds, and for no other known cause on the same route, point to a common
 * outside cause, such as a loss of power. The two crashes then prove nothing against the task that was in both.
 */
export const commonCauseMs = 300;
/**
 * A task that crashes its workers does so soon after its start, and it is started again soon after a crash. Two crashes that are
 * further apart, in milliseconds, show a cause only together with a third: tasks that run long meet crashes of others by chance.
 */
const promptMs = 300;
/** A task under which so many workers have crashed is given up whatever else is known. */
const crashLimit = 3;

/**
 * CrashHistory keeps the crashes of the last minute and tells which task or route caused them. It depends on nothing but the reported
 * crashes, so that entries that hear the same crashes reach the same result without agreement.
 *
 * A task is the cause of two crashes if no task of another job was in both. Where several tasks qualify by different pairs of
 * crashes, those whose crashes all have other causes are dropped, then those found later: a bad task crashes its second worker
 * soon after the first, while others meet a second crash by chance. Crashes that contain a cause are explained by it.
 */
export class CrashHistory {
	static create(): CrashHistory {
		return new CrashHistory();
	}

	/** In order of time. */
	private crashes: Crash[] = [];
	private readonly byTask = new Map<string, Crash[]>();
	private assessment: Assessment | undefined;

	private constructor() {
		// Created by `create`.
	}

	get size(): number {
		return this.crashes.length;
	}

	/** Records a crash. Returns whether it was new. */
	record(crash: Crash): boolean {
		if (this.crashes.some(({place, life}) => place === crash.place && life === crash.life)) {
			return false;
		}

		this.crashes = [...this.crashes, crash].toSorted((a, b) => a.at - b.at);
		for (const task of crash.tasks.keys()) {
			this.byTask.set(task, [...(this.byTask.get(task) ?? []), crash].toSorted((a, b) => a.at - b.at));
		}

		this.assessment = undefined;
		for (const old of this.crashes.slice(0, -maxCrashes)) {
			this.remove(old);
		}

		return true;
	}

	/** Forgets the crashes that are older than a minute. */
	expire(now: number): void {
		while (this.crashes.length > 0 && now - this.crashes[0]!.at > retentionMs) {
			this.remove(this.crashes[0]!);
		}
	}

	/** Whether a crash with this task is kept. */
	has(task: string): boolean {
		return this.byTask.has(task);
	}

	/** Whether a crash is kept. */
	holds(crash: Crash): boolean {
		return this.crashes.includes(crash);
	}

	/** Returns the crashes of workers under a task, in order of time. */
	crashesOf(task: string): readonly Crash[] {
		return this.byTask.get(task) ?? [];
	}

	/** Returns the crashes under a task that no cause explains. */
	unexplainedOf(task: string): Crash[] {
		return this.crashesOf(task).filter(crash => !this.isExplained(crash));
	}

	suspicionOf(task: string, now: number): Suspicion {
		const crashes = this.byTask.get(task);
		if (!crashes) {
			return 'clear';
		}

		const cause = this.assess().causes.get(task);
		if (crashes.length >= crashLimit) {
			return 'condemned';
		}

		if (cause && (!cause.isDoubtful || now < cause.settlesAt)) {
			return now < cause.settlesAt ? 'open' : 'condemned';
		}

		const unexplained = this.unexplainedOf(task).length;
		return unexplained === 0 ? 'clear' : (unexplained === 1 ? 'suspect' : 'alone');
	}

	/** Returns the tasks that were found to crash workers. */
	causes(now: number): Cause[] {
		return [...this.assess().causes.values()].filter(({isDoubtful, settlesAt}) => !isDoubtful && now >= settlesAt);
	}

	/** Returns the routes of tasks that are likely to crash workers, and those to which all tasks belong that were in two crashes without a known cause. */
	suspectedRoutes(now: number): Map<string, RouteEvidence> {
		const evidence = new Map<string, number>();
		for (const {route, second, settlesAt, isDoubtful} of this.assess().routePairs) {
			if (route !== '' && (!isDoubtful || now < settlesAt)) {
				evidence.set(route, Math.max(second.at, evidence.get(route) ?? Number.NEGATIVE_INFINITY));
			}
		}

		return new Map([...evidence].map(([route, evidenceAt]) => {
			const last = this.crashes.findLast(crash => this.involves(crash, route))!;
			return [route, {evidenceAt, lastCrashAt: last.at, place: last.place}];
		}));
	}

	private isExplained({tasks}: Crash): boolean {
		const {causes} = this.assess();
		return causes.size > 0 && [...tasks.keys()].some(task => causes.get(task)?.isDoubtful === false);
	}

	private remove(crash: Crash): void {
		this.assessment = undefined;
		this.crashes = this.crashes.filter(other => other !== crash);
		for (const task of crash.tasks.keys()) {
			const rest = this.byTask.get(task)?.filter(other => other !== crash) ?? [];
			if (rest.length > 0) {
				this.byTask.set(task, rest);
			} else {
				this.byTask.delete(task);
			}
		}
	}

	private assess(): Assessment {
		if (!this.assessment) {
			// The pairs are derived from the causes, which `isExplained` reads here.
			const causes = this.findCauses();
			this.assessment = {causes, routePairs: []};
			this.assessment.routePairs = [...causes.values(), ...this.findRoutePairs()];
		}

		return this.assessment;
	}

	private findCauses(): Map<string, Cause> {
		let candidates = [...this.byTask.keys()].flatMap(task => this.evidenceAgainst(task)).toSorted((a, b) => a.second.at - b.second.at);
		for (const candidate of candidates.toReversed()) {
			const others = new Set(candidates.filter(other => jobOf(other.task) !== jobOf(candidate.task)).map(({task}) => task));
			if (this.crashesOf(candidate.task).every(({tasks}) => [...tasks.keys()].some(task => others.has(task)))) {
				candidates = candidates.filter(({task}) => task !== candidate.task);
			}
		}

		const causes = new Map<string, Cause>();
		for (const candidate of candidates) {
			const isTaken = [candidate.first, candidate.second].some(({tasks}) => [...tasks.keys()].some(task => causes.has(task) && jobOf(task) !== jobOf(candidate.task)));
			if (!isTaken && !causes.has(candidate.task)) {
				causes.set(candidate.task, candidate);
			}
		}

		for (const cause of causes.values()) {
			// Causes that are found at about the same time don't confirm each other: a loss of power in two waves gives such pairs.
			const isKnown = (other: Cause) => jobOf(other.task) === jobOf(cause.task)
				|| (other.route === cause.route && (other.settlesAt <= cause.first.at || this.crashesOf(other.task).length >= crashLimit));
			const known = new Set([...causes.values()].filter(other => isKnown(other)).map(({task}) => task));
			cause.isDoubtful = this.hasOtherCrashAround(cause, known);
		}

		return causes;
	}

	/** Returns the pairs of crashes under a task in which no task of another job was too. */
	private evidenceAgainst(task: string): Cause[] {
		const crashes = this.crashesOf(task);
		const isThird = crashes.length >= crashLimit;
		return pairs(crashes)
			.filter(([first, second]) => (isThird || second.at - first.at <= promptMs) && commonTasks(first, second).every(other => jobOf(other) === jobOf(task)))
			.map(([first, second]) => ({
				task, route: first.tasks.get(task)! || second.tasks.get(task)!, first, second, settlesAt: isThird ? second.at : second.at + commonCauseMs, isDoubtful: false,
			}));
	}

	/** Returns the pairs of crashes without a known cause that have tasks of several jobs in common, all of one route. */
	private findRoutePairs(): RoutePair[] {
		const found: RoutePair[] = [];
		for (const task of this.byTask.keys()) {
			for (const [first, second] of pairs(this.unexplainedOf(task))) {
				const common = commonTasks(first, second);
				const [route, another] = new Set(common.map(other => first.tasks.get(other)!));
				if (route !== undefined && another === undefined && second.at - first.at <= promptMs && new Set(common.map(other => jobOf(other))).size > 1) {
					const known = new Set([...this.causes(Number.POSITIVE_INFINITY).filter(cause => cause.route === route).map(cause => cause.task), ...common]);
					found.push({
						route, first, second, settlesAt: second.at + commonCauseMs, isDoubtful: this.hasOtherCrashAround({first, second}, known),
					});
				}
			}
		}

		return found;
	}

	/** Whether a crash without one of these tasks came about the time of two crashes. */
	private hasOtherCrashAround({first, second}: Pick<Cause, 'first' | 'second'>, tasks: ReadonlySet<string>): boolean {
		return this.crashes.some(crash => [first, second].some(({at}) => Math.abs(crash.at - at) <= commonCauseMs) && ![...crash.tasks.keys()].some(task => tasks.has(task)));
	}

	/** Whether a crash may be the fault of a route: a task of it is the cause, or was there and no cause is known. */
	private involves(crash: Crash, route: string): boolean {
		const {causes} = this.assess();
		const isExplained = this.isExplained(crash);
		return [...crash.tasks].some(([task, other]) => (other === route || causes.get(task)?.route === route) && (!isExplained || causes.has(task)));
	}
}

/** Returns the job of a task, whose name is that of the job with a dot and more. A task of another entry's job is known by its name alone. */
export function jobOf(task: string): string {
	return task.split('.', 1)[0]!;
}

function pairs(crashes: readonly Crash[]): Array<[first: Crash, second: Crash]> {
	return crashes.flatMap((first, index) => crashes.slice(index + 1).map((second): [Crash, Crash] => [first, second]));
}

function commonTasks(first: Crash, second: Crash): string[] {
	return [...first.tasks.keys()].filter(task => second.tasks.has(task));
}
