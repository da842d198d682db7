import type {DurationEstimator} from '../duration-estimator.js';
import {fits} from '../resources.js';
import {Shortage, type Applicant} from '../shortage.js';
import {hasStarted, waitingWorkOf, type ActiveJob} from './active-job.js';
import type {Isolation} from './isolation.js';
import type {Jobs} from './jobs.js';
import {compareSortKeys, sortKeyOf} from './ordering.js';
import type {Places, PlaceState} from './places.js';
import {maxRetryMs, minRetryMs, RetryTimes} from './retry-times.js';
import type {
	Job, JobRefusal, Policy, Verdict,
} from './types.js';

/**
 * The warm-up, in milliseconds from the first place found, while places are still being discovered: after a loss of
 * many machines callers return some 1300 ms later, and sidecars and workers take about as long to be found.
 */
const warmUpMs = 3000;

/** AdmissionInputs is what admission looks at: the policy, the places, learned run times, the jobs under way and the routes in quarantine. */
export type AdmissionInputs = {policy: Policy; places: Places; estimator: DurationEstimator; jobs: Jobs; isolation: Isolation};

/** Admission decides which jobs are taken, how long they may wait, and what is said to those that are given up. */
export class Admission {
	static create(inputs: AdmissionInputs): Admission {
		return new Admission(inputs);
	}

	/** When all jobs must have ended because the entry shuts down. */
	stopsAt = Number.POSITIVE_INFINITY;

	/** When the first place reported: the start of the warm-up. */
	private firstPlaceAt = Number.POSITIVE_INFINITY;

	/** The state of admission while a pool is short, by pool. */
	private readonly shortages = new Map<string, Shortage>();
	private readonly retryTimes = RetryTimes.create();

	private constructor(private readonly inputs: AdmissionInputs) {}

	/** Records that a place has reported, the first of which starts the warm-up. */
	placeReported(now: number): void {
		this.firstPlaceAt = Math.min(this.firstPlaceAt, now);
	}

	/** How long a job may wait for its first start, in milliseconds, given its target response time. */
	patienceMs(objective: number, now: number): number {
		const {settlingShare, patienceShare} = this.inputs.policy;
		return objective * (this.isWarmingUp(now) ? settlingShare : patienceShare);
	}

	/** Decides on admission: returns why a new job is refused, or undefined to admit it. A job that may wait longer for its floor gets a later `refuseAt`. */
	refusalReason(activeJob: ActiveJob, now: number): JobRefusal | undefined {
		const {job, tasks, refuseAt, arrivedAt, longestMs} = activeJob;
		if (refuseAt + (longestMs * this.inputs.policy.margin) > this.stopsAt) {
			return 'stopping';
		}

		if (this.isWarmingUp(now)) {
			return undefined;
		}

		const open = this.openFor(job);
		if (open.length === 0 || !tasks.every(({spec}) => open.some(({room}) => fits(spec.resources, room)))) {
			return 'no-place';
		}

		const isTooLate = this.expectedMs(activeJob, now) > refuseAt - arrivedAt;
		const shortage = this.shortageOf(job.pool);
		if (!shortage) {
			return isTooLate ? 'overloaded' : undefined;
		}

		const applicant = applicantOf(activeJob);
		const isExpected = shortage.acts && this.retryTimes.isExpected(job.id, now);
		const isHeldBack = shortage.holdsBack(applicant, this.queueMs(job, waitingWorkIn(this.inputs, job)), now) && !isExpected;
		const latest = Math.max(refuseAt, activeJob.latestStartAt);
		const mayWaitLonger = isTooLate && (isExpected || shortage.isBelowFloor(applicant))
			&& this.expectedMs(activeJob, now) <= latest - now && latest + (longestMs * this.inputs.policy.margin) <= this.stopsAt;
		if (mayWaitLonger) {
			activeJob.refuseAt = latest;
		}

		const isAdmitted = mayWaitLonger || !(isHeldBack || isTooLate);
		shortage.record(applicant, isAdmitted, now);
		return isAdmitted ? undefined : 'overloaded';
	}

	/** Records that an admitted job was refused after all. */
	refusedLate(activeJob: ActiveJob): void {
		this.shortages.get(activeJob.job.pool)?.withdraw(applicantOf(activeJob));
	}

	/** Returns the verdict on a job that is given up. `refused` promises that nothing ran, so a job that may have run, also under an earlier submission, is `expired`. */
	verdictOnGivingUp(activeJob: ActiveJob, why: JobRefusal, now: number): Verdict {
		if (activeJob.mayHaveRunEarlier || hasStarted(activeJob)) {
			return {kind: 'expired'};
		}

		const inputs = {
			expectedMs: Math.round(this.expectedMs(activeJob, now)),
			patienceMs: Math.round(activeJob.refuseAt - activeJob.arrivedAt),
			waiting: this.inputs.jobs.pendingCount(),
			...this.inputs.places.counts,
			...(this.inputs.policy.shortage && {level: Number((this.shortages.get(activeJob.job.pool)?.level ?? 0).toFixed(1))}),
		};
		return {
			kind: 'refused', why, retryMs: this.retryMs(activeJob, why, now), inputs,
		};
	}

	/** Estimates the queueing time of a job: the waiting work ordered before it or equal to it, over this entry's share of the processing rate of its pool. */
	private expectedMs(activeJob: ActiveJob, now: number): number {
		const {policy, estimator} = this.inputs;
		const sortKey = sortKeyOf(activeJob, policy, now);
		let work = 0;
		for (const other of rivalsOf(this.inputs, activeJob.job)) {
			if (compareSortKeys(sortKeyOf(other, policy, now), sortKey) <= 0) {
				work += estimator.expectedMs(other.job.route, waitingWorkOf(other));
			}
		}

		return this.queueMs(activeJob.job, work);
	}

	/** Returns the time in which this entry's share of the processing rate of the places of a job does so much work, in milliseconds. */
	private queueMs(job: Job, work: number): number {
		const {policy, estimator} = this.inputs;
		let rate = 0;
		let own = 0;
		let others = 0;
		for (const place of this.openFor(job)) {
			rate += place.room.cpu / estimator.slowness(place.id);
			own += place.ownUsage.cpu;
			others += place.others.cpu;
		}

		const share = own + others === 0 ? 1 : Math.max(policy.shareLeast, own / (own + others));
		return rate === 0 ? 0 : work / (rate * share);
	}

	/** Returns the open places at which the route of a job may start. */
	private openFor({pool, route}: Job): PlaceState[] {
		const {places, isolation} = this.inputs;
		const open = places.openIn(pool);
		const group = isolation.groupOf(pool, route);
		return isolation.isIdle ? open : open.filter(place => isolation.groupOfPlace(place) === group);
	}

	private shortageOf(pool: string): Shortage | undefined {
		const settings = this.inputs.policy.shortage;
		let shortage = this.shortages.get(pool);
		if (!shortage && settings) {
			shortage = Shortage.create(settings);
			this.shortages.set(pool, shortage);
		}

		return shortage;
	}

	private isWarmingUp(now: number): boolean {
		return now - this.firstPlaceAt < warmUpMs;
	}

	private retryMs(activeJob: ActiveJob, why: JobRefusal, now: number): number {
		const {job, refuseAt, arrivedAt} = activeJob;
		const {id, route} = job;
		const shortage = this.shortages.get(job.pool);
		if (why === 'overloaded' && shortage?.acts) {
			const applicant = applicantOf(activeJob);
			const excessMs = Math.max(0, this.expectedMs(activeJob, now) - (refuseAt - arrivedAt));
			return Math.round(this.retryTimes.suggest({
				id, route, expectedMs: excessMs + shortage.recoveryMs(applicant), workMs: this.queueMs(job, applicant.work),
			}, now));
		}

		return Math.min(maxRetryMs, minRetryMs + (this.inputs.jobs.pendingCount() * 50));
	}
}

function applicantOf({job, tasks}: ActiveJob): Applicant {
	return {route: job.route, priority: job.priority, work: tasks.reduce((sum, {spec}) => sum + (spec.resources.cpu * spec.estimateMs), 0)};
}

/** Returns the jobs that wait for the same places as a job. */
function rivalsOf({jobs, isolation}: AdmissionInputs, {pool, route}: Job): Iterable<ActiveJob> {
	const waiting = jobs.waiting(pool);
	const group = isolation.groupOf(pool, route);
	return isolation.isIdle ? waiting : [...waiting].filter(({job}) => isolation.groupOf(pool, job.route) === group);
}

/** Returns the expected work of all tasks that wait for the places of a job, in thousandths of a core times milliseconds. */
function waitingWorkIn(inputs: AdmissionInputs, job: Job): number {
	const {estimator} = inputs;
	let work = 0;
	for (const activeJob of rivalsOf(inputs, job)) {
		work += estimator.expectedMs(activeJob.job.route, waitingWorkOf(activeJob));
	}

	return work;
}
