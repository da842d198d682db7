import type {Outcome, Usage} from '../decide/claim.js';
import type {Route} from '../settings/schema.js';
import type {TaskInput, ExecutionResult, AdmittedJob} from './job-execution.js';

/** Submission is a job or request as a caller sent it, checked. */
export type Submission = {
	member: string;
	/** The caller's key; without one the request is not claimed. */
	key?: string;
	hash: string;
	route: string;
	settings: Route;
	/** Whether its tasks may be started again after they may have run. */
	repeatable: boolean;
	bodies: readonly TaskInput[];
	/** Monotonic milliseconds. */
	deadline: number;
};

/** Answered is an outcome with when to come back, in milliseconds, where that is known. */
export type JobAnswer = Outcome & {retryMs?: number};

/** Returns the work that a submission asks for, but for its claim. */
export function admittedJobOf(submission: Submission): Omit<AdmittedJob, 'claim' | 'keyed' | 'epoch'> {
	const {
		member, route, settings, repeatable, bodies, deadline,
	} = submission;
	return {
		member, route, settings, repeatable, bodies, deadline,
	};
}

/** Returns what a run that is complete adds to its member's account. */
export function usageOf(ending: ExecutionResult): Usage {
	return {jobs: 1, tasks: ending.done, ms: Math.round(ending.ranMs)};
}
