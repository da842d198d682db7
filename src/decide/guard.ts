import type {
	EndedRun, PollResult, WorkerRefusal, Reply, RunId,
} from '../ports/executor.js';
import {defaultLeaseBounds, Leases, type LeaseBounds} from './leases.js';
import {consecutiveFailureLimit} from './outlier-ejection.js';
import {
	expectedReleases, expectedStart, mayBackfill, nextReservationAt, reservationMs, reservedStart, type ExpectedEnd, type Occupancy, type Release, type Reservation,
} from './reservation.js';
import {addResources, fits, type Resources} from './resources.js';

/** RunRequest is an entry's request to run a task here. `ref` identifies it at that entry. */
export type RunRequest = {
	owner: string;
	ref: number;
	task: string;
	resources: Resources;
	spec: string;
	/** The route of the task's job, if the entry said. */
	route?: string;
	/** The latest time at which its callers were known to be connected, and at which the entry can have sent it, in worker-clock milliseconds. */
	sentAt: number;
	/** The run time that the entry expects here, in milliseconds. */
	expectedMs?: number;
};

/** Worker describes one incarnation of a worker as the worker reports it. */
export type Worker = {
	incarnation: string;
	/** Unix milliseconds of its start; a later incarnation has a higher value. */
	born: number;
	pool: string;
	capacity: Resources;
	/** Its kind and its rack, by position; empty where they are unknown. */
	labels: readonly string[];
	draining: boolean;
	/** The least time for which it still stays, in milliseconds from the report; stated by a draining worker that leaves at short notice. */
	remainingMs?: number;
};

/** StartRefusal is why a task was not started. It is definite: the request was not and will not be carried out. */
export type StartRefusal = 'room' | 'draining' | 'stopping' | 'zone-out' | 'absent' | 'unsettled' | 'stale' | 'duplicate' | 'withdrawn' | WorkerRefusal;

/** Outcome is the result of a request that was started. `lost`: it may have run, but neither succeeded nor failed by itself. */
export type Outcome = 'done' | 'failed' | 'lost';

/** CrashSign is what showed that an incarnation of the worker has crashed: a report or the `born` of a poll's reply of a newer one, a reply of another one, or a refused connection. */
export type CrashSign = 'report' | 'born' | 'reply' | 'connection';

/** Event is an input of the guard: `request`, `cancel`, `ownerLost`, `confirmed` and `want` concern an entry, the others the worker or this sidecar. */
export type Event
	= | {kind: 'request'; request: RunRequest; clock: number}
	/** `hung`: the owner believes that the run makes no progress. */
		| {kind: 'cancel'; owner: string; ref: number; hung: boolean}
		| {kind: 'ownerLost'; owner: string}
	/** The owner's callers were connected at `date`; `clock` is the worker's clock now, both in worker-clock milliseconds. */
		| {kind: 'confirmed'; owner: string; date: number; clock: number}
	/** The owner has a queued task that needs these resources and should begin within `dueMs`. Stands until the owner gets an offer, requests something else or is lost. `reserve`: asks for a reservation too. */
		| {kind: 'want'; owner: string; resources: Resources; dueMs: number; reserve?: boolean}
	/** `clock` is the worker's clock when it made the report, in worker-clock milliseconds, if that is known. */
		| {kind: 'reported'; worker: Worker; clock?: number}
	/** Another incarnation has reported. `isOpen`: the worker has neither confirmed nor contradicted it yet. */
		| {kind: 'restartReported'; isOpen: boolean}
	/** This process stood still, so that it may not have read yet that the worker has started again. */
		| {kind: 'stoodStill'}
	/** `clock` is the worker's clock when the notice arrived. The notice names no start, so that it may be a late one of an earlier incarnation of the same name: a report made after it shows that the worker is there. */
		| {kind: 'left'; incarnation: string; clock?: number}
		| {kind: 'started'; run: RunId; reply: Reply}
		| {kind: 'stopped'; run: RunId; reply: Reply}
	/** `sentAt` is when the poll was sent, on the same clock as `now` of `step`; `clock` the least that the worker's clock shows now, without which leases are not known to have expired. */
		| {kind: 'polled'; result: PollResult; sentAt: number; clock?: number}
		| {kind: 'zone'; out: boolean}
		| {kind: 'stopping'};

/** Action is an output of the guard, for the caller to carry out. */
export type Action
	= | {kind: 'start'; run: RunId; request: RunRequest}
		| {kind: 'stop'; run: RunId}
		| {kind: 'refuse'; owner: string; ref: number; why: StartRefusal}
	/** The capacity that the owner requested is free and reserved for it for `offerHoldMs`. */
		| {kind: 'offer'; owner: string}
		| {kind: 'end'; owner: string; ref: number; outcome: Outcome; ranMs: number}
	/** The incarnation `life` of the worker crashed and ran these tasks, or may have, those started last at the end. It comes once, before the ends of their runs. `route` is empty where it is not known. */
		| {kind: 'crashed'; life: string; sign: CrashSign; tasks: ReadonlyArray<readonly [name: string, route: string]>};

/** Whether a poll brought nothing: it got no answer, or the worker refused it for a reason that another fence or name does not mend, and so renewed no lease. */
export function isPollUnanswered(result: PollResult): boolean {
	return result.kind === 'unknown' || (result.kind === 'refused' && result.reason !== 'fence' && result.reason !== 'other-life');
}

/** The maximum age of a request on arrival, in worker-clock milliseconds; less than the silence after which its entry closes the link. */
export const requestMaxAgeMs = 600;
/** How long offered capacity is reserved, in milliseconds: a round trip between regions (8 ms each way) and one turn of both event loops. */
export const offerHoldMs = 20;
/** After this many unanswered polls in a row, nothing starts at the worker until it answers. */
const unansweredPollLimit = 3;
/** How often a start that the worker refuses as `old` is retried with a higher run number. */
const renumberLimit = 4;
/** How long the worker's platform may still carry out a start that got no answer, in milliseconds: it does so up to 12 s later. */
export const lateStartMs = 15_000;
/** For how many tasks the highest run number is remembered. */
const rememberedTaskLimit = 2000;

type Phase
	/** The start order was sent and not answered yet. */
	= | 'starting'
	/** The start order got no answer: the worker may have carried it out or may still do so. */
		| 'unsettled'
		| 'running'
	/** A stop was sent; the run holds its capacity until a poll shows that it ended. */
		| 'stopping';

type CapacityRequest = {owner: string; resources: Resources; dueAt: number; reserveUntil: number};

type ActiveRun = {
	run: RunId;
	request: RunRequest;
	phase: Phase;
	orderedAt: number;
	/** When the start order was answered or found unanswered; undefined while it is under way. */
	settledAt?: number;
	/** When the worker confirmed the start. */
	startedAt?: number;
	/** When the start order was found unanswered, or the stop was answered: polls sent from then on are conclusive. */
	conclusiveFrom?: number;
	renumberings: number;
	/** Whether the worker confirmed the start or listed the run. */
	hasBegun: boolean;
	/** The latest time at which its caller was known to be connected, in worker-clock milliseconds; undefined if that is one of an earlier incarnation's clock. */
	date?: number;
	/** The same time in this process's monotonic milliseconds, by which a run is overdue while no date of the present incarnation's clock is known. */
	datedAt: number;
	/** The start of the incarnation that it was ordered from. */
	born: number;
	/** Whether its owner still expects a result; false once the owner was lost. */
	isAwaited: boolean;
};

/**
 * Guard decides alone what starts at a worker, as the last check before it: however many entries compete
 * for the same capacity, it is never overcommitted, drains hold, and a task has one run at a time.
 *
 * `step` takes an event and the time and returns the actions to carry out. It has no side effects outside
 * the guard and is deterministic. A run holds its capacity from the moment of its start order until its end
 * is known or the order can no longer take effect.
 */
export class Guard {
	/** `lookAhead`: whether reservations are kept. `leases`: what limits the life of runs. */
	static create({lookAhead = false, leases = defaultLeaseBounds}: {lookAhead?: boolean; leases?: LeaseBounds} = {}): Guard {
		return new Guard(lookAhead, Leases.create(leases));
	}

	/** The worker's current incarnation; nothing starts before it is known. */
	worker: Worker | undefined;
	/** The highest sequence number of an ended run handled in this incarnation. */
	lastEndSequence = 0;

	private readonly runs = new Map<string, ActiveRun>();
	/** The latest capacity request of each owner, in order of arrival. */
	private readonly capacityRequests = new Map<string, CapacityRequest>();
	/** The capacity reserved for each owner. */
	private readonly capacityOffers = new Map<string, {resources: Resources; until: number}>();
	/** The reservation that stands, and the earliest time of the next. */
	private reservation: Reservation | undefined;
	private reservableFrom = 0;
	/** Runs found at the worker that this guard did not start, by task. */
	private readonly orphanRuns = new Map<string, RunId>();
	/** The highest known run number of each task. */
	private readonly runNumbers = new Map<string, number>();
	/** When a start of a task last got no answer, by task in order of time. A later incarnation of the worker under the same name has not heard of the stops that voided it. */
	private readonly unansweredStarts = new Map<string, number>();
	/** Whether runs that an earlier incarnation of this process started may still be running. */
	private mayHaveOrphans = true;
	/** Whether a report of another incarnation waits for confirmation. */
	private mayHaveRestarted = false;
	/** When this process last woke from a standstill; undefined once a poll sent since then was answered. */
	private unconfirmedSince?: number;
	private isZoneOut = false;
	private isStopping = false;
	/** The worker's clock when the current incarnation was found to have left; undefined while it has not. */
	private leftAt?: number;
	/** Whether the worker's current incarnation has reported its capacity. One that a poll has shown may have less than the one before. */
	private isCapacityKnown = true;
	/** Whether the crash of the worker's current incarnation has been told. */
	private hasCrashed = false;
	/** Polls without an answer in a row. */
	private unansweredPolls = 0;
	/** Whether the worker refused a connection and has not answered since. */
	private hasRefusedConnection = false;
	/** Runs in a row, of any owner, that failed or hung. */
	private consecutiveFailures = 0;

	private constructor(private readonly lookAhead: boolean, private readonly leases: Leases) {}

	/** Whether polls are needed, to renew leases, collect ends or find out whether the worker answers again. */
	get needsPolling(): boolean {
		return this.runs.size > 0 || this.mayHaveOrphans || this.orphanRuns.size > 0 || this.unansweredPolls > 0 || this.hasRefusedConnection || this.unconfirmedSince !== undefined;
	}

	/** Whether the state of some run is unknown or about to change: orphans, unanswered starts, stops, all after a standstill. */
	get hasUnresolvedRuns(): boolean {
		return this.mayHaveOrphans || this.unconfirmedSince !== undefined || this.orphanRuns.size > 0 || [...this.runs.values()].some(({phase}) => phase === 'unsettled' || phase === 'stopping');
	}

	/** The number of runs that hold capacity. */
	get runCount(): number {
		return this.runs.size;
	}

	/** Whether the latest runs, at least `consecutiveFailureLimit` in a row, failed or hung. The tasks may be the cause, so nothing is refused for it here: entries can compare with other places. */
	get isFailing(): boolean {
		return this.consecutiveFailures >= consecutiveFailureLimit;
	}

	/** Why no task may start now, or undefined if tasks may. */
	get startRefusal(): StartRefusal | undefined {
		if (this.isStopping) {
			return 'stopping';
		}

		if (!this.worker || !this.isCapacityKnown || this.leftAt !== undefined || this.hasRefusedConnection || this.unansweredPolls >= unansweredPollLimit) {
			return 'absent';
		}

		if (this.worker.draining) {
			return 'draining';
		}

		if (this.isZoneOut) {
			return 'zone-out';
		}

		return this.mayHaveOrphans || this.mayHaveRestarted ? 'unsettled' : undefined;
	}

	/** Returns the capacity unavailable to an owner because other owners use it or have it reserved. */
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

	/** Returns the expected releases of all runs whose expected time is known. */
	releases(now: number): Release[] {
		return this.lookAhead ? expectedReleases(this.expectedEnds(), now) : [];
	}

	/** Returns in how many milliseconds the reserved task of another owner should start, and its cpu; undefined where there is no such reservation. */
	reservedByOthers(owner: string, now: number): Release | undefined {
		this.endExpiredReservation(now);
		return this.reservation && this.reservation.owner !== owner
			? [Math.round(reservedStart(this.reservation, this.occupancy(now), now) - now), this.reservation.resources.cpu]
			: undefined;
	}

	/** Returns the names of the owner's tasks that hold capacity. */
	tasksOf(owner: string): string[] {
		return [...this.runs.values()].filter(({request}) => request.owner === owner).map(({request}) => request.task);
	}

	/** Whether an owner has a run, a capacity request or an offer here. */
	isNeededBy(owner: string): boolean {
		return this.capacityRequests.has(owner) || this.capacityOffers.has(owner) || [...this.runs.values()].some(({request}) => request.owner === owner);
	}

	/** Whether every run that the owner requested before it was last lost has ended, including those that an earlier incarnation of this process started. */
	hasNoAbandonedRuns(owner: string): boolean {
		return !this.mayHaveOrphans && ![...this.runs.values()].some(({request, isAwaited}) => request.owner === owner && !isAwaited);
	}

	/**
	 * Returns until when an order that is sent now may extend the leases of all runs, and remembers it. `clock` is the worker's clock by the
	 * newest reading; both in worker-clock milliseconds.
	 */
	grantLease(clock: number): number {
		if (this.mayHaveOrphans || this.orphanRuns.size > 0) {
			return this.leases.withhold(clock);
		}

		const dates = [...this.runs.values()].map(({date = Number.NEGATIVE_INFINITY}) => date);
		return dates.length === 0 ? 0 : this.leases.grant(clock, Math.min(...dates));
	}

	/** Whether an owner that waits for runs has not been heard of for so long that they must be stopped. `clock` is the worker's clock, `now` in monotonic milliseconds. */
	isOverdue(owner: string, clock: number, now: number): boolean {
		return this.confirmableRuns(owner).some(({date, datedAt}) => date === undefined ? this.leases.isOverdue(datedAt, now) : this.leases.isOverdue(date, clock));
	}

	/** Whether all leases have expired, so that nothing that was started can still run, once the worker's clock shows at least `clock`. */
	haveLeasesExpired(clock: number): boolean {
		return this.leases.haveExpired(clock);
	}

	/** Handles one event. `now` is in monotonic milliseconds. */
	step(event: Event, now: number): Action[] {
		const actions: Action[] = [];
		this.endExpiredReservation(now);
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
				this.endReservationOf(event.owner, now);
				this.capacityRequests.delete(event.owner);
				this.capacityRequests.set(event.owner, {
					owner: event.owner, resources: event.resources, dueAt: now + event.dueMs, reserveUntil: this.lookAhead && event.reserve ? now + reservationMs : 0,
				});
				break;
			}

			case 'ownerLost': {
				this.endReservationOf(event.owner, now);
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

			case 'confirmed': {
				this.handleConfirmation(event, now);
				break;
			}

			case 'reported': {
				this.handleReport(event, now, actions);
				break;
			}

			case 'left': {
				this.handleLeave(event);
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
				this.handlePoll(event, now, actions);
				break;
			}

			case 'restartReported':
			case 'stoodStill':
			case 'zone':
			case 'stopping': {
				this.setCondition(event, now);
				break;
			}
		}

		this.offerFreeCapacity(now, actions);
		this.grantReservation(now);
		return actions;
	}

	private handleConfirmation({owner, date, clock}: Event & {kind: 'confirmed'}, now: number): void {
		// A date in the future is one of an earlier incarnation's clock. One that is too old would only end the leases of all others.
		if (date - clock <= requestMaxAgeMs && clock - date <= this.leases.maxDateAgeMs) {
			for (const active of this.confirmableRuns(owner)) {
				active.date = date;
				active.datedAt = now - (clock - date);
			}
		}
	}

	/** The runs whose callers the owner knows. One that is being stopped, or whose owner was lost, may have lost its caller, so its date stays. */
	private confirmableRuns(owner: string): ActiveRun[] {
		return [...this.runs.values()].filter(({request, isAwaited, phase}) => request.owner === owner && isAwaited && phase !== 'stopping');
	}

	/** Sets one of the conditions under which nothing starts. */
	private setCondition(event: Event & {kind: 'restartReported' | 'stoodStill' | 'zone' | 'stopping'}, now: number): void {
		switch (event.kind) {
			case 'restartReported': {
				this.mayHaveRestarted = event.isOpen;
				break;
			}

			case 'stoodStill': {
				this.unconfirmedSince = now;
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
	}

	/** Offers free capacity to the owners that requested some, the owner of the reservation first, then by due time, for one task each. */
	private offerFreeCapacity(now: number, actions: Action[]): void {
		if (this.capacityRequests.size === 0 || this.startRefusal) {
			return;
		}

		const isReserved = ({owner}: CapacityRequest): number => Number(owner === this.reservation?.owner);
		for (const request of [...this.capacityRequests.values()].toSorted((a, b) => (isReserved(b) - isReserved(a)) || (a.dueAt - b.dueAt))) {
			if (this.hasCapacityFor(request.owner, request.resources, now) && this.respectsReservation(request, now)) {
				this.endReservationOf(request.owner, now);
				this.capacityRequests.delete(request.owner);
				this.capacityOffers.set(request.owner, {resources: request.resources, until: now + offerHoldMs});
				actions.push({kind: 'offer', owner: request.owner});
			}
		}
	}

	/** Grants a reservation to the first owner that asked for one whose capacity should be free before it would expire. */
	private grantReservation(now: number): void {
		if (this.reservation !== undefined || now < this.reservableFrom || this.startRefusal !== undefined) {
			return;
		}

		for (const request of this.capacityRequests.values()) {
			const startAt = now < request.reserveUntil ? expectedStart(this.occupancy(now), request.resources, now) : undefined;
			if (startAt !== undefined && startAt <= request.reserveUntil) {
				this.reservation = {
					owner: request.owner, resources: request.resources, since: now, until: request.reserveUntil,
				};
				return;
			}
		}
	}

	private endReservationOf(owner: string, now: number): void {
		if (this.reservation?.owner === owner) {
			this.reservableFrom = nextReservationAt(this.reservation, now);
			this.reservation = undefined;
		}
	}

	private endExpiredReservation(now: number): void {
		if (this.reservation && now >= this.reservation.until) {
			this.endReservationOf(this.reservation.owner, now);
		}
	}

	/** Whether a task that fits may start in spite of the reservation. The reserved task itself is known by its owner and size. */
	private respectsReservation({owner, resources, expectedMs}: {owner: string; resources: Resources; expectedMs?: number}, now: number): boolean {
		const {reservation} = this;
		if (reservation === undefined) {
			return true;
		}

		const isReserved = owner === reservation.owner && fits(reservation.resources, resources);
		return isReserved || mayBackfill(reservation, this.occupancy(now), {resources, expectedMs}, now);
	}

	private occupancy(now: number): Occupancy {
		return {free: this.freeCapacity('', now), ends: this.expectedEnds()};
	}

	private expectedEnds(): ExpectedEnd[] {
		return [...this.runs.values()].flatMap(({request: {resources, expectedMs}, startedAt, orderedAt}) => expectedMs === undefined
			? []
			: [{resources, endsAt: (startedAt ?? orderedAt) + expectedMs}]);
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
		return fits(resources, this.freeCapacity(owner, now));
	}

	/** Returns the capacity that is free for an owner: what is in use and what is offered to others is not. */
	private freeCapacity(owner: string, now: number): Resources {
		const free = {...this.worker!.capacity};
		addResources(free, this.capacityHeldByOthers(owner, now), -1);
		addResources(free, this.capacityHeldBy(owner), -1);
		return free;
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
		if (this.reservation && fits(this.reservation.resources, request.resources)) {
			this.endReservationOf(request.owner, now);
		}

		const run = {task: request.task, number: (this.runNumbers.get(request.task) ?? 0) + 1};
		this.rememberNumber(run);
		this.runs.set(request.task, {
			run, request, phase: 'starting', orderedAt: now, renumberings: 0, hasBegun: false, date: request.sentAt, datedAt: now - (clock - request.sentAt), born: this.worker!.born, isAwaited: true,
		});
		actions.push({kind: 'start', run, request});
	}

	private refusalFor(request: RunRequest, clock: number, now: number): StartRefusal | undefined {
		// A request that seems to come from the future is dated by the clock of an earlier incarnation of the worker, so that its age is not known.
		if (Math.abs(clock - request.sentAt) > requestMaxAgeMs || !this.leases.allowRun(request.sentAt, clock)) {
			return 'stale';
		}

		if (this.unconfirmedSince !== undefined) {
			return 'unsettled';
		}

		if (this.runs.has(request.task)) {
			return 'duplicate';
		}

		return this.hasCapacityFor(request.owner, request.resources, now) && this.respectsReservation(request, now) ? undefined : 'room';
	}

	private handleReport({worker, clock = 0}: Event & {kind: 'reported'}, now: number, actions: Action[]): void {
		const previous = this.worker;
		if (previous && worker.born < previous.born) {
			return;
		}

		if (previous && worker.born > previous.born) {
			this.recordCrash('report', [...this.runs.values()], actions);
			this.handleRestart();
			this.reviewRuns(worker.incarnation === previous.incarnation, now, actions);
		}

		this.isCapacityKnown = true;
		if (this.reservation && !fits(this.reservation.resources, worker.capacity)) {
			this.endReservationOf(this.reservation.owner, now);
		}

		this.worker = worker.born === previous?.born && previous.draining ? {...worker, draining: true} : worker;
		if (worker.born !== previous?.born || clock > (this.leftAt ?? clock)) {
			this.leftAt = undefined;
		}

		if (worker.born !== previous?.born) {
			this.hasCrashed = false;
			this.workerAnswered();
		}
	}

	private handleLeave({incarnation, clock = Number.POSITIVE_INFINITY}: Event & {kind: 'left'}): void {
		if (this.worker?.incarnation === incarnation) {
			this.leftAt = clock;
		}
	}

	/** A restarted worker numbers its ends from 1 again, and its clock and its orphan runs are not known. */
	private handleRestart(): void {
		this.lastEndSequence = 0;
		this.consecutiveFailures = 0;
		this.orphanRuns.clear();
		this.mayHaveOrphans = true;
		this.leases.restart();
		for (const active of this.runs.values()) {
			active.date = undefined;
		}
	}

	/**
	 * Handles the runs of an incarnation that has ended. An order under way is judged by its own answer. Where the newer incarnation has
	 * the same name, orders to the earlier one may have reached it, so that only a poll tells.
	 */
	private reviewRuns(hasSameName: boolean, now: number, actions: Action[]): void {
		for (const active of this.runs.values()) {
			if (active.settledAt === undefined) {
				continue;
			}

			if (hasSameName) {
				this.doubt(active, now, actions);
			} else {
				this.endRun(active, 'lost', now, actions);
			}
		}
	}

	/** Tells of the crash of the current incarnation, unless that was to end: it had left or was draining. `runs` are those that it may have run. */
	private recordCrash(sign: CrashSign, runs: readonly ActiveRun[], actions: Action[]): void {
		const {worker} = this;
		const tasks = [
			...[...this.orphanRuns.keys()].filter(task => !this.runs.has(task)).map(task => [task, ''] as const),
			...runs.map(({request: {task, route = ''}}) => [task, route] as const),
		];
		// A worker that has just started may not listen yet.
		const mayBeStarting = sign === 'connection' && tasks.length === 0;
		if (!worker || worker.draining || this.leftAt !== undefined || this.hasCrashed || mayBeStarting) {
			return;
		}

		this.hasCrashed = true;
		// A worker may start again under the name that it had, so the name alone does not identify an incarnation.
		actions.push({
			kind: 'crashed', life: `${worker.incarnation}/${worker.born}`, sign, tasks,
		});
	}

	/** Ends every run as lost, once it is known that nothing that was started still runs. */
	private endAllRuns(now: number, actions: Action[]): void {
		this.mayHaveOrphans = false;
		this.orphanRuns.clear();
		for (const active of this.runs.values()) {
			this.endRunUnlessStartable(active, now, actions);
		}
	}

	/** Ends a run as lost, unless a start of its task may still be carried out by an incarnation of the worker that is not known yet. Then it is voided there first. */
	private endRunUnlessStartable(active: ActiveRun, now: number, actions: Action[]): void {
		if (this.mayStillStart(active.run.task, now)) {
			this.doubt(active, now, actions);
		} else {
			this.endRun(active, 'lost', now, actions);
		}
	}

	/** Takes back what the worker's earlier incarnation has answered about a run: only polls sent from now on tell, and a stop has to be answered once more. */
	private doubt(active: ActiveRun, now: number, actions: Action[]): void {
		if (active.phase !== 'stopping') {
			active.phase = 'unsettled';
			active.conclusiveFrom = now;
		} else if (active.conclusiveFrom !== undefined) {
			active.conclusiveFrom = undefined;
			actions.push({kind: 'stop', run: active.run});
		}
	}

	private mayStillStart(task: string, now: number): boolean {
		return now - (this.unansweredStarts.get(task) ?? Number.NEGATIVE_INFINITY) < lateStartMs;
	}

	private rememberUnansweredStart(task: string, now: number): void {
		this.unansweredStarts.delete(task);
		this.unansweredStarts.set(task, now);
		for (const [oldest, at] of this.unansweredStarts) {
			if (now - at < lateStartMs) {
				break;
			}

			this.unansweredStarts.delete(oldest);
		}
	}

	private handleStartReply(run: RunId, reply: Reply, now: number, actions: Action[]): void {
		const active = this.findRun(run);
		if (!active) {
			return;
		}

		active.settledAt = now;
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
				this.hasRefusedConnection ||= reply.absent;
				if (reply.absent && !active.hasBegun) {
					// Without a connection the order never reached the worker.
					this.refuseRun(active, 'absent', actions);
					break;
				}

				this.rememberUnansweredStart(run.task, now);
				if (active.phase === 'starting') {
					active.phase = 'unsettled';
					active.conclusiveFrom = now;
				}

				break;
			}

			case 'refused': {
				if (reply.reason === 'old' && active.phase === 'starting' && active.renumberings < renumberLimit) {
					active.renumberings++;
					active.settledAt = undefined;
					active.born = this.worker!.born;
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

	/** Something listens at the worker's address again. */
	private workerAnswered(): void {
		this.unansweredPolls = 0;
		this.hasRefusedConnection = false;
	}

	private handleStopReply(run: RunId, reply: Reply, now: number, actions: Action[]): void {
		const active = this.findRun(run);
		// A worker that refuses a stop has done nothing, and its polls would go on renewing the run's lease.
		const isOver = reply.kind === 'done' || (reply.kind === 'refused' && reply.reason === 'other-life');
		if (!isOver) {
			if (active !== undefined || this.orphanRuns.has(run.task)) {
				actions.push({kind: 'stop', run});
			}

			return;
		}

		if (active) {
			active.conclusiveFrom ??= now;
		}
	}

	private handlePoll({result, sentAt, clock}: Event & {kind: 'polled'}, now: number, actions: Action[]): void {
		switch (result.kind) {
			case 'seen': {
				this.handleListing(result, sentAt, now, actions);
				break;
			}

			case 'refused': {
				this.hasRefusedConnection = false;
				if (result.reason === 'other-life') {
					this.recordCrash('reply', this.runsOrderedBy(sentAt), actions);
					this.handleRestart();
					this.reviewRuns(false, now, actions);
					this.leftAt = Number.POSITIVE_INFINITY;
				} else if (isPollUnanswered(result)) {
					this.handleUnansweredPoll(clock, now, actions);
				}

				break;
			}

			case 'unknown': {
				if (result.absent) {
					this.hasRefusedConnection = true;
					this.recordCrash('connection', this.runsOrderedBy(sentAt), actions);
					this.endRunsSettledBy(sentAt, now, actions);
				}

				this.handleUnansweredPoll(clock, now, actions);
				break;
			}
		}
	}

	private handleUnansweredPoll(clock: number | undefined, now: number, actions: Action[]): void {
		this.unansweredPolls++;
		if (clock !== undefined && this.leases.haveExpired(clock)) {
			this.endAllRuns(now, actions);
		}
	}

	/** The runs that were ordered before a poll was sent, so that its result can tell of them. */
	private runsOrderedBy(sentAt: number): ActiveRun[] {
		return [...this.runs.values()].filter(({orderedAt}) => orderedAt <= sentAt);
	}

	/** Nothing listened at the worker's address after `sentAt`. What was ordered later may have reached a newer incarnation, and so may an order under way. */
	private endRunsSettledBy(sentAt: number, now: number, actions: Action[]): void {
		this.mayHaveOrphans = false;
		this.orphanRuns.clear();
		for (const active of this.runs.values()) {
			if (active.settledAt !== undefined && active.settledAt <= sentAt) {
				this.endRunUnlessStartable(active, now, actions);
			}
		}
	}

	private handleListing(result: PollResult & {kind: 'seen'}, sentAt: number, now: number, actions: Action[]): void {
		this.workerAnswered();
		if (this.unconfirmedSince !== undefined && sentAt >= this.unconfirmedSince) {
			this.unconfirmedSince = undefined;
		}

		const listed = new Map(result.running.map(run => [run.task, run]));
		const isListed = ({run}: ActiveRun): boolean => listed.get(run.task)?.number === run.number;
		if (this.worker && result.born > this.worker.born) {
			this.recordCrash('born', this.runsOrderedBy(sentAt).filter(active => !isListed(active)), actions);
			this.handleRestart();
			this.hasCrashed = false;
			this.leftAt = undefined;
			this.isCapacityKnown = false;
			this.worker = {...this.worker, born: result.born, draining: false};
			for (const active of this.runs.values()) {
				if (active.settledAt !== undefined && this.mayStillStart(active.run.task, now)) {
					this.doubt(active, now, actions);
				}
			}
		}

		for (const end of result.ended) {
			this.handleEnd(end, now, actions);
		}

		this.stopOrphanRuns(result.running, actions);
		for (const active of this.runs.values()) {
			if (isListed(active)) {
				this.markRunning(active);
			} else {
				this.handleUnlisted(active, sentAt, now, actions);
			}
		}
	}

	/** Stops the listed runs that this process did not start. */
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

	/** A run that the worker does not list has ended only if the poll was sent late enough to be conclusive for the run's phase. */
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
				if (active.settledAt !== undefined && sentAt >= active.settledAt) {
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

	/** Ends a stopped run: as refused if it never ran, else as lost. A worker doesn't list what an earlier incarnation has run. */
	private finishStoppedRun(active: ActiveRun, now: number, actions: Action[]): void {
		if (active.hasBegun || active.born !== this.worker!.born) {
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

	/** Remembers the highest run number of a task, so that later runs get higher ones. */
	private rememberNumber({task, number}: RunId): void {
		const highest = Math.max(number, this.runNumbers.get(task) ?? 0);
		this.runNumbers.delete(task);
		this.runNumbers.set(task, highest);
		if (this.runNumbers.size > rememberedTaskLimit) {
			this.runNumbers.delete(this.runNumbers.keys().next().value!);
		}
	}
}
