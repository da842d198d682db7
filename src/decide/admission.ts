import {results} from '../results.js';

/** PoolLoad is the work queued and running in a pool, and the rate at which it completes. */
export type PoolLoad = {
	/** The tasks that wait. */
	queued: number;
	queueLimit: number;
	/** The queued and running work, in milliseconds on a place of usual speed. */
	workMs: number;
	/** Milliseconds of work at usual speed that the pool completes per millisecond. */
	rate: number;
	/** The tasks that the places in service can hold at once. */
	slots: number;
	/** The tasks that run. */
	running: number;
};

/** JobDemand is the work and the deadline of a job. */
export type JobDemand = {
	tasks: number;
	/** Expected time of its tasks on a place of usual speed: the sum, and the longest. */
	workMs: number;
	longestMs: number;
	/** Time left until the deadline. */
	leftMs: number;
};

/** MemberQuota is this entry's share of a client account's limits, and the current use of it. */
export type MemberQuota = {concurrent: number; perSecond: number; running: number; started: number};

/** Factor on the expected time: declared times are inaccurate, and slow places get some of the tasks. */
const durationMargin = 1.5;

/** Admission admits a job, or refuses it with a result code and the milliseconds to wait before a retry. */
export type Admission = {kind: 'admit'} | {kind: 'refuse'; code: number; retryMs: number};

/** Decides whether a job can finish by its deadline at the current rate and within its member's quota. */
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
