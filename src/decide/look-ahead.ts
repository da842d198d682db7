import {reservationMs, type Release} from './reservation.js';

/** Outlook is what a place last reported of its near future, and when that arrived, in monotonic milliseconds. */
export type Outlook = {
	releases: readonly Release[];
	/** In how many milliseconds the reserved task of another entry should start there, and its cpu. */
	reserved?: Release;
	at: number;
};

/** Tasks of one pool differ in size where the largest takes more than this many times the cpu of the smallest; a task is large by the same factor. */
export const sizeFactor = 2;
/** For how long the sizes of submitted tasks count, in milliseconds: twice this at most. */
const sizeWindowMs = 10_000;
/** How old an outlook may be, in milliseconds. */
const outlookMaxAgeMs = 1000;

type Range = {least: number; most: number};

/** TaskSizes keeps the range of the cpu of tasks submitted to each pool lately. */
export class TaskSizes {
	static create(): TaskSizes {
		return new TaskSizes();
	}

	private readonly pools = new Map<string, {since: number; current: Range; previous?: Range}>();

	/** Counts a submitted task. */
	observe(pool: string, cpu: number, now: number): void {
		const known = this.pools.get(pool);
		if (known && now - known.since < sizeWindowMs) {
			known.current.least = Math.min(known.current.least, cpu);
			known.current.most = Math.max(known.current.most, cpu);
			return;
		}

		this.pools.set(pool, {
			since: now, current: {least: cpu, most: cpu}, previous: known && now - known.since < 2 * sizeWindowMs ? known.current : undefined,
		});
	}

	/** Whether the tasks of a pool differ in size. */
	isUneven(pool: string): boolean {
		const {least, most} = this.rangeOf(pool);
		return most > least * sizeFactor;
	}

	/** Whether a task is large for its pool. */
	isLarge(pool: string, cpu: number): boolean {
		return cpu > this.rangeOf(pool).least * sizeFactor;
	}

	private rangeOf(pool: string): Range {
		const {current, previous = current} = this.pools.get(pool) ?? {current: {least: 0, most: 0}};
		return {least: Math.min(current.least, previous.least), most: Math.max(current.most, previous.most)};
	}
}

/** The latest time from now that a figure of a peer may have, in milliseconds. */
const maxHorizonMs = 3_600_000;

/** Whether an expected run time of a peer is within range. */
export function isExpectedTime(ms: number): boolean {
	return ms >= 0 && ms <= maxHorizonMs;
}

/** Whether releases of a peer are within range: no negative figure, and in order of time. */
export function areReleases(releases: readonly Release[]): boolean {
	return releases.every(([inMs, cpu], index) => {
		const [beforeMs, beforeCpu] = releases[index - 1] ?? [0, 0];
		return isExpectedTime(inMs) && inMs >= beforeMs && cpu >= beforeCpu;
	});
}

/** Returns in how many milliseconds a place should have `cpu` free, 0 where it has, or undefined where its outlook doesn't say. */
export function expectedFreeMs(freeCpu: number, cpu: number, outlook: Outlook | undefined, now: number): number | undefined {
	if (cpu <= freeCpu) {
		return 0;
	}

	if (!outlook || now - outlook.at > outlookMaxAgeMs) {
		return undefined;
	}

	const release = outlook.releases.find(([, released]) => freeCpu + released >= cpu);
	return release && Math.max(0, release[0] - (now - outlook.at));
}

/** Hold is capacity that is kept free at a place from a time on, until it expires. */
export type Hold = {cpu: number; startsAt: number; until: number};

/** Returns the reservation of another entry that a place has reported. */
export function reportedHold(outlook: Outlook | undefined, now: number): Hold | undefined {
	const reserved = outlook?.reserved;
	return reserved && now - outlook.at < reservationMs
		? {cpu: reserved[1], startsAt: outlook.at + reserved[0], until: outlook.at + reservationMs}
		: undefined;
}

/** Whether a task may start beside a hold: it should end before, or what should be free then holds both. The guard decides in the end; this avoids orders that it would refuse. */
export function mayStartBeside(hold: Hold, task: {cpu: number; runMs: number}, place: {freeCpu: number; outlook?: Outlook}, now: number): boolean {
	if (now >= hold.until || now + task.runMs <= hold.startsAt) {
		return true;
	}

	const {freeCpu, outlook} = place;
	const released = outlook && now - outlook.at <= outlookMaxAgeMs
		? outlook.releases.findLast(([inMs]) => outlook.at + inMs <= hold.startsAt)?.[1] ?? 0
		: 0;
	return freeCpu + released - task.cpu >= hold.cpu;
}

/** ReservationOption is a place where a waiting task could start later. Times are in milliseconds from now. */
export type ReservationOption = {place: string; startInMs: number; runMs: number};

/** Chooses where to ask for a reservation: where the task should end first, among places that should be free before a reservation would expire. */
export function chooseReservation(options: readonly ReservationOption[]): ReservationOption | undefined {
	let best: ReservationOption | undefined;
	for (const option of options) {
		if (option.startInMs < reservationMs && (!best || option.startInMs + option.runMs < best.startInMs + best.runMs)) {
			best = option;
		}
	}

	return best;
}
