import type {PolicySettings} from '../settings/policy.js';

/** EntryLimits is what is known of an entry's own resources: its share of the time of one core, and the rate of its link. */
export type EntryLimits = {cpuShare?: number; linkBytesPerSecond?: number};

/** EntryLoad holds the figures of an entry's load. A figure that is absent, negative or not finite does not count. */
export type EntryLoad = {
	/** How late the event loop serves what is ready, in milliseconds. */
	loopDelayMs?: number;
	/** Bytes not yet taken by the sockets of the links, and all bytes written to links so far. */
	unsentBytes?: number;
	writtenBytes?: number;
	/** The age of the oldest request that was read and has not been admitted, in milliseconds. */
	oldestMs?: number;
	/** Jobs in hand, those that were read and not yet admitted included. */
	jobs?: number;
};

/** Which figure was over its limit. */
export type OverloadReason = 'loop' | 'link' | 'age' | 'jobs';

export type OverloadDecision
	= | {kind: 'taken'}
	/** `figures` holds the figure of each reason as a multiple of its limit. */
		| {kind: 'refused'; why: OverloadReason; retryMs: number; figures: Partial<Record<OverloadReason, number>>};

/** Bounds of the retry delay, in milliseconds. */
const minRetryMs = 1000;
const maxRetryMs = 5000;
/** The fewest jobs in hand that count as too many, so that an entry of a small share can still serve a burst. */
const leastJobs = 32;

/**
 * Overload decides whether an entry takes a new job, by the delay that its processor and its link add. Once a figure
 * is over its limit, jobs are refused until all figures are below `leaveShare` of theirs.
 */
export class Overload {
	/** Returns nothing where the part is off: by its switch, or because no limit of the entry is known. */
	static create(settings: PolicySettings['overload'], limits: EntryLimits): Overload | undefined {
		const isKnown = limits.cpuShare !== undefined || limits.linkBytesPerSecond !== undefined;
		return settings.enabled === 'on' || (settings.enabled === 'auto' && isKnown) ? new Overload(settings, limits) : undefined;
	}

	private isRefusing = false;
	/** Bytes on their way through the link by its rate, since the kernel takes bytes long before they are sent. */
	private backlogBytes = 0;
	private writtenBytes = 0;
	private updatedAt?: number;

	private constructor(private readonly settings: PolicySettings['overload'], private readonly limits: EntryLimits) {}

	/** Decides on one new job. `now` is in monotonic milliseconds. */
	decide(load: EntryLoad, now: number): OverloadDecision {
		const figures = this.figuresOf(load, now);
		let worst: OverloadReason | undefined;
		for (const why of Object.keys(figures) as OverloadReason[]) {
			worst = worst === undefined || figures[why]! > figures[worst]! ? why : worst;
		}

		const most = worst === undefined ? 0 : figures[worst]!;
		this.isRefusing = most > (this.isRefusing ? this.settings.leaveShare : 1);
		return this.isRefusing && worst !== undefined
			? {
				kind: 'refused', why: worst, retryMs: Math.min(maxRetryMs, Math.max(minRetryMs, Math.round(minRetryMs * most))), figures,
			}
			: {kind: 'taken'};
	}

	private figuresOf({
		loopDelayMs, unsentBytes, writtenBytes, oldestMs, jobs,
	}: EntryLoad, now: number): Partial<Record<OverloadReason, number>> {
		const {delayLimitMs, jobsPerCore} = this.settings;
		const {cpuShare = 1, linkBytesPerSecond} = this.limits;
		const figures: Partial<Record<OverloadReason, number>> = {};
		if (isValid(loopDelayMs)) {
			figures.loop = loopDelayMs / delayLimitMs;
		}

		if (linkBytesPerSecond !== undefined) {
			this.updateBacklog(linkBytesPerSecond, writtenBytes, now);
			figures.link = Math.max(isValid(unsentBytes) ? unsentBytes : 0, this.backlogBytes) * 1000 / linkBytesPerSecond / delayLimitMs;
		}

		if (isValid(oldestMs)) {
			figures.age = oldestMs / delayLimitMs;
		}

		if (isValid(jobs)) {
			figures.jobs = jobs / Math.max(leastJobs, jobsPerCore * cpuShare);
		}

		return figures;
	}

	private updateBacklog(bytesPerSecond: number, writtenBytes: number | undefined, now: number): void {
		if (!isValid(writtenBytes)) {
			return;
		}

		const passedMs = Math.max(0, now - (this.updatedAt ?? now));
		this.backlogBytes = this.updatedAt === undefined ? 0 : Math.max(0, this.backlogBytes + Math.max(0, writtenBytes - this.writtenBytes) - (bytesPerSecond * passedMs / 1000));
		this.writtenBytes = writtenBytes;
		this.updatedAt = now;
	}
}

/** The time over which the delay of the loop is averaged, in milliseconds: one late turn is no overload. */
const averagedMs = 200;
/** A loop that is later than this was not run at all, in milliseconds: the delay is no figure of its load. */
const pausedMs = 1000;

/** LoopDelay averages how late a periodic timer fires. */
export class LoopDelay {
	static create(intervalMs: number): LoopDelay {
		return new LoopDelay(intervalMs);
	}

	private firedAt?: number;
	private delayMs?: number;

	private constructor(private readonly intervalMs: number) {}

	/** The timer has fired. The first figure after a pause of the process is discarded. */
	fired(now: number): void {
		const passedMs = now - (this.firedAt ?? now);
		const lateMs = Math.max(0, passedMs - this.intervalMs);
		this.firedAt = now;
		this.delayMs = lateMs > pausedMs ? undefined : average(this.delayMs ?? 0, lateMs, passedMs);
	}

	/** The delay in milliseconds, that of a timer that is due included; nothing after a pause. */
	valueAt(now: number): number | undefined {
		const passedMs = now - (this.firedAt ?? now);
		const lateMs = Math.max(0, passedMs - this.intervalMs);
		return this.delayMs === undefined || lateMs > pausedMs ? undefined : Math.max(this.delayMs, average(this.delayMs, lateMs, passedMs));
	}
}

function average(before: number, value: number, passedMs: number): number {
	return before + ((value - before) * Math.min(1, passedMs / averagedMs));
}

function isValid(value: number | undefined): value is number {
	return value !== undefined && Number.isFinite(value) && value >= 0;
}
