import {decideAdmission, type JobDemand} from '../decide/admission.js';
import {fitsEver} from '../decide/packing.js';
import type {Clock} from '../ports/clock.js';
import {results} from '../results.js';
import type {Route} from '../settings/schema.js';
import type {TaskDispatcher} from './task-dispatcher.js';
import type {TableWatcher} from './table-watcher.js';
import type {JobAnswer, Submission} from './submission.js';
import type {UsageMeter} from './usage-meter.js';

/** What an admission decision reads and reserves in. */
export type Dependencies = {clock: Clock; watcher: TableWatcher; dispatcher: TaskDispatcher; meter: UsageMeter};

/** The result of an admission: a refusal, or a reservation that holds until `release` is called. */
export type AdmissionResult
	= | {kind: 'refused'; answer: JobAnswer}
		| {kind: 'reserved'; release(): void};

/** Admits or refuses submissions before any of their tasks is run. */
export class Admission {
	static create(dependencies: Dependencies): Admission {
		return new Admission(dependencies);
	}

	isDraining = false;

	private constructor(private readonly dependencies: Dependencies) {}

	/**
	 * Decides by the drain state, the quota of the client account, the queue length and the deadline.
	 * An admitted submission is reserved at once, so that submissions that arrive while it is being
	 * claimed are decided with it counted. The caller releases the reservation as soon as the tasks
	 * are queued or it is known that they will not be.
	 */
	admit(submission: Submission): AdmissionResult {
		const {dispatcher, meter} = this.dependencies;
		const demand = this.demandOf(submission);
		const refusal = this.findRefusal(submission, demand);
		if (refusal) {
			return {kind: 'refused', answer: refusal};
		}

		const releaseQuota = meter.reserve(submission.member, demand.tasks);
		const releaseQueue = dispatcher.reserve(submission.settings.pool, demand.tasks, demand.workMs);
		return {
			kind: 'reserved',
			release() {
				releaseQuota();
				releaseQueue();
			},
		};
	}

	private findRefusal(submission: Submission, demand: JobDemand): JobAnswer | undefined {
		if (this.isDraining) {
			return {code: results.draining.code, retryMs: 0};
		}

		const {watcher, meter, dispatcher} = this.dependencies;
		const {member, settings} = submission;
		const quota = meter.quota(member, watcher.config.tables.members.get(member)?.value, watcher.entryCount);
		const admission = decideAdmission(dispatcher.load(settings.pool), demand, quota);
		if (admission.kind === 'refuse') {
			return {code: admission.code, retryMs: admission.retryMs};
		}

		return this.fitsPool(settings) ? undefined : {code: results.neverFits.code};
	}

	private demandOf({
		route, settings, bodies, deadline,
	}: Submission): JobDemand {
		const {dispatcher, clock} = this.dependencies;
		const expectedMs = bodies.map(body => dispatcher.estimate.expectedMs(route, body.expectMs ?? settings.expectMs));
		return {
			tasks: bodies.length, workMs: sum(expectedMs), longestMs: Math.max(...expectedMs), leftMs: deadline - clock.mono(),
		};
	}

	private fitsPool(settings: Route): boolean {
		const workers = this.dependencies.dispatcher.directory.placesInService(settings.pool).filter(place => place.report.kind === 'worker');
		return workers.length === 0 || workers.some(place => fitsEver(place.report, settings));
	}
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
