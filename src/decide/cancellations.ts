/** How long a cancelled job is remembered, in milliseconds: a submission that is repeated arrives seconds after the first. */
export const cancellationRetentionMs = 60_000;
/** How many cancelled jobs are remembered. */
export const maxCancellations = 100_000;
/** The longest name of a job that can be cancelled, in characters. */
export const maxJobNameLength = 256;

/** Cancellation is a cancelled job and how long ago it was cancelled, in milliseconds. */
export type Cancellation = readonly [job: string, ageMs: number];

/**
 * Cancellations remembers which jobs were cancelled, so that a submission that arrives late or once more starts nothing.
 * None is forgotten early: where there is room for no more, `add` fails, and the cancelling must not be acknowledged.
 */
export class Cancellations {
	static create(limit = maxCancellations): Cancellations {
		return new Cancellations(limit);
	}

	/** When each cancellation is forgotten, in monotonic milliseconds, in the order in which they were added. */
	private readonly expiry = new Map<string, number>();

	private constructor(private readonly limit: number) {}

	get size(): number {
		return this.expiry.size;
	}

	/** Remembers that a job was cancelled `ageMs` ago. Returns whether it is remembered now. One that is known keeps its time. */
	add(job: string, now: number, ageMs = 0): boolean {
		this.dropExpired(now);
		if (this.has(job, now)) {
			return true;
		}

		if (this.expiry.size >= this.limit) {
			return false;
		}

		this.expiry.set(job, now - ageMs + cancellationRetentionMs);
		return true;
	}

	has(job: string, now: number): boolean {
		return (this.expiry.get(job) ?? Number.NEGATIVE_INFINITY) > now;
	}

	/** Returns the cancellations that are remembered. */
	list(now: number): Cancellation[] {
		return [...this.expiry].filter(([, until]) => until > now).map(([job, until]) => [job, Math.round(now - until + cancellationRetentionMs)]);
	}

	/** Forgets the oldest ones. Those that other entries told follow later than they are due, by as much as their age. */
	private dropExpired(now: number): void {
		for (const [job, until] of this.expiry) {
			if (until > now) {
				break;
			}

			this.expiry.delete(job);
		}
	}
}

/** Returns whether a value is the name of a job that can be cancelled. */
export function isJobName(value: unknown): value is string {
	return typeof value === 'string' && value.length > 0 && value.length <= maxJobNameLength;
}

/** Returns whether a value is a cancellation that another entry may tell of. */
export function isCancellation(value: unknown): value is Cancellation {
	return Array.isArray(value) && isJobName(value[0]) && Number.isFinite(value[1]) && value[1] >= 0 && value[1] <= cancellationRetentionMs;
}
