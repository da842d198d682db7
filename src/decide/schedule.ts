import {
	notEjected, recordReport, recordResult, startProbe, availabilityOf, type Ejection,
} from './outlier-ejection.js';
import {DurationEstimator} from './duration-estimator.js';
import type {StartRefusal, Outcome} from './guard.js';
import {addResources, fits, type Resources} from './resources.js';

/** Job is a submission that is held in memory only. It completes when all of its tasks have succeeded; any other end is reported by its verdict. */
export type Job = {
	/** Unique among the jobs under way. */
	id: string;
	/** The kind of request; run times are learned per route. */
	route: string;
	pool: string;
	spec: string;
	tasks: readonly TaskSpec[];
	/** The target response time is `aimMs` plus `stretch` times the expected time of the longest task. */
	aimMs: number;
	stretch: number;
	/** The number of failures of one task that fails the job. Lost runs do not count. */
	attempts: number;
	/** 0 is the most urgent. */
	priority: number;
	/** Time to the caller's deadline, in milliseconds from the submission. */
	leftMs: number;
};

/** TaskSpec is one task: its full name, the resources it needs and its declared run time. */
export type TaskSpec = {name: string; resources: Resources; estimateMs: number};

/** PlaceReport is what a sidecar reports of its worker: `room` is the worker's whole capacity, `others` the part of it in use for other entries. */
export type PlaceReport = {
	zone: string;
	pool: string;
	room: Resources;
	others: Resources;
	/** Whether all runs that ended there lately failed, those of other entries included. */
	isFailing: boolean;
	hindrance?: StartRefusal;
};

/** Verdict is how a job ends. */
export type Verdict
	= | {kind: 'completed'}
	/** A task has failed as often as `Job.attempts` allows. */
		| {kind: 'failed'}
	/** None of its tasks ran or will run, so the caller may safely submit it again. */
		| {kind: 'refused'; why: JobRefusal; retryMs: number; inputs: RefusalInputs}
	/** Given up after one of its tasks may have been started. */
		| {kind: 'expired'}
		| {kind: 'cancelled'};

/**
 * RefusalInputs are the figures behind a refusal: the expected queueing time and the longest wait allowed for the
 * job, in milliseconds, the numbers of available and of linked places, and the number of jobs that have not started.
 */
export type RefusalInputs = {expectedMs: number; patienceMs: number; open: number; linked: number; waiting: number};

/** JobRefusal is why an entry does not run a job. */
export type JobRefusal = 'no-place' | 'overloaded' | 'stopping';

/** Event is an input of the schedule. */
export type Event
	= | {kind: 'submit'; job: Job}
	/** The caller disconnected (`left`; it gets no answer) or cancelled the job (`cancel`). */
		| {kind: 'left' | 'cancel'; job: string}
	/** A place sent a full report. */
		| {kind: 'told'; place: string; report: PlaceReport}
	/** The capacity in use for other entries changed. */
		| {kind: 'room'; place: string; others: Resources}
	/** The capacity requested there is free and reserved for a moment. A `room` event with the amount follows. */
		| {kind: 'offered'; place: string}
	/** The link to the place was lost. */
		| {kind: 'down'; place: string}
	/** All runs started at the place before its link was last lost have ended. */
		| {kind: 'clear'; place: string}
	/** The sidecar did not start the task of order `ref`, and will not. */
		| {kind: 'refused'; place: string; ref: number; why: StartRefusal}
		| {kind: 'ended'; place: string; ref: number; outcome: Outcome; ranMs: number}
	/** The availability zones that get no work. */
		| {kind: 'zones'; out: ReadonlySet<string>}
	/** The entry is shutting down: only jobs expected to end by `until` are admitted. */
		| {kind: 'stopping'; until: number}
		| {kind: 'tick'};

/** StartAction orders a sidecar to start a task; `ref` identifies the order. */
export type StartAction = {kind: 'start'; place: string; ref: number; job: Job; task: TaskSpec};

/** Action is an output of the schedule, for the caller to carry out. */
export type Action
	= | StartAction
	/** Stop the run of an order; `hung`: because it far exceeded its expected time. */
		| {kind: 'stop'; place: string; ref: number; hung: boolean}
	/** A capacity request: a task of this size is waiting and should start within `dueMs`; the place offers capacity once it is free. */
		| {kind: 'want'; place: string; resources: Resources; dueMs: number}
		| {kind: 'answer'; job: string; verdict: Verdict; waitedMs: number};

/**
 * The warm-up, in milliseconds from the first place found, while places are still being discovered: after a loss of
 * many machines callers return some 1300 ms later, and sidecars and workers take about as long to be found.
 */
const warmUpMs = 3000;
/**
 * The longest that a run can last after the link to its place was lost, in milliseconds. It is the sum of the age
 * at which a sidecar still accepts a request (600), the silence after which it gives up an entry (700), its interval
 * of checking that (100), a worker's lease by a clock that is 2% slow (1020) and the time of a stop (50), rounded up.
 */
export const maxRunAfterLinkLossMs = 2500;
/** A run counts as hung after this many times its expected time plus this many milliseconds. */
const hangFactor = 3;
const hangMs = 600;
/** Slowness is compared in steps of a fifth of the expected time, so that places of nearly the same speed tie and the one with more free capacity wins. */
const slownessSteps = 5;
/** A place counts as this many times slower for a task that failed there last. */
const failedPlaceFactor = 8;
/** The overhead of a task beyond its run, in milliseconds: network round trip and start. */
const overheadMs = 10;
/** How long a place gets no work after it refused an order, in milliseconds, unless it reports its capacity before. */
const refusalBackoffMs = 15;
/** How many places of a pool may hold a capacity request at a time: enough that one soon has free capacity, few enough to be cheap in pools of hundreds. */
const maxRequestedPlaces = 16;
/** How long a task waits that was refused because a run of the same name is still under way, in milliseconds. */
const duplicateRetryMs = 120;
/** How long the record of a place without a link is kept, in milliseconds. Without a limit the records would pile up as machines come and go for years. */
const placeRetentionMs = 600_000;
/** How long an ended job that may have run is remembered, in milliseconds: callers submit again after 1300, and go on for as long as they wait. */
const startedJobRetentionMs = 30_000;
/** Bounds of the retry delay suggested to a refused caller, in milliseconds. */
const minRetryMs = 1000;
const maxRetryMs = 5000;

/** Policy holds the parameters that benchmarks may vary; production runs `usualPolicy`. */
export type Policy = {
	/** How long a job may wait for its first start before it is refused, as a share of its target response time. */
	patienceShare: number;
	/** The same during the warm-up, when places are still found one after the other. */
	settlingShare: number;
	/** Whether jobs are ordered by priority first (after `lateLast`). */
	urgentFirst: boolean;
	/** Whether, after that, jobs that have started go before those that have not. */
	begunFirst: boolean;
	/** Whether jobs that have not started and can no longer meet their target go after all others. */
	lateLast: boolean;
	/** Whether a task goes to the least loaded of the places expected to finish it in time, instead of the fastest. */
	spread: boolean;
	/**
	 * The lower bound of the share of its places' processing rate that an entry counts on in admission. The share
	 * itself is that of its own work in all that runs there. It matters under overload with tens of entries.
	 */
	shareLeast: number;
	/** The safety factor on expected run times wherever a task must end in time: estimates are some 40% off. */
	margin: number;
};

/** The policy of production. */
export const usualPolicy: Policy = {
	patienceShare: 0.18, settlingShare: 2.5, urgentFirst: false, lateLast: true, begunFirst: true, spread: true, shareLeast: 0.02, margin: 2,
};

type Task = {
	spec: TaskSpec;
	/** `placed`: an order for it is outstanding; `unknown`: the link to its place was lost meanwhile, so that it may still run there. */
	state: 'waiting' | 'placed' | 'unknown' | 'done';
	/** Its latest order. */
	ref: number;
	place: string;
	placedAt: number;
	/** The earliest time at which it may be placed again. */
	notBefore: number;
	failures: number;
	/** The place where it last failed or was lost; others are preferred. */
	lastFailedPlace: string;
	/** Whether its run was ordered to stop because it hung. */
	stopSent: boolean;
};

/** ActiveJob is an admitted job with the progress of its tasks and the times that govern it. */
type ActiveJob = {
	job: Job;
	tasks: Task[];
	arrivedAt: number;
	/** When the caller stops waiting. */
	deadline: number;
	/** The job is refused when none of its tasks was placed by then. */
	refuseAt: number;
	/** When the longest task must start for the job to meet its target; jobs are ordered by this. */
	latestStartAt: number;
	/** The expected time of its longest task, in milliseconds. */
	longestMs: number;
	/** When its last task must end for the job to meet its target response time. */
	objectiveAt: number;
	/** Whether a task of it may have run under an earlier submission that has ended. */
	mayHaveRunEarlier: boolean;
	/** Whether a task of it has run or may have, or may still run from an earlier submission. */
	mayHaveRun: boolean;
};

/** PlaceState is an entry's record of one place: its last report and this entry's own use of it. */
type PlaceState = PlaceReport & {
	id: string;
	linked: boolean;
	/** The resources of this entry's outstanding orders. */
	ownUsage: Resources;
	/** The number of orders whose end or refusal has not been reported. */
	outstandingOrders: number;
	/** When its link was last lost. */
	linkLostAt: number;
	ejection: Ejection;
	/** It gets no work before this time, after it refused an order. */
	notBefore: number;
	/** Whether a capacity request was sent that it has not answered with an offer. */
	capacityRequested: boolean;
};

/** UnmetDemand summarises the tasks of a pool that fitted no place: the minimum of each resource over them, and the most urgent task with its job. */
type UnmetDemand = {smallest: Resources; activeJob: ActiveJob; task: Task};

/** LingeringTask is a task that may still run although its job has ended, until its end is reported or the time `until`. */
type LingeringTask = {ref: number; place: string; until: number; linkLost: boolean};

/** SortKey orders jobs at a point in time, see `compareSortKeys`; `late`: the job has not started and can no longer meet its target. */
type SortKey = {late: boolean; priority: number; hasStarted: boolean; latestStartAt: number};

/** OutstandingOrder is a start sent to a place whose end or refusal has not been reported. It holds its resources there. */
type OutstandingOrder = {activeJob: ActiveJob; task: Task; place: string; resources: Resources};

/**
 * Schedule is the scheduler of one entry: it does admission control, ordering and placement of its jobs.
 *
 * - Admission: `refusalReason` compares the expected queueing time with the wait that the policy allows. Near and
 *   above the capacity of the workers, a job that would wait too long is better refused at once. An admitted
 *   job is refused at `refuseAt` if none of its tasks was placed by then.
 * - Ordering: waiting jobs are sorted by `compareSortKeys`, at last by when they must start to be in time.
 * - Placement: `choosePlace` picks a place with free capacity and `sendOrder` reserves it in `ownUsage` until
 *   `removeOrder`. The sidecar decides whether the task starts; entries don't coordinate, so it may refuse.
 * - Demand: tasks that fit nowhere are summarised in `unmetDemandByPool`, and places are asked for capacity.
 *   These tasks have been tried at all places, so when one place changes, `fillPlace` tries only that one.
 * - Single runs: a task is not started while a run of it may be under way. A lost link makes its tasks `unknown`
 *   until the place confirms their end or `maxRunAfterLinkLossMs` has passed. Tasks that may outlive their job
 *   are kept in `lingeringByName`, so that a job submitted again does not start them twice.
 *
 * `step` handles an event and returns the actions. It has no side effects outside the schedule and reads no
 * clock: the same events at the same times give the same actions.
 */
export class Schedule {
	static create(policy: Partial<Policy> = {}): Schedule {
		return new Schedule({...usualPolicy, ...policy});
	}

	/** Learned run times of routes and slowness of places. */
	readonly estimator = DurationEstimator.create();

	/** Jobs under way by id. */
	private readonly jobs = new Map<string, ActiveJob>();
	/** Known places by id, including those whose link was lost. */
	private readonly places = new Map<string, PlaceState>();
	/** Outstanding orders by their reference. */
	private readonly ordersByRef = new Map<number, OutstandingOrder>();
	/** Tasks that may still run although their job has ended, by task name. */
	private readonly lingeringByName = new Map<string, LingeringTask>();
	/** Ids of places whose link was lost and that have not confirmed since that all earlier runs have ended. */
	private readonly unconfirmedPlaces = new Set<string>();
	/** When to forget that an ended job may have run, by job id, in order of time. */
	private readonly startedJobExpiry = new Map<string, number>();
	/** Tasks that have found no capacity since all places were last tried, summarised by pool. */
	private readonly unmetDemandByPool = new Map<string, UnmetDemand>();
	/** Availability zones that get no work. */
	private unavailableZones: ReadonlySet<string> = new Set();
	/** When all jobs must have ended because the entry shuts down. */
	private stopsAt = Number.POSITIVE_INFINITY;
	/** When the first place reported: the start of the warm-up. */
	private firstPlaceAt = Number.POSITIVE_INFINITY;

	private nextRef = 1;

	private constructor(private readonly policy: Policy) {}

	get jobCount(): number {
		return this.jobs.size;
	}

	/** The number of places with a link, and of those that are open to work: no reason against it reported, and in an available zone. */
	get placeCounts(): {linked: number; open: number} {
		const linked = [...this.places.values()].filter(place => place.linked);
		return {linked: linked.length, open: linked.filter(place => this.isOpen(place)).length};
	}

	/** Returns the number of jobs of a route, or of all routes, that have not started. */
	pendingJobs(route?: string): number {
		return [...this.jobs.values()].filter(({job, mayHaveRun, tasks}) => (route === undefined || job.route === route)
			&& !mayHaveRun && tasks.every(({state}) => state === 'waiting')).length;
	}

	/** Returns whether a job is queued or has started; undefined when it is not under way. */
	jobState(id: string): 'queued' | 'running' | undefined {
		const activeJob = this.jobs.get(id);
		if (!activeJob) {
			return undefined;
		}

		return activeJob.mayHaveRun || activeJob.tasks.some(({state}) => state !== 'waiting') ? 'running' : 'queued';
	}

	/** Returns the names of the tasks with an outstanding order at a place. */
	outstandingTasks(place: string): string[] {
		return [...this.ordersByRef.values()].filter(order => order.place === place).map(({task}) => task.spec.name);
	}

	/** Returns the number of outstanding orders at a place. */
	outstandingAt(place: string): number {
		return this.places.get(place)?.outstandingOrders ?? 0;
	}

	/** Returns the task name of an outstanding order. */
	taskName(ref: number): string | undefined {
		return this.ordersByRef.get(ref)?.task.spec.name;
	}

	/** When the next job is due to be refused unless it starts; infinite when there is none. */
	get nextRefusalAt(): number {
		let due = Number.POSITIVE_INFINITY;
		for (const activeJob of this.jobs.values()) {
			due = this.hasStarted(activeJob) ? due : Math.min(due, activeJob.refuseAt);
		}

		return due;
	}

	/** Handles one event and returns the resulting actions. `now` is in monotonic milliseconds. */
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

	/** Decides on admission: returns why a new job is refused, or undefined to admit it. */
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

	/** Estimates the queueing time of a job: the waiting work ordered before it or equal to it, over this entry's share of the processing rate of its pool. */
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

	/** Returns the verdict on a job that is given up. `refused` promises that nothing ran, so a job that may have run, also under an earlier submission, is `expired`. */
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
			...report, id, linked: true, ownUsage: {cpu: 0, memoryMb: 0, accelerators: 0}, outstandingOrders: 0, linkLostAt: now,
			ejection: notEjected, notBefore: 0, capacityRequested: false, isFailing: false,
		};
		this.places.set(id, place);
		if (report.isFailing !== place.isFailing) {
			place.ejection = recordReport(place.ejection, report.isFailing, now, this.mayEject(place));
		}

		Object.assign(place, report, {hindrance: report.hindrance, linked: true, notBefore: 0});
	}

	/** Marks all tasks at a place as possibly still running, until the place confirms their end or the longest run is over. */
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

	/** Removes the records and learned slowness of places that have been without a link for long. */
	private removeOldPlaces(now: number): void {
		for (const {id, linked, outstandingOrders, linkLostAt} of this.places.values()) {
			if (!linked && outstandingOrders === 0 && now - linkLostAt > placeRetentionMs) {
				this.places.delete(id);
				this.unconfirmedPlaces.delete(id);
			}
		}

		this.estimator.prune(place => this.places.has(place));
	}

	/** Requeues the tasks of unknown state at a place, which has confirmed that its earlier runs have ended. */
	private handleRunsEnded(id: string, now: number, actions: Action[]): void {
		// This event comes with every message of a place, so it must be cheap when no link was lost.
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

	/** Whether a job submitted earlier under this id may have run. */
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

	/** Requeues a task of unknown state once it can no longer run, and stops one that hangs. */
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

	/** Whether a task of the job may have run or has an order outstanding; such a job is no longer refused. */
	private hasStarted({mayHaveRun, tasks}: ActiveJob): boolean {
		return mayHaveRun || tasks.some(({state}) => state !== 'waiting');
	}

	/** Returns the jobs with waiting tasks in scheduling order. */
	private waitingJobs(now: number, pool?: string): ActiveJob[] {
		return [...this.jobs.values()]
			.filter(({job, tasks}) => (pool === undefined || job.pool === pool) && tasks.some(({state}) => state === 'waiting'))
			.map(activeJob => ({activeJob, sortKey: this.sortKeyOf(activeJob, now)}))
			.toSorted((a, b) => compareSortKeys(a.sortKey, b.sortKey))
			.map(({activeJob}) => activeJob);
	}

	/** Places waiting tasks of all jobs as far as capacity allows, and requests capacity for the rest. */
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

	/** Places the requeued tasks of one job. All other waiting tasks have been tried already. */
	private placeJob(activeJob: ActiveJob, now: number, actions: Action[]): void {
		const task = this.placeTasks(activeJob, now, actions);
		if (task) {
			this.addUnmetDemand(activeJob, task);
			this.requestCapacity(this.unmetDemandByPool.get(activeJob.job.pool)!, now, actions);
		}
	}

	/** Places waiting tasks at one place whose state has changed. They have found no capacity elsewhere, so no other place is tried. */
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

	/** Records that a task found no capacity. The first one recorded in a pool counts as the most urgent. */
	private addUnmetDemand(activeJob: ActiveJob, task: Task): void {
		const {resources} = task.spec;
		const demand = this.unmetDemandByPool.get(activeJob.job.pool);
		if (!demand) {
			this.unmetDemandByPool.set(activeJob.job.pool, {smallest: {...resources}, activeJob, task});
			return;
		}

		demand.smallest.cpu = Math.min(demand.smallest.cpu, resources.cpu);
		demand.smallest.memoryMb = Math.min(demand.smallest.memoryMb, resources.memoryMb);
		demand.smallest.accelerators = Math.min(demand.smallest.accelerators, resources.accelerators);
	}

	/** Sends capacity requests for the most urgent unplaced task to the places of its pool. */
	private requestCapacity({activeJob, task}: UnmetDemand, now: number, actions: Action[]): void {
		if (task.state !== 'waiting' || !this.jobs.has(activeJob.job.id)) {
			return;
		}

		const {job: {pool}, latestStartAt} = activeJob;
		const {resources} = task.spec;
		let asked = 0;
		for (const place of this.places.values()) {
			if (place.pool !== pool || !this.isOpen(place) || !fits(resources, place.room)) {
				continue;
			}

			if (++asked > maxRequestedPlaces) {
				return;
			}

			if (!place.capacityRequested) {
				place.capacityRequested = true;
				actions.push({
					kind: 'want', place: place.id, resources, dueMs: Math.round(latestStartAt - now),
				});
			}
		}
	}

	private sortKeyOf(activeJob: ActiveJob, now: number): SortKey {
		const hasStarted = this.hasStarted(activeJob);
		return {
			late: this.policy.lateLast && now > activeJob.latestStartAt && !hasStarted,
			priority: this.policy.urgentFirst ? activeJob.job.priority : 0,
			hasStarted: this.policy.begunFirst && hasStarted,
			latestStartAt: activeJob.latestStartAt,
		};
	}

	/** Places the waiting tasks of a job, the longest first, at any place or at `only`. Returns the first task that found no capacity. */
	private placeTasks(activeJob: ActiveJob, now: number, actions: Action[], only?: PlaceState): Task | undefined {
		const demand = this.unmetDemandByPool.get(activeJob.job.pool);
		for (const task of activeJob.tasks) {
			if (task.state === 'waiting' && now >= task.notBefore && !this.mayStillRun(task.spec.name, now)) {
				// A task at least as large as one that has just found no capacity finds none either.
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

	/** Forgets a lingering task when its order has ended, so that a job submitted again may start it. */
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
	 * Chooses among the places with enough free capacity. Of those where the task should end in time, it takes the
	 * one with the largest free share, which spreads load and keeps entries that see the same places from often
	 * choosing the same one. Where the task would end in time at none, it takes the fastest.
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

	/** Whether a place is linked, reports nothing against starting tasks and is in an available zone. */
	private isOpen(place: PlaceState): boolean {
		return place.linked && place.hindrance === undefined && !this.unavailableZones.has(place.zone);
	}

	/** Whether a place may get work now, also by its last refusal and its ejection. */
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

	/** Whether fewer than half of the linked places of the pool are ejected, so that one more may be. */
	private mayEject(place: PlaceState): boolean {
		const pool = [...this.places.values()].filter(other => other.linked && other.pool === place.pool);
		return pool.filter(other => other.ejection.ejectedUntil > 0).length < pool.length / 2;
	}

	/** Records an order for a task, reserves its resources and returns the start. */
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

	/** Removes a job, stops its runs and answers its caller. */
	private finish(activeJob: ActiveJob, verdict: Verdict, now: number, actions: Action[]): void {
		this.removeJob(activeJob.job.id, now, actions);
		actions.push({
			kind: 'answer', job: activeJob.job.id, verdict, waitedMs: now - activeJob.arrivedAt,
		});
	}

	/** Removes a job and stops its runs. Tasks that may still run are kept as lingering. */
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

	/** Removes an outstanding order and releases its resources at the place. */
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

/** Jobs that can meet their target go first, then the more urgent, then those that have started, then those with the earliest latest start. */
function compareSortKeys(a: SortKey, b: SortKey): number {
	return Number(a.late) - Number(b.late)
		|| a.priority - b.priority
		|| Number(b.hasStarted) - Number(a.hasStarted)
		|| a.latestStartAt - b.latestStartAt;
}

/** Returns the capacity of a place that neither this entry nor others use. */
function freeCapacity({room, others, ownUsage}: PlaceState): Resources {
	return {
		cpu: room.cpu - others.cpu - ownUsage.cpu,
		memoryMb: room.memoryMb - others.memoryMb - ownUsage.memoryMb,
		accelerators: room.accelerators - others.accelerators - ownUsage.accelerators,
	};
}
