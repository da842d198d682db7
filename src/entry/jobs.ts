import {create} from '@bufbuild/protobuf';
import {JoinReplySchema, type JoinReply, type JoinRequest} from '../../gen/sniperidge/v1/peer_pb.js';
import {claimKey, type Claim} from '../decide/claim.js';
import {deferred} from '../deferred.js';
import type {Clock} from '../ports/clock.js';
import type {Peers} from '../ports/peer.js';
import type {Random} from '../ports/random.js';
import {resultOf, results} from '../results.js';
import {Admission, type AdmissionResult} from './admission.js';
import type {TaskDispatcher} from './task-dispatcher.js';
import {JobRunner} from './job-runner.js';
import type {TableWatcher} from './table-watcher.js';
import type {ClaimResult, ClaimStore} from './claim-store.js';
import {OwnerClient} from './owner-client.js';
import {JobExecution} from './job-execution.js';
import {
	usageOf, admittedJobOf, type JobAnswer, type Submission,
} from './submission.js';
import type {UsageMeter} from './usage-meter.js';

/** Parts is what jobs are made of. */
export type Dependencies = {
	session: string;
	clock: Clock;
	random: Random;
	peers: Peers;
	watcher: TableWatcher;
	dispatcher: TaskDispatcher;
	claims: ClaimStore;
	meter: UsageMeter;
};

type Active = {
	hash: string;
	answer: Promise<JobAnswer>;
	stage: 'claiming' | 'running' | 'joining';
	cancelled: boolean;
	/** Resolves when the job is claimed, here or elsewhere, so that it will not be lost. */
	accepted: Promise<void>;
	run?: JobExecution;
	ended?: JobAnswer;
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
export class JobService {
	static create(parts: Dependencies): JobService {
		return new JobService(parts);
	}

	private readonly active = new Map<string, Active>();
	private unkeyed = 0;
	private live = 0;

	private readonly admission: Admission;
	private readonly executor: JobRunner;
	private readonly owners: OwnerClient;

	private constructor(private readonly parts: Dependencies) {
		this.admission = Admission.create(parts);
		this.executor = JobRunner.create(parts);
		this.owners = OwnerClient.create(parts);
	}

	/** Whether new submissions are refused because the entry is stopping. */
	get isDraining(): boolean {
		return this.admission.isDraining;
	}

	/** Whether no submission is under way and every outcome has been written. */
	get isIdle(): boolean {
		return this.live === 0 && this.executor.isIdle;
	}

	/** The submissions that are under way. */
	get size(): number {
		return this.live;
	}

	/** Refuses what is new from now on, and makes every answer come out by a moment of the monotonic clock. */
	drain(until: number): void {
		this.admission.isDraining = true;
		this.executor.finishBy(until);
	}

	/** Takes a submission to its outcome. One under a key that is under way here is joined. */
	async submit(submission: Submission): Promise<JobAnswer> {
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
	async accept(submission: Submission & {key: string}): Promise<JobAnswer> {
		const answer = this.submit(submission);
		const accepted = this.active.get(claimKey(submission.member, submission.key))?.accepted;
		return Promise.race([answer, (accepted ?? answer).then(() => ({code: results.pending.code}))]);
	}

	/** Looks a job up by its key. Rejects with `StoreError` when that needs the table and it does not answer. */
	async lookUp(member: string, key: string): Promise<JobAnswer> {
		const full = claimKey(member, key);
		const active = this.active.get(full);
		if (active && active.stage !== 'joining') {
			return active.ended ?? {code: results.pending.code};
		}

		const row = await this.parts.claims.read(full);
		if (!row) {
			return {code: results.noJob.code};
		}

		return row.value.state === 'open' ? {code: results.pending.code} : this.parts.claims.loadOutcome(row.value.outcome!);
	}

	/** Cancels a job, here or at its owner. Rejects with `StoreError` as `look` does. */
	async cancel(member: string, key: string): Promise<JobAnswer> {
		const full = claimKey(member, key);
		const active = this.active.get(full);
		if (active && active.stage !== 'joining') {
			this.cancelActive(active);
			return active.answer;
		}

		const row = await this.parts.claims.read(full);
		if (!row) {
			return {code: results.noJob.code};
		}

		if (row.value.state === 'closed') {
			return this.parts.claims.loadOutcome(row.value.outcome!);
		}

		const told = await this.owners.requestOutcome(full, row.value.owner, true);
		return told.kind === 'ended' ? told.answer : {code: results.pending.code};
	}

	/** Answers another entry that asks for the outcome of a claim owned here. */
	async handleJoin(request: JoinRequest): Promise<JoinReply> {
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
	async closeOrphans(owner: string): Promise<number> {
		const open = await this.parts.claims.openClaims(owner);
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

	private async serveUnkeyed(submission: Submission): Promise<JobAnswer> {
		const admitted = this.admission.admit(submission);
		if (admitted.kind === 'refused') {
			return admitted.answer;
		}

		admitted.release();
		const claim = `${unkeyedMark}${this.parts.session}/${this.unkeyed++}`;
		const run = JobExecution.create({
			...admittedJobOf(submission), claim, keyed: false, epoch: 1,
		});
		const ending = await this.executor.execute(run, run.job.bodies.keys());
		if (ending.outcome.code === results.complete.code) {
			this.parts.meter.add(submission.member, usageOf(ending));
		}

		return ending.outcome;
	}

	private async serve(key: string, submission: Submission, active: Active): Promise<JobAnswer> {
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
	private async attempt(attempt: Attempt, submission: Submission, active: Active): Promise<JobAnswer | undefined> {
		const {claims: ledger} = this.parts;
		active.stage = 'claiming';
		const admitted = this.admission.admit(submission);
		const claimed = await this.claim(attempt, submission, admitted);
		const refusal = admitted.kind === 'refused' ? admitted.answer : undefined;
		switch (claimed.kind) {
			case 'absent': {
				return refusal;
			}

			case 'unavailable': {
				void this.executor.trackBackground(ledger.abandon(attempt.key, attempt.claim.nonce));
				return attempt.joined ? {code: results.unknown.code, detail: 'the table service went away while the job was taken over'} : {code: results.storeUnavailable.code, retryMs: 1000};
			}

			case 'reused': {
				return {code: results.keyReused.code};
			}

			case 'ended': {
				return ledger.loadOutcome(claimed.outcome);
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
	private async claim({key, claim, dead}: Attempt, submission: Submission, admitted: AdmissionResult): Promise<ClaimResult> {
		const lookOnly = admitted.kind === 'refused';
		const deadline = lookOnly ? this.parts.clock.mono() + lookMs : this.lastMoment(submission);
		const claimed = await this.parts.claims.claim(key, claim, {checkOnly: lookOnly, lostOwners: dead, deadline});
		if (admitted.kind === 'reserved') {
			admitted.release();
		}

		return claimed;
	}

	private async joinOwner(attempt: Attempt, owner: string, submission: Submission, active: Active): Promise<JobAnswer | undefined> {
		active.stage = 'joining';
		active.accept();
		const answered = await this.owners.waitForOutcome(attempt.key, owner, this.lastMoment(submission));
		if (!answered) {
			attempt.dead.add(owner);
		}

		return answered;
	}

	/** Monotonic milliseconds by which a submission must be answered. */
	private lastMoment({deadline}: Submission): number {
		return Math.min(deadline, this.executor.answerDeadline);
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
	private async runOwned({owned, found}: ClaimResult & {kind: 'owned'}, submission: Submission, active: Active, refusal?: JobAnswer): Promise<JobAnswer | undefined> {
		const run = JobExecution.create({
			...admittedJobOf(submission), claim: owned.key, keyed: true, epoch: owned.claim.epoch,
		});
		active.run = run;
		active.stage = 'running';
		if (!refusal) {
			active.accept();
		}

		if (active.cancelled) {
			run.cancel();
		}

		const tasks = found ? this.executor.resume(run, found) : [...run.job.bodies.keys()];
		if (refusal && tasks.length > 0) {
			run.giveUp(refusal.code);
		}

		const ending = await this.executor.execute(run, tasks);
		return ending.superseded ? undefined : this.executor.closeAndAnswer(owned, ending, run);
	}
}
