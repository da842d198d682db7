import {create} from '@bufbuild/protobuf';
import {
	CancelReplySchema,
	CollectReplySchema,
	PaceSchema,
	StartReplySchema,
	type CancelReply,
	type CancelRequest,
	type CollectReply,
	type CollectRequest,
	type Echo,
	type StartReply,
	type StartRequest,
	type Place as PlaceReport,
} from '../../gen/sniperidge/v1/peer_pb.js';
import {
	refusalCode, decideStart, withEpoch, withTask, type StartConditions, type PlaceConditions,
} from '../decide/start-check.js';
import type {Config} from '../decide/config.js';
import {updatePace, type Pace} from '../decide/duration-estimator.js';
import type {HandedTask} from '../decide/handover.js';
import {deferred} from '../deferred.js';
import type {Clock} from '../ports/clock.js';
import type {Answer, Run} from '../ports/upstream.js';
import {results} from '../results.js';
import type {Place} from './place.js';
import {
	evictedReply, endedReplies, ClaimRecords, type ClaimState, type TaskExecution,
} from './claim-records.js';

/** Dependencies are consulted again at the moment of each start, so that a start never uses outdated state. */
export type Dependencies = {
	currentConfig(): Config;
	isConfirmed(): boolean;
	findPlace(name: string): Place | undefined;
	/** Handles the confirmation of the configuration that a start request carries. */
	applyConfirmation(echo: Echo): void;
};

/** Counts are the task counters of the metrics; `refused` is keyed by result code. */
export type Counts = {started: number; done: number; failed: number; unknown: number; refused: Record<number, number>; repeated: number};

/** The conditions of a start at a place that this sidecar does not have. */
const unknownPlaceConditions: StartConditions = {
	draining: false, isZoneInService: true, isUpstreamInService: false, isConfigConfirmed: true, hasFreeSlot: false, hasQueueSpace: false,
};
/** A task withdrawn for good is recorded as refused under this attempt, which no real attempt reaches. */
const anyAttempt = 1_000_000_000;

/** Settings of a gate. `queueLimit` bounds the tasks queued at each place; records are kept for `claimWindowMs` milliseconds. */
export type Settings = {session: string; zone: string; queueLimit: number; claimWindowMs: number};

/** Gate is the last check before work starts: it starts each task at most once, and only while configuration and epoch allow it. */
export class Gate {
	static create(settings: Settings, clock: Clock, dependencies: Dependencies): Gate {
		return new Gate(settings, clock, dependencies);
	}

	draining = false;
	readonly counts: Counts = {
		started: 0, done: 0, failed: 0, unknown: 0, refused: {}, repeated: 0,
	};

	private readonly records: ClaimRecords;
	private readonly queues = new Map<string, TaskExecution[]>();
	private readonly paces = new Map<string, Pace>();
	private session: string;

	private constructor(private readonly settings: Settings, private readonly clock: Clock, private readonly dependencies: Dependencies) {
		this.session = settings.session;
		this.records = ClaimRecords.create(settings.claimWindowMs, clock);
	}

	/** Starts a task, waits for a copy of it that was already started, or refuses. Resolves when the task has ended. */
	async start(request: StartRequest, signal: AbortSignal): Promise<StartReply> {
		if (request.echo) {
			this.dependencies.applyConfirmation(request.echo);
		}

		for (const claim of request.releases) {
			this.records.release(claim);
		}

		if (request.session !== this.session) {
			return this.refuse(request, results.wrongSession.code);
		}

		const place = this.dependencies.findPlace(request.place);
		const claimState = this.records.getOrCreate(request.claim, request.keyed);
		const decision = decideStart(claimState.record, request, place ? this.startConditions(place, request) : unknownPlaceConditions);
		switch (decision.kind) {
			case 'refuse': {
				return this.refuse(request, decision.code);
			}

			case 'join': {
				claimState.record = withEpoch(claimState.record, request.epoch);
				this.counts.repeated++;
				break;
			}

			case 'run': {
				this.startExecution(claimState, this.addExecution(claimState, request, place!));
				break;
			}

			case 'queue': {
				this.enqueue(claimState, this.addExecution(claimState, request, place!));
				break;
			}
		}

		return this.fetchReply(claimState.executions.get(request.task), request, signal);
	}

	/** Withdraws tasks that have not started, so that they never will under this epoch, and aborts running ones that are repeatable. */
	cancel(request: CancelRequest): CancelReply {
		const claimState = this.records.getOrCreate(request.claim, true);
		const withdrawn: number[] = [];
		const started: number[] = [];
		for (const task of request.tasks) {
			const execution = claimState.executions.get(task);
			const state = claimState.record.tasks.get(task)?.kind;
			if (state === 'running' || state === 'ended') {
				started.push(task);
				if (execution?.request.repeatable) {
					execution.abortController.abort();
				}
			} else if (request.epoch >= claimState.record.epoch) {
				this.withdraw(claimState, task, request.epoch, results.withdrawn.code);
				withdrawn.push(task);
			}
		}

		return create(CancelReplySchema, {withdrawn, started});
	}

	/** Raises the epoch of a claim, withdraws its queued tasks, and returns those that ended or still run. */
	collect(request: CollectRequest): CollectReply {
		const claimState = this.records.getOrCreate(request.claim, true);
		if (request.epoch < claimState.record.epoch) {
			return create(CollectReplySchema, {session: this.session, stale: true});
		}

		for (const [task, state] of claimState.record.tasks) {
			if (state.kind === 'queued') {
				this.withdraw(claimState, task, claimState.record.epoch, results.staleEpoch.code);
			}
		}

		claimState.record = withEpoch(claimState.record, request.epoch);
		const ended = endedReplies(claimState, request.claim);
		const running = [...claimState.executions].filter(([, execution]) => !execution.finalReply).map(([task]) => task);
		return create(CollectReplySchema, {session: this.session, tasks: ended, running});
	}

	/** Raises a claim's epoch, also when no start of it has arrived here yet. */
	raiseEpoch(claim: string, epoch: number): void {
		const claimState = this.records.getOrCreate(claim, true);
		claimState.record = withEpoch(claimState.record, epoch);
	}

	/** Withdraws queued tasks that may no longer start, after a change of configuration or when draining begins. */
	withdrawIneligible(): void {
		for (const queue of this.queues.values()) {
			for (const execution of queue) {
				const code = refusalCode(this.placeConditions(execution.place));
				if (code !== undefined && code !== results.unconfirmed.code) {
					this.withdraw(this.records.getOrCreate(execution.request.claim, execution.request.keyed), execution.request.task, execution.request.epoch, code);
				}
			}
		}
	}

	/** Returns the number of tasks queued at a place. */
	queueLength(place: string): number {
		return this.queues.get(place)?.length ?? 0;
	}

	get hasQueuedTasks(): boolean {
		return [...this.queues.values()].some(queue => queue.length > 0);
	}

	/** Deletes expired records. */
	sweep(): void {
		this.records.sweep();
	}

	/** Whether no task is queued or running and every answer has been fetched. */
	get isIdle(): boolean {
		return this.records.isIdle;
	}

	/** Returns the ended tasks of keyed claims that were not released, for the handover at a graceful stop. */
	tasksToHandOver(): HandedTask[] {
		return this.records.tasksToHandOver();
	}

	/** Continues under a new session after the old one was written as ended. Records are kept, so that repeated requests get the same answers. */
	continueAs(session: string): void {
		this.session = session;
	}

	/** Describes the current state of a place, with its queue length and measured pace. */
	describePlace(place: Place): PlaceReport {
		const report = place.describe();
		report.queued = this.queueLength(place.name);
		const pace = this.paces.get(place.name);
		report.pace = pace && create(PaceSchema, pace);
		return report;
	}

	/** Returns the conditions that currently apply to every start at a place. */
	private placeConditions(place: Place): PlaceConditions {
		const config = this.dependencies.currentConfig();
		return {
			draining: this.draining,
			isZoneInService: config.isZoneInService(this.settings.zone),
			isUpstreamInService: config.isUpstreamInService(place.name),
			isConfigConfirmed: this.dependencies.isConfirmed(),
		};
	}

	private startConditions(place: Place, request: StartRequest): StartConditions {
		return {
			...this.placeConditions(place),
			hasFreeSlot: this.queueLength(place.name) === 0 && place.canStart(runOf(request)),
			hasQueueSpace: this.queueLength(place.name) < this.settings.queueLimit,
		};
	}

	private addExecution(claimState: ClaimState, request: StartRequest, place: Place): TaskExecution {
		const now = this.clock.mono();
		const {promise, resolve} = deferred<StartReply>();
		const execution: TaskExecution = {
			request, place, queuedAt: now, startedAt: now, abortController: new AbortController(), reply: promise, resolve, fetched: false,
		};
		claimState.executions.set(request.task, execution);
		return execution;
	}

	private startExecution(claimState: ClaimState, execution: TaskExecution): void {
		const {request} = execution;
		clearTimeout(execution.timer);
		claimState.record = withTask(claimState.record, request.task, {kind: 'running', attempt: request.attempt}, request.epoch);
		execution.startedAt = this.clock.mono();
		this.counts.started++;
		void this.run(claimState, execution);
	}

	private async run(claimState: ClaimState, execution: TaskExecution): Promise<void> {
		const {request, place} = execution;
		let refusedCode: number | undefined;
		const mayStart = () => {
			refusedCode = refusalCode({...this.placeConditions(place), draining: false});
			return refusedCode === undefined;
		};

		const answer = await place.run(runOf(request), request.repeatable, {signal: execution.abortController.signal, mayStart});
		if (answer.kind === 'refused') {
			this.counts.started--;
			this.withdraw(claimState, request.task, request.epoch, refusedCode ?? results.upstreamOut.code);
		} else {
			this.recordAnswer(claimState, execution, answer);
		}

		this.startNext(place);
	}

	private recordAnswer(claimState: ClaimState, execution: TaskExecution, answer: Exclude<Answer, {kind: 'refused'}>): void {
		const {request} = execution;
		claimState.record = withTask(claimState.record, request.task, {kind: 'ended', attempt: request.attempt}, request.epoch);
		this.counts[answer.kind]++;
		if (answer.kind === 'done') {
			this.updatePlacePace(execution);
		}

		execution.finalReply = create(StartReplySchema, {
			claim: request.claim,
			task: request.task,
			epoch: request.epoch,
			state: answer.kind,
			code: {done: results.complete.code, failed: results.taskFailed.code, unknown: results.unknown.code}[answer.kind],
			...(answer.kind === 'done' ? {body: new Uint8Array(answer.body), contentType: answer.contentType} : {detail: answer.detail}),
			ranMs: this.clock.mono() - execution.startedAt,
			queuedMs: execution.startedAt - execution.queuedAt,
			place: this.describePlace(execution.place),
		});
		this.records.addReply(execution.finalReply);
		execution.resolve(execution.finalReply);
	}

	private updatePlacePace({request, place, startedAt}: TaskExecution): void {
		if (request.expectMs > 0) {
			const ranMs = Math.max(1, this.clock.mono() - startedAt);
			this.paces.set(place.name, updatePace(this.paces.get(place.name), Math.log(ranMs / request.expectMs)));
		}
	}

	private enqueue(claimState: ClaimState, execution: TaskExecution): void {
		const {request, place} = execution;
		claimState.record = withTask(claimState.record, request.task, {kind: 'queued', attempt: request.attempt}, request.epoch);
		this.queues.set(place.name, [...this.queues.get(place.name) ?? [], execution]);
		execution.timer = setTimeout(() => {
			this.withdraw(claimState, request.task, request.epoch, results.late.code);
		}, Math.max(0, request.budgetMs));
	}

	private startNext(place: Place): void {
		const queue = this.queues.get(place.name) ?? [];
		const [execution] = queue;
		if (!execution || !place.canStart(runOf(execution.request))) {
			return;
		}

		const claimState = this.records.getOrCreate(execution.request.claim, execution.request.keyed);
		const code = refusalCode(this.placeConditions(place));
		if (code === undefined) {
			this.queues.set(place.name, queue.slice(1));
			this.startExecution(claimState, execution);
		} else {
			this.withdraw(claimState, execution.request.task, execution.request.epoch, code);
		}

		this.startNext(place);
	}

	/** Makes sure that a task never starts here under this epoch, and resolves the requests that wait for it. */
	private withdraw(claimState: ClaimState, task: number, epoch: number, code: number): void {
		const execution = claimState.executions.get(task);
		const isWithdrawn = code === results.withdrawn.code;
		claimState.record = withTask(claimState.record, task, {kind: 'refused', attempt: isWithdrawn ? anyAttempt : execution?.request.attempt ?? anyAttempt, code}, epoch);
		if (execution) {
			clearTimeout(execution.timer);
			claimState.executions.delete(task);
			this.queues.set(execution.place.name, (this.queues.get(execution.place.name) ?? []).filter(other => other !== execution));
			execution.resolve(this.createRefusal(execution.request, code));
		}
	}

	private refuse(request: StartRequest, code: number): StartReply {
		if (request.session !== this.session) {
			return this.createRefusal(request, code);
		}

		const claimState = this.records.getOrCreate(request.claim, request.keyed);
		const existing = claimState.record.tasks.get(request.task);
		if (request.epoch >= claimState.record.epoch && (existing === undefined || existing.kind === 'refused')) {
			const attempt = Math.max(request.attempt, existing?.attempt ?? 0);
			claimState.record = withTask(claimState.record, request.task, {kind: 'refused', attempt, code}, request.epoch);
		}

		return this.createRefusal(request, code);
	}

	private createRefusal(request: StartRequest, code: number): StartReply {
		this.counts.refused[code] = (this.counts.refused[code] ?? 0) + 1;
		const place = this.dependencies.findPlace(request.place);
		return this.withStamp(create(StartReplySchema, {
			claim: request.claim, task: request.task, epoch: request.epoch, state: 'refused', code, place: place && this.describePlace(place),
		}));
	}

	private async fetchReply(execution: TaskExecution | undefined, request: StartRequest, signal: AbortSignal): Promise<StartReply> {
		if (!execution) {
			return evictedReply(request, request.task);
		}

		const reply = await execution.reply;
		execution.fetched ||= !signal.aborted;
		return this.withStamp(reply);
	}

	/** Stamps a reply with the time at which it is sent. */
	private withStamp(reply: StartReply): StartReply {
		reply.stamp = this.clock.mono();
		return reply;
	}
}

function runOf(request: StartRequest): Run {
	return request;
}
