import type {PollResult} from '../ports/executor.js';
import type {Worker} from './guard.js';

/** Report is what a worker says of itself, with its own clock in milliseconds and the number of the report in its incarnation. */
export type Report = {worker: Worker; clock: number; sequence: number};

export type ReportEvent
	/** `workerClock` is the worker's clock at this time by what it told in its replies. */
	= | {kind: 'reported'; report: Report; workerClock: number}
	/** The reply to a probe that was sent at `sentAt`. */
		| {kind: 'answered'; incarnation: string; result: PollResult; sentAt: number};

/**
 * Why a report is ignored. `late`: a newer one is known. `contradicted`: the worker's own reply shows another incarnation or a lower
 * clock. `unanswered`: the worker has not replied for `answerWithinMs`. `displaced`: too many newer ones wait for it.
 */
export type IgnoredReason = 'late' | 'contradicted' | 'unanswered' | 'displaced';

export type ReportAction
	/** `clock` is the worker's clock by its reply, or that of the report where no reply was needed. */
	= | {kind: 'accept'; report: Report; clock: number}
	/** Poll the incarnation in `afterMs` milliseconds, without renewing leases. */
		| {kind: 'probe'; incarnation: string; afterMs: number}
		| {kind: 'ignore'; report: Report; why: IgnoredReason};

/** Candidate is a report that the worker has to confirm. */
type Candidate = {report: Report; arrivedAt: number};

/** How far a report's clock may be ahead of the clock by the worker's replies, in milliseconds, since a reply may be read late. */
export const clockToleranceMs = 100;
/** How long a report waits for the worker's reply, in milliseconds. A worker that is there reports again. */
export const answerWithinMs = 10_000;
/** The most candidates at a time. */
export const maxCandidates = 8;
/** The pause before the next probe, in milliseconds. It grows with each reply that decides nothing. */
const probePauseMs = 50;
const maxPauseFactor = 6;

/**
 * ReportCheck decides which reports of a worker count. Reports may be delayed, or come from another writer, so that one of an
 * incarnation that is not known yet, or with a clock ahead of the worker's, counts only once the worker has confirmed it: its reply
 * to a poll tells the start and the clock of the incarnation that is there. Until then what was known before stands.
 */
export class ReportCheck {
	static create(): ReportCheck {
		return new ReportCheck();
	}

	/** The newest report that counts. */
	private newest?: Report;
	private candidates: Candidate[] = [];
	/** The incarnations that are being probed, with the number of replies so far that decided nothing. */
	private readonly probed = new Map<string, number>();

	private constructor() {
		// Created by `create`.
	}

	/** Whether a report of another incarnation than the known one waits for confirmation. */
	get mayHaveRestarted(): boolean {
		return this.newest !== undefined && this.candidates.some(({report}) => !this.isKnownIncarnation(report));
	}

	/** Handles one event. `now` is in monotonic milliseconds. */
	step(event: ReportEvent, now: number): ReportAction[] {
		switch (event.kind) {
			case 'reported': {
				return this.handleReport(event.report, event.workerClock, now);
			}

			case 'answered': {
				return this.handleAnswer(event.incarnation, event.result, event.sentAt, now);
			}
		}
	}

	private handleReport(report: Report, workerClock: number, now: number): ReportAction[] {
		if (this.isLate(report)) {
			return [{kind: 'ignore', report, why: 'late'}];
		}

		if (this.isKnownIncarnation(report) && report.clock <= workerClock + clockToleranceMs) {
			return [this.accept(report, report.clock)];
		}

		this.candidates.push({report, arrivedAt: now});
		const displaced = this.candidates.splice(0, this.candidates.length - maxCandidates);
		const actions: ReportAction[] = displaced.map(candidate => ({kind: 'ignore', report: candidate.report, why: 'displaced'}));
		const {incarnation} = report.worker;
		if (!this.probed.has(incarnation)) {
			this.probed.set(incarnation, 0);
			actions.push({kind: 'probe', incarnation, afterMs: 0});
		}

		return actions;
	}

	private handleAnswer(incarnation: string, result: PollResult, sentAt: number, now: number): ReportAction[] {
		const actions: ReportAction[] = [];
		const isSettled = result.kind === 'seen' || (result.kind === 'refused' && result.reason === 'other-life');
		for (const candidate of this.candidates.toSorted((a, b) => a.report.clock - b.report.clock)) {
			const {report, arrivedAt} = candidate;
			if (report.worker.incarnation !== incarnation) {
				continue;
			}

			if (isSettled && arrivedAt <= sentAt) {
				this.remove(candidate);
				actions.push(this.judge(report, result));
			} else if (now - arrivedAt > answerWithinMs) {
				this.remove(candidate);
				actions.push({kind: 'ignore', report, why: 'unanswered'});
			}
		}

		if (!this.candidates.some(({report}) => report.worker.incarnation === incarnation)) {
			this.probed.delete(incarnation);
			return actions;
		}

		const undecided = isSettled ? 0 : this.probed.get(incarnation)! + 1;
		this.probed.set(incarnation, undecided);
		// A refused fence is raised at once. Another reason to wait has to pass by itself.
		const isFenced = result.kind === 'refused' && result.reason === 'fence' && undecided === 1;
		actions.push({kind: 'probe', incarnation, afterMs: isFenced ? 0 : probePauseMs * Math.min(Math.max(undecided, 1), maxPauseFactor)});
		return actions;
	}

	/** Decides on a report by a reply that was made after it. */
	private judge(report: Report, result: PollResult): ReportAction {
		if (this.isLate(report)) {
			return {kind: 'ignore', report, why: 'late'};
		}

		const isConfirmed = result.kind === 'seen' && result.born === report.worker.born && report.clock <= result.clock + clockToleranceMs;
		return isConfirmed ? this.accept(report, result.clock) : {kind: 'ignore', report, why: 'contradicted'};
	}

	private accept(report: Report, clock: number): ReportAction {
		this.newest = report;
		return {kind: 'accept', report, clock};
	}

	private remove(candidate: Candidate): void {
		this.candidates = this.candidates.filter(other => other !== candidate);
	}

	/** The number of a report only tells apart those of one reading of the clock: a wrong number must not outlast it. */
	private isLate({worker, clock, sequence}: Report): boolean {
		const {newest} = this;
		if (newest === undefined || worker.born < newest.worker.born) {
			return newest !== undefined;
		}

		return this.isKnownIncarnation({worker}) && (clock < newest.clock || (clock === newest.clock && sequence < newest.sequence));
	}

	private isKnownIncarnation({worker}: Pick<Report, 'worker'>): boolean {
		return worker.born === this.newest?.worker.born && worker.incarnation === this.newest.worker.incarnation;
	}
}
