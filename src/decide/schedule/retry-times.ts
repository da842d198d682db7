/** Bounds of the retry delay suggested to a refused caller, in milliseconds. */
export const minRetryMs = 1000;
export const maxRetryMs = 5000;
/** How long after its time a caller that was told to come back still counts as such, in milliseconds: the delay is sent in whole seconds, rounded up. */
const returnGraceMs = 3000;
/** The most callers that are remembered; older ones come back like new ones. */
const maxRemembered = 4096;

/**
 * RetryTimes tells refused callers when to come back, one route after the other at the rate at which the pool can serve
 * them, and recognises those that do, so that a caller is not refused twice for the same shortage.
 */
export class RetryTimes {
	static create(): RetryTimes {
		return new RetryTimes();
	}

	/** The time given to the last refused caller, by route. */
	private readonly lastByRoute = new Map<string, number>();
	/** When a refused caller was told to come back, by job. */
	private readonly timeByJob = new Map<string, number>();

	private constructor() {
		// Created by `create`.
	}

	/** Returns the delay for a refused job, in milliseconds: room is expected after `expectedMs`, and the pool needs `workMs` for the job. */
	suggest({id, route, expectedMs, workMs}: {id: string; route: string; expectedMs: number; workMs: number}, now: number): number {
		const earliest = now + Math.min(maxRetryMs, Math.max(minRetryMs, expectedMs));
		const next = Math.max(earliest, (this.lastByRoute.get(route) ?? Number.NEGATIVE_INFINITY) + workMs);
		// More callers than can be served by then start again from the earliest time.
		const time = next > now + maxRetryMs ? earliest : next;
		this.lastByRoute.set(route, time);
		this.timeByJob.delete(id);
		this.timeByJob.set(id, time);
		for (const oldest of this.timeByJob.keys()) {
			if (this.timeByJob.size <= maxRemembered) {
				break;
			}

			this.timeByJob.delete(oldest);
		}

		return time - now;
	}

	/** Whether a job was refused before and comes back when it was told to. It counts once. */
	isExpected(id: string, now: number): boolean {
		const time = this.timeByJob.get(id);
		this.timeByJob.delete(id);
		return time !== undefined && now >= time && now <= time + returnGraceMs;
	}
}
