import type {Logger} from 'pino';
import {Cancellations, isCancellation, isJobName} from '../decide/cancellations.js';
import type {Clock} from '../ports/clock.js';
import type {Link} from './link.js';
import type {CancellationMessage} from './messages.js';
import type {DispatcherMetrics} from './metrics.js';

/** How long other entries have to answer a cancelling, in milliseconds. */
const answerMs = 1000;
/** The most cancellations of one message. */
const maxListed = 1000;

/**
 * CancelOutcome is what is known of a job that was cancelled. `unknown`: it is under way at no entry. `unconfirmed`: an
 * entry that may hold it can't be reached, or there was no room to remember the cancelling.
 */
export type CancelOutcome = 'cancelled' | 'unknown' | 'unconfirmed';
type Answer = (outcome: CancelOutcome) => void;

/** Inquiry is a cancelling that other entries have been told and have not all answered. */
type Inquiry = {awaited: Set<Link>; answers: Answer[]; isComplete: boolean; timer: NodeJS.Timeout};

export type CancellationExchangeOptions = {
	clock: Clock;
	log: Logger;
	meters: DispatcherMetrics;
	/** Cancels a job here. Returns whether it was under way. */
	cancelHere(job: string): boolean;
	/** Returns whether another entry may be there that has no link. */
	isEntryAway(): boolean;
};

/**
 * CancellationExchange makes a cancelling hold at every entry: each remembers it, the one that holds the job ends it, and an
 * entry that links later is told. It knows whether all that can hold the job have answered.
 */
export class CancellationExchange {
	static create(options: CancellationExchangeOptions): CancellationExchange {
		return new CancellationExchange(options);
	}

	private readonly memory = Cancellations.create();
	private readonly links = new Set<Link>();
	private readonly inquiries = new Map<string, Inquiry>();

	private constructor(private readonly options: CancellationExchangeOptions) {}

	/** Whether a job was cancelled, so that no submission of it may start anything. */
	isCancelled(job: string): boolean {
		return this.memory.has(job, this.options.clock.mono());
	}

	/** Cancels a job at all entries, and calls `answer` as soon as the outcome is known. */
	cancel(job: string, answer: Answer): void {
		const isRemembered = this.memory.add(job, this.options.clock.mono());
		const isUnderWay = this.options.cancelHere(job);
		const asked = [...this.links].filter(link => link.speaks('cancels'));
		for (const link of asked) {
			link.send({kind: 'cancel', job});
		}

		if (!isRemembered) {
			this.options.log.warn({event: 'cancel', job, remembered: this.memory.size}, 'no room to remember a cancelling; it is not acknowledged');
			answer('unconfirmed');
		} else if (isUnderWay) {
			answer('cancelled');
		} else {
			this.await(job, asked, answer);
		}
	}

	/** Adds a link to another entry, and tells it what has been cancelled. */
	addLink(link: Link): void {
		this.links.add(link);
		const jobs = link.speaks('cancels') ? this.memory.list(this.options.clock.mono()) : [];
		for (let from = 0; from < jobs.length; from += maxListed) {
			link.send({kind: 'cancellations', jobs: jobs.slice(from, from + maxListed)});
		}
	}

	removeLink(link: Link): void {
		this.links.delete(link);
		for (const [job, inquiry] of this.inquiries) {
			if (inquiry.awaited.delete(link)) {
				inquiry.isComplete = false;
				this.settleIfAnswered(job, inquiry);
			}
		}
	}

	receive(message: CancellationMessage, link: Link): void {
		switch (message.kind) {
			case 'cancel': {
				this.handleCancel(message.job, link);
				break;
			}

			case 'cancelAnswer': {
				this.handleAnswer(message, link);
				break;
			}

			case 'cancellations': {
				this.handleList(message.jobs, link);
				break;
			}
		}
	}

	/** Answers every cancelling that waits for other entries. */
	giveUp(): void {
		for (const job of this.inquiries.keys()) {
			this.settle(job, 'unconfirmed');
		}
	}

	close(): void {
		for (const {timer} of this.inquiries.values()) {
			clearTimeout(timer);
		}
	}

	private await(job: string, asked: readonly Link[], answer: Answer): void {
		const isComplete = asked.length === this.links.size && !this.options.isEntryAway();
		const known = this.inquiries.get(job);
		if (known) {
			known.answers.push(answer);
			known.isComplete &&= isComplete;
			return;
		}

		const inquiry: Inquiry = {
			awaited: new Set(asked),
			answers: [answer],
			isComplete,
			timer: setTimeout(() => {
				this.settle(job, 'unconfirmed');
			}, answerMs),
		};
		this.inquiries.set(job, inquiry);
		this.settleIfAnswered(job, inquiry);
	}

	private settleIfAnswered(job: string, {awaited, isComplete}: Inquiry): void {
		if (awaited.size === 0) {
			this.settle(job, isComplete ? 'unknown' : 'unconfirmed');
		}
	}

	private settle(job: string, outcome: CancelOutcome): void {
		const {awaited, answers, timer} = this.inquiries.get(job)!;
		this.inquiries.delete(job);
		clearTimeout(timer);
		this.options.log.info({
			event: 'cancel', job, outcome, unanswered: [...awaited].map(({peer}) => peer?.node), entries: this.links.size,
		}, 'cancelling of a job that is not under way here');
		for (const answer of answers) {
			answer(outcome);
		}
	}

	private handleCancel(job: unknown, link: Link): void {
		if (!isJobName(job)) {
			this.ignore('cancel', job, link);
			return;
		}

		const isRemembered = this.memory.add(job, this.options.clock.mono());
		const isUnderWay = this.options.cancelHere(job);
		if (isUnderWay) {
			this.options.log.info({event: 'cancel', job, from: link.peer?.node}, 'job cancelled by another entry');
		}

		// Without an answer the cancelling is not acknowledged.
		if (isRemembered) {
			link.send({kind: 'cancelAnswer', job, isUnderWay});
		}
	}

	private handleAnswer({job, isUnderWay}: CancellationMessage & {kind: 'cancelAnswer'}, link: Link): void {
		const inquiry = isJobName(job) ? this.inquiries.get(job) : undefined;
		if (!isJobName(job) || typeof isUnderWay !== 'boolean') {
			this.ignore('cancelAnswer', job, link);
		} else if (inquiry?.awaited.delete(link)) {
			if (isUnderWay) {
				this.settle(job, 'cancelled');
			} else {
				this.settleIfAnswered(job, inquiry);
			}
		}
	}

	private handleList(jobs: unknown, link: Link): void {
		if (!Array.isArray(jobs) || jobs.length > maxListed || !jobs.every(one => isCancellation(one))) {
			this.ignore('cancellations', jobs, link);
			return;
		}

		const now = this.options.clock.mono();
		let unremembered = 0;
		for (const [job, ageMs] of jobs) {
			unremembered += Number(!this.memory.add(job, now, ageMs));
			this.options.cancelHere(job);
		}

		if (unremembered > 0) {
			this.options.log.warn({
				event: 'cancel', unremembered, remembered: this.memory.size, from: link.peer?.node,
			}, 'no room to remember the cancellations that another entry told');
		}
	}

	/** A malformed message of an entry costs that message alone. */
	private ignore(message: string, value: unknown, link: Link): void {
		const {log, meters} = this.options;
		meters.malformedMessages.inc({from: 'entry'});
		log.warn({
			event: 'message-ignored', message, valueType: Array.isArray(value) ? `list of ${value.length}` : typeof value, from: link.peer?.node,
		}, 'malformed message about a cancelling ignored');
	}
}
