/** The first step beyond a fence that was too low; each refusal in a row doubles it. */
const firstStep = 1000;

/**
 * Returns the next fence of a process that orders a worker. The worker's steady clock exceeds what any
 * earlier life of the process took from it, so no store is needed; where a late order of an earlier
 * life has put a higher one there, growing steps pass it.
 */
export function nextFence(fence: number, clock: number, refusals: number): number {
	const step = refusals === 0 ? 1 : firstStep * (2 ** Math.min(refusals, 30));
	return Math.max(Math.floor(clock), fence) + step;
}
