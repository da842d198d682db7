import {slowestRate} from './worker-clock.js';

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
 * How much too late a date may be, in milliseconds: an entry that is on time doesn't subtract the age of its input (40),
 * the end of a connection takes its way (10), and the worker's clock may be 2% slow since its last reading (40).
 */
const dateErrorMs = 90;
/** The share of a caller lease that one order grants. What is left of it is the age at which a start is still taken. */
const renewalShare = 2 / 3;
/** The time to stop the runs whose date is old before all leases expire, in milliseconds: a check each 100, the stop, and polls until its end is listed. */
const stopAllowanceMs = 300;

/**
 * Leases keeps until when the runs of one incarnation of a worker may live, in worker-clock milliseconds. A lease holds
 * for all runs there and never shortens, whichever order granted it.
 *
 * Each run has a date: the latest time at which its caller was known to be connected. No lease ends later than the oldest of these
 * dates plus `callerLeaseMs`, so that the worker itself ends each run before its caller's second submission arrives, whatever
 * process, link or machine stands still or is lost on the way:
 *
 *     callerLeaseMs / slowestRate + dateErrorMs + stopMs ≤ resubmitMs
 */
export class Leases {
	static create(bounds: LeaseBounds): Leases {
		return new Leases(bounds);
	}

	/** How long after its date a run may live, in worker-clock milliseconds. */
	readonly callerLeaseMs: number;
	/** How far an order extends the leases at most, in milliseconds. */
	readonly renewalMs: number;
	/** The age of its date at which a run is stopped, in milliseconds. */
	readonly maxDateAgeMs: number;

	/** The end of the longest lease that an order may have granted; undefined before the first order that is known to have gone to this incarnation. */
	private grantedUntil?: number;

	private constructor(private readonly bounds: LeaseBounds) {
		this.callerLeaseMs = Math.floor((bounds.resubmitMs - bounds.stopMs - dateErrorMs) * slowestRate);
		this.renewalMs = Math.min(bounds.longestMs, Math.floor(this.callerLeaseMs * renewalShare));
		this.maxDateAgeMs = this.callerLeaseMs - stopAllowanceMs;
	}

	/** Whether a date is so old at `clock` that its run is to be stopped. */
	isOverdue(date: number, clock: number): boolean {
		return clock - date > this.maxDateAgeMs;
	}

	/** Whether the leases granted so far allow a run with this date. */
	allowRun(date: number, clock: number): boolean {
		this.limit(clock);
		return this.grantedUntil === undefined || this.grantedUntil <= date + this.callerLeaseMs;
	}

	/** Returns until when an order sent at `clock` may extend the leases of all runs, the oldest of which has this date, and remembers it. */
	grant(clock: number, oldestDate: number): number {
		const until = Math.max(0, Math.floor(Math.min(clock + this.renewalMs, oldestDate + this.callerLeaseMs)));
		this.remember(clock, until);
		return until;
	}

	/** Returns 0, which extends no lease, while there may be runs whose dates are not known. They may have the longest lease. */
	withhold(clock: number): number {
		this.remember(clock, Math.ceil(clock + this.bounds.longestMs));
		return 0;
	}

	/** Whether every run has been killed for want of a lease once the worker's clock shows at least `clock`. */
	haveExpired(clock: number): boolean {
		return this.grantedUntil !== undefined && clock > this.grantedUntil + killMs;
	}

	/** The worker has started again, and its clock with it. */
	restart(): void {
		this.grantedUntil = undefined;
	}

	/** An earlier sidecar, or an order to an earlier incarnation of the same name, may have granted the longest lease. */
	private remember(clock: number, until: number): void {
		this.limit(clock);
		this.grantedUntil = Math.max(until, this.grantedUntil ?? Math.ceil(clock + this.bounds.longestMs));
	}

	/** The worker shortens each lease to the longest from now, so that a reading of its clock that was too high does no lasting harm. */
	private limit(clock: number): void {
		if (this.grantedUntil !== undefined) {
			this.grantedUntil = Math.min(this.grantedUntil, Math.ceil(clock + this.bounds.longestMs));
		}
	}
}
