/** Departure is a run at a worker that leaves soon. All times are in milliseconds; those of the job are counted from now. */
export type Departure = {
	/** How long the worker still stays. */
	remainingMs: number;
	/** How long ago the run was ordered. */
	ageMs: number;
	/** The expected time of the run there. */
	expectedMs: number;
	/** The expected time of a run on the best other place with room; infinite where there is none. */
	elsewhereMs: number;
	/** The time until the job is worth nothing more or its caller stops waiting. */
	worthMs: number;
};

/** Move is what to do about such a run: leave it where it is, or stop it and start it elsewhere once its end is known. */
export type Move = 'leave' | 'move';

/** The time from the decision to stop a run until its end is known and another is started, in milliseconds: two messages, the stop at the worker, and the poll of 20 ms that confirms it. */
export const moveOverheadMs = 50;

/**
 * Decides about a run at a worker that leaves. It moves only if it can't be expected to end before the worker is gone
 * and a new run can still be of worth; else it may as well go on, as it may end sooner than expected. A run
 * that has taken longer than expected can end at any time, and is left alone too.
 */
export function decideMove({
	remainingMs, ageMs, expectedMs, elsewhereMs, worthMs,
}: Departure): Move {
	const endsInTime = expectedMs - ageMs <= remainingMs;
	return !endsInTime && moveOverheadMs + elsewhereMs <= worthMs ? 'move' : 'leave';
}
