import {clockSlack} from './worker-clock.js';

/** LeaseBounds are the times, in milliseconds, that limit how long a run may live. */
export type LeaseBounds = {
	/** The longest lease that the worker grants. */
	longestMs: number;
	/** The least time from the break of a caller's connection until the caller's second submission arrives. */
	resubmitMs: number;
	/** How long the worker may take to stop a run. */
	stopMs: number;
};

export const defaultLeaseBounds: LeaseBounds = {longestMs: 1000, resubmitMs: 1300, stopMs: 50};

/** How long the worker may take to kill its runs once their lease has expired, in milliseconds. */
const killMs = 100;
/**
 * How much too late an owner's date may be, in milliseconds: an entry that is on time doesn't subtract the age of its input (40),
 * the end of a connection takes its way (10), and the worker's clock may be 2% slow since its last reading (40).
 */
const dateErrorMs = 90;
/** The share of a caller lease that one order grants. What is left of it is the age at which a start is still taken. */
const renewalShare = 2 / 3;
/** The time to stop the runs of an owner whose date is old before all leases expire, in milliseconds: a check each 100, the stop, and polls until its end is listed. */
const stopAllowanceMs = 400;

/**
 * Leases keeps until when the runs of one incarnation of a worker may live, in worker-clock milliseconds. A lease holds
 * for all runs there and never shortens, whichever order granted it.
 *
 * Each owner of runs has a date: the latest time at which its callers were known to be connected. No lease ends later than the oldest of these
 * dates plus `callerLeaseMs`, so that the worker itself ends each run before its caller's second submission arrives, whatever
 * process, link or machine stands still or is lost on the way:
 *
 *     callerLeaseMs × clockSlack + dateErrorMs + stopMs ≤ resubmitMs
 */
export class Leases {
	static create(bounds: LeaseBounds): Leases {
		return new Leases(bounds);
	}

	/** How long after its owner's date a run may live, in worker-clock milliseconds. */
	readonly callerLeaseMs: number;
	/** How far an order extends the leases at most, in milliseconds. */
	readonly renewalMs: number;
	/** The age of an owner's date at which its runs are stopped, in milliseconds. */
	readonly maxDateAgeMs: number;

	/** The end of the longest lease that an order may have granted; undefined before the first order to this incarnation. */
	private grantedUntil?: number;
	private readonly dates = new Map<string, number>();

	private constructor(private readonly bounds: LeaseBounds) {
		this.callerLeaseMs = Math.floor((bounds.resubmitMs - bounds.stopMs - dateErrorMs) / clockSlack);
		this.renewalMs = Math.min(bounds.longestMs, Math.floor(this.callerLeaseMs * renewalShare));
		this.maxDateAgeMs = this.callerLeaseMs - stopAllowanceMs;
	}

	/** Sets the date of an owner of runs. */
	setDate(owner: string, date: number): void {
		this.dates.set(owner, date);
	}

	/** Whether an owner's date is so old at `clock` that its runs are to be stopped. */
	isOverdue(owner: string, clock: number): boolean {
		const date = this.dates.get(owner);
		return date !== undefined && clock - date > this.maxDateAgeMs;
	}

	/** Whether the leases granted so far allow a run whose owner's date is `date`. */
	allowRun(date: number): boolean {
		return this.grantedUntil === undefined || this.grantedUntil <= date + this.callerLeaseMs;
	}

	/**
	 * Returns until when an order sent at `clock` may extend the leases of all runs, and remembers it. `owners` are those of the runs; an owner
	 * without a date gets no extension. Dates of others are forgotten.
	 */
	grant(clock: number, owners: ReadonlySet<string>): number {
		for (const owner of this.dates.keys()) {
			if (!owners.has(owner)) {
				this.dates.delete(owner);
			}
		}

		let until = clock + this.renewalMs;
		for (const owner of owners) {
			const date = this.dates.get(owner);
			until = Math.min(until, date === undefined ? clock : date + this.callerLeaseMs);
		}

		return this.remember(until);
	}

	/** Returns `clock`: no lease is extended while there may be runs of unknown owners, which may have the longest lease. */
	withhold(clock: number): number {
		this.remember(clock + this.bounds.longestMs);
		return Math.floor(clock);
	}

	/** Whether every run has been killed for want of a lease once the worker's clock shows at least `clock`. */
	haveExpired(clock: number): boolean {
		return this.grantedUntil !== undefined && clock > this.grantedUntil + killMs;
	}

	/** The worker has started again, and its clock with it. */
	restart(): void {
		this.grantedUntil = undefined;
		this.dates.clear();
	}

	private remember(until: number): number {
		const whole = Math.floor(until);
		this.grantedUntil = Math.max(whole, this.grantedUntil ?? whole);
		return whole;
	}
}
