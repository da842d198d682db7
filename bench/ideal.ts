/** Need is one task as the clairvoyant queue knows it: when it came and how long it takes on an ordinary place. */
export type Need = {at: number; ms: number};

/** Place is a back end in the ideal: its slots, its slowness, and when it is out. Milliseconds from the start. */
export type IdealPlace = {slots: number; slowness: number; out?: {from: number; to: number}};

/**
 * Returns when each task would end under one clairvoyant queue: in order of arrival each goes to the
 * slot where it ends first, with every time known. Messages cost nothing.
 */
export function idealEnds(needs: readonly Need[], places: readonly IdealPlace[]): number[] {
	const slots = places.flatMap(place => Array.from({length: place.slots}, () => ({place, free: 0})));
	return needs.map(need => {
		let best = slots[0]!;
		let bestEnd = Number.POSITIVE_INFINITY;
		for (const slot of slots) {
			const start = beginAt(slot.place, Math.max(slot.free, need.at));
			const end = start + (need.ms * slot.place.slowness);
			if (end < bestEnd) {
				best = slot;
				bestEnd = end;
			}
		}

		best.free = bestEnd;
		return bestEnd;
	});
}

function beginAt({out}: IdealPlace, at: number): number {
	return out && at >= out.from && at < out.to ? out.to : at;
}
