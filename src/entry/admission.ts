import {decideAdmission, type JobDemand} from '../decide/admission.js';
import {fitsEver} from '../decide/packing.js';
import type {Clock} from '../ports/clock.js';
import {results} from '../results.js';
import type {Route} from '../settings/schema.js';
import type {TaskDispatcher} from './task-dispatcher.js';
import type {TableWatcher} from './table-watcher.js';
import type {JobAnswer, Submission} from './submission.js';
import type {UsageMeter} from './usage-meter.js';

/** Parts is what an admission asks. */
export type Dependencies = {clock: Clock; watcher: TableWatcher; dispatcher: TaskDispatcher; meter: UsageMeter};

/** Admitted is what came of an admission: a refusal, or what is set aside until `release`. */
export type AdmissionResult
	= | {kind: 'refused'; answer: JobAnswer}
		| {kind: 'reserved'; release(): void};

/** Admission lets submissions in or refuses them before anything of them is run. */
export class Admission {
	static create(parts: Dependencies): Admission {
		return new Admission(parts);
	}

	isDraining = false;

	private constructor(private readonly parts: Dependencies) {}

	/**
	 * Judges a submission by the drain, its member's quota, the queue and its deadline. What is let in
	 * is set aside at once, so that those who come while it is being claimed are judged with it in
	 * mind; the caller releases that when the work is entered or will not be.
	 */
	admit(submission: Submission): AdmissionResult {
		const {dispatcher: dispatch, meter} = this.parts;
		const demand = this.demandOf(submission);
		const answered = this.judge(submission, demand);
		if (answered) {
			return {kind: 'refused', answer: answered};
		}

		const quota = meter.reserve(submission.member, demand.tasks);
		const queue = dispatch.reserve(submission.settings.pool, demand.tasks, demand.workMs);
		return {
			kind: 'reserved',
			release() {
				quota();
				queue();
			},
		};
	}

	private judge(submission: Submission, demand: JobDemand): JobAnswer | undefined {
		if (this.isDraining) {
			return {code: results.draining.code, retryMs: 0};
		}

		const {watcher: feed, meter, dispatcher: dispatch} = this.parts;
		const {member, settings} = submission;
		const quota = meter.quota(member, feed.config.tables.members.get(member)?.value, feed.entryCount);
		const admission = decideAdmission(dispatch.load(settings.pool), demand, quota);
		if (admission.kind === 'refuse') {
			return {code: admission.code, retryMs: admission.retryMs};
		}

		return this.fitsPool(settings) ? undefined : {code: results.neverFits.code};
	}

	private demandOf({
		route, settings, bodies, deadline,
	}: Submission): JobDemand {
		const {dispatcher: dispatch, clock} = this.parts;
		const times = bodies.map(body => dispatch.estimate.expectedMs(route, body.expectMs ?? settings.expectMs));
		return {
			tasks: bodies.length, workMs: sum(times), longestMs: Math.max(...times), leftMs: deadline - clock.mono(),
		};
	}

	private fitsPool(settings: Route): boolean {
		const workers = this.parts.dispatcher.directory.placesInService(settings.pool).filter(seat => seat.report.kind === 'worker');
		return workers.length === 0 || workers.some(seat => fitsEver(seat.report, settings));
	}
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
