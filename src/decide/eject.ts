/** Health is how a place has done lately. Times are monotonic milliseconds. */
export type Ejection = {
	/** Failures since the last success. */
	consecutiveFailures: number;
	/** Until when it gets nothing; 0 when it is in service. */
	ejectedUntil: number;
	/** How long the next ejection lasts. */
	nextEjectionMs: number;
	/** Whether the one task that tries it out is under way. */
	isProbing: boolean;
};

/** Failures in a row that eject a place. */
export const consecutiveFailureLimit = 3;
const firstEjectMs = 1000;
const longestEjectMs = 30_000;

/** A place that nothing is known against. */
export const notEjected: Ejection = {
	consecutiveFailures: 0, ejectedUntil: 0, nextEjectionMs: firstEjectMs, isProbing: false,
};

/** Standing is whether a place may get work: freely, one task to try it, or nothing. */
export type Availability = 'open' | 'probe' | 'closed';

/** Says what a place may get now. */
export function availabilityOf(health: Ejection, now: number): Availability {
	if (health.ejectedUntil === 0) {
		return 'open';
	}

	return now >= health.ejectedUntil && !health.isProbing ? 'probe' : 'closed';
}

/** Returns the health once the trial task has been sent. */
export function startProbe(health: Ejection): Ejection {
	return {...health, isProbing: true};
}

/** Returns the health after a result. `mayEject` is false when half of the pool is out already. */
export function recordResult(health: Ejection, ok: boolean, now: number, mayEject: boolean): Ejection {
	if (ok) {
		return health.consecutiveFailures === 0 && health.ejectedUntil === 0 ? health : {...notEjected, nextEjectionMs: Math.max(firstEjectMs, health.nextEjectionMs / 2)};
	}

	const failures = health.consecutiveFailures + 1;
	if (failures < consecutiveFailureLimit || (!mayEject && health.ejectedUntil === 0)) {
		return {...health, consecutiveFailures: failures, isProbing: false};
	}

	return {
		consecutiveFailures: failures, ejectedUntil: now + health.nextEjectionMs, nextEjectionMs: Math.min(longestEjectMs, health.nextEjectionMs * 2), isProbing: false,
	};
}

/**
 * Returns the health after a place told that what runs there for all entries fails, or no longer does. Answers
 * workers that fail all they start, at tens of entries of which each would spend its own failures and trials on them.
 */
export function recordReport(health: Ejection, isFailing: boolean, now: number, mayEject: boolean): Ejection {
	if (!isFailing) {
		return recordResult(health, true, now, mayEject);
	}

	return health.ejectedUntil === 0 ? recordResult({...health, consecutiveFailures: consecutiveFailureLimit - 1}, false, now, mayEject) : health;
}
