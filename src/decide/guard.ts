import type {
	EndedRun, PollResult, WorkerRefusal, Reply, RunId,
} from '../ports/executor.js';
import {consecutiveFailureLimit} from './eject.js';
import {addResources, fits, type Resources} from './room.js';

/** Ask is an entry's request to run a task. `ref` is its name at that entry. */
export type RunRequest = {
	owner: string;
	ref: number;
	task: string;
	resources: Resources;
	spec: string;
	/** Worker-clock milliseconds when the entry sent it, at the latest. */
	sentAt: number;
};

/** Worker is one life of a worker as it reports itself. */
export type Worker = {
	incarnation: string;
	/** Unix milliseconds of its start: of two lives the later one has more. */
	born: number;
	pool: string;
	capacity: Resources;
	labels: readonly string[];
	draining: boolean;
};

/** Hindrance is why a task is not started; the answer is definite. */
export type StartRefusal = 'room' | 'draining' | 'stopping' | 'zone-out' | 'absent' | 'unsettled' | 'stale' | 'duplicate' | 'withdrawn' | WorkerRefusal;

/** Outcome is what became of an ask that was started: `lost` means that it ran and neither succeeded nor failed of itself. */
export type Outcome = 'done' | 'failed' | 'lost';

/** Event is what a guard learns. `ownerLost`, `want` and `cancel` come from entries, the rest from the worker. */
export type Event
	= | {kind: 'request'; request: RunRequest; clock: number}
	/** `hung`: the owner takes the run to stand still. */
		| {kind: 'cancel'; owner: string; ref: number; hung: boolean}
		| {kind: 'ownerLost'; owner: string}
	/** The owner has a task of this size that waits for room and should begin within `dueMs`. Holds until it is offered room. */
		| {kind: 'want'; owner: string; resources: Resources; dueMs: number}
		| {kind: 'reported'; worker: Worker}
		| {kind: 'left'; incarnation: string}
		| {kind: 'started'; run: RunId; reply: Reply}
		| {kind: 'stopped'; run: RunId; reply: Reply}
	/** `askedAt` is when the question was sent, in the guard's own milliseconds. */
		| {kind: 'polled'; result: PollResult; sentAt: number}
	/** All leases are over: nothing that was started can still run. */
		| {kind: 'lapsed'}
		| {kind: 'zone'; out: boolean}
		| {kind: 'stopping'};

/** Action is what a guard wants done. */
export type Action
	= | {kind: 'start'; run: RunId; request: RunRequest}
		| {kind: 'stop'; run: RunId}
		| {kind: 'refuse'; owner: string; ref: number; why: StartRefusal}
	/** There is room for what the owner wanted; it is kept for `offerMs`. */
		| {kind: 'offer'; owner: string}
		| {kind: 'end'; owner: string; ref: number; outcome: Outcome; ranMs: number};

/** How old an ask may be when it arrives, in worker-clock milliseconds: under the silence after which its entry gives the link up. */
export const requestMaxAgeMs = 600;
/** How long offered room is kept, in milliseconds: there and back between regions (8 ms a way), and a turn of both loops. */
export const offerHoldMs = 20;
/** Looks without an answer after which a worker gets nothing until it answers. */
const unansweredPollLimit = 3;
/** How often a run that the worker calls old is asked for again under a higher number. */
const renumberLimit = 4;
/** How many task names with their highest run number are remembered. */
const rememberedTaskLimit = 2000;

type Phase
	/** The order is on its way. */
	= | 'starting'
	/** The order got no answer: it may have been carried out or may be later. */
		| 'unsettled'
		| 'running'
	/** A stop was sent; the room stays taken until the end is listed. */
		| 'stopping';

type CapacityRequest = {owner: string; resources: Resources; dueAt: number};

type ActiveRun = {
	run: RunId;
	request: RunRequest;
	phase: Phase;
	orderedAt: number;
	/** When the worker answered the start. */
	startedAt?: number;
	/** When the order got no answer, or the stop was answered: what is seen from then on is final. */
	conclusiveFrom?: number;
	renumberings: number;
	/** Whether the worker was seen or said to have begun it. */
	hasBegun: boolean;
	/** Whether its owner still wants to hear of it. */
	isAwaited: boolean;
};

/**
 * Guard is the last gate before a worker: it alone decides what starts there, so that capacity, drains
 * and single runs hold whatever entries ask at the same time. It answers the load of several entries
 * racing for the same room.
 *
 * `step` takes an event and the time and returns the actions; it does nothing itself, and the same
 * events at the same times give the same actions. Room is taken from the moment of an order until the
 * run's end is listed or its order is void for good.
 */
export class Guard {
	static create(): Guard {
		return new Guard();
	}

	/** The worker's present life; nothing is started before it is known. */
	worker: Worker | undefined;
	/** The highest end taken note of in this life. */
	lastEndSequence = 0;

	private readonly runs = new Map<string, ActiveRun>();
	/** Who waits for room, in the order in which they came, and for whom some is kept until when. */
	private readonly capacityRequests = new Map<string, CapacityRequest>();
	private readonly capacityOffers = new Map<string, {resources: Resources; until: number}>();
	private readonly orphanRuns = new Map<string, RunId>();
	private readonly runNumbers = new Map<string, number>();
	/** Whether what earlier lives of this process started is known to be over. */
	private mayHaveOrphans = true;
	private isZoneOut = false;
	private isStopping = false;
	private hasLeft = false;
	/** Looks without an answer in a row. */
	private unansweredPolls = 0;
	/** Runs in a row, of whatever owner, that failed or hung. */
	private consecutiveFailures = 0;

	/** Says whether anything may run that needs its lease renewed or its end collected. */
	get needsPolling(): boolean {
		return this.runs.size > 0 || this.mayHaveOrphans || this.orphanRuns.size > 0 || this.unansweredPolls > 0;
	}

	/** Says whether the fate of some run is to be found out. */
	get hasUnresolvedRuns(): boolean {
		return this.mayHaveOrphans || this.orphanRuns.size > 0 || [...this.runs.values()].some(({phase}) => phase === 'unsettled' || phase === 'stopping');
	}

	/** The number of runs that hold room. */
	get runCount(): number {
		return this.runs.size;
	}

	/** Says whether all that ended lately failed. Tasks may be to blame, so it hinders nothing here: entries see other places too. */
	get isFailing(): boolean {
		return this.consecutiveFailures >= consecutiveFailureLimit;
	}

	/** Why nothing may start at present, if so. */
	get startRefusal(): StartRefusal | undefined {
		if (this.isStopping) {
			return 'stopping';
		}

		if (!this.worker || this.hasLeft || this.unansweredPolls >= unansweredPollLimit) {
			return 'absent';
		}

		if (this.worker.draining) {
			return 'draining';
		}

		if (this.isZoneOut) {
			return 'zone-out';
		}

		return this.mayHaveOrphans ? 'unsettled' : undefined;
	}

	/** The room that an owner can't have: taken by others or kept for them. */
	capacityHeldByOthers(owner: string, now: number): Resources {
		const sum = {cpu: 0, memoryMb: 0, accelerators: 0};
		for (const {request} of this.runs.values()) {
			if (request.owner !== owner) {
				addResources(sum, request.resources, 1);
			}
		}

		for (const [otherOwner, {resources, until}] of this.capacityOffers) {
			if (otherOwner !== owner && now < until) {
				addResources(sum, resources, 1);
			}
		}

		return sum;
	}

	/** Returns the names of the tasks that hold room for an owner. */
	tasksOf(owner: string): string[] {
		return [...this.runs.values()].filter(({request}) => request.owner === owner).map(({request}) => request.task);
	}

	/** Says whether an owner has a run here, waits for room or is kept some. */
	isNeededBy(owner: string): boolean {
		return this.capacityRequests.has(owner) || this.capacityOffers.has(owner) || [...this.runs.values()].some(({request}) => request.owner === owner);
	}

	/** Says whether all that the owner asked for before it was last lost is over, also what an earlier life of this process started. */
	hasNoAbandonedRuns(owner: string): boolean {
		return !this.mayHaveOrphans && ![...this.runs.values()].some(({request, isAwaited}) => request.owner === owner && !isAwaited);
	}

	/** Takes one event in. `now` is in steady milliseconds. */
	step(event: Event, now: number): Action[] {
		const actions: Action[] = [];
		switch (event.kind) {
			case 'request': {
				this.handleRequest(event.request, event.clock, now, actions);
				break;
			}

			case 'cancel': {
				const active = [...this.runs.values()].find(({request}) => request.owner === event.owner && request.ref === event.ref);
				if (active) {
					this.consecutiveFailures += Number(event.hung);
					this.stopRun(active, actions);
				}

				break;
			}

			case 'want': {
				this.capacityRequests.delete(event.owner);
				this.capacityRequests.set(event.owner, {owner: event.owner, resources: event.resources, dueAt: now + event.dueMs});
				break;
			}

			case 'ownerLost': {
				this.capacityRequests.delete(event.owner);
				this.capacityOffers.delete(event.owner);
				for (const active of this.runs.values()) {
					if (active.request.owner === event.owner) {
						active.isAwaited = false;
						this.stopRun(active, actions);
					}
				}

				break;
			}

			case 'reported': {
				this.handleReport(event.worker, now, actions);
				break;
			}

			case 'left': {
				if (this.worker?.incarnation === event.incarnation) {
					this.hasLeft = true;
				}

				break;
			}

			case 'started': {
				this.handleStartReply(event.run, event.reply, now, actions);
				break;
			}

			case 'stopped': {
				this.handleStopReply(event.run, event.reply, now, actions);
				break;
			}

			case 'polled': {
				this.handlePoll(event.result, event.sentAt, now, actions);
				break;
			}

			case 'lapsed': {
				this.endAllRuns(now, actions);
				break;
			}

			case 'zone': {
				this.isZoneOut = event.out;
				break;
			}

			case 'stopping': {
				this.isStopping = true;
				break;
			}
		}

		this.offerFreeCapacity(now, actions);
		return actions;
	}

	/** Offers room that is free to those who want some, first to whose task should begin soonest, one task's worth to each. */
	private offerFreeCapacity(now: number, actions: Action[]): void {
		if (this.capacityRequests.size === 0 || this.startRefusal) {
			return;
		}

		for (const request of [...this.capacityRequests.values()].toSorted((a, b) => a.dueAt - b.dueAt)) {
			if (this.hasCapacityFor(request.owner, request.resources, now)) {
				this.capacityRequests.delete(request.owner);
				this.capacityOffers.set(request.owner, {resources: request.resources, until: now + offerHoldMs});
				actions.push({kind: 'offer', owner: request.owner});
			}
		}
	}

	private capacityHeldBy(owner: string): Resources {
		const sum = {cpu: 0, memoryMb: 0, accelerators: 0};
		for (const {request} of this.runs.values()) {
			if (request.owner === owner) {
				addResources(sum, request.resources, 1);
			}
		}

		return sum;
	}

	private hasCapacityFor(owner: string, resources: Resources, now: number): boolean {
		const free = {...this.worker!.capacity};
		addResources(free, this.capacityHeldByOthers(owner, now), -1);
		addResources(free, this.capacityHeldBy(owner), -1);
		return fits(resources, free);
	}

	private handleRequest(request: RunRequest, clock: number, now: number, actions: Action[]): void {
		const why = this.startRefusal ?? this.refusalFor(request, clock, now);
		if (why) {
			actions.push({
				kind: 'refuse', owner: request.owner, ref: request.ref, why,
			});
			return;
		}

		this.capacityOffers.delete(request.owner);
		const run = {task: request.task, number: (this.runNumbers.get(request.task) ?? 0) + 1};
		this.rememberNumber(run);
		this.runs.set(request.task, {
			run, request, phase: 'starting', orderedAt: now, renumberings: 0, hasBegun: false, isAwaited: true,
		});
		actions.push({kind: 'start', run, request});
	}

	private refusalFor(request: RunRequest, clock: number, now: number): StartRefusal | undefined {
		if (clock - request.sentAt > requestMaxAgeMs) {
			return 'stale';
		}

		if (this.runs.has(request.task)) {
			return 'duplicate';
		}

		return this.hasCapacityFor(request.owner, request.resources, now) ? undefined : 'room';
	}

	private handleReport(worker: Worker, now: number, actions: Action[]): void {
		const previous = this.worker;
		if (previous && worker.born < previous.born) {
			return;
		}

		if (previous && worker.born > previous.born) {
			this.handleRestart(now, actions);
		}

		this.worker = worker.born === previous?.born && previous.draining ? {...worker, draining: true} : worker;
		if (worker.born !== previous?.born) {
			this.hasLeft = false;
		}
	}

	/** A worker that has started anew counts its ends from 1, and runs at most what an earlier life of this process started there. */
	private handleRestart(now: number, actions: Action[]): void {
		this.lastEndSequence = 0;
		this.consecutiveFailures = 0;
		this.endAllRuns(now, actions);
		this.mayHaveOrphans = true;
	}

	/** Settles all: what was started runs no more, wherever that is known from. */
	private endAllRuns(now: number, actions: Action[]): void {
		this.mayHaveOrphans = false;
		this.orphanRuns.clear();
		for (const active of this.runs.values()) {
			this.endRun(active, 'lost', now, actions);
		}
	}

	private handleStartReply(run: RunId, reply: Reply, now: number, actions: Action[]): void {
		const active = this.findRun(run);
		if (!active) {
			return;
		}

		switch (reply.kind) {
			case 'done': {
				active.startedAt = now;
				active.hasBegun = true;
				if (active.phase !== 'stopping') {
					active.phase = 'running';
				}

				break;
			}

			case 'unknown': {
				if (active.phase === 'starting') {
					active.phase = 'unsettled';
					active.conclusiveFrom = now;
				}

				break;
			}

			case 'refused': {
				if (reply.reason === 'old' && active.phase === 'starting' && active.renumberings < renumberLimit) {
					active.renumberings++;
					active.run = {task: run.task, number: run.number + (2 ** active.renumberings)};
					this.rememberNumber(active.run);
					actions.push({kind: 'start', run: active.run, request: active.request});
					break;
				}

				this.refuseRun(active, reply.reason, actions);
				break;
			}
		}
	}

	private handleStopReply(run: RunId, reply: Reply, now: number, actions: Action[]): void {
		const active = this.findRun(run);
		if (reply.kind === 'unknown') {
			if (active !== undefined || this.orphanRuns.has(run.task)) {
				actions.push({kind: 'stop', run});
			}

			return;
		}

		if (active) {
			active.conclusiveFrom ??= now;
		}
	}

	private handlePoll(result: PollResult, sentAt: number, now: number, actions: Action[]): void {
		if (result.kind !== 'seen') {
			if (result.kind === 'refused' && result.reason === 'other-life') {
				this.handleRestart(now, actions);
				this.hasLeft = true;
			}

			this.unansweredPolls += result.kind === 'unknown' ? 1 : 0;
			return;
		}

		this.unansweredPolls = 0;

		if (this.worker && result.born > this.worker.born) {
			this.handleRestart(now, actions);
			this.worker = {...this.worker, born: result.born};
		}

		for (const end of result.ended) {
			this.handleEnd(end, now, actions);
		}

		const listed = new Map(result.running.map(run => [run.task, run]));
		this.stopOrphanRuns(result.running, actions);
		for (const active of this.runs.values()) {
			const isListed = listed.get(active.run.task)?.number === active.run.number;
			if (isListed) {
				this.markRunning(active);
			} else {
				this.handleUnlisted(active, sentAt, now, actions);
			}
		}
	}

	/** Stops what runs without having been started by this process. */
	private stopOrphanRuns(running: readonly RunId[], actions: Action[]): void {
		const orphans = running.filter(run => this.findRun(run) === undefined);
		for (const run of orphans) {
			if (this.orphanRuns.get(run.task)?.number !== run.number) {
				this.orphanRuns.set(run.task, run);
				this.rememberNumber(run);
				actions.push({kind: 'stop', run});
			}
		}

		for (const [task, run] of this.orphanRuns) {
			if (!orphans.some(orphan => orphan.task === task && orphan.number === run.number)) {
				this.orphanRuns.delete(task);
			}
		}

		this.mayHaveOrphans = orphans.length > 0;
	}

	private markRunning(active: ActiveRun): void {
		active.hasBegun = true;
		if (active.phase === 'starting' || active.phase === 'unsettled') {
			active.phase = 'running';
			active.conclusiveFrom = undefined;
		}
	}

	/** A run that a worker does not list, in an answer to a question asked since the run was settled, is over. */
	private handleUnlisted(active: ActiveRun, sentAt: number, now: number, actions: Action[]): void {
		switch (active.phase) {
			case 'starting': {
				break;
			}

			case 'unsettled': {
				if (sentAt >= active.conclusiveFrom!) {
					this.stopRun(active, actions);
				}

				break;
			}

			case 'running': {
				if (active.startedAt !== undefined && sentAt >= active.startedAt) {
					this.endRun(active, 'lost', now, actions);
				}

				break;
			}

			case 'stopping': {
				if (active.conclusiveFrom !== undefined && sentAt >= active.conclusiveFrom) {
					this.finishStoppedRun(active, now, actions);
				}

				break;
			}
		}
	}

	private handleEnd(end: EndedRun, now: number, actions: Action[]): void {
		this.lastEndSequence = Math.max(this.lastEndSequence, end.sequence);
		this.rememberNumber(end);
		const active = this.findRun(end);
		if (!active) {
			return;
		}

		const outcome = end.ending === 'done' || end.ending === 'failed' ? end.ending : 'lost';
		if (outcome !== 'lost') {
			this.consecutiveFailures = outcome === 'done' ? 0 : this.consecutiveFailures + 1;
		}

		this.endRun(active, outcome, now, actions);
	}

	private stopRun(active: ActiveRun, actions: Action[]): void {
		if (active.phase !== 'stopping') {
			active.phase = 'stopping';
			active.conclusiveFrom = undefined;
			actions.push({kind: 'stop', run: active.run});
		}
	}

	/** Ends a run that was stopped: void if it was never seen to begin. */
	private finishStoppedRun(active: ActiveRun, now: number, actions: Action[]): void {
		if (active.hasBegun) {
			this.endRun(active, 'lost', now, actions);
		} else {
			this.refuseRun(active, 'withdrawn', actions);
		}
	}

	private refuseRun(active: ActiveRun, why: StartRefusal, actions: Action[]): void {
		this.runs.delete(active.run.task);
		if (active.isAwaited) {
			actions.push({
				kind: 'refuse', owner: active.request.owner, ref: active.request.ref, why,
			});
		}
	}

	private endRun(active: ActiveRun, outcome: Outcome, now: number, actions: Action[]): void {
		this.runs.delete(active.run.task);
		if (active.isAwaited) {
			actions.push({
				kind: 'end', owner: active.request.owner, ref: active.request.ref, outcome, ranMs: now - (active.startedAt ?? active.orderedAt),
			});
		}
	}

	private findRun(run: RunId): ActiveRun | undefined {
		const active = this.runs.get(run.task);
		return active?.run.number === run.number ? active : undefined;
	}

	/** Keeps the highest number of a task, so that a later run of it gets a higher one. */
	private rememberNumber({task, number}: RunId): void {
		const highest = Math.max(number, this.runNumbers.get(task) ?? 0);
		this.runNumbers.delete(task);
		this.runNumbers.set(task, highest);
		if (this.runNumbers.size > rememberedTaskLimit) {
			this.runNumbers.delete(this.runNumbers.keys().next().value!);
		}
	}
}
