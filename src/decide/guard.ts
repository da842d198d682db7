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
const silentLimit = 3;
/** How often a run that the worker calls old is asked for again under a higher number. */
const renumberLimit = 4;
/** How many task names with their highest run number are remembered. */
const numbersKept = 2000;

type Phase
	/** The order is on its way. */
	= | 'starting'
	/** The order got no answer: it may have been carried out or may be later. */
		| 'unsettled'
		| 'running'
	/** A stop was sent; the room stays taken until the end is listed. */
		| 'stopping';

type Want = {owner: string; room: Resources; due: number};

type Held = {
	run: RunId;
	ask: RunRequest;
	phase: Phase;
	since: number;
	/** When the worker answered the start. */
	startedAt?: number;
	/** When the order got no answer, or the stop was answered: what is seen from then on is final. */
	settledFrom?: number;
	renumbered: number;
	/** Whether the worker was seen or said to have begun it. */
	began: boolean;
	/** Whether its owner still wants to hear of it. */
	wanted: boolean;
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

	private readonly held = new Map<string, Held>();
	/** Who waits for room, in the order in which they came, and for whom some is kept until when. */
	private readonly wants = new Map<string, Want>();
	private readonly offers = new Map<string, {room: Resources; until: number}>();
	private readonly strays = new Map<string, RunId>();
	private readonly numbers = new Map<string, number>();
	/** Whether what earlier lives of this process started is known to be over. */
	private inherited = true;
	private zoneOut = false;
	private stopping = false;
	private gone = false;
	/** Looks without an answer in a row. */
	private silent = 0;
	/** Runs in a row, of whatever owner, that failed or hung. */
	private failures = 0;

	/** Says whether anything may run that needs its lease renewed or its end collected. */
	get needsPolling(): boolean {
		return this.held.size > 0 || this.inherited || this.strays.size > 0 || this.silent > 0;
	}

	/** Says whether the fate of some run is to be found out. */
	get hasUnresolvedRuns(): boolean {
		return this.inherited || this.strays.size > 0 || [...this.held.values()].some(({phase}) => phase === 'unsettled' || phase === 'stopping');
	}

	/** The number of runs that hold room. */
	get runCount(): number {
		return this.held.size;
	}

	/** Says whether all that ended lately failed. Tasks may be to blame, so it hinders nothing here: entries see other places too. */
	get isFailing(): boolean {
		return this.failures >= consecutiveFailureLimit;
	}

	/** Why nothing may start at present, if so. */
	get startRefusal(): StartRefusal | undefined {
		if (this.stopping) {
			return 'stopping';
		}

		if (!this.worker || this.gone || this.silent >= silentLimit) {
			return 'absent';
		}

		if (this.worker.draining) {
			return 'draining';
		}

		if (this.zoneOut) {
			return 'zone-out';
		}

		return this.inherited ? 'unsettled' : undefined;
	}

	/** The room that an owner can't have: taken by others or kept for them. */
	capacityHeldByOthers(owner: string, now: number): Resources {
		const sum = {cpu: 0, memoryMb: 0, accelerators: 0};
		for (const {ask} of this.held.values()) {
			if (ask.owner !== owner) {
				addResources(sum, ask.resources, 1);
			}
		}

		for (const [other, {room, until}] of this.offers) {
			if (other !== owner && now < until) {
				addResources(sum, room, 1);
			}
		}

		return sum;
	}

	/** Returns the names of the tasks that hold room for an owner. */
	tasksOf(owner: string): string[] {
		return [...this.held.values()].filter(({ask}) => ask.owner === owner).map(({ask}) => ask.task);
	}

	/** Says whether an owner has a run here, waits for room or is kept some. */
	isNeededBy(owner: string): boolean {
		return this.wants.has(owner) || this.offers.has(owner) || [...this.held.values()].some(({ask}) => ask.owner === owner);
	}

	/** Says whether all that the owner asked for before it was last lost is over, also what an earlier life of this process started. */
	hasNoAbandonedRuns(owner: string): boolean {
		return !this.inherited && ![...this.held.values()].some(({ask, wanted}) => ask.owner === owner && !wanted);
	}

	/** Takes one event in. `now` is in steady milliseconds. */
	step(event: Event, now: number): Action[] {
		const actions: Action[] = [];
		switch (event.kind) {
			case 'request': {
				this.judge(event.request, event.clock, now, actions);
				break;
			}

			case 'cancel': {
				const held = [...this.held.values()].find(({ask}) => ask.owner === event.owner && ask.ref === event.ref);
				if (held) {
					this.failures += Number(event.hung);
					this.halt(held, actions);
				}

				break;
			}

			case 'want': {
				this.wants.delete(event.owner);
				this.wants.set(event.owner, {owner: event.owner, room: event.resources, due: now + event.dueMs});
				break;
			}

			case 'ownerLost': {
				this.wants.delete(event.owner);
				this.offers.delete(event.owner);
				for (const held of this.held.values()) {
					if (held.ask.owner === event.owner) {
						held.wanted = false;
						this.halt(held, actions);
					}
				}

				break;
			}

			case 'reported': {
				this.report(event.worker, now, actions);
				break;
			}

			case 'left': {
				if (this.worker?.incarnation === event.incarnation) {
					this.gone = true;
				}

				break;
			}

			case 'started': {
				this.answerStart(event.run, event.reply, now, actions);
				break;
			}

			case 'stopped': {
				this.answerStop(event.run, event.reply, now, actions);
				break;
			}

			case 'polled': {
				this.look(event.result, event.sentAt, now, actions);
				break;
			}

			case 'lapsed': {
				this.forget(now, actions);
				break;
			}

			case 'zone': {
				this.zoneOut = event.out;
				break;
			}

			case 'stopping': {
				this.stopping = true;
				break;
			}
		}

		this.offer(now, actions);
		return actions;
	}

	/** Offers room that is free to those who want some, first to whose task should begin soonest, one task's worth to each. */
	private offer(now: number, actions: Action[]): void {
		if (this.wants.size === 0 || this.startRefusal) {
			return;
		}

		for (const want of [...this.wants.values()].toSorted((a, b) => a.due - b.due)) {
			if (this.fits(want.owner, want.room, now)) {
				this.wants.delete(want.owner);
				this.offers.set(want.owner, {room: want.room, until: now + offerHoldMs});
				actions.push({kind: 'offer', owner: want.owner});
			}
		}
	}

	private used(owner: string): Resources {
		const sum = {cpu: 0, memoryMb: 0, accelerators: 0};
		for (const {ask} of this.held.values()) {
			if (ask.owner === owner) {
				addResources(sum, ask.resources, 1);
			}
		}

		return sum;
	}

	private fits(owner: string, size: Resources, now: number): boolean {
		const free = {...this.worker!.capacity};
		addResources(free, this.capacityHeldByOthers(owner, now), -1);
		addResources(free, this.used(owner), -1);
		return fits(size, free);
	}

	private judge(ask: RunRequest, clock: number, now: number, actions: Action[]): void {
		const why = this.startRefusal ?? this.objection(ask, clock, now);
		if (why) {
			actions.push({
				kind: 'refuse', owner: ask.owner, ref: ask.ref, why,
			});
			return;
		}

		this.offers.delete(ask.owner);
		const run = {task: ask.task, number: (this.numbers.get(ask.task) ?? 0) + 1};
		this.remember(run);
		this.held.set(ask.task, {
			run, ask, phase: 'starting', since: now, renumbered: 0, began: false, wanted: true,
		});
		actions.push({kind: 'start', run, request: ask});
	}

	private objection(ask: RunRequest, clock: number, now: number): StartRefusal | undefined {
		if (clock - ask.sentAt > requestMaxAgeMs) {
			return 'stale';
		}

		if (this.held.has(ask.task)) {
			return 'duplicate';
		}

		return this.fits(ask.owner, ask.resources, now) ? undefined : 'room';
	}

	private report(worker: Worker, now: number, actions: Action[]): void {
		const old = this.worker;
		if (old && worker.born < old.born) {
			return;
		}

		if (old && worker.born > old.born) {
			this.newLife(now, actions);
		}

		this.worker = worker.born === old?.born && old.draining ? {...worker, draining: true} : worker;
		if (worker.born !== old?.born) {
			this.gone = false;
		}
	}

	/** A worker that has started anew counts its ends from 1, and runs at most what an earlier life of this process started there. */
	private newLife(now: number, actions: Action[]): void {
		this.lastEndSequence = 0;
		this.failures = 0;
		this.forget(now, actions);
		this.inherited = true;
	}

	/** Settles all: what was started runs no more, wherever that is known from. */
	private forget(now: number, actions: Action[]): void {
		this.inherited = false;
		this.strays.clear();
		for (const held of this.held.values()) {
			this.settle(held, 'lost', now, actions);
		}
	}

	private answerStart(run: RunId, reply: Reply, now: number, actions: Action[]): void {
		const held = this.heldOf(run);
		if (!held) {
			return;
		}

		switch (reply.kind) {
			case 'done': {
				held.startedAt = now;
				held.began = true;
				if (held.phase !== 'stopping') {
					held.phase = 'running';
				}

				break;
			}

			case 'unknown': {
				if (held.phase === 'starting') {
					held.phase = 'unsettled';
					held.settledFrom = now;
				}

				break;
			}

			case 'refused': {
				if (reply.reason === 'old' && held.phase === 'starting' && held.renumbered < renumberLimit) {
					held.renumbered++;
					held.run = {task: run.task, number: run.number + (2 ** held.renumbered)};
					this.remember(held.run);
					actions.push({kind: 'start', run: held.run, request: held.ask});
					break;
				}

				this.void(held, reply.reason, actions);
				break;
			}
		}
	}

	private answerStop(run: RunId, reply: Reply, now: number, actions: Action[]): void {
		const held = this.heldOf(run);
		if (reply.kind === 'unknown') {
			if (held !== undefined || this.strays.has(run.task)) {
				actions.push({kind: 'stop', run});
			}

			return;
		}

		if (held) {
			held.settledFrom ??= now;
		}
	}

	private look(look: PollResult, askedAt: number, now: number, actions: Action[]): void {
		if (look.kind !== 'seen') {
			if (look.kind === 'refused' && look.reason === 'other-life') {
				this.newLife(now, actions);
				this.gone = true;
			}

			this.silent += look.kind === 'unknown' ? 1 : 0;
			return;
		}

		this.silent = 0;

		if (this.worker && look.born > this.worker.born) {
			this.newLife(now, actions);
			this.worker = {...this.worker, born: look.born};
		}

		for (const end of look.ended) {
			this.end(end, now, actions);
		}

		const listed = new Map(look.running.map(run => [run.task, run]));
		this.adopt(look.running, actions);
		for (const held of this.held.values()) {
			const there = listed.get(held.run.task)?.number === held.run.number;
			if (there) {
				this.notice(held);
			} else {
				this.miss(held, askedAt, now, actions);
			}
		}
	}

	/** Stops what runs without having been started by this process. */
	private adopt(running: readonly RunId[], actions: Action[]): void {
		const strays = running.filter(run => this.heldOf(run) === undefined);
		for (const run of strays) {
			if (this.strays.get(run.task)?.number !== run.number) {
				this.strays.set(run.task, run);
				this.remember(run);
				actions.push({kind: 'stop', run});
			}
		}

		for (const [task, run] of this.strays) {
			if (!strays.some(stray => stray.task === task && stray.number === run.number)) {
				this.strays.delete(task);
			}
		}

		this.inherited = strays.length > 0;
	}

	private notice(held: Held): void {
		held.began = true;
		if (held.phase === 'starting' || held.phase === 'unsettled') {
			held.phase = 'running';
			held.settledFrom = undefined;
		}
	}

	/** A run that a worker does not list, in an answer to a question asked since the run was settled, is over. */
	private miss(held: Held, askedAt: number, now: number, actions: Action[]): void {
		switch (held.phase) {
			case 'starting': {
				break;
			}

			case 'unsettled': {
				if (askedAt >= held.settledFrom!) {
					this.halt(held, actions);
				}

				break;
			}

			case 'running': {
				if (held.startedAt !== undefined && askedAt >= held.startedAt) {
					this.settle(held, 'lost', now, actions);
				}

				break;
			}

			case 'stopping': {
				if (held.settledFrom !== undefined && askedAt >= held.settledFrom) {
					this.conclude(held, now, actions);
				}

				break;
			}
		}
	}

	private end(end: EndedRun, now: number, actions: Action[]): void {
		this.lastEndSequence = Math.max(this.lastEndSequence, end.sequence);
		this.remember(end);
		const held = this.heldOf(end);
		if (!held) {
			return;
		}

		const outcome = end.ending === 'done' || end.ending === 'failed' ? end.ending : 'lost';
		if (outcome !== 'lost') {
			this.failures = outcome === 'done' ? 0 : this.failures + 1;
		}

		this.settle(held, outcome, now, actions);
	}

	private halt(held: Held, actions: Action[]): void {
		if (held.phase !== 'stopping') {
			held.phase = 'stopping';
			held.settledFrom = undefined;
			actions.push({kind: 'stop', run: held.run});
		}
	}

	/** Ends a run that was stopped: void if it was never seen to begin. */
	private conclude(held: Held, now: number, actions: Action[]): void {
		if (held.began) {
			this.settle(held, 'lost', now, actions);
		} else {
			this.void(held, 'withdrawn', actions);
		}
	}

	private void(held: Held, why: StartRefusal, actions: Action[]): void {
		this.held.delete(held.run.task);
		if (held.wanted) {
			actions.push({
				kind: 'refuse', owner: held.ask.owner, ref: held.ask.ref, why,
			});
		}
	}

	private settle(held: Held, outcome: Outcome, now: number, actions: Action[]): void {
		this.held.delete(held.run.task);
		if (held.wanted) {
			actions.push({
				kind: 'end', owner: held.ask.owner, ref: held.ask.ref, outcome, ranMs: now - (held.startedAt ?? held.since),
			});
		}
	}

	private heldOf(run: RunId): Held | undefined {
		const held = this.held.get(run.task);
		return held?.run.number === run.number ? held : undefined;
	}

	/** Keeps the highest number of a task, so that a later run of it gets a higher one. */
	private remember({task, number}: RunId): void {
		const highest = Math.max(number, this.numbers.get(task) ?? 0);
		this.numbers.delete(task);
		this.numbers.set(task, highest);
		if (this.numbers.size > numbersKept) {
			this.numbers.delete(this.numbers.keys().next().value!);
		}
	}
}
