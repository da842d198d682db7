/** Health is how a place has done lately. Times are monotonic milliseconds. */
export type Health = {
	/** Failures since the last success. */
	failures: number;
	/** Until when it gets nothing; 0 when it is in service. */
	until: number;
	/** How long the next ejection lasts. */
	nextMs: number;
	/** Whether the one task that tries it out is under way. */
	probing: boolean;
};

/** Failures in a row that eject a place. */
export const failureLimit = 3;
const firstEjectMs = 1000;
const longestEjectMs = 30_000;

/** A place that nothing is known against. */
export const healthy: Health = {
	failures: 0, until: 0, nextMs: firstEjectMs, probing: false,
};

/** Standing is whether a place may get work: freely, one task to try it, or nothing. */
export type Standing = 'open' | 'probe' | 'closed';

/** Says what a place may get now. */
export function standingOf(health: Health, now: number): Standing {
	if (health.until === 0) {
		return 'open';
	}

	return now >= health.until && !health.probing ? 'probe' : 'closed';
}

/** Returns the health once the trial task has been sent. */
export function probe(health: Health): Health {
	return {...health, probing: true};
}

/** Returns the health after a result. `mayEject` is false when half of the pool is out already. */
export function observe(health: Health, ok: boolean, now: number, mayEject: boolean): Health {
	if (ok) {
		return health.failures === 0 && health.until === 0 ? health : {...healthy, nextMs: Math.max(firstEjectMs, health.nextMs / 2)};
	}

	const failures = health.failures + 1;
	if (failures < failureLimit || (!mayEject && health.until === 0)) {
		return {...health, failures, probing: false};
	}

	return {
		failures, until: now + health.nextMs, nextMs: Math.min(longestEjectMs, health.nextMs * 2), probing: false,
	};
}

/**
 * Returns the health after a place told that what runs there for all entries fails, or no longer does. Answers
 * workers that fail all they start, at tens of entries of which each would spend its own failures and trials on them.
 */
export function hear(health: Health, isFailing: boolean, now: number, mayEject: boolean): Health {
	if (!isFailing) {
		return observe(health, true, now, mayEject);
	}

	return health.until === 0 ? observe({...health, failures: failureLimit - 1}, false, now, mayEject) : health;
}
