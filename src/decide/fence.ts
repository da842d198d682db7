/** Base of the step after a fence was refused as too low; each consecutive refusal doubles the step. */
const firstStep = 1000;

/** The highest clock of a worker that is followed, in milliseconds: ten years. A fence never falls, so one taken from a wrong clock would stay. */
const maxClockMs = 3.2e11;

/**
 * Returns the next fence (fencing token) of a process that controls a worker. The monotonic clock of the
 * worker exceeds what any earlier incarnation of the process took from it, so no store is needed; where
 * a late request of an earlier incarnation has set a higher fence, the growing steps exceed it.
 */
export function nextFence(fence: number, clock: number, refusals: number): number {
	const step = refusals === 0 ? 1 : firstStep * (2 ** Math.min(refusals, 30));
	return Math.max(clock <= maxClockMs ? Math.floor(clock) : 0, fence) + step;
}
