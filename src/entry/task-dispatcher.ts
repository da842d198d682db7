import {create} from '@bufbuild/protobuf';
import {CancelRequestSchema, type StartReply} from '../../gen/sniperidge/v1/peer_pb.js';
import type {PoolLoad} from '../decide/admission.js';
import {handedEndedTask} from '../decide/handover.js';
import {DurationEstimator} from '../decide/duration-estimator.js';
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

/** Dependencies of the dispatcher. */
export type Dependencies = {clock: Clock; random: Random; peers: Peers; objects: ObjectStore; watcher: TableWatcher};

/** Options select the placement policy, hedging of repeatable requests and this entry's zone. */
export type Options = {policy: PlacementPolicy; hedge: boolean; zone: string};

type Task = QueuedTask & {
	execution: JobExecution;
	index: number;
	attempt: number;
	hedged: boolean;
	/** How many copies of the task are in flight; a hedge shares the counter with its first attempt. */
	copies: {inFlight: number};
};
/** A pool's queue, the expected work of its running tasks, and the tasks and work that were admitted and are still being claimed. */
type PoolQueue = {queue: FairQueue<Task>; turn: number; workMs: number; running: number; reserved: number; reservedMs: number};

/** The timeout of a cancel request, in milliseconds. */
const cancelTimeoutMs = 1000;
/** How many waiting tasks one placement decision may skip. */
const maxTasksSkipped = 64;
/** How often placement is attempted when no event triggers it, in milliseconds. */
const placementIntervalMs = 50;
/** A repeatable request is hedged after this many times its expected duration, but no sooner than the minimum delay. */
const hedgeDelayFactor = 8;
const hedgeMinDelayMs = 100;

/** TaskDispatcher holds the queues of all pools, places waiting tasks and follows each to its end. */
export class TaskDispatcher {
	static create(dependencies: Dependencies, options: Options): TaskDispatcher {
		return new TaskDispatcher(dependencies, options);
	}

	readonly counts: DispatchCounts = {
		sent: 0, refused: 0, askedAgain: 0, placedAgain: 0, hedges: 0, hedgesLost: 0, cancels: 0, dropped: 0, beats: 0, pings: 0,
	};

	readonly estimate = DurationEstimator.create();
	directory!: SidecarDirectory;
	private readonly poolQueues = new Map<string, PoolQueue>();
	private readonly startClient: StartClient;
	private retryBudget = initialRetryBudget;
	private readonly timer: NodeJS.Timeout;

	private constructor(private readonly dependencies: Dependencies, private readonly options: Options) {
		this.startClient = StartClient.create({...dependencies, directory: () => this.directory}, this.counts);
		this.timer = setInterval(() => {
			this.placeWaiting(this.poolQueues.keys());
		}, placementIntervalMs);
	}

	/** How many times longer than an ordinary place this place takes. */
	slowness(place: PlaceState): number {
		return this.estimate.slowness(place.id, place.report.pace);
	}

	/** Queues the given tasks of an execution and follows them until the execution ends. */
	enqueue(execution: JobExecution, tasks: Iterable<number>): void {
		const {job} = execution;
		const poolQueue = this.poolQueue(job.settings.pool);
		execution.onEnd(() => {
			this.cancelInFlight(execution);
		});
		this.scheduleExpiry(execution);
		for (const index of tasks) {
			this.retryBudget = creditRequest(this.retryBudget);
			poolQueue.queue = poolQueue.queue.enqueue({
				member: job.member,
				deadline: job.deadline,
				costMs: this.estimate.expectedMs(job.route, declaredMs(execution, index)),
				execution,
				index,
				attempt: 1,
				hedged: false,
				copies: {inFlight: 0},
			});
		}

		this.placeWaiting([job.settings.pool]);
	}

	/** Requests the result of a task that a session already runs, as found at a takeover. */
	joinRunning(execution: JobExecution, index: number, session: string, address: string): void {
		execution.recordSent(index, session, address);
		const costMs = this.estimate.expectedMs(execution.job.route, declaredMs(execution, index));
		const task: Task = {
			member: execution.job.member, deadline: execution.job.deadline, costMs, execution, index, attempt: 1, hedged: true, copies: {inFlight: 1},
		};
		void this.startClient.send({...task, expectMs: 0}, {session, address, place: ''}).then(result => {
			this.handleOutcome(task, undefined, result);
		});
	}

	/** Places as many waiting tasks of these pools as possible now. */
	placeWaiting(pools: Iterable<string>): void {
		for (const pool of pools) {
			const poolQueue = this.poolQueues.get(pool);
			if (poolQueue && poolQueue.queue.size > 0) {
				this.placeFromQueue(pool, poolQueue);
			}
		}
	}

	/** Returns a pool's queued and running work and the rate at which this entry's share of the places completes it. */
	load(pool: string): PoolLoad {
		const poolQueue = this.poolQueue(pool);
		let slots = 0;
		let rate = 0;
		for (const place of this.directory.placesInService(pool)) {
			const placeSlots = place.report.kind === 'worker' ? Math.max(1, place.report.running) + Math.floor(Math.max(0, place.report.freeCores)) : place.report.slots;
			slots += placeSlots;
			rate += placeSlots / this.slowness(place);
		}

		const share = 1 / this.dependencies.watcher.entryCount;
		return {
			queued: poolQueue.queue.size + poolQueue.reserved,
			queueLimit: this.dependencies.watcher.config.tables.pools.get(pool)?.value.queue ?? 0,
			workMs: poolQueue.queue.costMs + poolQueue.reservedMs + (poolQueue.workMs / 2),
			rate: rate * share,
			slots: slots * share,
			running: poolQueue.running,
		};
	}

	/** Counts admitted work that is not enqueued yet as waiting for a pool; returns a function that undoes this. */
	reserve(pool: string, tasks: number, workMs: number): () => void {
		const poolQueue = this.poolQueue(pool);
		poolQueue.reserved += tasks;
		poolQueue.reservedMs += workMs;
		return () => {
			poolQueue.reserved -= tasks;
			poolQueue.reservedMs -= workMs;
		};
	}

	/** Tells the sidecars, with later starts, that they may discard the results they hold for a claim. */
	release(claim: string, sessions: Iterable<string>): void {
		this.startClient.release(claim, sessions);
	}

	/** Stops the periodic placement. */
	close(): void {
		clearInterval(this.timer);
	}

	private poolQueue(pool: string): PoolQueue {
		const known = this.poolQueues.get(pool);
		if (known) {
			return known;
		}

		const poolQueue: PoolQueue = {
			queue: FairQueue.create<Task>(), turn: 0, workMs: 0, running: 0, reserved: 0, reservedMs: 0,
		};
		this.poolQueues.set(pool, poolQueue);
		return poolQueue;
	}

	private scheduleExpiry(execution: JobExecution): void {
		const timer = setTimeout(() => {
			execution.expire();
		}, Math.max(0, execution.job.deadline - this.dependencies.clock.mono()));
		execution.onEnd(() => {
			clearTimeout(timer);
		});
	}

	private placeFromQueue(pool: string, poolQueue: PoolQueue): void {
		for (let task = this.nextTask(poolQueue); task; task = this.nextTask(poolQueue)) {
			const {settings} = task.execution.job;
			const candidates = this.directory.candidates(pool, settings, place => this.slowness(place));
			const found = this.findPlace(candidates, task, poolQueue);
			if (!found) {
				return;
			}

			const chosen = this.dequeueAfter(poolQueue, found.ahead);
			if (chosen) {
				this.send(chosen, poolQueue, this.directory.places.get(found.id)!);
			}
		}
	}

	/** Returns the next task, after dropping those that no longer wait because their execution has ended. */
	private nextTask(poolQueue: PoolQueue): Task | undefined {
		for (let task = poolQueue.queue.peek(); task; task = poolQueue.queue.peek()) {
			if (task.execution.isWaiting(task.index)) {
				return task;
			}

			poolQueue.queue = poolQueue.queue.withdraw(task.member);
		}

		return undefined;
	}

	/**
	 * Finds a waiting task whose best place is free. Tasks ahead of it may finish sooner by waiting for a
	 * busy place: each is counted as a reservation there, which the choice for the next task includes.
	 */
	private findPlace(candidates: Candidate[], task: Task, poolQueue: PoolQueue): {id: string; ahead: number} | undefined {
		const now = this.dependencies.clock.mono();
		if (!candidates.some(candidate => candidate.availability !== 'closed' && hasFreeSlot(candidate, now))) {
			return undefined;
		}

		const maxAhead = Math.min(poolQueue.queue.size, maxTasksSkipped);
		for (let ahead = 0; ahead < maxAhead; ahead++) {
			const choice = this.choose(candidates, task, poolQueue, now);
			if (choice.kind !== 'wait') {
				return choice.kind === 'go' ? {id: choice.id, ahead} : undefined;
			}

			// Assumes that every other entry has as many tasks waiting for the same place.
			candidates.find(({id}) => id === choice.id)!.reserved += this.dependencies.watcher.entryCount;
		}

		return undefined;
	}

	/** Removes the task with `ahead` tasks before it from the queue and keeps the order of those. */
	private dequeueAfter(poolQueue: PoolQueue, ahead: number): Task | undefined {
		const skipped: Task[] = [];
		let task = this.nextTask(poolQueue);
		while (task && skipped.length < ahead) {
			skipped.push(task);
			poolQueue.queue = poolQueue.queue.withdraw(task.member);
			task = this.nextTask(poolQueue);
		}

		if (task) {
			poolQueue.queue = poolQueue.queue.dequeue(task.member, this.dependencies.watcher.config.tables.members.get(task.member)?.value.weight ?? 1);
		}

		for (const other of skipped) {
			poolQueue.queue = poolQueue.queue.enqueue(other);
		}

		return task;
	}

	private choose(candidates: readonly Candidate[], task: Task, poolQueue: PoolQueue, now: number): PlacementChoice {
		const {policy, zone} = this.options;
		if (policy === 'finish') {
			return choosePlace(candidates, {taskMs: task.costMs, usualMs: this.meanCostMs(poolQueue), zone}, now, this.dependencies.random.next());
		}

		poolQueue.turn++;
		const free = candidates.filter(candidate => candidate.availability !== 'closed' && hasFreeSlot(candidate, now));
		return choosePlaceByBaseline(policy, free, poolQueue.turn, this.dependencies.random.next());
	}

	/** The mean cost of running and waiting tasks, in milliseconds. */
	private meanCostMs(poolQueue: PoolQueue): number {
		return (poolQueue.workMs + poolQueue.queue.costMs) / Math.max(1, poolQueue.running + poolQueue.queue.size);
	}

	private send(task: Task, poolQueue: PoolQueue, place: PlaceState): void {
		task.execution.recordSent(task.index, place.session, place.address);
		task.copies.inFlight++;
		this.directory.recordStart(place);
		poolQueue.running++;
		poolQueue.workMs += task.costMs;
		const hedge = this.scheduleHedge(task, place);
		const target = {session: place.session, address: place.address, place: place.id};
		const expectMs = this.estimate.geometricMeanMs(task.execution.job.route, declaredMs(task.execution, task.index));
		void this.startClient.send({...task, expectMs}, target).then(result => {
			clearTimeout(hedge);
			task.execution.recordReturned(task.index, place.address);
			poolQueue.running--;
			poolQueue.workMs -= task.costMs;
			this.directory.recordReply(place, result.reply);
			this.handleOutcome(task, place, result);
			this.placeWaiting([task.execution.job.settings.pool]);
		});
	}

	private handleOutcome(task: Task, place: PlaceState | undefined, result: StartOutcome): void {
		const {execution, index} = task;
		const {reply, loss, handedTask} = result;
		task.copies.inFlight--;
		if (execution.ended) {
			this.counts[task.hedged ? 'hedgesLost' : 'dropped']++;
			return;
		}

		if (handedTask) {
			execution.end(index, taskEndOf(handedEndedTask(handedTask)));
			return;
		}

		if (!loss) {
			this.recordSuccess(task, place, reply!);
			execution.end(index, {kind: 'done', item: itemOf(reply!, place?.id)});
			return;
		}

		if (reply?.code === results.staleEpoch.code) {
			execution.end(index, {kind: 'superseded'});
			return;
		}

		this.handleLoss(task, place, loss, result);
	}

	private handleLoss(task: Task, place: PlaceState | undefined, loss: AttemptFailure, {detail, reply}: StartOutcome): void {
		const {execution, index} = task;
		if (place) {
			this.penalizePlace(place, loss, reply?.code ?? 0);
		}

		if (task.copies.inFlight > 0) {
			return;
		}

		const budget = spendRetry(this.retryBudget);
		const decision = decideRetry(loss, execution.job.repeatable, budget !== undefined, true);
		if (decision !== 'place-again') {
			execution.end(index, loss === 'failed' ? {kind: 'failed', detail} : {kind: 'unknown', detail});
			return;
		}

		if (loss === 'refused') {
			this.counts.refused++;
		} else {
			this.retryBudget = budget ?? this.retryBudget;
		}

		this.counts.placedAgain++;
		execution.requeue(index);
		const poolQueue = this.poolQueue(execution.job.settings.pool);
		poolQueue.queue = poolQueue.queue.enqueue({...task, attempt: task.attempt + 1});
	}

	private penalizePlace(place: PlaceState, loss: AttemptFailure, code: number): void {
		if (loss !== 'refused') {
			this.directory.recordOutcome(place, false);
			return;
		}

		const pause = code === results.full.code ? fullPauseMs : unavailablePauseMs;
		place.notBefore = this.dependencies.clock.mono() + pause;
	}

	private recordSuccess(task: Task, place: PlaceState | undefined, reply: StartReply): void {
		if (place) {
			this.directory.recordOutcome(place, true);
			this.estimate.observe({
				route: task.execution.job.route, place: place.id, ranMs: reply.ranMs, declaredMs: declaredMs(task.execution, task.index), reportedPace: place.report.pace,
			});
		}
	}

	private scheduleHedge(task: Task, place: PlaceState): NodeJS.Timeout | undefined {
		if (!this.options.hedge || !task.execution.job.repeatable || task.hedged) {
			return undefined;
		}

		const expected = task.costMs * this.slowness(place);
		return setTimeout(() => {
			this.hedge(task, place);
		}, Math.max(hedgeMinDelayMs, expected * hedgeDelayFactor));
	}

	/** Starts a second copy of a repeatable request at another place, if one is free and the retry budget allows it. */
	private hedge(task: Task, firstPlace: PlaceState): void {
		const {pool} = task.execution.job.settings;
		const now = this.dependencies.clock.mono();
		const candidates = this.directory.candidates(pool, task.execution.job.settings, place => this.slowness(place))
			.filter(candidate => candidate.id !== firstPlace.id && candidate.availability === 'open' && hasFreeSlot(candidate, now));
		const choice = choosePlace(candidates, {taskMs: task.costMs, usualMs: task.costMs, zone: this.options.zone}, now, this.dependencies.random.next());
		const budget = spendRetry(this.retryBudget);
		if (choice.kind !== 'go' || !budget || task.execution.ended) {
			return;
		}

		this.retryBudget = budget;
		this.counts.hedges++;
		this.send({...task, attempt: task.attempt + 1, hedged: true}, this.poolQueue(pool), this.directory.places.get(choice.id)!);
	}

	/** Cancels the in-flight copies of an ended execution; its waiting tasks are dropped when they reach the head of the queue. */
	private cancelInFlight(execution: JobExecution): void {
		const {job} = execution;
		for (const [address, tasks] of execution.inFlightCopies()) {
			this.counts.cancels++;
			const request = create(CancelRequestSchema, {claim: job.claim, epoch: job.epoch, tasks});
			void this.dependencies.peers.sidecar(address).cancel(request, {timeoutMs: cancelTimeoutMs}).catch(() => undefined);
		}
	}
}

function declaredMs({job}: JobExecution, index: number): number {
	return job.bodies[index]?.expectMs ?? job.settings.expectMs;
}
