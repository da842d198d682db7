import type {Outcome, Usage} from '../decide/claim.js';
import type {Route} from '../settings/schema.js';
import type {TaskInput, ExecutionResult, AdmittedJob} from './job-execution.js';

/** A job or request of a caller, after validation. */
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

/** An outcome, with the delay before a retry in milliseconds where it is known. */
export type JobAnswer = Outcome & {retryMs?: number};

/** Returns the job of a submission without the fields of its claim. */
export function admittedJobOf(submission: Submission): Omit<AdmittedJob, 'claim' | 'keyed' | 'epoch'> {
	const {
		member, route, settings, repeatable, bodies, deadline,
	} = submission;
	return {
		member, route, settings, repeatable, bodies, deadline,
	};
}

/** Returns the usage that a completed execution adds to the client account. */
export function usageOf(ending: ExecutionResult): Usage {
	return {jobs: 1, tasks: ending.done, ms: Math.round(ending.ranMs)};
}
