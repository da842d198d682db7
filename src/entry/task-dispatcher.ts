import {create} from '@bufbuild/protobuf';
import {CancelRequestSchema, type StartReply} from '../../gen/sniperidge/v1/peer_pb.js';
import type {PoolLoad} from '../decide/admission.js';
import {handedEndedTask} from '../decide/handover.js';
import {DurationEstimator} from '../decide/estimate.js';
import {
	choosePlace, choosePlaceByBaseline, hasFreeSlot, type Candidate, type PlacementChoice, type PlacementPolicy,
} from '../decide/placement.js';
import {
	creditRequest, initialRetryBudget, decideRetry, spendRetry, type AttemptFailure,
} from '../decide/retry.js';
import {FairQueue, type QueuedTask} from '../decide/fair-queue.js';
import type {Clock} from '../ports/clock.js';
import type {ObjectStore} from '../ports/objects.js';
import type {Peers} from '../ports/peer.js';
import type {Random} from '../ports/random.js';
import {results} from '../results.js';
import {
	StartClient, itemOf, type DispatchCounts, type StartOutcome,
} from './start-client.js';
import type {TableWatcher} from './table-watcher.js';
import {
	unavailablePauseMs, fullPauseMs, type SidecarDirectory, type PlaceState,
} from './sidecar-directory.js';
import {taskEndOf, type JobExecution} from './job-execution.js';

/** Parts is what a dispatcher is made of. */
export type Dependencies = {clock: Clock; random: Random; peers: Peers; objects: ObjectStore; watcher: TableWatcher};

/** Options of a dispatcher. */
export type Options = {policy: PlacementPolicy; hedge: boolean; zone: string};

type Task = QueuedTask & {
	execution: JobExecution;
	index: number;
	attempt: number;
	hedged: boolean;
	/** How many copies of the task are out, shared by a hedge and its first. */
	flight: {out: number};
};
/** A pool's queue, the work of what runs, and the tasks and work that were let in and are being claimed. */
type Line = {queue: FairQueue<Task>; turn: number; workMs: number; running: number; reserved: number; reservedMs: number};

/** How long a withdrawal may take, in milliseconds. */
const cancelMs = 1000;
/** How many waiting tasks a choice may pass over. */
const lookahead = 64;
/** How often waiting tasks are looked at without cause, in milliseconds. */
const pumpMs = 50;
/** A repeatable request is hedged after this many times its expected time, and no sooner than so many milliseconds. */
const hedgeAfter = 8;
const hedgeLeastMs = 100;

/** Dispatch holds the queues of all pools, places what waits and follows it to its end. */
export class TaskDispatcher {
	static create(parts: Dependencies, options: Options): TaskDispatcher {
		return new TaskDispatcher(parts, options);
	}

	readonly counts: DispatchCounts = {
		sent: 0, refused: 0, askedAgain: 0, placedAgain: 0, hedges: 0, hedgesLost: 0, cancels: 0, dropped: 0, beats: 0, pings: 0,
	};

	readonly estimate = DurationEstimator.create();
	directory!: SidecarDirectory;
	private readonly lines = new Map<string, Line>();
	private readonly exchange: StartClient;
	private budget = initialRetryBudget;
	private readonly timer: NodeJS.Timeout;

	private constructor(private readonly parts: Dependencies, private readonly options: Options) {
		this.exchange = StartClient.create({...parts, directory: () => this.directory}, this.counts);
		this.timer = setInterval(() => {
			this.placeWaiting(this.lines.keys());
		}, pumpMs);
	}

	/** How many times longer than ordinary a place takes. */
	slowness(seat: PlaceState): number {
		return this.estimate.slowness(seat.id, seat.report.pace);
	}

	/** Queues the tasks of a run that are not sent or ended, and follows them until the run ends. */
	enqueue(run: JobExecution, tasks: Iterable<number>): void {
		const {job: work} = run;
		const line = this.line(work.settings.pool);
		run.onEnd(() => {
			this.withdraw(run);
		});
		this.expireAt(run);
		for (const index of tasks) {
			this.budget = creditRequest(this.budget);
			line.queue = line.queue.enqueue({
				member: work.member,
				deadline: work.deadline,
				costMs: this.estimate.expectedMs(work.route, declaredMs(run, index)),
				execution: run,
				index,
				attempt: 1,
				hedged: false,
				flight: {out: 0},
			});
		}

		this.placeWaiting([work.settings.pool]);
	}

	/** Asks a session for a task that it was found to run. */
	joinRunning(run: JobExecution, index: number, session: string, address: string): void {
		run.recordSent(index, session, address);
		const costMs = this.estimate.expectedMs(run.job.route, declaredMs(run, index));
		const task: Task = {
			member: run.job.member, deadline: run.job.deadline, costMs, execution: run, index, attempt: 1, hedged: true, flight: {out: 1},
		};
		void this.exchange.send({...task, expectMs: 0}, {session, address, place: ''}).then(result => {
			this.settle(task, undefined, result);
		});
	}

	/** Places what can be placed now in these pools. */
	placeWaiting(pools: Iterable<string>): void {
		for (const pool of pools) {
			const line = this.lines.get(pool);
			if (line && line.queue.size > 0) {
				this.pumpLine(pool, line);
			}
		}
	}

	/** What waits and runs for a pool, and how fast it is worked off. */
	load(pool: string): PoolLoad {
		const line = this.line(pool);
		let slots = 0;
		let rate = 0;
		for (const seat of this.directory.placesInService(pool)) {
			const own = seat.report.kind === 'worker' ? Math.max(1, seat.report.running) + Math.floor(Math.max(0, seat.report.freeCores)) : seat.report.slots;
			slots += own;
			rate += own / this.slowness(seat);
		}

		const share = 1 / this.parts.watcher.entryCount;
		return {
			queued: line.queue.size + line.reserved,
			queueLimit: this.parts.watcher.config.tables.pools.get(pool)?.value.queue ?? 0,
			workMs: line.queue.costMs + line.reservedMs + (line.workMs / 2),
			rate: rate * share,
			slots: slots * share,
			running: line.running,
		};
	}

	/** Counts work that was let in and not entered yet as waiting for a pool; returns what takes it back. */
	reserve(pool: string, tasks: number, workMs: number): () => void {
		const line = this.line(pool);
		line.reserved += tasks;
		line.reservedMs += workMs;
		return () => {
			line.reserved -= tasks;
			line.reservedMs -= workMs;
		};
	}

	/** Tells the sidecars, with later starts, that what they hold for a claim may go. */
	release(claim: string, sessions: Iterable<string>): void {
		this.exchange.release(claim, sessions);
	}

	/** Stops placing. */
	close(): void {
		clearInterval(this.timer);
	}

	private line(pool: string): Line {
		const known = this.lines.get(pool);
		if (known) {
			return known;
		}

		const line: Line = {
			queue: FairQueue.create<Task>(), turn: 0, workMs: 0, running: 0, reserved: 0, reservedMs: 0,
		};
		this.lines.set(pool, line);
		return line;
	}

	private expireAt(run: JobExecution): void {
		const timer = setTimeout(() => {
			run.expire();
		}, Math.max(0, run.job.deadline - this.parts.clock.mono()));
		run.onEnd(() => {
			clearTimeout(timer);
		});
	}

	private pumpLine(pool: string, line: Line): void {
		for (let task = this.nextTask(line); task; task = this.nextTask(line)) {
			const {settings} = task.execution.job;
			const candidates = this.directory.candidates(pool, settings, seat => this.slowness(seat));
			const found = this.findPlace(candidates, task, line);
			if (!found) {
				return;
			}

			const chosen = this.takeAt(line, found.ahead);
			if (chosen) {
				this.send(chosen, line, this.directory.places.get(found.id)!);
			}
		}
	}

	/** Returns the task whose turn it is, after dropping those whose runs have ended. */
	private nextTask(line: Line): Task | undefined {
		for (let task = line.queue.peek(); task; task = line.queue.peek()) {
			if (task.execution.isWaiting(task.index)) {
				return task;
			}

			line.queue = line.queue.withdraw(task.member);
		}

		return undefined;
	}

	/**
	 * Finds a free place that is the best for a waiting task. The tasks ahead may do better to wait for
	 * busy places: each is counted there, and the next one chooses with that in mind.
	 */
	private findPlace(candidates: Candidate[], task: Task, line: Line): {id: string; ahead: number} | undefined {
		const now = this.parts.clock.mono();
		if (!candidates.some(candidate => candidate.availability !== 'closed' && hasFreeSlot(candidate, now))) {
			return undefined;
		}

		const most = Math.min(line.queue.size, lookahead);
		for (let ahead = 0; ahead < most; ahead++) {
			const choice = this.choose(candidates, task, line, now);
			if (choice.kind !== 'wait') {
				return choice.kind === 'go' ? {id: choice.id, ahead} : undefined;
			}

			// The other entries have as many waiting for the same place.
			candidates.find(({id}) => id === choice.id)!.reserved += this.parts.watcher.entryCount;
		}

		return undefined;
	}

	/** Takes the task that has so many ahead of it out of the queue, and leaves those in their order. */
	private takeAt(line: Line, ahead: number): Task | undefined {
		const passed: Task[] = [];
		let task = this.nextTask(line);
		while (task && passed.length < ahead) {
			passed.push(task);
			line.queue = line.queue.withdraw(task.member);
			task = this.nextTask(line);
		}

		if (task) {
			line.queue = line.queue.dequeue(task.member, this.parts.watcher.config.tables.members.get(task.member)?.value.weight ?? 1);
		}

		for (const other of passed) {
			line.queue = line.queue.enqueue(other);
		}

		return task;
	}

	private choose(candidates: readonly Candidate[], task: Task, line: Line, now: number): PlacementChoice {
		const {policy, zone} = this.options;
		if (policy === 'finish') {
			return choosePlace(candidates, {taskMs: task.costMs, usualMs: this.usualMs(line), zone}, now, this.parts.random.next());
		}

		line.turn++;
		const free = candidates.filter(candidate => candidate.availability !== 'closed' && hasFreeSlot(candidate, now));
		return choosePlaceByBaseline(policy, free, line.turn, this.parts.random.next());
	}

	/** The mean cost of what runs and waits, in milliseconds. */
	private usualMs(line: Line): number {
		return (line.workMs + line.queue.costMs) / Math.max(1, line.running + line.queue.size);
	}

	private send(task: Task, line: Line, seat: PlaceState): void {
		task.execution.recordSent(task.index, seat.session, seat.address);
		task.flight.out++;
		this.directory.recordStart(seat);
		line.running++;
		line.workMs += task.costMs;
		const hedge = this.armHedge(task, seat);
		const target = {session: seat.session, address: seat.address, place: seat.id};
		const expectMs = this.estimate.geometricMeanMs(task.execution.job.route, declaredMs(task.execution, task.index));
		void this.exchange.send({...task, expectMs}, target).then(result => {
			clearTimeout(hedge);
			task.execution.recordReturned(task.index, seat.address);
			line.running--;
			line.workMs -= task.costMs;
			this.directory.recordReply(seat, result.reply);
			this.settle(task, seat, result);
			this.placeWaiting([task.execution.job.settings.pool]);
		});
	}

	private settle(task: Task, seat: PlaceState | undefined, result: StartOutcome): void {
		const {execution: run, index} = task;
		const {reply, loss, handedTask: handed} = result;
		task.flight.out--;
		if (run.ended) {
			this.counts[task.hedged ? 'hedgesLost' : 'dropped']++;
			return;
		}

		if (handed) {
			run.end(index, taskEndOf(handedEndedTask(handed)));
			return;
		}

		if (!loss) {
			this.learn(task, seat, reply!);
			run.end(index, {kind: 'done', item: itemOf(reply!, seat?.id)});
			return;
		}

		if (reply?.code === results.staleEpoch.code) {
			run.end(index, {kind: 'superseded'});
			return;
		}

		this.lose(task, seat, loss, result);
	}

	private lose(task: Task, seat: PlaceState | undefined, loss: AttemptFailure, {detail, reply}: StartOutcome): void {
		const {execution: run, index} = task;
		if (seat) {
			this.blame(seat, loss, reply?.code ?? 0);
		}

		if (task.flight.out > 0) {
			return;
		}

		const budget = spendRetry(this.budget);
		const fate = decideRetry(loss, run.job.repeatable, budget !== undefined, true);
		if (fate !== 'place-again') {
			run.end(index, loss === 'failed' ? {kind: 'failed', detail} : {kind: 'unknown', detail});
			return;
		}

		if (loss === 'refused') {
			this.counts.refused++;
		} else {
			this.budget = budget ?? this.budget;
		}

		this.counts.placedAgain++;
		run.requeue(index);
		const line = this.line(run.job.settings.pool);
		line.queue = line.queue.enqueue({...task, attempt: task.attempt + 1});
	}

	private blame(seat: PlaceState, loss: AttemptFailure, code: number): void {
		if (loss !== 'refused') {
			this.directory.recordOutcome(seat, false);
			return;
		}

		const pause = code === results.full.code ? fullPauseMs : unavailablePauseMs;
		seat.notBefore = this.parts.clock.mono() + pause;
	}

	private learn(task: Task, seat: PlaceState | undefined, reply: StartReply): void {
		if (seat) {
			this.directory.recordOutcome(seat, true);
			this.estimate.observe({
				route: task.execution.job.route, place: seat.id, ranMs: reply.ranMs, declaredMs: declaredMs(task.execution, task.index), reportedPace: seat.report.pace,
			});
		}
	}

	private armHedge(task: Task, seat: PlaceState): NodeJS.Timeout | undefined {
		if (!this.options.hedge || !task.execution.job.repeatable || task.hedged) {
			return undefined;
		}

		const expected = task.costMs * this.slowness(seat);
		return setTimeout(() => {
			this.hedge(task, seat);
		}, Math.max(hedgeLeastMs, expected * hedgeAfter));
	}

	/** Starts a second copy of a repeatable request elsewhere, if a free place and the budget allow it. */
	private hedge(task: Task, first: PlaceState): void {
		const {pool} = task.execution.job.settings;
		const now = this.parts.clock.mono();
		const candidates = this.directory.candidates(pool, task.execution.job.settings, seat => this.slowness(seat))
			.filter(candidate => candidate.id !== first.id && candidate.availability === 'open' && hasFreeSlot(candidate, now));
		const choice = choosePlace(candidates, {taskMs: task.costMs, usualMs: task.costMs, zone: this.options.zone}, now, this.parts.random.next());
		const budget = spendRetry(this.budget);
		if (choice.kind !== 'go' || !budget || task.execution.ended) {
			return;
		}

		this.budget = budget;
		this.counts.hedges++;
		this.send({...task, attempt: task.attempt + 1, hedged: true}, this.line(pool), this.directory.places.get(choice.id)!);
	}

	/** Withdraws what a run that ended has out; the queues drop the rest when they come to it. */
	private withdraw(run: JobExecution): void {
		const {job: work} = run;
		for (const [address, tasks] of run.inFlightCopies()) {
			this.counts.cancels++;
			const request = create(CancelRequestSchema, {claim: work.claim, epoch: work.epoch, tasks});
			void this.parts.peers.sidecar(address).cancel(request, {timeoutMs: cancelMs}).catch(() => undefined);
		}
	}
}

function declaredMs({job: work}: JobExecution, index: number): number {
	return work.bodies[index]?.expectMs ?? work.settings.expectMs;
}
