import type {Job, TaskSpec} from './types.js';

/** Task is one task of an admitted job with its state. */
export type Task = {
	spec: TaskSpec;
	/** `placed`: an order for it is outstanding; `unknown`: the link to its place was lost meanwhile, so that it may still run there. */
	state: 'waiting' | 'placed' | 'unknown' | 'done';
	/** Its latest order. */
	ref: number;
	place: string;
	placedAt: number;
	/** The earliest time at which it may be placed again. */
	notBefore: number;
	failures: number;
	/** The place where it last failed or was lost; others are preferred. */
	lastFailedPlace: string;
	/** Whether its run was ordered to stop because it hung or its worker leaves. */
	stopSent: boolean;
	/** Until when it waits for room in the rack of its data, once there was room elsewhere only. */
	rackWaitUntil?: number;
};

/** ActiveJob is an admitted job with the progress of its tasks and the times that govern it. */
export type ActiveJob = {
	job: Job;
	/** Its place in the order of arrival. */
	sequence: number;
	tasks: Task[];
	/** How many of them wait. */
	waitingTasks: number;
	/** Their declared work, in thousandths of a core times milliseconds; undefined when it has to be computed. */
	waitingWork: number | undefined;
	arrivedAt: number;
	/** When the caller stops waiting. */
	deadline: number;
	/** The job is refused when none of its tasks was placed by then. */
	refuseAt: number;
	/** When the longest task must start for the job to meet its target; jobs are ordered by this. */
	latestStartAt: number;
	/** The expected time of its longest task, in milliseconds. */
	longestMs: number;
	/** When its last task must end for the job to meet its target response time. */
	objectiveAt: number;
	/** Whether a task of it may have run under an earlier submission that has ended. */
	mayHaveRunEarlier: boolean;
	/** Whether a task of it has run or may have, or may still run from an earlier submission. */
	mayHaveRun: boolean;
};

/** A job is worth something until this many times its target response time. */
const worthFactor = 3;

/** Returns when a job is worth nothing more: at the limit of its response time, or when its caller stops waiting. */
export function worthUntil({arrivedAt, objectiveAt, deadline}: ActiveJob): number {
	return Math.min(deadline, arrivedAt + (worthFactor * (objectiveAt - arrivedAt)));
}

/** Whether a task of the job may have run or has an order outstanding; such a job is no longer refused. */
export function hasStarted({mayHaveRun, waitingTasks, tasks}: ActiveJob): boolean {
	return mayHaveRun || waitingTasks < tasks.length;
}

/** Returns the declared work of the waiting tasks, in thousandths of a core times milliseconds. */
export function waitingWorkOf(activeJob: ActiveJob): number {
	if (activeJob.waitingWork === undefined) {
		let work = 0;
		for (const {state, spec} of activeJob.tasks) {
			work += state === 'waiting' ? spec.resources.cpu * spec.estimateMs : 0;
		}

		activeJob.waitingWork = work;
	}

	return activeJob.waitingWork;
}

/** Whether a task is kept for room in the rack of its data. */
export function isWaitingForRack({rackWaitUntil}: Task, now: number): boolean {
	return rackWaitUntil !== undefined && now < rackWaitUntil;
}
