import {addResources, fits, type Resources} from './resources.js';

/** Reservation is capacity of a worker that is kept for a task of one owner until it is free. Times are in monotonic milliseconds. */
export type Reservation = {owner: string; resources: Resources; since: number; until: number};

/** ExpectedEnd is when a run should release its resources. */
export type ExpectedEnd = {resources: Resources; endsAt: number};

/** Occupancy is what is free at a worker now, and the ends that are known of what runs there. */
export type Occupancy = {free: Resources; ends: readonly ExpectedEnd[]};

/** Release is a time from now in milliseconds and the total cpu released by then, in thousandths of a core. */
export type Release = readonly [inMs: number, cpu: number];

/** How long a reservation may stand, in milliseconds. */
export const reservationMs = 300;
/** How many releases are reported. */
export const maxReleases = 4;

/** Returns when resources should be free, which is `now` where they are, or undefined where the known ends don't free them. A run past its expected end counts as ending now. */
export function expectedStart({free, ends}: Occupancy, resources: Resources, now: number): number | undefined {
	const left = {...free};
	let at = now;
	if (fits(resources, left)) {
		return at;
	}

	for (const end of ends.toSorted((a, b) => a.endsAt - b.endsAt)) {
		addResources(left, end.resources, 1);
		at = Math.max(now, end.endsAt);
		if (fits(resources, left)) {
			return at;
		}
	}

	return undefined;
}

/** Returns when the reserved task should start, at the latest when its reservation expires. */
export function reservedStart(reservation: Reservation, occupancy: Occupancy, now: number): number {
	return Math.min(reservation.until, expectedStart(occupancy, reservation.resources, now) ?? reservation.until);
}

/**
 * Whether a task that fits now may start beside a reservation: it should end before the reserved start, or what is
 * free at that start holds both. `expectedMs` is undefined where the run time is not known.
 */
export function mayBackfill(reservation: Reservation, occupancy: Occupancy, task: {resources: Resources; expectedMs?: number}, now: number): boolean {
	const startAt = reservedStart(reservation, occupancy, now);
	if (task.expectedMs !== undefined && now + task.expectedMs <= startAt) {
		return true;
	}

	const free = {...occupancy.free};
	for (const {resources, endsAt} of occupancy.ends) {
		if (endsAt <= startAt) {
			addResources(free, resources, 1);
		}
	}

	addResources(free, task.resources, -1);
	return fits(reservation.resources, free);
}

/** Returns the earliest time of the next reservation: after one, a worker takes none for as long as that one stood. */
export function nextReservationAt({since, until}: Reservation, now: number): number {
	const endedAt = Math.min(now, until);
	return endedAt + (endedAt - since);
}

/** Returns the expected releases, at most `maxReleases`. Where there are more ends, each release stands for a group of them and has the time of the last. */
export function expectedReleases(ends: readonly ExpectedEnd[], now: number): Release[] {
	const sorted = ends.toSorted((a, b) => a.endsAt - b.endsAt);
	const count = Math.min(maxReleases, sorted.length);
	const releases: Release[] = [];
	let cpu = 0;
	let next = 0;
	for (let group = 1; group <= count; group++) {
		const last = Math.ceil(group * sorted.length / count);
		for (; next < last; next++) {
			cpu += sorted[next]!.resources.cpu;
		}

		releases.push([Math.max(0, Math.round(sorted[last - 1]!.endsAt - now)), cpu]);
	}

	return releases;
}
