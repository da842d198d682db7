/** How long the worker may take to kill its runs once their lease has expired, in milliseconds. */
const killMs = 100;

/**
 * Leases keeps until when the runs of one incarnation of a worker may live, in worker-clock milliseconds. A lease holds
 * for all runs there and never shortens, whichever order granted it.
 */
export class Leases {
	/** `longestMs`: the longest lease that the worker grants, in milliseconds. */
	static create(longestMs: number): Leases {
		return new Leases(longestMs);
	}

	/** The end of the longest lease that an order may have granted; undefined before the first order to this incarnation. */
	private grantedUntil?: number;

	private constructor(private readonly longestMs: number) {}

	/** Returns the end of the lease for an order dated `clock`, and remembers it. */
	grant(clock: number): number {
		const until = Math.floor(clock + this.longestMs);
		this.grantedUntil = Math.max(until, this.grantedUntil ?? until);
		return until;
	}

	/** Whether every run has been killed for want of a lease once the worker's clock shows at least `clock`. */
	haveExpired(clock: number): boolean {
		return this.grantedUntil !== undefined && clock > this.grantedUntil + killMs;
	}

	/** The worker has started again, and its clock with it. */
	restart(): void {
		this.grantedUntil = undefined;
	}
}
