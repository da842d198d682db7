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
	/** Resolves once the job is claimed, here or at another entry, and so cannot be lost. */
	accepted: Promise<void>;
	run?: JobExecution;
	ended?: JobAnswer;
	accept(): void;
};

/** State that is kept between attempts to claim or join one job. `dead` holds the owners that were found lost. */
type Attempt = {key: string; claim: Claim; dead: Set<string>; joined: boolean};

/** Time limit of the check that no other entry holds a key, which precedes a refusal, in milliseconds: a job that runs elsewhere must not be reported as refused. */
const checkMs = 500;
/** How long, in milliseconds, and how many outcomes are kept in memory after they were answered. */
const keepOutcomeMs = 60_000;
const maxKeptOutcomes = 2000;
/** Prefix of the claim of a request without a key. No name of a client account starts with it, so it cannot collide with a keyed claim. */
const unkeyedPrefix = '~';

/** Handles submissions: admits, claims, runs and closes jobs, and waits for the outcome of jobs that another entry owns. */
export class JobService {
	static create(dependencies: Dependencies): JobService {
		return new JobService(dependencies);
	}

	private readonly active = new Map<string, Active>();
	private unkeyedCount = 0;
	private underWay = 0;

	private readonly admission: Admission;
	private readonly runner: JobRunner;
	private readonly owners: OwnerClient;

	private constructor(private readonly dependencies: Dependencies) {
		this.admission = Admission.create(dependencies);
		this.runner = JobRunner.create(dependencies);
		this.owners = OwnerClient.create(dependencies);
	}

	/** Whether new submissions are refused because the entry is stopping. */
	get isDraining(): boolean {
		return this.admission.isDraining;
	}

	/** Whether no submission is in progress and every outcome has been written. */
	get isIdle(): boolean {
		return this.underWay === 0 && this.runner.isIdle;
	}

	/** The number of submissions in progress. */
	get size(): number {
		return this.underWay;
	}

	/** Refuses new submissions from now on, and answers the ones in progress by `until` (monotonic milliseconds). */
	drain(until: number): void {
		this.admission.isDraining = true;
		this.runner.finishBy(until);
	}

	/** Runs a submission and resolves to its outcome. If a job with the same key is in progress here, waits for that one. */
	async submit(submission: Submission): Promise<JobAnswer> {
		if (submission.key === undefined) {
			return this.track(this.runUnkeyed(submission));
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
		active.answer = this.track(this.runKeyed(key, submission, active));
		active.ended = await active.answer;
		this.keep(key, active);
		return active.ended;
	}

	/** Resolves as soon as the submission is accepted: to a refusal, to the outcome if it is known already, or to pending. */
	async accept(submission: Submission & {key: string}): Promise<JobAnswer> {
		const answer = this.submit(submission);
		const accepted = this.active.get(claimKey(submission.member, submission.key))?.accepted;
		return Promise.race([answer, (accepted ?? answer).then(() => ({code: results.pending.code}))]);
	}

	/** Looks up a job by its key. Rejects with `StoreError` if the table has to be read and does not answer. */
	async lookUp(member: string, key: string): Promise<JobAnswer> {
		const fullKey = claimKey(member, key);
		const active = this.active.get(fullKey);
		if (active && active.stage !== 'joining') {
			return active.ended ?? {code: results.pending.code};
		}

		const row = await this.dependencies.claims.read(fullKey);
		if (!row) {
			return {code: results.noJob.code};
		}

		return row.value.state === 'open' ? {code: results.pending.code} : this.dependencies.claims.loadOutcome(row.value.outcome!);
	}

	/** Cancels a job, here or at its owner. Rejects with `StoreError` as `lookUp` does. */
	async cancel(member: string, key: string): Promise<JobAnswer> {
		const fullKey = claimKey(member, key);
		const active = this.active.get(fullKey);
		if (active && active.stage !== 'joining') {
			this.cancelActive(active);
			return active.answer;
		}

		const row = await this.dependencies.claims.read(fullKey);
		if (!row) {
			return {code: results.noJob.code};
		}

		if (row.value.state === 'closed') {
			return this.dependencies.claims.loadOutcome(row.value.outcome!);
		}

		const reply = await this.owners.requestOutcome(fullKey, row.value.owner, true);
		return reply.kind === 'ended' ? reply.answer : {code: results.pending.code};
	}

	/** Handles a request of another entry for the outcome of a claim that this entry owns. */
	async handleJoin(request: JoinRequest): Promise<JoinReply> {
		const {session, clock} = this.dependencies;
		const active = this.active.get(request.claim);
		if (!active || active.stage === 'joining') {
			return create(JoinReplySchema, {state: 'unknown', session});
		}

		if (request.cancel) {
			this.cancelActive(active);
		}

		const answer = active.ended ?? await Promise.race([active.answer, clock.sleep(request.waitMs)]);
		return answer
			? create(JoinReplySchema, {state: 'ended', session, outcome: JSON.stringify(answer)})
			: create(JoinReplySchema, {state: 'running', session});
	}

	/** Closes the open claims of an entry whose session has ended. Rejects with `StoreError`. */
	async closeOrphans(owner: string): Promise<number> {
		const open = await this.dependencies.claims.openClaims(owner);
		await Promise.all(open.map(async row => this.track(this.runner.closeOrphan(row))));
		return open.length;
	}

	private async track<Value>(work: Promise<Value>): Promise<Value> {
		this.underWay++;
		try {
			return await work;
		} finally {
			this.underWay--;
		}
	}

	private keep(key: string, active: Active): void {
		if (resultOf(active.ended!.code).kind === 'not-run') {
			this.active.delete(key);
			return;
		}

		setTimeout(() => {
			this.active.delete(key);
		}, keepOutcomeMs).unref();
		for (const [old, {ended}] of this.active) {
			if (this.active.size <= maxKeptOutcomes) {
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

	private async runUnkeyed(submission: Submission): Promise<JobAnswer> {
		const admitted = this.admission.admit(submission);
		if (admitted.kind === 'refused') {
			return admitted.answer;
		}

		admitted.release();
		const claim = `${unkeyedPrefix}${this.dependencies.session}/${this.unkeyedCount++}`;
		const run = JobExecution.create({
			...admittedJobOf(submission), claim, keyed: false, epoch: 1,
		});
		const ending = await this.runner.execute(run, run.job.bodies.keys());
		if (ending.outcome.code === results.complete.code) {
			this.dependencies.meter.add(submission.member, usageOf(ending));
		}

		return ending.outcome;
	}

	private async runKeyed(key: string, submission: Submission, active: Active): Promise<JobAnswer> {
		const {clock} = this.dependencies;
		const attempt: Attempt = {
			key, claim: this.claimOf(submission), dead: new Set(), joined: false,
		};
		do {
			const answer = await this.attempt(attempt, submission, active);
			if (answer) {
				return answer;
			}

			attempt.joined = true;
		} while (clock.mono() < this.lastMoment(submission));

		return {code: attempt.joined ? results.deadlinePassed.code : results.deadline.code};
	}

	/** Claims a job and runs it, or waits for its owner. Resolves to `undefined` if another attempt is needed. */
	private async attempt(attempt: Attempt, submission: Submission, active: Active): Promise<JobAnswer | undefined> {
		const {claims} = this.dependencies;
		active.stage = 'claiming';
		const admitted = this.admission.admit(submission);
		const claimed = await this.claim(attempt, submission, admitted);
		const refusal = admitted.kind === 'refused' ? admitted.answer : undefined;
		switch (claimed.kind) {
			case 'absent': {
				return refusal;
			}

			case 'unavailable': {
				void this.runner.trackBackground(claims.abandon(attempt.key, attempt.claim.nonce));
				return attempt.joined ? {code: results.unknown.code, detail: 'the table service went away while the job was taken over'} : {code: results.storeUnavailable.code, retryMs: 1000};
			}

			case 'reused': {
				return {code: results.keyReused.code};
			}

			case 'ended': {
				return claims.loadOutcome(claimed.outcome);
			}

			case 'owned': {
				return this.runOwned(claimed, submission, active, refusal);
			}

			case 'held': {
				return this.joinOwner(attempt, claimed.owner, submission, active);
			}
		}
	}

	/** Claims while the admission is reserved, then releases the reservation, since the run counts its own tasks from then on. */
	private async claim({key, claim, dead}: Attempt, submission: Submission, admitted: AdmissionResult): Promise<ClaimResult> {
		const checkOnly = admitted.kind === 'refused';
		const deadline = checkOnly ? this.dependencies.clock.mono() + checkMs : this.lastMoment(submission);
		const claimed = await this.dependencies.claims.claim(key, claim, {checkOnly, lostOwners: dead, deadline});
		if (admitted.kind === 'reserved') {
			admitted.release();
		}

		return claimed;
	}

	private async joinOwner(attempt: Attempt, owner: string, submission: Submission, active: Active): Promise<JobAnswer | undefined> {
		active.stage = 'joining';
		active.accept();
		const answer = await this.owners.waitForOutcome(attempt.key, owner, this.lastMoment(submission));
		if (!answer) {
			attempt.dead.add(owner);
		}

		return answer;
	}

	/** When a submission must be answered at the latest, in monotonic milliseconds. */
	private lastMoment({deadline}: Submission): number {
		return Math.min(deadline, this.runner.answerDeadline);
	}

	private claimOf(submission: Submission): Claim {
		const {session, random, clock} = this.dependencies;
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

	/** Runs a claimed job to its outcome. Resolves to `undefined` if another entry took it over. */
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

		const tasks = found ? this.runner.resume(run, found) : [...run.job.bodies.keys()];
		if (refusal && tasks.length > 0) {
			run.giveUp(refusal.code);
		}

		const ending = await this.runner.execute(run, tasks);
		return ending.superseded ? undefined : this.runner.closeAndAnswer(owned, ending, run);
	}
}
