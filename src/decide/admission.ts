import {results} from '../results.js';

/** Load is what waits for a pool and how fast it is worked off. */
export type PoolLoad = {
	/** The tasks that wait. */
	queued: number;
	queueLimit: number;
	/** The work that waits and runs, in milliseconds on a place of ordinary speed. */
	workMs: number;
	/** Milliseconds of ordinary work that the pool does in a millisecond. */
	rate: number;
	/** The tasks that the places in service can hold at once. */
	slots: number;
	/** The tasks that run. */
	running: number;
};

/** Demand is what a job asks for. */
export type JobDemand = {
	tasks: number;
	/** Expected time of its tasks on a place of ordinary speed, all together and of the longest. */
	workMs: number;
	longestMs: number;
	/** Time left until the deadline. */
	leftMs: number;
};

/** Quota is a member's part of its limits at this entry, and what it uses of them. */
export type MemberQuota = {concurrent: number; perSecond: number; running: number; started: number};

/** How much longer than expected the work may take: declared times are off, and slow places get their part. */
const durationMargin = 1.5;

/** Admission lets a job in, or names the code and when to come back, in milliseconds. */
export type Admission = {kind: 'admit'} | {kind: 'refuse'; code: number; retryMs: number};

/** Judges whether a job can finish by its deadline at the present rate and within its member's quota. */
export function decideAdmission(load: PoolLoad, demand: JobDemand, quota: MemberQuota): Admission {
	if (quota.running + demand.tasks > quota.concurrent || quota.started + demand.tasks > quota.perSecond) {
		return {kind: 'refuse', code: results.overQuota.code, retryMs: 1000};
	}

	if (load.slots === 0 || load.rate <= 0) {
		return {kind: 'refuse', code: results.noPlace.code, retryMs: 2000};
	}

	const drainMs = load.workMs / load.rate;
	if (load.queued + demand.tasks > load.queueLimit) {
		return {kind: 'refuse', code: results.overloaded.code, retryMs: drainMs};
	}

	const needMs = estimateJobMs(load, demand) * durationMargin;
	if (needMs > demand.leftMs) {
		return {kind: 'refuse', code: results.deadline.code, retryMs: Math.max(needMs - demand.leftMs, 50)};
	}

	return {kind: 'admit'};
}

/** Estimates in how many milliseconds the last of a job's tasks ends: the work ahead, then its own. */
export function estimateJobMs(load: PoolLoad, demand: JobDemand): number {
	const freeSlots = load.slots - load.running - load.queued;
	const ratePerSlot = load.rate / load.slots;
	const ownMs = demand.longestMs / ratePerSlot;
	if (freeSlots >= demand.tasks) {
		return ownMs;
	}

	return ((load.workMs + demand.workMs - demand.longestMs) / load.rate) + ownMs;
}
