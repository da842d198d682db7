import {slotsNow} from './member.js';
import {rank} from './rendezvous.js';
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
	standing: Availability;
	/** Monotonic milliseconds at which it came back into service, if lately. */
	returned?: number;
	/** Monotonic milliseconds before which it gets nothing because it has just refused. */
	notBefore: number;
};

/** Policy names a way to choose; all but `finish` are baselines to measure against. */
export type Policy = 'finish' | 'round-robin' | 'random' | 'least-outstanding';

/** Choice is where a task goes: to a place, to wait for one that is busy, or to wait for any. */
export type Choice
	= | {kind: 'go'; id: string}
		| {kind: 'wait'; id: string}
		| {kind: 'none'};

/** What going to another zone costs, in milliseconds there and back. */
const crossZoneMs = 2;
/** Two places whose expected finish differs by less than this part count as equal. */
const tieShare = 0.03;

/** Errand is the task to place: its ordinary length and that of the others, in milliseconds, and the zone that it starts from. */
export type Errand = {taskMs: number; usualMs: number; zone: string};

/**
 * Chooses the place where a task should finish first. A busy fast place can beat a free slow one:
 * the task then waits, and the caller counts it as reserved there for the choices that follow.
 */
export function choose(candidates: readonly Candidate[], errand: Errand, now: number, chance: number): Choice {
	let best: {candidate: Candidate; finish: number; free: boolean} | undefined;
	for (const candidate of candidates) {
		if (candidate.standing === 'closed') {
			continue;
		}

		const finish = finishAt(candidate, errand, now) + (candidate.zone === errand.zone ? 0 : crossZoneMs);
		const free = isFree(candidate, now);
		const tie = best && Math.abs(finish - best.finish) <= best.finish * tieShare && free === best.free;
		if (!best || (tie ? chance < 0.5 : finish < best.finish)) {
			best = {candidate, finish, free};
		}
	}

	if (!best) {
		return {kind: 'none'};
	}

	return {kind: best.free ? 'go' : 'wait', id: best.candidate.id};
}

/** Chooses by one of the baselines among places that have a free slot. `turn` counts the choices made. */
export function chooseBaseline(policy: Exclude<Policy, 'finish'>, free: readonly Candidate[], turn: number, chance: number): Choice {
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
export function shareOf(place: string, slots: number, entries: readonly string[], self: string): number {
	const each = Math.floor(slots / Math.max(1, entries.length));
	const over = slots - (each * entries.length);
	return each + (over > 0 && rank(place, entries).indexOf(self) < over ? 1 : 0);
}

/** Says whether a place could begin one more task now. */
export function isFree(candidate: Candidate, now: number): boolean {
	if (candidate.standing === 'probe' && candidate.running + candidate.reserved > 0) {
		return false;
	}

	return now >= candidate.notBefore && candidate.running + candidate.reserved < slotsNow(candidate.slots, candidate.returned, now);
}

/** Estimates the milliseconds until a task of this ordinary length would end at the place. */
export function finishAt(candidate: Candidate, {taskMs, usualMs}: Pick<Errand, 'taskMs' | 'usualMs'>, now: number): number {
	const own = taskMs * candidate.slowness;
	if (isFree(candidate, now)) {
		return own;
	}

	const slots = slotsNow(candidate.slots, candidate.returned, now);
	const ahead = Math.max(0, candidate.running + candidate.reserved - slots) + 1;
	const blocked = Math.max(0, candidate.notBefore - now);
	return Math.max(blocked, usualMs * candidate.slowness * ahead / slots) + own;
}
