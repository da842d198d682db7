import {hasStarted, type ActiveJob} from './active-job.js';
import type {Policy} from './types.js';

/** SortKey orders jobs at a point in time, see `compareSortKeys`; `late`: the job has not started and can no longer meet its target. */
export type SortKey = {late: boolean; priority: number; hasStarted: boolean; latestStartAt: number};

export function sortKeyOf(activeJob: ActiveJob, policy: Policy, now: number): SortKey {
	const isStarted = hasStarted(activeJob);
	return {
		late: policy.lateLast && now > activeJob.latestStartAt && !isStarted,
		priority: policy.urgentFirst ? activeJob.job.priority : 0,
		hasStarted: policy.begunFirst && isStarted,
		latestStartAt: policy.arrivalOrder ? activeJob.arrivedAt : activeJob.latestStartAt,
	};
}

/** Jobs that can meet their target go first, then the more urgent, then those that have started, then those with the earliest latest start. */
export function compareSortKeys(a: SortKey, b: SortKey): number {
	return Number(a.late) - Number(b.late)
		|| a.priority - b.priority
		|| Number(b.hasStarted) - Number(a.hasStarted)
		|| a.latestStartAt - b.latestStartAt;
}

/** Returns the jobs in scheduling order, equal ones by their arrival. */
export function inOrder(jobs: Iterable<ActiveJob>, policy: Policy, now: number): ActiveJob[] {
	return Array.from(jobs, activeJob => ({activeJob, sortKey: sortKeyOf(activeJob, policy, now)}))
		.toSorted((a, b) => compareSortKeys(a.sortKey, b.sortKey) || a.activeJob.sequence - b.activeJob.sequence)
		.map(({activeJob}) => activeJob);
}
