import {
	notEjected, recordReport, recordResult, startProbe, availabilityOf, type Ejection,
} from './eject.js';
import {DurationEstimator} from './estimate.js';
import type {StartRefusal, Outcome} from './guard.js';
import {addResources, fits, type Resources} from './room.js';

/** Job is a submission that is kept in memory alone: all of its tasks run, or it ends plainly otherwise. */
export type Job = {
	/** Its name, unique while it lives. */
	id: string;
	/** The name of the kind of request, by which times are learned. */
	route: string;
	pool: string;
	spec: string;
	tasks: readonly TaskSpec[];
	/** The response time aimed at is `aimMs` more than `stretch` times the longest task. */
	aimMs: number;
	stretch: number;
	/** How often a task may fail of itself before the job does. */
	attempts: number;
	/** 0 comes first. */
	priority: number;
	/** How long the caller waits, in milliseconds from the submission. */
	leftMs: number;
};

/** TaskSpec is one task: its full name, what it takes and how long it is said to take. */
export type TaskSpec = {name: string; resources: Resources; estimateMs: number};

/** PlaceReport is what a sidecar tells of its worker. `others` is the room taken there for other entries. */
export type PlaceReport = {
	zone: string;
	pool: string;
	room: Resources;
	others: Resources;
	/** Whether all that ended there lately failed, whichever entry's it was. */
	isFailing: boolean;
	hindrance?: StartRefusal;
};

/** Verdict is how a job ends. */
export type Verdict
	= | {kind: 'completed'}
	/** A task failed of itself as often as it may. */
		| {kind: 'failed'}
	/** Nothing of it ran, nor ever will. */
		| {kind: 'refused'; why: JobRefusal; retryMs: number; inputs: RefusalInputs}
	/** Given up after something of it had been started. */
		| {kind: 'expired'}
		| {kind: 'cancelled'};

/** Inputs are what a refusal was decided by: the time that what waits should take and the time that the job may wait, in milliseconds, and the places. */
export type RefusalInputs = {expectedMs: number; patienceMs: number; open: number; linked: number; waiting: number};

/** RefusalCause is why a job was not run. */
export type JobRefusal = 'no-place' | 'overloaded' | 'stopping';

/** Event is what a schedule learns. */
export type Event
	= | {kind: 'submit'; job: Job}
	/** The caller is gone (`left`), or wants the job ended (`cancel`). */
		| {kind: 'left' | 'cancel'; job: string}
		| {kind: 'told'; place: string; report: PlaceReport}
		| {kind: 'room'; place: string; others: Resources}
	/** Room that was wanted there is free and kept for a moment; a `room` event with how much follows. */
		| {kind: 'offered'; place: string}
		| {kind: 'down'; place: string}
	/** All that was started at the place before it last went down is over. */
		| {kind: 'clear'; place: string}
		| {kind: 'refused'; place: string; ref: number; why: StartRefusal}
		| {kind: 'ended'; place: string; ref: number; outcome: Outcome; ranMs: number}
		| {kind: 'zones'; out: ReadonlySet<string>}
	/** The entry stops: only jobs that should end by then are admitted. */
		| {kind: 'stopping'; until: number}
		| {kind: 'tick'};

/** Start is an order for a sidecar. */
export type StartAction = {kind: 'start'; place: string; ref: number; job: Job; task: TaskSpec};

/** Action is what a schedule wants done. */
export type Action
	= | StartAction
	/** `hung`: it should have ended long ago. */
		| {kind: 'stop'; place: string; ref: number; hung: boolean}
	/** Something waits for room of this size and should begin within `dueMs`; the place is to offer some when it has it. */
		| {kind: 'want'; place: string; resources: Resources; dueMs: number}
		| {kind: 'answer'; job: string; verdict: Verdict; waitedMs: number};

/**
 * How long an entry counts as having only just found its places, in milliseconds: after a loss of many machines
 * callers return some 1300 ms later, and sidecars and workers take about as long to be found.
 */
const warmUpMs = 3000;
/**
 * After how long a run at a place that is not heard from is certainly over, in milliseconds: the age at
 * which an ask is still taken (600), the silence after which a sidecar gives an entry up (700) and when it next
 * looks (100), a worker's lease by a clock 2% slow (1020) and a stop (50), rounded up.
 */
export const maxRunAfterLinkLossMs = 2500;
/** A task is taken to hang beyond this many times its expected time and this many milliseconds more. */
const hangFactor = 3;
const hangMs = 600;
/** In how many steps a doubled run time is told apart, and by what a place counts as slower where the task failed before. */
const slownessSteps = 5;
const failedPlaceFactor = 8;
/** What a task takes beyond its run, in milliseconds: the way there and back, and its start. */
const overheadMs = 10;
/** How long a place that refused for want of room gets nothing, in milliseconds, unless it tells of room before. */
const refusalBackoffMs = 15;
/** How many places of a pool are asked for room at a time: enough that some soon has room, few enough to cost little where there are hundreds. */
const maxRequestedPlaces = 16;
/** How long a task waits whose name still runs for somebody else, in milliseconds. */
const duplicateRetryMs = 120;
/** How long a place without a link is remembered, in milliseconds: machines come and go for years. */
const placeRetentionMs = 600_000;
/** How long a job of which something may have run is remembered after its end, in milliseconds: callers submit again after 1300, and for as long as they wait. */
const startedJobRetentionMs = 30_000;
/** Bounds of the time after which a refused caller is told to come back, in milliseconds. */
const minRetryMs = 1000;
const maxRetryMs = 5000;

/** Policy is what may be weighed in measurements; `usualPolicy` is what runs. */
export type Policy = {
	/** The part of the response time aimed at that a job may wait before it is refused. */
	patienceShare: number;
	/** The same while the entry has only just found its places, which come one after the other. */
	settlingShare: number;
	/** Whether the tasks of more urgent jobs go before all others. */
	urgentFirst: boolean;
	/** Whether, after that, the tasks of jobs that have begun go before those that have not. */
	begunFirst: boolean;
	/** Whether jobs that have not begun and can't be in time any more go after all others. */
	lateLast: boolean;
	/** Whether tasks are spread over the places where they should end in time, instead of going to the fastest. */
	spread: boolean;
	/**
	 * The least part of the rate of its places that an entry counts on in admission; above it, it is the part of
	 * what runs there that is its own. Answers loads over what workers can do at tens of entries.
	 */
	shareLeast: number;
	/** How much longer than expected a task may take when such a place is chosen, as a factor: estimates are some 40% off. */
	margin: number;
};

/** The policy that runs. */
export const usualPolicy: Policy = {
	patienceShare: 0.18, settlingShare: 2.5, urgentFirst: false, lateLast: true, begunFirst: true, spread: true, shareLeast: 0.02, margin: 2,
};

type Task = {
	spec: TaskSpec;
	state: 'waiting' | 'placed' | 'unknown' | 'done';
	ref: number;
	place: string;
	placedAt: number;
	/** Until when it is not placed. */
	notBefore: number;
	failures: number;
	/** Where it failed last. */
	lastFailedPlace: string;
	stopSent: boolean;
};

type ActiveJob = {
	job: Job;
	tasks: Task[];
	arrivedAt: number;
	deadline: number;
	/** When nothing was placed by then, the job is refused. */
	refuseAt: number;
	/** Orders by this: when the longest task must begin to be in time. */
	latestStartAt: number;
	/** The expected time of its longest task, in milliseconds. */
	longestMs: number;
	/** When its last task should have ended to be in time. */
	objectiveAt: number;
	/** Whether anything of it may have run under an earlier submission that is over. */
	mayHaveRunEarlier: boolean;
	/** Whether anything of it may have run, also under an earlier submission that may not be over. */
	mayHaveRun: boolean;
};

type PlaceState = PlaceReport & {
	id: string;
	linked: boolean;
	ownUsage: Resources;
	/** Orders that are not settled. */
	outstandingOrders: number;
	/** When its link was lost last. */
	linkLostAt: number;
	ejection: Ejection;
	notBefore: number;
	/** Whether it was told that something waits for its room, and has not offered any since. */
	capacityRequested: boolean;
};

/** Lack is what a pool had no room for: no more than each of the tasks there takes, and the most urgent of them. */
type UnmetDemand = {smallest: Resources; activeJob: ActiveJob; task: Task};

type LingeringTask = {ref: number; place: string; until: number; linkLost: boolean};

/** Standing is what decides the order of a job among others at a time; `late`: it has not begun and can't be in time any more. */
type SortKey = {late: boolean; priority: number; hasStarted: boolean; latestStartAt: number};

type OutstandingOrder = {activeJob: ActiveJob; task: Task; place: string; resources: Resources};

/**
 * Schedule is an entry's jobs and what it knows of the places that could run them. It admits, orders,
 * places and refuses; sidecars have the last word. It answers loads near and over what the workers
 * can do, where what must wait too long is better refused at once.
 *
 * `step` takes an event and the time and returns the actions; it does nothing itself, and the same
 * events at the same times give the same actions.
 */
export class Schedule {
	static create(policy: Partial<Policy> = {}): Schedule {
		return new Schedule({...usualPolicy, ...policy});
	}

	/** What has been learned of times. */
	readonly estimator = DurationEstimator.create();

	private readonly jobs = new Map<string, ActiveJob>();
	private readonly places = new Map<string, PlaceState>();
	private readonly ordersByRef = new Map<number, OutstandingOrder>();
	/** Names of tasks whose jobs have ended and that may still run, so that a job submitted again starts none of them twice. */
	private readonly lingeringByName = new Map<string, LingeringTask>();
	/** Places that went down since they last said that all before is over. */
	private readonly unconfirmedPlaces = new Set<string>();
	/** Jobs that ended after something of them may have run, and until when that is remembered: the oldest first. */
	private readonly startedJobExpiry = new Map<string, number>();
	/** What waits for room since the last look at all places, by pool. */
	private readonly unmetDemandByPool = new Map<string, UnmetDemand>();
	private unavailableZones: ReadonlySet<string> = new Set();
	/** By when all must have ended because the entry stops. */
	private stopsAt = Number.POSITIVE_INFINITY;
	/** When the first place was heard of. */
	private firstPlaceAt = Number.POSITIVE_INFINITY;

	private nextRef = 1;

	private constructor(private readonly policy: Policy) {}

	/** The number of jobs under way. */
	get jobCount(): number {
		return this.jobs.size;
	}

	/** The places with a link, and how many of these may get work now. */
	get placeCounts(): {linked: number; open: number} {
		const linked = [...this.places.values()].filter(place => place.linked);
		return {linked: linked.length, open: linked.filter(place => this.isOpen(place)).length};
	}

	/** Returns how many jobs of a route have not begun, or those of all routes. */
	pendingJobs(route?: string): number {
		return [...this.jobs.values()].filter(({job, mayHaveRun, tasks}) => (route === undefined || job.route === route)
			&& !mayHaveRun && tasks.every(({state}) => state === 'waiting')).length;
	}

	/** Says whether a job is under way, and if so whether it has begun. */
	jobState(id: string): 'queued' | 'running' | undefined {
		const activeJob = this.jobs.get(id);
		if (!activeJob) {
			return undefined;
		}

		return activeJob.mayHaveRun || activeJob.tasks.some(({state}) => state !== 'waiting') ? 'running' : 'queued';
	}

	/** Returns the names of the tasks that are sent to a place. */
	outstandingTasks(place: string): string[] {
		return [...this.ordersByRef.values()].filter(order => order.place === place).map(({task}) => task.spec.name);
	}

	/** The number of orders to a place that are not settled. */
	outstandingAt(place: string): number {
		return this.places.get(place)?.outstandingOrders ?? 0;
	}

	/** Returns the name of the task that was sent under a reference, if it is not settled. */
	taskName(ref: number): string | undefined {
		return this.ordersByRef.get(ref)?.task.spec.name;
	}

	/** When the next job that has not begun has waited long enough; infinite when there is none. */
	get nextRefusalAt(): number {
		let due = Number.POSITIVE_INFINITY;
		for (const activeJob of this.jobs.values()) {
			due = this.hasStarted(activeJob) ? due : Math.min(due, activeJob.refuseAt);
		}

		return due;
	}

	/** Takes one event in. `now` is in steady milliseconds. */
	step(event: Event, now: number): Action[] {
		const actions: Action[] = [];
		switch (event.kind) {
			case 'submit': {
				this.submit(event.job, now, actions);
				break;
			}

			case 'left': {
				this.removeJob(event.job, now, actions);
				break;
			}

			case 'cancel': {
				const activeJob = this.jobs.get(event.job);
				if (activeJob) {
					this.finish(activeJob, {kind: 'cancelled'}, now, actions);
				}

				break;
			}

			case 'told': {
				this.firstPlaceAt = Math.min(this.firstPlaceAt, now);
				this.updatePlace(event.place, event.report, now);
				this.fillPlace(event.place, now, actions);
				break;
			}

			case 'room': {
				const place = this.places.get(event.place);
				if (place) {
					place.others = event.others;
					place.notBefore = 0;
					this.fillPlace(event.place, now, actions);
				}

				break;
			}

			case 'offered': {
				const place = this.places.get(event.place);
				if (place) {
					place.capacityRequested = false;
				}

				break;
			}

			case 'down': {
				this.handleLinkLoss(event.place, now);
				break;
			}

			case 'clear': {
				this.handleRunsEnded(event.place, now, actions);
				break;
			}

			case 'refused': {
				this.handleRefusal(event, now, actions);
				break;
			}

			case 'ended': {
				this.handleEnd(event, now, actions);
				this.fillPlace(event.place, now, actions);
				break;
			}

			case 'zones': {
				this.unavailableZones = event.out;
				break;
			}

			case 'stopping': {
				this.stopsAt = event.until;
				break;
			}

			case 'tick': {
				this.tick(now, actions);
				break;
			}
		}

		return actions;
	}

	private submit(job: Job, now: number, actions: Action[]): void {
		const tasks = job.tasks.map((spec): Task => ({
			spec, state: 'waiting', ref: 0, place: '', placedAt: 0, notBefore: 0, failures: 0, lastFailedPlace: '', stopSent: false,
		})).toSorted((a, b) => b.spec.estimateMs - a.spec.estimateMs);
		const longestMs = this.estimator.expectedMs(job.route, tasks[0]?.spec.estimateMs ?? 0);
		const objective = job.aimMs + (job.stretch * longestMs);
		const activeJob: ActiveJob = {
			job,
			tasks,
			arrivedAt: now,
			deadline: now + job.leftMs,
			refuseAt: now + (objective * (this.isWarmingUp(now) ? this.policy.settlingShare : this.policy.patienceShare)),
			latestStartAt: now + objective - longestMs,
			longestMs,
			objectiveAt: now + objective,
			mayHaveRunEarlier: this.mayHaveRunBefore(job.id, now),
			mayHaveRun: tasks.some(({spec}) => this.mayStillRun(spec.name, now)),
		};
		const why = this.refusalReason(activeJob, now);
		if (why) {
			actions.push({
				kind: 'answer', job: job.id, verdict: this.verdictOnGivingUp(activeJob, why, now), waitedMs: 0,
			});
			return;
		}

		this.jobs.set(job.id, activeJob);
		this.placeAll(now, actions);
	}

	private refusalReason(activeJob: ActiveJob, now: number): JobRefusal | undefined {
		const {job, tasks, refuseAt, arrivedAt, longestMs} = activeJob;
		if (refuseAt + (longestMs * this.policy.margin) > this.stopsAt) {
			return 'stopping';
		}

		if (this.isWarmingUp(now)) {
			return undefined;
		}

		const open = [...this.places.values()].filter(place => place.pool === job.pool && this.isOpen(place));
		if (open.length === 0 || !tasks.every(({spec}) => open.some(({room}) => fits(spec.resources, room)))) {
			return 'no-place';
		}

		return this.expectedMs(activeJob, now) > refuseAt - arrivedAt ? 'overloaded' : undefined;
	}

	/** Estimates how long what goes before a job takes, worked off at the part of the rate of its pool's places that comes to this entry. */
	private expectedMs(activeJob: ActiveJob, now: number): number {
		const {pool} = activeJob.job;
		const sortKey = this.sortKeyOf(activeJob, now);
		let work = 0;
		for (const other of this.jobs.values()) {
			const {job, tasks} = other;
			if (job.pool !== pool || compareSortKeys(this.sortKeyOf(other, now), sortKey) > 0) {
				continue;
			}

			for (const task of tasks) {
				work += task.state === 'waiting' ? task.spec.resources.cpu * this.estimator.expectedMs(job.route, task.spec.estimateMs) : 0;
			}
		}

		let rate = 0;
		let own = 0;
		let others = 0;
		for (const place of this.places.values()) {
			if (place.pool === pool && this.isOpen(place)) {
				rate += place.room.cpu / this.estimator.slowness(place.id);
				own += place.ownUsage.cpu;
				others += place.others.cpu;
			}
		}

		const share = own + others === 0 ? 1 : Math.max(this.policy.shareLeast, own / (own + others));
		return rate === 0 ? 0 : work / (rate * share);
	}

	private isWarmingUp(now: number): boolean {
		return now - this.firstPlaceAt < warmUpMs;
	}

	/** A job of which something may have run, also under an earlier submission, is never told not to have run. */
	private verdictOnGivingUp(activeJob: ActiveJob, why: JobRefusal, now: number): Verdict {
		if (activeJob.mayHaveRunEarlier || this.hasStarted(activeJob)) {
			return {kind: 'expired'};
		}

		const inputs = {
			expectedMs: Math.round(this.expectedMs(activeJob, now)), patienceMs: Math.round(activeJob.refuseAt - activeJob.arrivedAt), waiting: this.pendingJobs(), ...this.placeCounts,
		};
		return {
			kind: 'refused', why, retryMs: this.retryMs(), inputs,
		};
	}

	private retryMs(): number {
		return Math.min(maxRetryMs, minRetryMs + (this.pendingJobs() * 50));
	}

	private updatePlace(id: string, report: PlaceReport, now: number): void {
		const known = this.places.get(id);
		const place = known ?? {
			...report, id, linked: true, ownUsage: {cpu: 0, memoryMb: 0, accelerators: 0}, outstandingOrders: 0, linkLostAt: now, ejection: notEjected, notBefore: 0, capacityRequested: false, isFailing: false,
		};
		this.places.set(id, place);
		if (report.isFailing !== place.isFailing) {
			place.ejection = recordReport(place.ejection, report.isFailing, now, this.mayEject(place));
		}

		Object.assign(place, report, {hindrance: report.hindrance, linked: true, notBefore: 0});
	}

	private handleLinkLoss(id: string, now: number): void {
		this.unconfirmedPlaces.add(id);
		const place = this.places.get(id);
		if (place) {
			place.linked = false;
			place.capacityRequested = false;
			place.linkLostAt = now;
		}

		this.removeOldPlaces(now);

		for (const lingering of this.lingeringByName.values()) {
			if (lingering.place === id && !lingering.linkLost) {
				lingering.linkLost = true;
				lingering.until = now + maxRunAfterLinkLossMs;
			}
		}

		for (const [ref, {activeJob, task, place: at}] of this.ordersByRef) {
			if (at !== id) {
				continue;
			}

			if (task.ref === ref && task.state === 'placed' && this.jobs.get(activeJob.job.id) === activeJob) {
				activeJob.mayHaveRun = true;
				task.state = 'unknown';
				task.notBefore = now + maxRunAfterLinkLossMs;
			} else if (task.ref !== ref || task.state !== 'unknown') {
				this.removeOrder(ref, id);
			}
		}
	}

	private removeOldPlaces(now: number): void {
		for (const {id, linked, outstandingOrders, linkLostAt} of this.places.values()) {
			if (!linked && outstandingOrders === 0 && now - linkLostAt > placeRetentionMs) {
				this.places.delete(id);
				this.unconfirmedPlaces.delete(id);
			}
		}

		this.estimator.prune(place => this.places.has(place));
	}

	/** Takes back all tasks that were sent to the place and whose fate was unknown. */
	private handleRunsEnded(id: string, now: number, actions: Action[]): void {
		// Said with each message of a place, so it must cost nothing where nothing was lost.
		if (!this.unconfirmedPlaces.delete(id)) {
			return;
		}

		for (const [name, {place, linkLost}] of this.lingeringByName) {
			if (place === id && linkLost) {
				this.lingeringByName.delete(name);
			}
		}

		for (const [ref, {task, place: at}] of this.ordersByRef) {
			if (at === id && task.ref === ref && task.state === 'unknown') {
				this.requeue(task, now);
			}
		}

		this.placeAll(now, actions);
	}

	private handleRefusal({place: id, ref, why}: {place: string; ref: number; why: StartRefusal}, now: number, actions: Action[]): void {
		const order = this.removeOrder(ref, id);
		this.taskEnded(order, ref, now, actions);
		const place = this.places.get(id);
		if (place && why !== 'duplicate' && why !== 'withdrawn') {
			place.notBefore = now + refusalBackoffMs;
		}

		if (order?.task.ref === ref && order.task.state === 'placed') {
			order.task.state = 'waiting';
			order.task.notBefore = why === 'duplicate' ? now + duplicateRetryMs : 0;
			if (this.jobs.get(order.activeJob.job.id) === order.activeJob) {
				this.placeJob(order.activeJob, now, actions);
			}
		}
	}

	private handleEnd({
		place: id, ref, outcome, ranMs,
	}: {place: string; ref: number; outcome: Outcome; ranMs: number}, now: number, actions: Action[]): void {
		const order = this.removeOrder(ref, id);
		this.taskEnded(order, ref, now, actions);
		if (!order) {
			return;
		}

		const {activeJob, task} = order;
		const {route} = activeJob.job;
		const place = this.places.get(id);
		if (place && outcome !== 'lost') {
			place.ejection = recordResult(place.ejection, outcome === 'done', now, this.mayEject(place));
		}

		if (outcome === 'done') {
			this.estimator.observe({
				route, place: id, ranMs, declaredMs: Math.max(1, task.spec.estimateMs),
			});
		}

		if (task.ref !== ref || task.state !== 'placed' || this.jobs.get(activeJob.job.id) !== activeJob) {
			return;
		}

		activeJob.mayHaveRun = true;
		switch (outcome) {
			case 'done': {
				task.state = 'done';
				if (activeJob.tasks.every(({state}) => state === 'done')) {
					this.finish(activeJob, {kind: 'completed'}, now, actions);
				}

				break;
			}

			case 'failed': {
				task.failures++;
				task.lastFailedPlace = id;
				this.requeue(task, now);
				if (task.failures >= activeJob.job.attempts) {
					this.finish(activeJob, {kind: 'failed'}, now, actions);
				} else {
					this.placeJob(activeJob, now, actions);
				}

				break;
			}

			case 'lost': {
				task.lastFailedPlace = id;
				this.requeue(task, now);
				this.placeJob(activeJob, now, actions);
				break;
			}
		}
	}

	/** Says whether something may have run of a job that was submitted here before. */
	private mayHaveRunBefore(id: string, now: number): boolean {
		for (const [other, until] of this.startedJobExpiry) {
			if (now < until) {
				break;
			}

			this.startedJobExpiry.delete(other);
		}

		return this.startedJobExpiry.has(id);
	}

	private tick(now: number, actions: Action[]): void {
		for (const [name, {until}] of this.lingeringByName) {
			if (now >= until) {
				this.lingeringByName.delete(name);
			}
		}

		for (const activeJob of this.jobs.values()) {
			if (now >= activeJob.deadline) {
				this.finish(activeJob, this.verdictOnGivingUp(activeJob, 'overloaded', now), now, actions);
				continue;
			}

			if (now >= activeJob.refuseAt && !this.hasStarted(activeJob)) {
				this.finish(activeJob, this.verdictOnGivingUp(activeJob, this.placeCounts.open === 0 ? 'no-place' : 'overloaded', now), now, actions);
				continue;
			}

			for (const task of activeJob.tasks) {
				this.checkTask(activeJob, task, now, actions);
			}
		}

		this.placeAll(now, actions);
	}

	/** Takes back what is certainly over, and stops what hangs. */
	private checkTask(activeJob: ActiveJob, task: Task, now: number, actions: Action[]): void {
		if (task.state === 'unknown' && now >= task.notBefore) {
			this.requeue(task, now);
			return;
		}

		if (task.state !== 'placed' || task.stopSent) {
			return;
		}

		const expected = this.estimator.expectedMs(activeJob.job.route, task.spec.estimateMs) * this.estimator.slowness(task.place);
		if (now - task.placedAt > (expected * hangFactor) + hangMs) {
			task.stopSent = true;
			const place = this.places.get(task.place);
			if (place) {
				place.ejection = recordResult(place.ejection, false, now, this.mayEject(place));
			}

			actions.push({
				kind: 'stop', place: task.place, ref: task.ref, hung: true,
			});
		}
	}

	private requeue(task: Task, now: number): void {
		this.removeOrder(task.ref, task.place);
		task.state = 'waiting';
		task.stopSent = false;
		task.notBefore = now;
	}

	private hasStarted({mayHaveRun, tasks}: ActiveJob): boolean {
		return mayHaveRun || tasks.some(({state}) => state !== 'waiting');
	}

	/** The jobs with tasks that wait, first what goes first. */
	private waitingJobs(now: number, pool?: string): ActiveJob[] {
		return [...this.jobs.values()]
			.filter(({job, tasks}) => (pool === undefined || job.pool === pool) && tasks.some(({state}) => state === 'waiting'))
			.map(activeJob => ({activeJob, sortKey: this.sortKeyOf(activeJob, now)}))
			.toSorted((a, b) => compareSortKeys(a.sortKey, b.sortKey))
			.map(({activeJob}) => activeJob);
	}

	/** Places all that waits, as far as there is room. */
	private placeAll(now: number, actions: Action[]): void {
		this.unmetDemandByPool.clear();
		for (const activeJob of this.waitingJobs(now)) {
			const task = this.placeTasks(activeJob, now, actions);
			if (task) {
				this.addUnmetDemand(activeJob, task);
			}
		}

		for (const demand of this.unmetDemandByPool.values()) {
			this.requestCapacity(demand, now, actions);
		}
	}

	/** Places the tasks of one job that wait again, when all others that wait have found no room. */
	private placeJob(activeJob: ActiveJob, now: number, actions: Action[]): void {
		const task = this.placeTasks(activeJob, now, actions);
		if (task) {
			this.addUnmetDemand(activeJob, task);
			this.requestCapacity(this.unmetDemandByPool.get(activeJob.job.pool)!, now, actions);
		}
	}

	/** Fills the room of one place, after what is known of it has changed. Nothing that waits has found room elsewhere. */
	private fillPlace(id: string, now: number, actions: Action[]): void {
		const place = this.places.get(id);
		const demand = place && this.unmetDemandByPool.get(place.pool);
		if (!demand || !this.mayReceive(place, now)) {
			return;
		}

		if (fits(demand.smallest, freeCapacity(place))) {
			this.unmetDemandByPool.delete(place.pool);
			for (const activeJob of this.waitingJobs(now, place.pool)) {
				const task = this.placeTasks(activeJob, now, actions, place);
				if (task) {
					this.addUnmetDemand(activeJob, task);
				}
			}
		}

		const left = this.unmetDemandByPool.get(place.pool);
		if (left) {
			this.requestCapacity(left, now, actions);
		}
	}

	/** Takes in that a task has found no room. */
	private addUnmetDemand(activeJob: ActiveJob, task: Task): void {
		const {resources: room} = task.spec;
		const demand = this.unmetDemandByPool.get(activeJob.job.pool);
		if (!demand) {
			this.unmetDemandByPool.set(activeJob.job.pool, {smallest: {...room}, activeJob, task});
			return;
		}

		demand.smallest.cpu = Math.min(demand.smallest.cpu, room.cpu);
		demand.smallest.memoryMb = Math.min(demand.smallest.memoryMb, room.memoryMb);
		demand.smallest.accelerators = Math.min(demand.smallest.accelerators, room.accelerators);
	}

	/** Asks the places of a pool for room for the most urgent task that has found none. */
	private requestCapacity({activeJob, task}: UnmetDemand, now: number, actions: Action[]): void {
		if (task.state !== 'waiting' || !this.jobs.has(activeJob.job.id)) {
			return;
		}

		const {job: {pool}, latestStartAt} = activeJob;
		const {resources: room} = task.spec;
		let asked = 0;
		for (const place of this.places.values()) {
			if (place.pool !== pool || !this.isOpen(place) || !fits(room, place.room)) {
				continue;
			}

			if (++asked > maxRequestedPlaces) {
				return;
			}

			if (!place.capacityRequested) {
				place.capacityRequested = true;
				actions.push({
					kind: 'want', place: place.id, resources: room, dueMs: Math.round(latestStartAt - now),
				});
			}
		}
	}

	/** What decides the order of a job among others at a time. */
	private sortKeyOf(activeJob: ActiveJob, now: number): SortKey {
		const hasStarted = this.hasStarted(activeJob);
		return {
			late: this.policy.lateLast && now > activeJob.latestStartAt && !hasStarted,
			priority: this.policy.urgentFirst ? activeJob.job.priority : 0,
			hasStarted: this.policy.begunFirst && hasStarted,
			latestStartAt: activeJob.latestStartAt,
		};
	}

	/** Places the tasks of a job that wait, the longest first, as far as there is room. Returns the first for which there is none. */
	private placeTasks(activeJob: ActiveJob, now: number, actions: Action[], only?: PlaceState): Task | undefined {
		const demand = this.unmetDemandByPool.get(activeJob.job.pool);
		for (const task of activeJob.tasks) {
			if (task.state === 'waiting' && now >= task.notBefore && !this.mayStillRun(task.spec.name, now)) {
				// What is at least as large as a task that has just found no room finds none either.
				const isHopeless = demand !== undefined && fits(demand.task.spec.resources, task.spec.resources);
				const place = isHopeless ? undefined : this.choosePlace(activeJob, task, now, only);
				if (!place) {
					return task;
				}

				actions.push(this.sendOrder(activeJob, task, place, now));
			}
		}

		return undefined;
	}

	/** Takes in that what ran under a name is over, so that a job submitted again may start it. */
	private taskEnded(order: OutstandingOrder | undefined, ref: number, now: number, actions: Action[]): void {
		if (order && this.lingeringByName.get(order.task.spec.name)?.ref === ref) {
			this.lingeringByName.delete(order.task.spec.name);
			this.placeAll(now, actions);
		}
	}

	private mayStillRun(name: string, now: number): boolean {
		const lingering = this.lingeringByName.get(name);
		if (lingering && now >= lingering.until) {
			this.lingeringByName.delete(name);
			return false;
		}

		return lingering !== undefined;
	}

	/**
	 * Chooses among the places with room: of those where the task should end in time the one with the
	 * largest part of its room free, so that entries which see the same places seldom choose the same;
	 * where it would end in time at none, the fastest.
	 */
	private choosePlace(activeJob: ActiveJob, task: Task, now: number, only?: PlaceState): PlaceState | undefined {
		const {job, objectiveAt} = activeJob;
		const usualMs = this.estimator.expectedMs(job.route, task.spec.estimateMs);
		let best: {place: PlaceState; late: number; cost: number} | undefined;
		for (const place of only ? [only] : this.places.values()) {
			if (place.pool !== job.pool || !this.mayReceive(place, now)) {
				continue;
			}

			const free = freeCapacity(place);
			if (!fits(task.spec.resources, free)) {
				continue;
			}

			const runMs = usualMs * this.estimator.slowness(place.id);
			const avoided = place.id === task.lastFailedPlace;
			const freeShare = free.cpu / place.room.cpu;
			const late = this.policy.spread && !avoided && now + (runMs * this.policy.margin) + overheadMs <= objectiveAt ? 0 : 1;
			const slowness = Math.round(runMs * slownessSteps / usualMs) * (avoided ? failedPlaceFactor : 1);
			const cost = late === 0 ? -freeShare : slowness - (freeShare / 10);
			if (!best || late < best.late || (late === best.late && cost < best.cost)) {
				best = {place, late, cost};
			}
		}

		return best?.place;
	}

	private isOpen(place: PlaceState): boolean {
		return place.linked && place.hindrance === undefined && !this.unavailableZones.has(place.zone);
	}

	private mayReceive(place: PlaceState, now: number): boolean {
		return now >= place.notBefore && this.isOpen(place) && this.isAdmittedByEjection(place, now);
	}

	private isAdmittedByEjection(place: PlaceState, now: number): boolean {
		switch (availabilityOf(place.ejection, now)) {
			case 'open': {
				return true;
			}

			case 'probe': {
				return place.ownUsage.cpu === 0;
			}

			case 'closed': {
				return false;
			}
		}
	}

	private mayEject(place: PlaceState): boolean {
		const pool = [...this.places.values()].filter(other => other.linked && other.pool === place.pool);
		return pool.filter(other => other.ejection.ejectedUntil > 0).length < pool.length / 2;
	}

	private sendOrder(activeJob: ActiveJob, task: Task, place: PlaceState, now: number): Action {
		const ref = this.nextRef++;
		task.state = 'placed';
		task.ref = ref;
		task.place = place.id;
		task.placedAt = now;
		task.stopSent = false;
		this.ordersByRef.set(ref, {
			activeJob, task, place: place.id, resources: task.spec.resources,
		});
		addResources(place.ownUsage, task.spec.resources, 1);
		place.outstandingOrders++;
		if (availabilityOf(place.ejection, now) === 'probe') {
			place.ejection = startProbe(place.ejection);
		}

		return {
			kind: 'start', place: place.id, ref, job: activeJob.job, task: task.spec,
		};
	}

	/** Ends a job with an answer, and stops what runs of it. */
	private finish(activeJob: ActiveJob, verdict: Verdict, now: number, actions: Action[]): void {
		this.removeJob(activeJob.job.id, now, actions);
		actions.push({
			kind: 'answer', job: activeJob.job.id, verdict, waitedMs: now - activeJob.arrivedAt,
		});
	}

	private removeJob(id: string, now: number, actions: Action[]): void {
		const activeJob = this.jobs.get(id);
		if (!activeJob) {
			return;
		}

		this.jobs.delete(id);
		if (activeJob.mayHaveRunEarlier || this.hasStarted(activeJob)) {
			this.startedJobExpiry.delete(id);
			this.startedJobExpiry.set(id, now + startedJobRetentionMs);
		}

		for (const task of activeJob.tasks) {
			const {state, ref, place} = task;
			if (state === 'placed') {
				this.lingeringByName.set(task.spec.name, {
					ref, place, until: Number.POSITIVE_INFINITY, linkLost: false,
				});
				if (!task.stopSent) {
					actions.push({
						kind: 'stop', place, ref, hung: false,
					});
				}
			} else if (state === 'unknown') {
				this.lingeringByName.set(task.spec.name, {
					ref, place, until: task.notBefore, linkLost: true,
				});
				this.removeOrder(ref, place);
			}
		}
	}

	/** Forgets an order, and gives its room back. */
	private removeOrder(ref: number, place: string): OutstandingOrder | undefined {
		const order = this.ordersByRef.get(ref);
		if (order?.place !== place) {
			return undefined;
		}

		this.ordersByRef.delete(ref);
		const at = this.places.get(place);
		if (at) {
			addResources(at.ownUsage, order.resources, -1);
			at.outstandingOrders--;
		}

		return order;
	}
}

/** What can be in time goes first, then what is more urgent, then what has begun, then what must begin soonest to be in time. */
function compareSortKeys(a: SortKey, b: SortKey): number {
	return Number(a.late) - Number(b.late)
		|| a.priority - b.priority
		|| Number(b.hasStarted) - Number(a.hasStarted)
		|| a.latestStartAt - b.latestStartAt;
}

function freeCapacity({room, others, ownUsage}: PlaceState): Resources {
	return {
		cpu: room.cpu - others.cpu - ownUsage.cpu,
		memoryMb: room.memoryMb - others.memoryMb - ownUsage.memoryMb,
		accelerators: room.accelerators - others.accelerators - ownUsage.accelerators,
	};
}
