/** The slowest rate at which a worker's clock may run. */
export const slowestRate = 0.98;

/** How long a report may have been on its way to correct the clock, in milliseconds. */
const reportDelayMs = 50;

/** How long a high reading counts, in milliseconds: an order that is older than a lease is void at the worker, however it is dated. */
const highReadingMs = 1000;

/** How far the stamps of an incarnation of the worker are from those of the one before, in milliseconds: longer than a link that carries them can be silent. */
const stampGapMs = 10_000;

/** Reading is what a worker's clock showed at the latest at the local time `at`; both in milliseconds. */
type Reading = {clock: number; at: number};

/**
 * WorkerClock estimates the clock of a worker from the readings in its replies. A reply may be handled long after it was made, if this
 * process stood still meanwhile, so that its reading is too low by as much.
 */
export class WorkerClock {
	static create(): WorkerClock {
		return new WorkerClock();
	}

	private newest: Reading = {clock: 0, at: 0};
	private highest: Reading = {clock: 0, at: 0};
	/** Added to the clock in stamps, so that no date of an earlier incarnation is taken for one of this. */
	private stampOffset = 0;
	/** The highest stamp so far; undefined before the first incarnation is known. */
	private highestStamp?: number;

	private constructor() {
		// Created by `create`.
	}

	/** The worker has started again, and its clock with it. */
	restart(clock: number, now: number): void {
		this.stampOffset = this.highestStamp === undefined ? 0 : Math.max(0, Math.ceil(this.highestStamp + stampGapMs - clock));
		this.highestStamp = Math.max(clock, this.highestStamp ?? clock);
		this.newest = {clock, at: now};
		this.highest = this.newest;
	}

	/** Takes in a reading. */
	read(clock: number, now: number): void {
		this.newest = {clock, at: now};
		if (clock >= this.leastAt(now)) {
			this.highest = this.newest;
		}
	}

	/** Takes in a reading that may be late. It only corrects the drift of a slow clock since the newest reading, and counts only if it may be at most `reportDelayMs` late. */
	readDelayed(clock: number, now: number): void {
		if (clock >= this.certainAt(now) - reportDelayMs && clock < this.valueAt(now)) {
			this.read(clock, now);
		}
	}

	/** Returns the clock as a stamp, which no other incarnation has. Before the first is known it is so low that no date by it is a young one of that incarnation. */
	stampAt(now: number): number {
		if (this.highestStamp === undefined) {
			return -stampGapMs;
		}

		const stamp = this.valueAt(now) + this.stampOffset;
		this.highestStamp = Math.max(stamp, this.highestStamp);
		return stamp;
	}

	/** Returns the time of the worker's clock that a stamp, or a date by one, stands for. */
	clockOf(stamp: number): number {
		return stamp - this.stampOffset;
	}

	/** The clock by the newest reading, even if that went back: the worker's clock may be slow, and a lease that expires too early is the safe error. */
	valueAt(now: number): number {
		return this.newest.clock + (now - this.newest.at);
	}

	/** The highest value that is certain by the readings of the last second; the age of a request is judged by it, as one that seems too young is the unsafe error. */
	latestAt(now: number): number {
		return Math.max(this.valueAt(now), this.leastAt(now));
	}

	/** The least that the clock shows by the newest reading: what has expired by it has expired for certain. */
	certainAt(now: number): number {
		return this.newest.clock + ((now - this.newest.at) * slowestRate);
	}

	private leastAt(now: number): number {
		const passedMs = now - this.highest.at;
		return passedMs > highReadingMs ? Number.NEGATIVE_INFINITY : this.highest.clock + (passedMs * slowestRate);
	}
}
