import {usableSlots} from './liveness.js';
import {rankByRendezvous} from './rendezvous.js';
import type {Availability} from './outlier-ejection.js';

/** Candidate is a place as the input of a placement decision. */
export type Candidate = {
	id: string;
	zone: string;
	slots: number;
	/** Tasks there, from this entry and, as last reported, from others. */
	running: number;
	/** Tasks assigned to it in this round of placement and not yet started. */
	reserved: number;
	/** Measured time over the usual time of the route: 1 is usual, 5 is five times slower. */
	slowness: number;
	availability: Availability;
	/** Monotonic milliseconds at which it came back into service, if recently. */
	returnedAt?: number;
	/** Monotonic milliseconds until which it gets no tasks because it has just refused one. */
	blockedUntil: number;
};

/** PlacementPolicy selects the placement algorithm; all but `finish` are baselines for benchmarks. */
export type PlacementPolicy = 'finish' | 'round-robin' | 'random' | 'least-outstanding';

/** PlacementChoice sends a task to a place, makes it wait for a busy one, or finds none. */
export type PlacementChoice
	= | {kind: 'go'; id: string}
		| {kind: 'wait'; id: string}
		| {kind: 'none'};

/** The added round-trip time to another availability zone, in milliseconds. */
const crossZoneMs = 2;
/** Two places whose expected finish differs by less than this fraction count as equal. */
const tieShare = 0.03;

/** PlacementRequest is the task to place: its expected time and that of other tasks, in milliseconds, and the zone it is sent from. */
export type PlacementRequest = {taskMs: number; usualMs: number; zone: string};

/**
 * Chooses the place with the earliest expected finish. `chance`, from 0 to 1, breaks ties. A busy fast place can beat a free slow one:
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

/** Chooses by one of the baselines among places that have a free slot. `turn` counts the choices made so far. */
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
 * Returns an entry's share of a place's slots when several entries use it: an equal part each, and the
 * remainder by rendezvous order. An entry does not know the current load from others, so it fills its
 * own share first.
 */
export function slotShare(place: string, slots: number, entries: readonly string[], self: string): number {
	const equalShare = Math.floor(slots / Math.max(1, entries.length));
	const remainder = slots - (equalShare * entries.length);
	return equalShare + (remainder > 0 && rankByRendezvous(place, entries).indexOf(self) < remainder ? 1 : 0);
}

/** Says whether a place can start one more task now. */
export function hasFreeSlot(candidate: Candidate, now: number): boolean {
	if (candidate.availability === 'probe' && candidate.running + candidate.reserved > 0) {
		return false;
	}

	return now >= candidate.blockedUntil && candidate.running + candidate.reserved < usableSlots(candidate.slots, candidate.returnedAt, now);
}

/** Estimates the milliseconds until a task of this expected time would end at the place. */
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
