import {usableSlots} from './liveness.js';
import {rankByRendezvous} from './rendezvous.js';
import type {Availability} from './eject.js';

/** Candidate is a place as the choice sees it. */
export type Candidate = {
	id: string;
	zone: string;
	slots: number;
	/** Tasks there, from this entry and, as last heard, from others. */
	running: number;
	/** Tasks promised to it in this round of choices. */
	reserved: number;
	/** Measured time over the route's ordinary time: 1 is ordinary, 5 is five times slower. */
	slowness: number;
	availability: Availability;
	/** Monotonic milliseconds at which it came back into service, if lately. */
	returnedAt?: number;
	/** Monotonic milliseconds before which it gets nothing because it has just refused. */
	blockedUntil: number;
};

/** Policy names a way to choose; all but `finish` are baselines to measure against. */
export type PlacementPolicy = 'finish' | 'round-robin' | 'random' | 'least-outstanding';

/** Choice is where a task goes: to a place, to wait for one that is busy, or to wait for any. */
export type PlacementChoice
	= | {kind: 'go'; id: string}
		| {kind: 'wait'; id: string}
		| {kind: 'none'};

/** What going to another zone costs, in milliseconds there and back. */
const crossZoneMs = 2;
/** Two places whose expected finish differs by less than this part count as equal. */
const tieShare = 0.03;

/** Errand is the task to place: its ordinary length and that of the others, in milliseconds, and the zone that it starts from. */
export type PlacementRequest = {taskMs: number; usualMs: number; zone: string};

/**
 * Chooses the place where a task should finish first. A busy fast place can beat a free slow one:
 * the task then waits, and the caller counts it as reserved there for the choices that follow.
 */
export function choosePlace(candidates: readonly Candidate[], request: PlacementRequest, now: number, chance: number): PlacementChoice {
	let best: {candidate: Candidate; finish: number; free: boolean} | undefined;
	for (const candidate of candidates) {
		if (candidate.availability === 'closed') {
			continue;
		}

		const finish = estimateFinishMs(candidate, request, now) + (candidate.zone === request.zone ? 0 : crossZoneMs);
		const isFree = hasFreeSlot(candidate, now);
		const isTie = best && Math.abs(finish - best.finish) <= best.finish * tieShare && isFree === best.free;
		if (!best || (isTie ? chance < 0.5 : finish < best.finish)) {
			best = {candidate, finish, free: isFree};
		}
	}

	if (!best) {
		return {kind: 'none'};
	}

	return {kind: best.free ? 'go' : 'wait', id: best.candidate.id};
}

/** Chooses by one of the baselines among places that have a free slot. `turn` counts the choices made. */
export function choosePlaceByBaseline(policy: Exclude<PlacementPolicy, 'finish'>, free: readonly Candidate[], turn: number, chance: number): PlacementChoice {
	if (free.length === 0) {
		return {kind: 'none'};
	}

	switch (policy) {
		case 'round-robin': {
			return {kind: 'go', id: free[turn % free.length]!.id};
		}

		case 'random': {
			return {kind: 'go', id: free[Math.floor(chance * free.length)]!.id};
		}

		case 'least-outstanding': {
			const least = Math.min(...free.map(({running}) => running));
			return {kind: 'go', id: free.find(({running}) => running === least)!.id};
		}
	}
}

/**
 * Returns how many of a place's slots are an entry's own, when several entries send there: as many for
 * each, and what is left over to the first by rendezvous. What the others do there meanwhile is not
 * known, so an entry fills its own share first.
 */
export function slotShare(place: string, slots: number, entries: readonly string[], self: string): number {
	const equalShare = Math.floor(slots / Math.max(1, entries.length));
	const remainder = slots - (equalShare * entries.length);
	return equalShare + (remainder > 0 && rankByRendezvous(place, entries).indexOf(self) < remainder ? 1 : 0);
}

/** Says whether a place could begin one more task now. */
export function hasFreeSlot(candidate: Candidate, now: number): boolean {
	if (candidate.availability === 'probe' && candidate.running + candidate.reserved > 0) {
		return false;
	}

	return now >= candidate.blockedUntil && candidate.running + candidate.reserved < usableSlots(candidate.slots, candidate.returnedAt, now);
}

/** Estimates the milliseconds until a task of this ordinary length would end at the place. */
export function estimateFinishMs(candidate: Candidate, {taskMs, usualMs}: Pick<PlacementRequest, 'taskMs' | 'usualMs'>, now: number): number {
	const ownMs = taskMs * candidate.slowness;
	if (hasFreeSlot(candidate, now)) {
		return ownMs;
	}

	const slots = usableSlots(candidate.slots, candidate.returnedAt, now);
	const ahead = Math.max(0, candidate.running + candidate.reserved - slots) + 1;
	const blockedMs = Math.max(0, candidate.blockedUntil - now);
	return Math.max(blockedMs, usualMs * candidate.slowness * ahead / slots) + ownMs;
}
