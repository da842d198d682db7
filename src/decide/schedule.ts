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
const settlingMs = 3000;
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
const paceSteps = 5;
const avoidFactor = 8;
/** What a task takes beyond its run, in milliseconds: the way there and back, and its start. */
const overheadMs = 10;
/** How long a place that refused for want of room gets nothing, in milliseconds, unless it tells of room before. */
const fullMs = 15;
/** How many places of a pool are asked for room at a time: enough that some soon has room, few enough to cost little where there are hundreds. */
const wantMost = 16;
/** How long a task waits whose name still runs for somebody else, in milliseconds. */
const duplicateMs = 120;
/** How long a place without a link is remembered, in milliseconds: machines come and go for years. */
const placeKeptMs = 600_000;
/** How long a job of which something may have run is remembered after its end, in milliseconds: callers submit again after 1300, and for as long as they wait. */
const begunKeptMs = 30_000;
/** Bounds of the time after which a refused caller is told to come back, in milliseconds. */
const retryLeastMs = 1000;
const retryMostMs = 5000;

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
	state: 'waiting' | 'placed' | 'limbo' | 'done';
	ref: number;
	place: string;
	placedAt: number;
	/** Until when it is not placed. */
	notBefore: number;
	failures: number;
	/** Where it failed last. */
	avoid: string;
	stopped: boolean;
};

type Live = {
	job: Job;
	tasks: Task[];
	arrivedAt: number;
	deadline: number;
	/** When nothing was placed by then, the job is refused. */
	patientUntil: number;
	/** Orders by this: when the longest task must begin to be in time. */
	rank: number;
	/** The expected time of its longest task, in milliseconds. */
	longestMs: number;
	/** When its last task should have ended to be in time. */
	objectiveAt: number;
	/** Whether anything of it may have run under an earlier submission that is over. */
	ranBefore: boolean;
	/** Whether anything of it may have run, also under an earlier submission that may not be over. */
	ran: boolean;
};

type Place = PlaceReport & {
	id: string;
	linked: boolean;
	mine: Resources;
	/** Orders that are not settled. */
	sent: number;
	/** When its link was lost last. */
	downAt: number;
	health: Ejection;
	notBefore: number;
	/** Whether it was told that something waits for its room, and has not offered any since. */
	wanted: boolean;
};

/** Lack is what a pool had no room for: no more than each of the tasks there takes, and the most urgent of them. */
type Lack = {least: Resources; live: Live; task: Task};

type Fading = {ref: number; place: string; until: number; lost: boolean};

/** Standing is what decides the order of a job among others at a time; `late`: it has not begun and can't be in time any more. */
type Standing = {late: boolean; priority: number; begun: boolean; rank: number};

type Sent = {live: Live; task: Task; place: string; room: Resources};

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

	private readonly jobs = new Map<string, Live>();
	private readonly places = new Map<string, Place>();
	private readonly sent = new Map<number, Sent>();
	/** Names of tasks whose jobs have ended and that may still run, so that a job submitted again starts none of them twice. */
	private readonly fading = new Map<string, Fading>();
	/** Places that went down since they last said that all before is over. */
	private readonly lost = new Set<string>();
	/** Jobs that ended after something of them may have run, and until when that is remembered: the oldest first. */
	private readonly begun = new Map<string, number>();
	/** What waits for room since the last look at all places, by pool. */
	private readonly lacks = new Map<string, Lack>();
	private out: ReadonlySet<string> = new Set();
	/** By when all must have ended because the entry stops. */
	private stopsAt = Number.POSITIVE_INFINITY;
	/** When the first place was heard of. */
	private foundAt = Number.POSITIVE_INFINITY;

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
		return [...this.jobs.values()].filter(({job, ran, tasks}) => (route === undefined || job.route === route)
			&& !ran && tasks.every(({state}) => state === 'waiting')).length;
	}

	/** Says whether a job is under way, and if so whether it has begun. */
	jobState(id: string): 'queued' | 'running' | undefined {
		const live = this.jobs.get(id);
		if (!live) {
			return undefined;
		}

		return live.ran || live.tasks.some(({state}) => state !== 'waiting') ? 'running' : 'queued';
	}

	/** Returns the names of the tasks that are sent to a place. */
	outstandingTasks(place: string): string[] {
		return [...this.sent.values()].filter(sent => sent.place === place).map(({task}) => task.spec.name);
	}

	/** The number of orders to a place that are not settled. */
	outstandingAt(place: string): number {
		return this.places.get(place)?.sent ?? 0;
	}

	/** Returns the name of the task that was sent under a reference, if it is not settled. */
	taskName(ref: number): string | undefined {
		return this.sent.get(ref)?.task.spec.name;
	}

	/** When the next job that has not begun has waited long enough; infinite when there is none. */
	get nextRefusalAt(): number {
		let due = Number.POSITIVE_INFINITY;
		for (const live of this.jobs.values()) {
			due = this.hasRun(live) ? due : Math.min(due, live.patientUntil);
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
				this.drop(event.job, now, actions);
				break;
			}

			case 'cancel': {
				const live = this.jobs.get(event.job);
				if (live) {
					this.finish(live, {kind: 'cancelled'}, now, actions);
				}

				break;
			}

			case 'told': {
				this.foundAt = Math.min(this.foundAt, now);
				this.told(event.place, event.report, now);
				this.fill(event.place, now, actions);
				break;
			}

			case 'room': {
				const place = this.places.get(event.place);
				if (place) {
					place.others = event.others;
					place.notBefore = 0;
					this.fill(event.place, now, actions);
				}

				break;
			}

			case 'offered': {
				const place = this.places.get(event.place);
				if (place) {
					place.wanted = false;
				}

				break;
			}

			case 'down': {
				this.down(event.place, now);
				break;
			}

			case 'clear': {
				this.clear(event.place, now, actions);
				break;
			}

			case 'refused': {
				this.refused(event, now, actions);
				break;
			}

			case 'ended': {
				this.ended(event, now, actions);
				this.fill(event.place, now, actions);
				break;
			}

			case 'zones': {
				this.out = event.out;
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
			spec, state: 'waiting', ref: 0, place: '', placedAt: 0, notBefore: 0, failures: 0, avoid: '', stopped: false,
		})).toSorted((a, b) => b.spec.estimateMs - a.spec.estimateMs);
		const longestMs = this.estimator.expectedMs(job.route, tasks[0]?.spec.estimateMs ?? 0);
		const objective = job.aimMs + (job.stretch * longestMs);
		const live: Live = {
			job,
			tasks,
			arrivedAt: now,
			deadline: now + job.leftMs,
			patientUntil: now + (objective * (this.isSettling(now) ? this.policy.settlingShare : this.policy.patienceShare)),
			rank: now + objective - longestMs,
			longestMs,
			objectiveAt: now + objective,
			ranBefore: this.hasBegun(job.id, now),
			ran: tasks.some(({spec}) => this.mayStillRun(spec.name, now)),
		};
		const why = this.objection(live, now);
		if (why) {
			actions.push({
				kind: 'answer', job: job.id, verdict: this.giveUp(live, why, now), waitedMs: 0,
			});
			return;
		}

		this.jobs.set(job.id, live);
		this.place(now, actions);
	}

	private objection(live: Live, now: number): JobRefusal | undefined {
		const {job, tasks, patientUntil, arrivedAt, longestMs} = live;
		if (patientUntil + (longestMs * this.policy.margin) > this.stopsAt) {
			return 'stopping';
		}

		if (this.isSettling(now)) {
			return undefined;
		}

		const open = [...this.places.values()].filter(place => place.pool === job.pool && this.isOpen(place));
		if (open.length === 0 || !tasks.every(({spec}) => open.some(({room}) => fits(spec.resources, room)))) {
			return 'no-place';
		}

		return this.expectedMs(live, now) > patientUntil - arrivedAt ? 'overloaded' : undefined;
	}

	/** Estimates how long what goes before a job takes, worked off at the part of the rate of its pool's places that comes to this entry. */
	private expectedMs(live: Live, now: number): number {
		const {pool} = live.job;
		const standing = this.standing(live, now);
		let work = 0;
		for (const other of this.jobs.values()) {
			const {job, tasks} = other;
			if (job.pool !== pool || precedence(this.standing(other, now), standing) > 0) {
				continue;
			}

			for (const task of tasks) {
				work += task.state === 'waiting' ? task.spec.resources.cpu * this.estimator.expectedMs(job.route, task.spec.estimateMs) : 0;
			}
		}

		let rate = 0;
		let mine = 0;
		let others = 0;
		for (const place of this.places.values()) {
			if (place.pool === pool && this.isOpen(place)) {
				rate += place.room.cpu / this.estimator.slowness(place.id);
				mine += place.mine.cpu;
				others += place.others.cpu;
			}
		}

		const share = mine + others === 0 ? 1 : Math.max(this.policy.shareLeast, mine / (mine + others));
		return rate === 0 ? 0 : work / (rate * share);
	}

	private isSettling(now: number): boolean {
		return now - this.foundAt < settlingMs;
	}

	/** A job of which something may have run, also under an earlier submission, is never told not to have run. */
	private giveUp(live: Live, why: JobRefusal, now: number): Verdict {
		if (live.ranBefore || this.hasRun(live)) {
			return {kind: 'expired'};
		}

		const inputs = {
			expectedMs: Math.round(this.expectedMs(live, now)), patienceMs: Math.round(live.patientUntil - live.arrivedAt), waiting: this.pendingJobs(), ...this.placeCounts,
		};
		return {
			kind: 'refused', why, retryMs: this.retryMs(), inputs,
		};
	}

	private retryMs(): number {
		return Math.min(retryMostMs, retryLeastMs + (this.pendingJobs() * 50));
	}

	private told(id: string, report: PlaceReport, now: number): void {
		const known = this.places.get(id);
		const place = known ?? {
			...report, id, linked: true, mine: {cpu: 0, memoryMb: 0, accelerators: 0}, sent: 0, downAt: now, health: notEjected, notBefore: 0, wanted: false, isFailing: false,
		};
		this.places.set(id, place);
		if (report.isFailing !== place.isFailing) {
			place.health = recordReport(place.health, report.isFailing, now, this.mayEject(place));
		}

		Object.assign(place, report, {hindrance: report.hindrance, linked: true, notBefore: 0});
	}

	private down(id: string, now: number): void {
		this.lost.add(id);
		const place = this.places.get(id);
		if (place) {
			place.linked = false;
			place.wanted = false;
			place.downAt = now;
		}

		this.forgetPlaces(now);

		for (const fading of this.fading.values()) {
			if (fading.place === id && !fading.lost) {
				fading.lost = true;
				fading.until = now + maxRunAfterLinkLossMs;
			}
		}

		for (const [ref, {live, task, place: at}] of this.sent) {
			if (at !== id) {
				continue;
			}

			if (task.ref === ref && task.state === 'placed' && this.jobs.get(live.job.id) === live) {
				live.ran = true;
				task.state = 'limbo';
				task.notBefore = now + maxRunAfterLinkLossMs;
			} else if (task.ref !== ref || task.state !== 'limbo') {
				this.take(ref, id);
			}
		}
	}

	private forgetPlaces(now: number): void {
		for (const {id, linked, sent, downAt} of this.places.values()) {
			if (!linked && sent === 0 && now - downAt > placeKeptMs) {
				this.places.delete(id);
				this.lost.delete(id);
			}
		}

		this.estimator.prune(place => this.places.has(place));
	}

	/** Takes back all tasks that were sent to the place and whose fate was unknown. */
	private clear(id: string, now: number, actions: Action[]): void {
		// Said with each message of a place, so it must cost nothing where nothing was lost.
		if (!this.lost.delete(id)) {
			return;
		}

		for (const [name, {place, lost}] of this.fading) {
			if (place === id && lost) {
				this.fading.delete(name);
			}
		}

		for (const [ref, {task, place: at}] of this.sent) {
			if (at === id && task.ref === ref && task.state === 'limbo') {
				this.requeue(task, now);
			}
		}

		this.place(now, actions);
	}

	private refused({place: id, ref, why}: {place: string; ref: number; why: StartRefusal}, now: number, actions: Action[]): void {
		const sent = this.take(ref, id);
		this.unfade(sent, ref, now, actions);
		const place = this.places.get(id);
		if (place && why !== 'duplicate' && why !== 'withdrawn') {
			place.notBefore = now + fullMs;
		}

		if (sent?.task.ref === ref && sent.task.state === 'placed') {
			sent.task.state = 'waiting';
			sent.task.notBefore = why === 'duplicate' ? now + duplicateMs : 0;
			if (this.jobs.get(sent.live.job.id) === sent.live) {
				this.placeJob(sent.live, now, actions);
			}
		}
	}

	private ended({
		place: id, ref, outcome, ranMs,
	}: {place: string; ref: number; outcome: Outcome; ranMs: number}, now: number, actions: Action[]): void {
		const sent = this.take(ref, id);
		this.unfade(sent, ref, now, actions);
		if (!sent) {
			return;
		}

		const {live, task} = sent;
		const {route} = live.job;
		const place = this.places.get(id);
		if (place && outcome !== 'lost') {
			place.health = recordResult(place.health, outcome === 'done', now, this.mayEject(place));
		}

		if (outcome === 'done') {
			this.estimator.observe({
				route, place: id, ranMs, declaredMs: Math.max(1, task.spec.estimateMs),
			});
		}

		if (task.ref !== ref || task.state !== 'placed' || this.jobs.get(live.job.id) !== live) {
			return;
		}

		live.ran = true;
		switch (outcome) {
			case 'done': {
				task.state = 'done';
				if (live.tasks.every(({state}) => state === 'done')) {
					this.finish(live, {kind: 'completed'}, now, actions);
				}

				break;
			}

			case 'failed': {
				task.failures++;
				task.avoid = id;
				this.requeue(task, now);
				if (task.failures >= live.job.attempts) {
					this.finish(live, {kind: 'failed'}, now, actions);
				} else {
					this.placeJob(live, now, actions);
				}

				break;
			}

			case 'lost': {
				task.avoid = id;
				this.requeue(task, now);
				this.placeJob(live, now, actions);
				break;
			}
		}
	}

	/** Says whether something may have run of a job that was submitted here before. */
	private hasBegun(id: string, now: number): boolean {
		for (const [other, until] of this.begun) {
			if (now < until) {
				break;
			}

			this.begun.delete(other);
		}

		return this.begun.has(id);
	}

	private tick(now: number, actions: Action[]): void {
		for (const [name, {until}] of this.fading) {
			if (now >= until) {
				this.fading.delete(name);
			}
		}

		for (const live of this.jobs.values()) {
			if (now >= live.deadline) {
				this.finish(live, this.giveUp(live, 'overloaded', now), now, actions);
				continue;
			}

			if (now >= live.patientUntil && !this.hasRun(live)) {
				this.finish(live, this.giveUp(live, this.placeCounts.open === 0 ? 'no-place' : 'overloaded', now), now, actions);
				continue;
			}

			for (const task of live.tasks) {
				this.watch(live, task, now, actions);
			}
		}

		this.place(now, actions);
	}

	/** Takes back what is certainly over, and stops what hangs. */
	private watch(live: Live, task: Task, now: number, actions: Action[]): void {
		if (task.state === 'limbo' && now >= task.notBefore) {
			this.requeue(task, now);
			return;
		}

		if (task.state !== 'placed' || task.stopped) {
			return;
		}

		const expected = this.estimator.expectedMs(live.job.route, task.spec.estimateMs) * this.estimator.slowness(task.place);
		if (now - task.placedAt > (expected * hangFactor) + hangMs) {
			task.stopped = true;
			const place = this.places.get(task.place);
			if (place) {
				place.health = recordResult(place.health, false, now, this.mayEject(place));
			}

			actions.push({
				kind: 'stop', place: task.place, ref: task.ref, hung: true,
			});
		}
	}

	private requeue(task: Task, now: number): void {
		this.take(task.ref, task.place);
		task.state = 'waiting';
		task.stopped = false;
		task.notBefore = now;
	}

	private hasRun({ran, tasks}: Live): boolean {
		return ran || tasks.some(({state}) => state !== 'waiting');
	}

	/** The jobs with tasks that wait, first what goes first. */
	private waiting(now: number, pool?: string): Live[] {
		return [...this.jobs.values()]
			.filter(({job, tasks}) => (pool === undefined || job.pool === pool) && tasks.some(({state}) => state === 'waiting'))
			.map(live => ({live, standing: this.standing(live, now)}))
			.toSorted((a, b) => precedence(a.standing, b.standing))
			.map(({live}) => live);
	}

	/** Places all that waits, as far as there is room. */
	private place(now: number, actions: Action[]): void {
		this.lacks.clear();
		for (const live of this.waiting(now)) {
			const task = this.placeTasks(live, now, actions);
			if (task) {
				this.note(live, task);
			}
		}

		for (const lack of this.lacks.values()) {
			this.want(lack, now, actions);
		}
	}

	/** Places the tasks of one job that wait again, when all others that wait have found no room. */
	private placeJob(live: Live, now: number, actions: Action[]): void {
		const task = this.placeTasks(live, now, actions);
		if (task) {
			this.note(live, task);
			this.want(this.lacks.get(live.job.pool)!, now, actions);
		}
	}

	/** Fills the room of one place, after what is known of it has changed. Nothing that waits has found room elsewhere. */
	private fill(id: string, now: number, actions: Action[]): void {
		const place = this.places.get(id);
		const lack = place && this.lacks.get(place.pool);
		if (!lack || !this.isUsable(place, now)) {
			return;
		}

		if (fits(lack.least, freeRoom(place))) {
			this.lacks.delete(place.pool);
			for (const live of this.waiting(now, place.pool)) {
				const task = this.placeTasks(live, now, actions, place);
				if (task) {
					this.note(live, task);
				}
			}
		}

		const left = this.lacks.get(place.pool);
		if (left) {
			this.want(left, now, actions);
		}
	}

	/** Takes in that a task has found no room. */
	private note(live: Live, task: Task): void {
		const {resources: room} = task.spec;
		const lack = this.lacks.get(live.job.pool);
		if (!lack) {
			this.lacks.set(live.job.pool, {least: {...room}, live, task});
			return;
		}

		lack.least.cpu = Math.min(lack.least.cpu, room.cpu);
		lack.least.memoryMb = Math.min(lack.least.memoryMb, room.memoryMb);
		lack.least.accelerators = Math.min(lack.least.accelerators, room.accelerators);
	}

	/** Asks the places of a pool for room for the most urgent task that has found none. */
	private want({live, task}: Lack, now: number, actions: Action[]): void {
		if (task.state !== 'waiting' || !this.jobs.has(live.job.id)) {
			return;
		}

		const {job: {pool}, rank} = live;
		const {resources: room} = task.spec;
		let asked = 0;
		for (const place of this.places.values()) {
			if (place.pool !== pool || !this.isOpen(place) || !fits(room, place.room)) {
				continue;
			}

			if (++asked > wantMost) {
				return;
			}

			if (!place.wanted) {
				place.wanted = true;
				actions.push({
					kind: 'want', place: place.id, resources: room, dueMs: Math.round(rank - now),
				});
			}
		}
	}

	/** What decides the order of a job among others at a time. */
	private standing(live: Live, now: number): Standing {
		const hasRun = this.hasRun(live);
		return {
			late: this.policy.lateLast && now > live.rank && !hasRun,
			priority: this.policy.urgentFirst ? live.job.priority : 0,
			begun: this.policy.begunFirst && hasRun,
			rank: live.rank,
		};
	}

	/** Places the tasks of a job that wait, the longest first, as far as there is room. Returns the first for which there is none. */
	private placeTasks(live: Live, now: number, actions: Action[], only?: Place): Task | undefined {
		const lack = this.lacks.get(live.job.pool);
		for (const task of live.tasks) {
			if (task.state === 'waiting' && now >= task.notBefore && !this.mayStillRun(task.spec.name, now)) {
				// What is at least as large as a task that has just found no room finds none either.
				const isHopeless = lack !== undefined && fits(lack.task.spec.resources, task.spec.resources);
				const place = isHopeless ? undefined : this.choose(live, task, now, only);
				if (!place) {
					return task;
				}

				actions.push(this.send(live, task, place, now));
			}
		}

		return undefined;
	}

	/** Takes in that what ran under a name is over, so that a job submitted again may start it. */
	private unfade(sent: Sent | undefined, ref: number, now: number, actions: Action[]): void {
		if (sent && this.fading.get(sent.task.spec.name)?.ref === ref) {
			this.fading.delete(sent.task.spec.name);
			this.place(now, actions);
		}
	}

	private mayStillRun(name: string, now: number): boolean {
		const fading = this.fading.get(name);
		if (fading && now >= fading.until) {
			this.fading.delete(name);
			return false;
		}

		return fading !== undefined;
	}

	/**
	 * Chooses among the places with room: of those where the task should end in time the one with the
	 * largest part of its room free, so that entries which see the same places seldom choose the same;
	 * where it would end in time at none, the fastest.
	 */
	private choose(live: Live, task: Task, now: number, only?: Place): Place | undefined {
		const {job, objectiveAt} = live;
		const usualMs = this.estimator.expectedMs(job.route, task.spec.estimateMs);
		let best: {place: Place; late: number; cost: number} | undefined;
		for (const place of only ? [only] : this.places.values()) {
			if (place.pool !== job.pool || !this.isUsable(place, now)) {
				continue;
			}

			const free = freeRoom(place);
			if (!fits(task.spec.resources, free)) {
				continue;
			}

			const runMs = usualMs * this.estimator.slowness(place.id);
			const avoided = place.id === task.avoid;
			const freeShare = free.cpu / place.room.cpu;
			const late = this.policy.spread && !avoided && now + (runMs * this.policy.margin) + overheadMs <= objectiveAt ? 0 : 1;
			const slowness = Math.round(runMs * paceSteps / usualMs) * (avoided ? avoidFactor : 1);
			const cost = late === 0 ? -freeShare : slowness - (freeShare / 10);
			if (!best || late < best.late || (late === best.late && cost < best.cost)) {
				best = {place, late, cost};
			}
		}

		return best?.place;
	}

	private isOpen(place: Place): boolean {
		return place.linked && place.hindrance === undefined && !this.out.has(place.zone);
	}

	private isUsable(place: Place, now: number): boolean {
		return now >= place.notBefore && this.isOpen(place) && this.mayTry(place, now);
	}

	private mayTry(place: Place, now: number): boolean {
		switch (availabilityOf(place.health, now)) {
			case 'open': {
				return true;
			}

			case 'probe': {
				return place.mine.cpu === 0;
			}

			case 'closed': {
				return false;
			}
		}
	}

	private mayEject(place: Place): boolean {
		const pool = [...this.places.values()].filter(other => other.linked && other.pool === place.pool);
		return pool.filter(other => other.health.ejectedUntil > 0).length < pool.length / 2;
	}

	private send(live: Live, task: Task, place: Place, now: number): Action {
		const ref = this.nextRef++;
		task.state = 'placed';
		task.ref = ref;
		task.place = place.id;
		task.placedAt = now;
		task.stopped = false;
		this.sent.set(ref, {
			live, task, place: place.id, room: task.spec.resources,
		});
		addResources(place.mine, task.spec.resources, 1);
		place.sent++;
		if (availabilityOf(place.health, now) === 'probe') {
			place.health = startProbe(place.health);
		}

		return {
			kind: 'start', place: place.id, ref, job: live.job, task: task.spec,
		};
	}

	/** Ends a job with an answer, and stops what runs of it. */
	private finish(live: Live, verdict: Verdict, now: number, actions: Action[]): void {
		this.drop(live.job.id, now, actions);
		actions.push({
			kind: 'answer', job: live.job.id, verdict, waitedMs: now - live.arrivedAt,
		});
	}

	private drop(id: string, now: number, actions: Action[]): void {
		const live = this.jobs.get(id);
		if (!live) {
			return;
		}

		this.jobs.delete(id);
		if (live.ranBefore || this.hasRun(live)) {
			this.begun.delete(id);
			this.begun.set(id, now + begunKeptMs);
		}

		for (const task of live.tasks) {
			const {state, ref, place} = task;
			if (state === 'placed') {
				this.fading.set(task.spec.name, {
					ref, place, until: Number.POSITIVE_INFINITY, lost: false,
				});
				if (!task.stopped) {
					actions.push({
						kind: 'stop', place, ref, hung: false,
					});
				}
			} else if (state === 'limbo') {
				this.fading.set(task.spec.name, {
					ref, place, until: task.notBefore, lost: true,
				});
				this.take(ref, place);
			}
		}
	}

	/** Forgets an order, and gives its room back. */
	private take(ref: number, place: string): Sent | undefined {
		const sent = this.sent.get(ref);
		if (sent?.place !== place) {
			return undefined;
		}

		this.sent.delete(ref);
		const at = this.places.get(place);
		if (at) {
			addResources(at.mine, sent.room, -1);
			at.sent--;
		}

		return sent;
	}
}

/** What can be in time goes first, then what is more urgent, then what has begun, then what must begin soonest to be in time. */
function precedence(a: Standing, b: Standing): number {
	return Number(a.late) - Number(b.late)
		|| a.priority - b.priority
		|| Number(b.begun) - Number(a.begun)
		|| a.rank - b.rank;
}

function freeRoom({room, others, mine}: Place): Resources {
	return {
		cpu: room.cpu - others.cpu - mine.cpu,
		memoryMb: room.memoryMb - others.memoryMb - mine.memoryMb,
		accelerators: room.accelerators - others.accelerators - mine.accelerators,
	};
}
