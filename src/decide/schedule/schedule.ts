import {commonCauseMs} from '../crash-history.js';
import {decideMove} from '../departure.js';
import {DurationEstimator} from '../duration-estimator.js';
import type {Outcome, StartRefusal} from '../guard.js';
import {
	hasStarted, isWaitingForRack, type ActiveJob, type Task,
} from './active-job.js';
import {Admission} from './admission.js';
import {Demand} from './demand.js';
import {Isolation} from './isolation.js';
import {Jobs} from './jobs.js';
import {LostRuns, maxRunAfterLinkLossMs} from './lost-runs.js';
import {Orders, type OutstandingOrder} from './orders.js';
import {inOrder} from './ordering.js';
import {Placement} from './placement.js';
import {freeCapacity, Places, type PlaceState} from './places.js';
import {Reservations} from './reservations.js';
import {
	usualPolicy, type Action, type CrashNotice, type Event, type Job, type Policy, type Verdict,
} from './types.js';
import {WorkerKnowledge} from './worker-knowledge.js';

export {maxRunAfterLinkLossMs} from './lost-runs.js';
export * from './types.js';

/** How long a place gets no work after it refused an order, in milliseconds, unless it reports its capacity before. */
const refusalBackoffMs = 15;
/** How long a task waits that was refused because a run of the same name is still under way, in milliseconds. */
const duplicateRetryMs = 120;

/**
 * Schedule is the scheduler of one entry: it does admission control, ordering and placement of its jobs. It handles
 * the events and holds the jobs under way; each decision has a module of its own.
 *
 * - Admission (`admission.ts`) compares the expected queueing time with the wait that the policy allows. Near and
 *   above the capacity of the workers, a job that would wait too long is better refused at once. An admitted
 *   job is refused at `refuseAt` if none of its tasks was placed by then.
 * - Ordering (`ordering.ts`): waiting jobs are sorted by `compareSortKeys`, at last by when they must start to be in time.
 * - Placement (`placement.ts`, `places.ts`, `orders.ts`) picks a place with free capacity and reserves it until the
 *   order is removed. The sidecar decides whether the task starts; entries don't coordinate, so it may refuse.
 * - Demand (`demand.ts`): tasks that fit nowhere are summarised by pool, and places are asked for capacity.
 *   These tasks have been tried at all places, so when one place changes, `fillPlace` tries only that one.
 * - Workers (`worker-knowledge.ts`): by their kinds, racks and notice of leaving it tells how long a run takes and when it hangs.
 * - Reservations (`reservations.ts`): where tasks differ in size, a place is asked to keep capacity for a large one.
 * - Isolation (`isolation.ts`): tasks under which workers crash are given up, and their routes are confined to a few places.
 * - Single runs (`lost-runs.ts`): a task is not started while a run of it may be under way. A lost link makes its
 *   tasks `unknown` until the place confirms their end or `maxRunAfterLinkLossMs` has passed. Tasks that may outlive
 *   their job are remembered, so that a job submitted again does not start them twice.
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

	private readonly jobs = Jobs.create();
	private readonly places = Places.create();
	private readonly orders = Orders.create(this.places, this.jobs);
	private readonly lostRuns = LostRuns.create();
	private readonly isolation: Isolation;
	private readonly reservations: Reservations;
	private readonly demand: Demand;
	private readonly admission: Admission;
	private readonly placement: Placement;
	private readonly workers: WorkerKnowledge;

	private arrivals = 0;

	private constructor(private readonly policy: Policy) {
		const {places, estimator, jobs} = this;
		const isolation = Isolation.create({policy, places});
		this.isolation = isolation;
		this.admission = Admission.create({
			policy, places, estimator, jobs, isolation,
		});
		this.workers = WorkerKnowledge.create(policy, places, estimator);
		this.reservations = Reservations.create({
			policy, places, jobs, workers: this.workers, isolation,
		});
		this.demand = Demand.create(places, jobs, this.reservations, isolation);
		this.placement = Placement.create({
			policy, places, estimator, workers: this.workers, reservations: this.reservations, isolation,
		});
	}

	get jobCount(): number {
		return this.jobs.size;
	}

	/** The number of tasks of all jobs under way, those that have ended included. */
	get taskCount(): number {
		return this.jobs.taskCount;
	}

	/** The number of places with a link, and of those that are open to work: no reason against it reported, and in an available zone. */
	get placeCounts(): {linked: number; open: number} {
		return this.places.counts;
	}

	/** Returns the number of jobs of a route, or of all routes, that have not started. */
	pendingJobs(route?: string): number {
		return this.jobs.pendingCount(route);
	}

	/** Returns whether a job is queued or has started; undefined when it is not under way. */
	jobState(id: string): 'queued' | 'running' | undefined {
		const activeJob = this.jobs.get(id);
		if (!activeJob) {
			return undefined;
		}

		return hasStarted(activeJob) ? 'running' : 'queued';
	}

	/** Returns the names of the tasks with an outstanding order at a place. */
	outstandingTasks(place: string): string[] {
		return this.orders.at(place).map(([, {task}]) => task.spec.name);
	}

	/** Returns the number of outstanding orders at a place. */
	outstandingAt(place: string): number {
		return this.places.get(place)?.outstandingOrders ?? 0;
	}

	/** Returns the task name of an outstanding order. */
	taskName(ref: number): string | undefined {
		return this.orders.get(ref)?.task.spec.name;
	}

	/** Returns when the task of an order was last placed, in monotonic milliseconds. */
	placedAt(ref: number): number | undefined {
		return this.orders.get(ref)?.task.placedAt;
	}

	/** Whether jobs of a pool may name the rack of their data. */
	servesDataRack(pool: string): boolean {
		return this.workers.isOn(pool);
	}

	/** When the next job is due to be refused unless it starts; infinite when there is none. */
	get nextRefusalAt(): number {
		return this.jobs.nextRefusalAt;
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
				this.admission.placeReported(now);
				this.workers.placeReported(this.places.update(event.place, event.report, now));
				this.fillPlace(event.place, now, actions);
				break;
			}

			case 'room': {
				this.handleRoom(event, now, actions);
				break;
			}

			case 'offered': {
				const place = this.places.get(event.place);
				if (place) {
					place.capacityRequested = false;
					this.reservations.offered(event.place, now);
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

			case 'crashed': {
				this.handleCrash(event, now, actions);
				break;
			}

			case 'zones': {
				this.places.unavailableZones = event.out;
				break;
			}

			case 'stopping': {
				this.admission.stopsAt = event.until;
				break;
			}

			case 'giveUp': {
				for (const activeJob of this.jobs.all()) {
					this.finish(activeJob, this.admission.verdictOnGivingUp(activeJob, 'stopping', now), now, actions);
				}

				break;
			}

			case 'tick': {
				this.tick(now, actions);
				break;
			}
		}

		return actions;
	}

	private handleRoom({
		place: name, others, releases, reserved,
	}: Event & {kind: 'room'}, now: number, actions: Action[]): void {
		const place = this.places.get(name);
		if (place) {
			place.others = others;
			place.outlook = releases !== undefined || reserved !== undefined ? {releases: releases ?? [], reserved, at: now} : undefined;
			place.notBefore = 0;
			this.fillPlace(name, now, actions);
		}
	}

	/** Acts on what a crash shows. Its tasks are placed again by the `ended` events that follow. */
	private handleCrash(event: Event & {kind: 'crashed'}, now: number, actions: Action[]): void {
		const notices = this.isolation.crashed(event, now);
		if (notices) {
			this.isolate(notices, now, actions);
		}
	}

	/** Reports what was found out about crashes, and gives up the jobs whose tasks crash workers. */
	private isolate(notices: readonly CrashNotice[], now: number, actions: Action[]): void {
		actions.push(...notices.map((notice): Action => ({kind: 'notice', notice})));
		for (const activeJob of this.jobs.all()) {
			if (this.isolation.isGivenUp(activeJob, now)) {
				this.finish(activeJob, {kind: 'failed'}, now, actions);
			}
		}

		if (notices.some(({kind}) => kind === 'quarantine')) {
			this.placeAll(now, actions);
		}
	}

	private submit(job: Job, now: number, actions: Action[]): void {
		const tasks = job.tasks.map((spec): Task => ({
			spec, state: 'waiting', ref: 0, place: '', placedAt: 0, notBefore: 0, failures: 0, lastFailedPlace: '', stopSent: false,
		})).toSorted((a, b) => b.spec.estimateMs - a.spec.estimateMs);
		const longestMs = this.estimator.expectedMs(job.route, tasks[0]?.spec.estimateMs ?? 0);
		const objective = job.aimMs + (job.stretch * longestMs);
		const hasCrashed = this.isolation.hasRun(job);
		const activeJob: ActiveJob = {
			job,
			sequence: ++this.arrivals,
			tasks,
			waitingTasks: tasks.length,
			waitingWork: undefined,
			arrivedAt: now,
			deadline: now + job.leftMs,
			// A task under which a worker has crashed may be held until the cause of the crash is known.
			refuseAt: now + Math.max(this.admission.patienceMs(objective, now), hasCrashed ? commonCauseMs : 0),
			latestStartAt: now + objective - longestMs,
			longestMs,
			objectiveAt: now + objective,
			mayHaveRunEarlier: hasCrashed || this.lostRuns.mayHaveRunBefore(job.id, now),
			mayHaveRun: tasks.some(({spec}) => this.lostRuns.mayStillRun(spec.name, now)),
		};
		if (this.isolation.isGivenUp(activeJob, now)) {
			actions.push({
				kind: 'answer', job: job.id, verdict: {kind: 'failed'}, waitedMs: 0,
			});
			return;
		}

		const why = this.admission.refusalReason(activeJob, now);
		if (why) {
			actions.push({
				kind: 'answer', job: job.id, verdict: this.admission.verdictOnGivingUp(activeJob, why, now), waitedMs: 0,
			});
			return;
		}

		this.reservations.admitted(job.pool, job.tasks, now);
		this.jobs.add(activeJob);
		this.placeAll(now, actions);
	}

	/** Marks all tasks at a place as possibly still running, until the place confirms their end or the longest run is over. */
	private handleLinkLoss(id: string, now: number): void {
		this.lostRuns.linkLost(id, now);
		this.places.markLinkLost(id, now);
		this.reservations.linkLost(id);
		this.removeOldPlaces(now);
		for (const [ref, {activeJob, task}] of this.orders.at(id)) {
			if (task.ref === ref && task.state === 'placed' && this.jobs.has(activeJob)) {
				activeJob.mayHaveRun = true;
				this.jobs.setState(activeJob, task, 'unknown');
				task.notBefore = now + maxRunAfterLinkLossMs;
			} else if (task.ref !== ref || task.state !== 'unknown') {
				this.orders.remove(ref, id);
			}
		}
	}

	/** Removes the records and learned slowness of places that have been without a link for long. */
	private removeOldPlaces(now: number): void {
		for (const id of this.places.removeOld(now)) {
			this.lostRuns.forgetPlace(id);
		}

		this.estimator.prune(place => this.places.get(place) !== undefined);
		this.workers.prune();
	}

	/** Requeues the tasks of unknown state at a place, which has confirmed that its earlier runs have ended. */
	private handleRunsEnded(id: string, now: number, actions: Action[]): void {
		if (!this.lostRuns.confirmEnds(id)) {
			return;
		}

		for (const [ref, {activeJob, task}] of this.orders.at(id)) {
			if (task.ref === ref && task.state === 'unknown') {
				this.orders.requeue(activeJob, task, now);
			}
		}

		this.placeAll(now, actions);
	}

	private handleRefusal({place: id, ref, why}: {place: string; ref: number; why: StartRefusal}, now: number, actions: Action[]): void {
		const order = this.orders.remove(ref, id);
		this.taskEnded(order, ref, now, actions);
		const place = this.places.get(id);
		if (place && why !== 'duplicate' && why !== 'withdrawn') {
			place.notBefore = now + refusalBackoffMs;
		}

		if (order?.task.ref === ref && order.task.state === 'placed') {
			this.jobs.setState(order.activeJob, order.task, 'waiting');
			order.task.notBefore = why === 'duplicate' ? now + duplicateRetryMs : 0;
			if (this.jobs.has(order.activeJob)) {
				this.placeJob(order.activeJob, now, actions);
			}
		}
	}

	private handleEnd({
		place: id, ref, outcome, ranMs,
	}: {place: string; ref: number; outcome: Outcome; ranMs: number}, now: number, actions: Action[]): void {
		const order = this.orders.remove(ref, id);
		this.taskEnded(order, ref, now, actions);
		if (!order) {
			return;
		}

		const {activeJob, task} = order;
		const place = this.places.get(id);
		if (place && outcome !== 'lost') {
			this.places.recordResult(place, outcome === 'done', now);
		}

		if (place && outcome === 'done') {
			this.workers.runDone({route: activeJob.job.route, task: task.spec, place}, ranMs);
			this.isolation.succeeded(activeJob.job.route);
		}

		if (task.ref !== ref || task.state !== 'placed' || !this.jobs.has(activeJob)) {
			return;
		}

		activeJob.mayHaveRun = true;
		switch (outcome) {
			case 'done': {
				this.jobs.setState(activeJob, task, 'done');
				if (activeJob.tasks.every(({state}) => state === 'done')) {
					this.finish(activeJob, {kind: 'completed'}, now, actions);
				}

				break;
			}

			case 'failed': {
				task.failures++;
				task.lastFailedPlace = id;
				this.orders.requeue(activeJob, task, now);
				if (task.failures >= activeJob.job.attempts) {
					this.finish(activeJob, {kind: 'failed'}, now, actions);
				} else {
					this.placeJob(activeJob, now, actions);
				}

				break;
			}

			case 'lost': {
				task.lastFailedPlace = id;
				this.orders.requeue(activeJob, task, now);
				this.placeJob(activeJob, now, actions);
				break;
			}
		}
	}

	private tick(now: number, actions: Action[]): void {
		this.lostRuns.expire(now);
		if (!this.isolation.isIdle) {
			this.isolate(this.isolation.review(now), now, actions);
		}

		for (const activeJob of this.jobs.all()) {
			if (now >= activeJob.deadline) {
				this.finish(activeJob, this.admission.verdictOnGivingUp(activeJob, 'overloaded', now), now, actions);
				continue;
			}

			if (now >= activeJob.refuseAt && !hasStarted(activeJob) && !this.placeInsteadOfRack(activeJob, now, actions)) {
				this.admission.refusedLate(activeJob);
				this.finish(activeJob, this.admission.verdictOnGivingUp(activeJob, this.placeCounts.open === 0 ? 'no-place' : 'overloaded', now), now, actions);
				continue;
			}

			for (const task of activeJob.tasks) {
				this.checkTask(activeJob, task, now, actions);
			}
		}

		this.placeAll(now, actions);
	}

	/** Requeues a task of unknown state once it can no longer run, and stops one that hangs or whose worker leaves before it can end. */
	private checkTask(activeJob: ActiveJob, task: Task, now: number, actions: Action[]): void {
		if (task.state === 'unknown' && now >= task.notBefore) {
			this.orders.requeue(activeJob, task, now);
			return;
		}

		if (task.state !== 'placed' || task.stopSent) {
			return;
		}

		const place = this.places.get(task.place);
		if (!place) {
			return;
		}

		const run = {route: activeJob.job.route, task: task.spec, place};
		const limitMs = this.workers.exceededLimitMs(run, now - task.placedAt);
		if (limitMs !== undefined) {
			task.stopSent = true;
			this.workers.runHung(run, limitMs);
			this.places.recordResult(place, false, now);
			actions.push({
				kind: 'stop', place: task.place, ref: task.ref, hung: true,
			});
			return;
		}

		const departure = this.workers.departureOf(activeJob, task, now);
		if (departure && decideMove(departure) === 'move') {
			// Its end is reported as lost, and only then is it placed again.
			task.stopSent = true;
			actions.push({
				kind: 'stop', place: task.place, ref: task.ref, hung: false, departure,
			});
		}
	}

	/** Places waiting tasks of all jobs as far as capacity allows, and requests capacity for the rest. */
	private placeAll(now: number, actions: Action[]): void {
		this.demand.clear();
		this.reservations.review(now, actions);
		for (const activeJob of inOrder(this.jobs.waiting(), this.policy, now)) {
			const task = this.placeTasks(activeJob, now, actions, {inPass: true});
			if (task) {
				this.demand.add(activeJob, task);
			}
		}

		this.demand.requestAll(now, actions);
	}

	/** Places the tasks of a job that is due to be refused and has waited for the rack of its data at other places. Returns whether one was placed. */
	private placeInsteadOfRack(activeJob: ActiveJob, now: number, actions: Action[]): boolean {
		if (activeJob.tasks.every(({rackWaitUntil}) => rackWaitUntil === undefined)) {
			return false;
		}

		this.placeTasks(activeJob, now, actions, {inPass: false});
		return hasStarted(activeJob);
	}

	/** Places the requeued tasks of one job. All other waiting tasks have been tried already. */
	private placeJob(activeJob: ActiveJob, now: number, actions: Action[]): void {
		const task = this.placeTasks(activeJob, now, actions, {inPass: false});
		if (task) {
			this.demand.add(activeJob, task);
			this.demand.request(this.isolation.groupOf(activeJob.job.pool, activeJob.job.route), now, actions);
		}
	}

	/** Places waiting tasks at one place whose state has changed. They have found no capacity elsewhere, so no other place is tried. */
	private fillPlace(id: string, now: number, actions: Action[]): void {
		const place = this.places.get(id);
		if (!place || !this.places.mayReceive(place, now)) {
			return;
		}

		if (this.demand.mayFill(place, freeCapacity(place))) {
			const group = this.isolation.groupOfPlace(place);
			this.demand.clear(group);
			const waiting = this.isolation.isIdle ? this.jobs.waiting(place.pool) : [...this.jobs.waiting(place.pool)].filter(({job}) => this.isolation.groupOf(job.pool, job.route) === group);
			for (const activeJob of inOrder(waiting, this.policy, now)) {
				const task = this.placeTasks(activeJob, now, actions, {inPass: true, only: place});
				if (task) {
					this.demand.add(activeJob, task);
				}
			}
		}

		this.demand.request(this.isolation.groupOfPlace(place), now, actions);
	}

	/**
	 * Places the waiting tasks of a job, the longest first, at any place or at `only`. Returns the first task that found
	 * no capacity. `inPass`: all jobs of the pool are tried one after the other, so capacity only shrinks meanwhile.
	 */
	private placeTasks(activeJob: ActiveJob, now: number, actions: Action[], {inPass, only}: {inPass: boolean; only?: PlaceState}): Task | undefined {
		for (const task of activeJob.tasks) {
			if (task.state === 'waiting' && now >= task.notBefore && !this.lostRuns.mayStillRun(task.spec.name, now) && !this.isolation.isHeld(task, now)) {
				const place = this.isHopeless(activeJob, task, inPass) ? undefined : this.placement.choose(activeJob, task, now, only);
				if (place ? this.placement.waitsForRack(activeJob, task, place, now) : isWaitingForRack(task, now)) {
					this.demand.addRackWaiter(activeJob, task);
					continue;
				}

				if (!place) {
					if (this.isolation.isRestricted(task)) {
						// It has fewer places than others, so that it says nothing of what they find.
						continue;
					}

					return task;
				}

				const start = this.orders.send({activeJob, task, resources: this.isolation.sizeAt(task.spec, place, now)}, place, now);
				this.isolation.sent(task, place.id, now);
				const run = {route: activeJob.job.route, task: task.spec, place};
				actions.push(this.reservations.isActive(place.pool) ? {...start, expectedMs: Math.round(this.workers.runMs(run))} : start);
			}
		}

		return undefined;
	}

	/**
	 * Whether a task finds no capacity because of one that has just found none. Where placement looks ahead, only the
	 * most urgent of those counts: a reservation may have kept a smaller one from a place that is open to this one.
	 */
	private isHopeless({job: {pool, route}}: ActiveJob, {spec}: Task, inPass: boolean): boolean {
		const group = this.isolation.groupOf(pool, route);
		const isBehindAnother = this.policy.arrivalOrder && this.demand.get(group) !== undefined;
		return isBehindAnother || this.demand.isHopeless(group, spec.resources, inPass && !this.reservations.isActive(pool));
	}

	/** Forgets a lingering task when its order has ended, so that a job submitted again may start it. */
	private taskEnded(order: OutstandingOrder | undefined, ref: number, now: number, actions: Action[]): void {
		if (order) {
			this.isolation.ended(order.task.spec.name);
		}

		if (order && this.lostRuns.taskEnded(order.task.spec.name, ref)) {
			this.placeAll(now, actions);
		}
	}

	/** Removes a job, stops its runs and answers its caller. */
	private finish(activeJob: ActiveJob, verdict: Verdict, now: number, actions: Action[]): void {
		this.removeJob(activeJob.job.id, now, actions);
		actions.push({
			kind: 'answer', job: activeJob.job.id, verdict, waitedMs: now - activeJob.arrivedAt,
		});
	}

	/** Removes a job and stops its runs. Tasks that may still run are remembered. */
	private removeJob(id: string, now: number, actions: Action[]): void {
		const activeJob = this.jobs.get(id);
		if (!activeJob) {
			return;
		}

		this.jobs.delete(id);
		if (activeJob.mayHaveRunEarlier || hasStarted(activeJob)) {
			this.lostRuns.recordJobEnd(activeJob, now);
		}

		for (const {state, ref, place, stopSent} of activeJob.tasks) {
			if (state === 'placed' && !stopSent) {
				actions.push({
					kind: 'stop', place, ref, hung: false,
				});
			} else if (state === 'unknown') {
				this.orders.remove(ref, place);
			}
		}
	}
}
