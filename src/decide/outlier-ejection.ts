/** Ejection is the state of outlier ejection for one place. Times are monotonic milliseconds. */
export type Ejection = {
	/** Failures since the last success. */
	consecutiveFailures: number;
	/** It gets no work until then; 0 when it is not ejected. */
	ejectedUntil: number;
	/** How long the next ejection lasts. */
	nextEjectionMs: number;
	/** Whether the single probe task after an ejection is under way. */
	isProbing: boolean;
};

/** The number of consecutive failures that ejects a place. */
export const consecutiveFailureLimit = 3;
/** The ejection time doubles with each ejection, and halves with each success after a failure, between these bounds. */
const minEjectionMs = 1000;
const maxEjectionMs = 30_000;

/** The state of a place without failures. */
export const notEjected: Ejection = {
	consecutiveFailures: 0, ejectedUntil: 0, nextEjectionMs: minEjectionMs, isProbing: false,
};

/** Availability is what a place may get: any work (`open`), a single probe task (`probe`) or nothing (`closed`). */
export type Availability = 'open' | 'probe' | 'closed';

/** Returns what a place may get now. */
export function availabilityOf(ejection: Ejection, now: number): Availability {
	if (ejection.ejectedUntil === 0) {
		return 'open';
	}

	return now >= ejection.ejectedUntil && !ejection.isProbing ? 'probe' : 'closed';
}

/** Returns the state after the probe task was sent. */
export function startProbe(ejection: Ejection): Ejection {
	return {...ejection, isProbing: true};
}

/** Returns the state after a task succeeded or failed. `mayEject` is false when half of the pool is ejected already. */
export function recordResult(ejection: Ejection, succeeded: boolean, now: number, mayEject: boolean): Ejection {
	if (succeeded) {
		return ejection.consecutiveFailures === 0 && ejection.ejectedUntil === 0 ? ejection : {...notEjected, nextEjectionMs: Math.max(minEjectionMs, ejection.nextEjectionMs / 2)};
	}

	const failures = ejection.consecutiveFailures + 1;
	if (failures < consecutiveFailureLimit || (!mayEject && ejection.ejectedUntil === 0)) {
		return {...ejection, consecutiveFailures: failures, isProbing: false};
	}

	return {
		consecutiveFailures: failures, ejectedUntil: now + ejection.nextEjectionMs, nextEjectionMs: Math.min(maxEjectionMs, ejection.nextEjectionMs * 2), isProbing: false,
	};
}

/**
 * Returns the state after a place reported that the runs of all entries fail there, or no longer do. Without such
 * reports each of tens of entries would spend its own failures and probes on a worker that fails every task.
 */
export function recordReport(ejection: Ejection, isFailing: boolean, now: number, mayEject: boolean): Ejection {
	if (!isFailing) {
		return recordResult(ejection, true, now, mayEject);
	}

	return ejection.ejectedUntil === 0 ? recordResult({...ejection, consecutiveFailures: consecutiveFailureLimit - 1}, false, now, mayEject) : ejection;
}
