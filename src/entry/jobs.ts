import {create} from '@bufbuild/protobuf';
import {
	JoinReplySchema, JoinRequestSchema, type JoinReply, type JoinRequest,
} from '../../gen/sniperidge/v1/peer_pb.js';
import {judgeAdmission} from '../decide/admit.js';
import {
	claimKey, type Claim, type Outcome, type Owned, type Usage,
} from '../decide/claim.js';
import {fitsEver} from '../decide/pack.js';
import {deferred} from '../deferred.js';
import type {Clock} from '../ports/clock.js';
import type {Peers} from '../ports/peer.js';
import type {Random} from '../ports/random.js';
import type {Row} from '../ports/table.js';
import {resultOf, results} from '../results.js';
import type {Route} from '../settings/schema.js';
import type {Dispatch} from './dispatch.js';
import type {Feed} from './feed.js';
import type {Claimed, Closed, Ledger} from './ledger.js';
import {
	Run, type Body, type Ending, type Work,
} from './run.js';
import type {Found} from './takeover.js';
import type {Meter} from './usage.js';

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
	bodies: readonly Body[];
	/** Monotonic milliseconds. */
	deadline: number;
};

/** Answered is an outcome with when to come back, in milliseconds, where that is known. */
export type Answered = Outcome & {retryMs?: number};

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

/** What an owner said of its job; `silent` when it did not answer. */
type Told = {kind: 'ended'; answered: Answered} | {kind: 'running'} | {kind: 'unknown'} | {kind: 'silent'};

/** How long the owner of a claim is asked at a time, and how often in vain before its claim is taken, in milliseconds. */
const joinWaitMs = 1000;
const joinGraceMs = 500;
const joinTries = 2;
const againMs = 200;
/** How long it may take to see that nobody holds a key, so that its refusal is true, in milliseconds. */
const lookMs = 500;
/** How long an answer waits for its outcome to be written, in milliseconds. */
const writeMs = 2000;
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

	draining = false;
	private readonly active = new Map<string, Active>();
	/** Monotonic milliseconds by which every answer must be out. */
	private until = Number.POSITIVE_INFINITY;
	private readonly runs = new Set<Run>();
	private closing = 0;
	private unkeyed = 0;
	private live = 0;

	private constructor(private readonly parts: Parts) {}

	/** Whether no submission is under way and every outcome has been written. */
	get idle(): boolean {
		return this.live === 0 && this.closing === 0;
	}

	/** The submissions that are under way. */
	get size(): number {
		return this.live;
	}

	/** Makes every answer come out by a moment of the monotonic clock: what is not done by then ends as past its deadline. */
	finishBy(moment: number): void {
		this.until = moment;
		setTimeout(() => {
			for (const run of this.runs) {
				run.expire();
			}
		}, Math.max(0, moment - this.parts.clock.mono())).unref();
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

		const told = await this.ask(full, row.value.owner, true);
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
		await Promise.all(open.map(async row => this.track(this.closeOrphan(row))));
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

	private async later(work: Promise<unknown>): Promise<void> {
		this.closing++;
		await work;
		this.closing--;
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

	private judge(submission: Submission): Answered | undefined {
		if (this.draining) {
			return {code: results.draining.code, retryMs: 0};
		}

		const {feed, meter, dispatch, clock} = this.parts;
		const {member, settings, route} = submission;
		const quota = meter.quota(member, feed.config.tables.members.get(member)?.value, Math.max(1, feed.entries().length));
		const times = submission.bodies.map(body => dispatch.estimate.taskMs(route, body.expectMs ?? settings.expectMs));
		const demand = {
			tasks: submission.bodies.length,
			workMs: sum(times),
			longestMs: Math.max(...times),
			leftMs: submission.deadline - clock.mono(),
		};
		const admission = judgeAdmission(dispatch.load(settings.pool), demand, quota);
		if (admission.kind === 'refuse') {
			return {code: admission.code, retryMs: admission.retryMs};
		}

		return this.fitsPool(settings) ? undefined : {code: results.neverFits.code};
	}

	private fitsPool(settings: Route): boolean {
		const workers = this.parts.dispatch.roster.serving(settings.pool).filter(seat => seat.report.kind === 'worker');
		return workers.length === 0 || workers.some(seat => fitsEver(seat.report, settings));
	}

	private async serveUnkeyed(submission: Submission): Promise<Answered> {
		const refusal = this.judge(submission);
		if (refusal) {
			return refusal;
		}

		const claim = `${unkeyedMark}${this.parts.session}/${this.unkeyed++}`;
		const run = Run.create({
			...workOf(submission), claim, keyed: false, epoch: 1,
		});
		const ending = await this.execute(run, run.work.bodies.keys());
		if (ending.outcome.code === results.complete.code) {
			this.parts.meter.add(submission.member, usageOf(ending));
		}

		return ending.outcome;
	}

	private async execute(run: Run, tasks: Iterable<number>): Promise<Ending> {
		const {meter, dispatch} = this.parts;
		const {member, bodies, claim} = run.work;
		meter.enter(member, bodies.length);
		this.runs.add(run);
		dispatch.enter(run, tasks);
		const ending = await run.ending;
		this.runs.delete(run);
		meter.leave(member, bodies.length);
		if (!run.work.keyed) {
			dispatch.release(claim, run.sessions);
		}

		return ending;
	}

	private async serve(key: string, submission: Submission, active: Active): Promise<Answered> {
		const {clock, ledger} = this.parts;
		const claim = this.claimOf(submission);
		const dead = new Set<string>();
		let joined = false;
		do {
			const refusal = this.judge(submission);
			active.stage = 'claiming';
			const claimed = await ledger.claim(key, claim, {lookOnly: refusal !== undefined, dead, deadline: refusal ? clock.mono() + lookMs : Math.min(submission.deadline, this.until)});
			switch (claimed.kind) {
				case 'absent': {
					return refusal!;
				}

				case 'unavailable': {
					void this.later(ledger.abandon(key, claim.nonce));
					return joined ? {code: results.unknown.code, detail: 'the table service went away while the job was taken over'} : {code: results.storeUnavailable.code, retryMs: 1000};
				}

				case 'reused': {
					return {code: results.keyReused.code};
				}

				case 'ended': {
					return ledger.load(claimed.outcome);
				}

				case 'owned': {
					const answered = await this.runOwned(claimed, submission, active, refusal);
					if (answered) {
						return answered;
					}

					joined = true;
					break;
				}

				case 'held': {
					active.stage = 'joining';
					active.accept();
					joined = true;
					const answered = await this.joinOwner(key, claimed.owner, submission.deadline);
					if (answered) {
						return answered;
					}

					dead.add(claimed.owner);
					break;
				}
			}
		} while (clock.mono() < Math.min(submission.deadline, this.until));

		return {code: joined ? results.deadlinePassed.code : results.deadline.code};
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

		const tasks = found ? this.resume(run, found) : [...run.work.bodies.keys()];
		if (refusal && tasks.length > 0) {
			run.giveUp(refusal.code);
		}

		const ending = await this.execute(run, tasks);
		return ending.superseded ? undefined : this.conclude(owned, ending, run);
	}

	/** Puts what a takeover found into a run and returns the tasks that may start. */
	private resume(run: Run, {recovery, addresses}: Found): number[] {
		run.recover(recovery.ended);
		for (const task of recovery.unknown) {
			run.end(task, {kind: 'unknown', detail: 'a sidecar that may have started it cannot be heard'});
		}

		for (const {task, session} of recovery.running) {
			this.parts.dispatch.follow(run, task, session, addresses.get(session)!);
		}

		return recovery.free;
	}

	/**
	 * Writes the outcome and then tells it, so that what callers hear, what is billed and what a
	 * takeover finds are one. Resolves to nothing when another entry took the job over. While the table
	 * gives no answer a "not run" cannot be told; anything else is told after a while unwritten.
	 */
	private async conclude(owned: Owned, ending: Ending, run: Run): Promise<Answered | undefined> {
		const {outcome} = ending;
		const usage = outcome.code === results.complete.code ? usageOf(ending) : undefined;
		const closing = this.closeAndRelease(owned, outcome, usage, run);
		void this.later(closing);
		const closed = await this.waitWritten(closing);
		if (closed === 'superseded') {
			return undefined;
		}

		const told = closed === 'closed' || resultOf(outcome.code).kind !== 'not-run';
		return told ? outcome : {code: results.storeUnavailable.code, retryMs: 1000};
	}

	/** Waits for a write for a while, and for longer as long as the table is read: a process that was paused must not take its pause for an outage. */
	private async waitWritten(closing: Promise<Closed>): Promise<Closed | undefined> {
		const {clock, feed} = this.parts;
		const written = new AbortController();
		let closed: Closed | undefined;
		do {
			closed = await Promise.race([closing, clock.sleep(writeMs, written.signal).then(() => undefined)]);
		} while (!closed && feed.readable && clock.mono() < this.until);

		written.abort();
		return closed;
	}

	/** What sidecars hold for a claim may go only once its outcome is written: a takeover would miss it. */
	private async closeAndRelease(owned: Owned, outcome: Outcome, usage: Usage | undefined, run: Run): Promise<Closed> {
		const closed = await this.parts.ledger.close(owned, outcome, usage);
		if (closed === 'closed') {
			this.parts.dispatch.release(owned.key, run.sessions);
		}

		return closed;
	}

	/** Takes an orphaned claim, waits for what runs of it, and closes it without starting anything. */
	private async closeOrphan(row: Row<Claim>): Promise<void> {
		const {ledger, random, feed, clock} = this.parts;
		const claimed = await ledger.take(row, random.id(), true);
		const route = feed.config.tables.routes.get(row.value.route)?.value;
		if (claimed.kind !== 'owned' || !route) {
			return;
		}

		const {claim} = claimed.owned;
		const bodies = Array.from({length: claim.tasks}, () => ({bytes: new Uint8Array(), contentType: ''}));
		const run = Run.create({
			claim: row.key,
			keyed: true,
			epoch: claim.epoch,
			member: row.key.slice(0, row.key.indexOf('/')),
			route: claim.route,
			settings: route,
			repeatable: false,
			bodies,
			deadline: clock.mono() + route.deadlineMs,
		});
		const free = claimed.found ? this.resume(run, claimed.found) : [];
		if (free.length > 0) {
			run.giveUp(results.orphaned.code);
		}

		const ending = await this.execute(run, []);
		if (!ending.superseded) {
			await ledger.close(claimed.owned, ending.outcome, ending.outcome.code === results.complete.code ? usageOf(ending) : undefined);
		}
	}

	/** Waits for the outcome at a claim's owner; resolves to nothing when the owner is not there or does not know the job. */
	private async joinOwner(key: string, owner: string, deadline: number): Promise<Answered | undefined> {
		const {clock} = this.parts;
		let silent = 0;
		while (clock.mono() < Math.min(deadline, this.until)) {
			const told = await this.ask(key, owner, false);
			switch (told.kind) {
				case 'ended': {
					return told.answered;
				}

				case 'unknown': {
					return undefined;
				}

				case 'running': {
					silent = 0;
					break;
				}

				case 'silent': {
					silent++;
					if (silent >= joinTries) {
						return undefined;
					}

					await clock.sleep(againMs);
					break;
				}
			}
		}

		return {code: results.deadlinePassed.code};
	}

	private async ask(key: string, owner: string, cancel: boolean): Promise<Told> {
		const address = this.parts.feed.sessions.get(owner)?.value.address;
		if (address === undefined) {
			return {kind: 'silent'};
		}

		try {
			const request = create(JoinRequestSchema, {claim: key, waitMs: joinWaitMs, cancel});
			const reply = await this.parts.peers.entry(address).join(request, {timeoutMs: joinWaitMs + joinGraceMs});
			if (reply.state === 'ended' && reply.session === owner) {
				return {kind: 'ended', answered: JSON.parse(reply.outcome) as Answered};
			}

			return {kind: reply.state === 'running' && reply.session === owner ? 'running' : 'unknown'};
		} catch {
			return {kind: 'silent'};
		}
	}
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}

function workOf(submission: Submission): Omit<Work, 'claim' | 'keyed' | 'epoch'> {
	const {
		member, route, settings, repeatable, bodies, deadline,
	} = submission;
	return {
		member, route, settings, repeatable, bodies, deadline,
	};
}

function usageOf(ending: Ending): Usage {
	return {jobs: 1, tasks: ending.done, ms: Math.round(ending.ranMs)};
}
