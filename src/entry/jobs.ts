import {create} from '@bufbuild/protobuf';
import {JoinReplySchema, type JoinReply, type JoinRequest} from '../../gen/sniperidge/v1/peer_pb.js';
import {claimKey, type Claim} from '../decide/claim.js';
import {deferred} from '../deferred.js';
import type {Clock} from '../ports/clock.js';
import type {Peers} from '../ports/peer.js';
import type {Random} from '../ports/random.js';
import {resultOf, results} from '../results.js';
import {Admission, type Admitted} from './admission.js';
import type {Dispatch} from './dispatch.js';
import {Executor} from './execute.js';
import type {Feed} from './feed.js';
import type {Claimed, Ledger} from './ledger.js';
import {Owners} from './owner.js';
import {Run} from './run.js';
import {
	usageOf, workOf, type Answered, type Submission,
} from './submission.js';
import type {Meter} from './usage.js';

/** Parts is what jobs are made of. */
export type Parts = {
	session: string;
	clock: Clock;
	random: Random;
	peers: Peers;
	feed: Feed;
	dispatch: Dispatch;
	ledger: Ledger;
	meter: Meter;
};

type Active = {
	hash: string;
	answer: Promise<Answered>;
	stage: 'claiming' | 'running' | 'joining';
	cancelled: boolean;
	/** Resolves when the job is claimed, here or elsewhere, so that it will not be lost. */
	accepted: Promise<void>;
	run?: Run;
	ended?: Answered;
	accept(): void;
};

/** Attempt is what is carried from one try to claim or join a job to the next. */
type Attempt = {key: string; claim: Claim; dead: Set<string>; joined: boolean};

/** How long it may take to see that nobody holds a key, so that its refusal is true, in milliseconds. */
const lookMs = 500;
/** How long, and how many, outcomes are kept here after they were answered. */
const keepMs = 60_000;
const keepLimit = 2000;
/** What the claim of a request without a key starts with; no member's name does. */
const unkeyedMark = '~';

/** Jobs takes submissions through claim, admission, run and close, and joins those that others own. */
export class Jobs {
	static create(parts: Parts): Jobs {
		return new Jobs(parts);
	}

	private readonly active = new Map<string, Active>();
	private unkeyed = 0;
	private live = 0;

	private readonly admission: Admission;
	private readonly executor: Executor;
	private readonly owners: Owners;

	private constructor(private readonly parts: Parts) {
		this.admission = Admission.create(parts);
		this.executor = Executor.create(parts);
		this.owners = Owners.create(parts);
	}

	/** Whether new submissions are refused because the entry is stopping. */
	get draining(): boolean {
		return this.admission.draining;
	}

	/** Whether no submission is under way and every outcome has been written. */
	get idle(): boolean {
		return this.live === 0 && this.executor.idle;
	}

	/** The submissions that are under way. */
	get size(): number {
		return this.live;
	}

	/** Refuses what is new from now on, and makes every answer come out by a moment of the monotonic clock. */
	drain(until: number): void {
		this.admission.draining = true;
		this.executor.finishBy(until);
	}

	/** Takes a submission to its outcome. One under a key that is under way here is joined. */
	async submit(submission: Submission): Promise<Answered> {
		if (submission.key === undefined) {
			return this.track(this.serveUnkeyed(submission));
		}

		const key = claimKey(submission.member, submission.key);
		const known = this.active.get(key);
		if (known) {
			return known.hash === submission.hash ? known.answer : {code: results.keyReused.code};
		}

		const {promise, resolve} = deferred<void>();
		const active: Active = {
			hash: submission.hash,
			stage: 'claiming',
			cancelled: false,
			answer: Promise.resolve({code: results.pending.code}),
			accepted: promise,
			accept: resolve,
		};
		this.active.set(key, active);
		active.answer = this.track(this.serve(key, submission, active));
		active.ended = await active.answer;
		this.keep(key, active);
		return active.ended;
	}

	/** Takes a submission as far as its acceptance: resolves to a refusal, an outcome that came at once, or pending. */
	async accept(submission: Submission & {key: string}): Promise<Answered> {
		const answer = this.submit(submission);
		const accepted = this.active.get(claimKey(submission.member, submission.key))?.accepted;
		return Promise.race([answer, (accepted ?? answer).then(() => ({code: results.pending.code}))]);
	}

	/** Looks a job up by its key. Rejects with `StoreError` when that needs the table and it does not answer. */
	async look(member: string, key: string): Promise<Answered> {
		const full = claimKey(member, key);
		const active = this.active.get(full);
		if (active && active.stage !== 'joining') {
			return active.ended ?? {code: results.pending.code};
		}

		const row = await this.parts.ledger.read(full);
		if (!row) {
			return {code: results.noJob.code};
		}

		return row.value.state === 'open' ? {code: results.pending.code} : this.parts.ledger.load(row.value.outcome!);
	}

	/** Cancels a job, here or at its owner. Rejects with `StoreError` as `look` does. */
	async cancel(member: string, key: string): Promise<Answered> {
		const full = claimKey(member, key);
		const active = this.active.get(full);
		if (active && active.stage !== 'joining') {
			this.cancelActive(active);
			return active.answer;
		}

		const row = await this.parts.ledger.read(full);
		if (!row) {
			return {code: results.noJob.code};
		}

		if (row.value.state === 'closed') {
			return this.parts.ledger.load(row.value.outcome!);
		}

		const told = await this.owners.ask(full, row.value.owner, true);
		return told.kind === 'ended' ? told.answered : {code: results.pending.code};
	}

	/** Answers another entry that asks for the outcome of a claim owned here. */
	async join(request: JoinRequest): Promise<JoinReply> {
		const {session, clock} = this.parts;
		const active = this.active.get(request.claim);
		if (!active || active.stage === 'joining') {
			return create(JoinReplySchema, {state: 'unknown', session});
		}

		if (request.cancel) {
			this.cancelActive(active);
		}

		const answered = active.ended ?? await Promise.race([active.answer, clock.sleep(request.waitMs)]);
		return answered
			? create(JoinReplySchema, {state: 'ended', session, outcome: JSON.stringify(answered)})
			: create(JoinReplySchema, {state: 'running', session});
	}

	/** Closes the open claims of an entry whose session has ended. Rejects with `StoreError`. */
	async sweep(owner: string): Promise<number> {
		const open = await this.parts.ledger.orphans(owner);
		await Promise.all(open.map(async row => this.track(this.executor.closeOrphan(row))));
		return open.length;
	}

	private async track<Value>(work: Promise<Value>): Promise<Value> {
		this.live++;
		try {
			return await work;
		} finally {
			this.live--;
		}
	}

	private keep(key: string, active: Active): void {
		if (resultOf(active.ended!.code).kind === 'not-run') {
			this.active.delete(key);
			return;
		}

		setTimeout(() => {
			this.active.delete(key);
		}, keepMs).unref();
		for (const [old, {ended}] of this.active) {
			if (this.active.size <= keepLimit) {
				return;
			}

			if (ended) {
				this.active.delete(old);
			}
		}
	}

	private cancelActive(active: Active): void {
		active.cancelled = true;
		active.run?.cancel();
	}

	private async serveUnkeyed(submission: Submission): Promise<Answered> {
		const admitted = this.admission.admit(submission);
		if (admitted.kind === 'refused') {
			return admitted.answered;
		}

		admitted.release();
		const claim = `${unkeyedMark}${this.parts.session}/${this.unkeyed++}`;
		const run = Run.create({
			...workOf(submission), claim, keyed: false, epoch: 1,
		});
		const ending = await this.executor.execute(run, run.work.bodies.keys());
		if (ending.outcome.code === results.complete.code) {
			this.parts.meter.add(submission.member, usageOf(ending));
		}

		return ending.outcome;
	}

	private async serve(key: string, submission: Submission, active: Active): Promise<Answered> {
		const {clock} = this.parts;
		const attempt: Attempt = {
			key, claim: this.claimOf(submission), dead: new Set(), joined: false,
		};
		do {
			const answered = await this.attempt(attempt, submission, active);
			if (answered) {
				return answered;
			}

			attempt.joined = true;
		} while (clock.mono() < this.lastMoment(submission));

		return {code: attempt.joined ? results.deadlinePassed.code : results.deadline.code};
	}

	/** Claims a job and runs it, or joins its owner; resolves to nothing when that has to be tried again. */
	private async attempt(attempt: Attempt, submission: Submission, active: Active): Promise<Answered | undefined> {
		const {ledger} = this.parts;
		active.stage = 'claiming';
		const admitted = this.admission.admit(submission);
		const claimed = await this.claim(attempt, submission, admitted);
		const refusal = admitted.kind === 'refused' ? admitted.answered : undefined;
		switch (claimed.kind) {
			case 'absent': {
				return refusal;
			}

			case 'unavailable': {
				void this.executor.later(ledger.abandon(attempt.key, attempt.claim.nonce));
				return attempt.joined ? {code: results.unknown.code, detail: 'the table service went away while the job was taken over'} : {code: results.storeUnavailable.code, retryMs: 1000};
			}

			case 'reused': {
				return {code: results.keyReused.code};
			}

			case 'ended': {
				return ledger.load(claimed.outcome);
			}

			case 'owned': {
				return this.runOwned(claimed, submission, active, refusal);
			}

			case 'held': {
				return this.joinOwner(attempt, claimed.owner, submission, active);
			}
		}
	}

	/** Claims with what was let in set aside, which the run enters for itself right after. */
	private async claim({key, claim, dead}: Attempt, submission: Submission, admitted: Admitted): Promise<Claimed> {
		const lookOnly = admitted.kind === 'refused';
		const deadline = lookOnly ? this.parts.clock.mono() + lookMs : this.lastMoment(submission);
		const claimed = await this.parts.ledger.claim(key, claim, {lookOnly, dead, deadline});
		if (admitted.kind === 'reserved') {
			admitted.release();
		}

		return claimed;
	}

	private async joinOwner(attempt: Attempt, owner: string, submission: Submission, active: Active): Promise<Answered | undefined> {
		active.stage = 'joining';
		active.accept();
		const answered = await this.owners.wait(attempt.key, owner, this.lastMoment(submission));
		if (!answered) {
			attempt.dead.add(owner);
		}

		return answered;
	}

	/** Monotonic milliseconds by which a submission must be answered. */
	private lastMoment({deadline}: Submission): number {
		return Math.min(deadline, this.executor.until);
	}

	private claimOf(submission: Submission): Claim {
		const {session, random, clock} = this.parts;
		return {
			hash: submission.hash,
			nonce: random.id(),
			owner: session,
			epoch: 1,
			state: 'open',
			route: submission.route,
			pool: submission.settings.pool,
			tasks: submission.bodies.length,
			at: clock.now(),
		};
	}

	/** Runs a claimed job to its outcome; resolves to nothing when another entry took it over. */
	private async runOwned({owned, found}: Claimed & {kind: 'owned'}, submission: Submission, active: Active, refusal?: Answered): Promise<Answered | undefined> {
		const run = Run.create({
			...workOf(submission), claim: owned.key, keyed: true, epoch: owned.claim.epoch,
		});
		active.run = run;
		active.stage = 'running';
		if (!refusal) {
			active.accept();
		}

		if (active.cancelled) {
			run.cancel();
		}

		const tasks = found ? this.executor.resume(run, found) : [...run.work.bodies.keys()];
		if (refusal && tasks.length > 0) {
			run.giveUp(refusal.code);
		}

		const ending = await this.executor.execute(run, tasks);
		return ending.superseded ? undefined : this.executor.conclude(owned, ending, run);
	}
}
