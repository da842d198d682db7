import type {RouteEvidence} from './crash-history.js';

/** Quarantine is that of one route. */
export type Quarantine = {
	route: string;
	pool: string;
	beganAt: number;
	lastCrashAt: number;
	/** When there was evidence against the route last. */
	suspectedAt: number;
	/** Runs of the route that have succeeded since the last crash. */
	successes: number;
	/** How many quarantines in a row came before, each soon after the last. */
	repeats: number;
};

/** QuarantineEnd is why a quarantine ends: the route's runs succeed again, its time is over, or the crashes have turned out to have another cause. */
export type QuarantineEnd = 'recovered' | 'expired' | 'withdrawn';

/** How long a quarantine lasts after the last crash, in milliseconds: at least `minMs`, and up to `maxMs` where fewer than `successLimit` runs have succeeded since. */
const minMs = 5000;
const maxMs = 15_000;
const successLimit = 20;
/** A quarantine that begins again within this time lasts twice as long, up to `longestMs`, in milliseconds. */
const repeatMs = 30_000;
const longestMs = 40_000;
/** How long there has been no evidence before a quarantine is withdrawn, in milliseconds: the second crash under the next bad task may bring it back. */
const withdrawMs = 600;
/** The most routes of a pool in quarantine at a time: with more, most of the pool would be idle. */
const maxRoutes = 2;

/** Quarantines decides when the quarantine of a route begins and ends. Under a steady rate of crashes it stays until the crashes stop, and each repetition lasts longer, so that it does not flap. */
export class Quarantines {
	static create(): Quarantines {
		return new Quarantines();
	}

	private readonly byRoute = new Map<string, Quarantine>();
	/** When the last quarantine of a route ended, and how many came in a row. */
	private readonly ended = new Map<string, {at: number; repeats: number}>();

	private constructor() {
		// Created by `create`.
	}

	get isEmpty(): boolean {
		return this.byRoute.size === 0 && this.ended.size === 0;
	}

	get(route: string): Quarantine | undefined {
		return this.byRoute.get(route);
	}

	all(): Iterable<Quarantine> {
		return this.byRoute.values();
	}

	/** Begins, prolongs or withdraws quarantines by the present evidence, and returns the changes. `poolOf` returns the pool of a place. */
	update(evidence: ReadonlyMap<string, RouteEvidence>, poolOf: (place: string) => string | undefined, now: number): Array<{quarantine: Quarantine; end?: QuarantineEnd}> {
		const changes: Array<{quarantine: Quarantine; end?: QuarantineEnd}> = [];
		for (const [route, {evidenceAt, lastCrashAt, place}] of evidence) {
			const current = this.byRoute.get(route);
			const previous = this.ended.get(route);
			const pool = poolOf(place);
			if (current) {
				current.suspectedAt = now;
				current.successes = lastCrashAt > current.lastCrashAt ? 0 : current.successes;
				current.lastCrashAt = Math.max(lastCrashAt, current.lastCrashAt);
			} else if (pool !== undefined && now - lastCrashAt < minMs && !(previous && evidenceAt <= previous.at) && this.countIn(pool) < maxRoutes) {
				const quarantine: Quarantine = {
					route, pool, beganAt: now, suspectedAt: now, lastCrashAt, successes: 0, repeats: previous && now - previous.at < repeatMs ? previous.repeats + 1 : 0,
				};
				this.byRoute.set(route, quarantine);
				changes.push({quarantine});
			}
		}

		for (const quarantine of this.byRoute.values()) {
			const end = now - quarantine.suspectedAt >= withdrawMs ? 'withdrawn' : endOf(quarantine, now);
			if (end) {
				this.byRoute.delete(quarantine.route);
				changes.push({quarantine, end});
				if (end !== 'withdrawn') {
					this.ended.set(quarantine.route, {at: now, repeats: quarantine.repeats});
				}
			}
		}

		for (const [route, {at}] of this.ended) {
			// Evidence is kept for a minute, and old evidence must not begin a quarantine again.
			if (now - at > 2 * repeatMs) {
				this.ended.delete(route);
			}
		}

		return changes;
	}

	/** Counts a run of a route that has succeeded. */
	succeeded(route: string): void {
		const quarantine = this.byRoute.get(route);
		if (quarantine) {
			quarantine.successes++;
		}
	}

	private countIn(pool: string): number {
		return [...this.byRoute.values()].filter(quarantine => quarantine.pool === pool).length;
	}
}

function endOf({lastCrashAt, successes, repeats}: Quarantine, now: number): QuarantineEnd | undefined {
	const factor = 2 ** repeats;
	const sinceMs = now - lastCrashAt;
	if (sinceMs >= Math.min(longestMs, minMs * factor) && successes >= successLimit) {
		return 'recovered';
	}

	return sinceMs >= Math.min(longestMs, maxMs * factor) ? 'expired' : undefined;
}
