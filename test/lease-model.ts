import {
	Guard, isPollUnanswered, type Action, type Event, type RunRequest, type Worker,
} from '../src/decide/guard.js';
import {defaultLeaseBounds} from '../src/decide/leases.js';
import {nextFence} from '../src/decide/fence.js';
import {WorkerClock} from '../src/decide/worker-clock.js';
import type {
	PollRequest, PollResult, Reply, RunId, StartOrder,
} from '../src/ports/executor.js';
import {
	End, Path, Process, Timeline,
} from './model-network.js';
import {ModelWorker} from './model-worker.js';

/** A job of one task. `sidecar` is where its entry tries first; the caller's connection is reset `resetMs` after the submission, if at all. */
export type Job = {at: number; entry: number; sidecar: number; durationMs: number; resetMs?: number};

/** How calls to a worker fail: `late` ones are carried out `delayMs` later, and their answer comes too late. */
export type CallFault = 'answers lost' | 'calls lost' | 'late';

/** Fault begins at `at` and lasts `forMs`, in milliseconds. `on` is the number of the entry, or of the sidecar or worker. */
export type Fault = {at: number; forMs: number; on: number} & (
	| {kind: 'freeze' | 'kill'; role: 'entry' | 'sidecar'}
	/** The process takes a turn of its event loop only every `everyMs`. */
	| {kind: 'slow'; role: 'entry' | 'sidecar'; everyMs: number}
	| {kind: 'power'; role: 'entry'}
	/** Delivers nothing in the given directions, and then everything in order. */
	| {kind: 'cut'; entry: number; toSidecar: boolean; toEntry: boolean}
	/** Calls wait and are carried out afterwards. Leases go on: the worker's clock and its kills don't stand still. */
	| {kind: 'worker freeze'}
	| {kind: 'worker slow'; eachMs: number}
	| {kind: 'worker restart'; hasSameName: boolean}
	| {kind: 'calls'; how: CallFault; delayMs: number}
	| {kind: 'stops'; how: 'lost' | 'unwell'}
	| {kind: 'reports late'; delayMs: number}
);

export type History = {
	/** The rate of each worker's clock, what it shows at first, how long it takes to kill a run, in milliseconds, and how long a call to it is on its way. */
	workers: ReadonlyArray<{rate: number; clock: number; killMs: number; callMs: number}>;
	/** How long a message between an entry and a sidecar, or between a caller and an entry, is on its way, in milliseconds. */
	linkMs: number;
	jobs: readonly Job[];
	faults: readonly Fault[];
};

/** What a history can reach. */
export const states = [
	'a run when its entry dies',
	'a run when its caller\'s connection is reset',
	'a frozen sidecar with a run whose caller has gone',
	'a sidecar killed with a run whose caller has gone',
	'runs of an earlier sidecar',
	'a late poll',
	'a late start',
	'a start by the clock of an earlier incarnation',
	'an unanswered stop',
	'a refused stop',
	'a worker restart with a run',
	'a cut link with a run',
	'a start refused as stale',
	'a run that lapsed after its caller had gone',
	'a second submission that runs',
] as const;
export type State = (typeof states)[number];

const {longestMs, resubmitMs} = defaultLeaseBounds;
const tickMs = 20;
const inputLagMs = 2 * tickMs;
const sidecarTickMs = 50;
const standstillMs = 250;
const checkMs = 100;
const redialMs = 250;
/** How long an entry waits before it starts the tasks of a lost link again, in milliseconds. */
const lostLinkMs = 2500;
const retryMs = 20;
const maxAttempts = 8;
const orderMs = 60;
const reportMs = 300;
const capacity = {cpu: 3, memoryMb: 100, accelerators: 0};
const task = {cpu: 1, memoryMb: 1, accelerators: 0};
const lost = (absent = false): Reply & PollResult => ({kind: 'unknown', cause: 'lost', absent});

type ToSidecar
	= | {kind: 'hello'; owner: string}
		| {kind: 'start'; ref: number; job: number; submission: number; durationMs: number; date: number}
		| {kind: 'stop'; ref: number}
		| {kind: 'callers'; date: number};
type ToEntry
	= | {kind: 'stamp'; stamp: number}
		| {kind: 'refused'; ref: number; why: string}
		| {kind: 'ended'; ref: number; outcome: string};
/** Host is the machine of a worker, and the network to it. */
class Host {
	static create(world: World, number: number): Host {
		return new Host(world, number);
	}

	readonly worker: ModelWorker;
	isDown = false;
	frozenUntil = 0;
	slow = {until: 0, eachMs: 0};
	stops: {until: number; how: 'lost' | 'unwell'} = {until: 0, how: 'lost'};
	calls: {until: number; how: CallFault; delayMs: number} = {until: 0, how: 'late', delayMs: 0};
	reports = {until: 0, delayMs: 0};
	name: string;
	private advancedTo = 0;
	private readonly rate: number;
	private readonly callMs: number;

	private constructor(private readonly world: World, private readonly number: number) {
		const {rate, clock, killMs, callMs} = world.history.workers[number]!;
		this.rate = rate;
		this.callMs = callMs;
		this.name = `w${number}-1`;
		this.worker = ModelWorker.create(capacity, longestMs, killMs);
		this.worker.advance(clock);
	}

	/** The jobs that run now. */
	get jobs(): number[] {
		this.advance();
		return this.worker.tasks.map(Number);
	}

	advance(): void {
		const {now} = this.world.timeline;
		if (!this.isDown) {
			this.worker.advance((now - this.advancedTo) * this.rate);
		}

		this.advancedTo = now;
	}

	describe(): Worker {
		return {
			incarnation: this.name, born: this.worker.born, pool: 'p', capacity, labels: [], draining: false,
		};
	}

	crash(forMs: number, hasSameName: boolean): void {
		this.advance();
		if (this.worker.tasks.length > 0) {
			this.world.reach('a worker restart with a run');
		}

		this.isDown = true;
		this.worker.restart();
		this.name = hasSameName ? this.name : `w${this.number}-${this.worker.born}`;
		this.world.timeline.at(this.world.timeline.now + forMs, () => {
			this.advance();
			this.isDown = false;
		});
	}

	/** `known` is the incarnation that the sidecar knows. */
	start(process: Process, order: StartOrder & {durationMs: number; submission: number; known: Worker}, resolve: (reply: Reply) => void): void {
		const {durationMs, submission, known} = order;
		this.call({
			kind: 'start', process, life: known.incarnation, withinMs: orderMs,
		}, reply => {
			if (known.born !== this.worker.born) {
				this.world.reach('a start by the clock of an earlier incarnation');
			}

			const isNew = !this.worker.tasks.includes(order.task);
			const answer = this.worker.start(order, {resources: task, durationMs, ending: 'done'});
			if (isNew && answer.kind === 'done') {
				this.world.began(order, submission, this.number);
			}

			reply(answer);
		}, resolve);
	}

	stop(process: Process, {fence, life, ...run}: RunId & {fence: number; life: string}, resolve: (reply: Reply) => void): void {
		this.call({
			kind: 'stop', process, life, withinMs: orderMs,
		}, reply => {
			reply(this.worker.stop(run, fence));
		}, resolve);
	}

	poll(process: Process, {
		fence, leaseUntil, seen, waitMs, marginMs, life,
	}: PollRequest & {life: string}, resolve: (result: PollResult) => void): void {
		this.call({
			kind: 'poll', process, life, withinMs: waitMs + marginMs,
		}, reply => {
			const {born} = this.worker;
			let result = this.worker.renew({fence, leaseUntil, seen});
			const until = this.world.timeline.now + waitMs;
			const look = (): void => {
				this.advance();
				if (this.isDown || this.worker.born !== born) {
					return;
				}

				result = this.worker.renew({fence, seen});
				if (result.kind !== 'seen' || result.ended.length > 0 || this.world.timeline.now >= until) {
					reply(result);
				} else {
					this.world.timeline.at(Math.min(until, this.world.timeline.now + 10), look);
				}
			};

			look();
		}, resolve);
	}

	/** Sends a call and gives the reply, or the time-out, to the process. */
	private call<T extends Reply | PollResult>(
		{
			kind, process, life, withinMs,
		}: {kind: 'start' | 'stop' | 'poll'; process: Process; life: string; withinMs: number},
		perform: (reply: (result: T) => void) => void,
		resolve: (result: T) => void,
	): void {
		const {timeline} = this.world;
		const sentAt = timeline.now;
		const {born} = this.worker;
		const isFaulty = sentAt < this.calls.until;
		const isStopFaulty = kind === 'stop' && sentAt < this.stops.until;
		let isSettled = false;
		const settle = (result: T): void => {
			if (!isSettled) {
				isSettled = true;
				resolve(result);
			}
		};

		process.after(withinMs, () => {
			settle(lost() as T);
		});
		const answer = (result: T): void => {
			timeline.at(timeline.now + this.callMs, () => {
				process.post(() => {
					settle(result);
				});
			});
		};

		const isLate = isFaulty && this.calls.how === 'late';
		const arrive = (): void => {
			if (timeline.now < this.frozenUntil && !this.isDown) {
				timeline.at(this.frozenUntil, arrive);
				return;
			}

			this.advance();
			if (this.isDown) {
				answer(lost() as T);
				return;
			}

			if (this.worker.born !== born && !isLate) {
				// The connection broke with the incarnation that it led to.
				return;
			}

			if (this.name !== life) {
				answer({kind: 'refused', reason: 'other-life', clock: this.worker.clock} as T);
				return;
			}

			if (isStopFaulty) {
				this.world.reach(this.stops.how === 'lost' ? 'an unanswered stop' : 'a refused stop');
				if (this.stops.how === 'unwell') {
					answer({kind: 'refused', reason: 'unwell', clock: this.worker.clock} as T);
				}

				return;
			}

			if (isLate && kind !== 'stop') {
				this.world.reach(kind === 'poll' ? 'a late poll' : 'a late start');
			}

			perform(result => {
				if (!isFaulty) {
					answer(result);
				}
			});
		};

		const delayMs = (isLate ? this.calls.delayMs : 0) + (sentAt < this.slow.until ? this.slow.eachMs : 0);
		timeline.at(sentAt + this.callMs, () => {
			if (this.isDown) {
				// A worker that has died refuses connections, and those that were open end with it.
				answer(lost(this.worker.born === born) as T);
			} else if (!isFaulty || this.calls.how !== 'calls lost') {
				timeline.at(timeline.now + delayMs, arrive);
			}
		});
	}
}

/** Sidecar drives the real guard as `src/ephemeral/driver.ts` does. One incarnation. */
class Sidecar {
	static create(world: World, number: number): Sidecar {
		return new Sidecar(world, number);
	}

	readonly process: Process;
	readonly guard = Guard.create();
	private readonly clockOfWorker = WorkerClock.create();
	private readonly owners = new Map<string, End<ToSidecar, ToEntry>>();
	/** The ends of the links, by entry. */
	private readonly links = new Map<number, End<ToSidecar, ToEntry>>();
	private fence = 0;
	private fenceRefusals = 0;
	private unansweredPolls = 0;
	private answeredAt = 0;
	private lostAt = Number.NEGATIVE_INFINITY;
	private reportedBorn = Number.NEGATIVE_INFINITY;
	private isPolling = false;
	/** The pause before the next poll, if there is one now. */
	private pause?: {until: number};
	private tickedAt: number;
	private readonly durations = new Map<string, {durationMs: number; submission: number}>();

	private constructor(private readonly world: World, private readonly number: number) {
		this.process = Process.create(world.timeline);
		this.tickedAt = this.now;
		this.process.repeat(sidecarTickMs, () => {
			this.checkStandstill();
		});
		this.process.repeat(checkMs, () => {
			for (const link of this.links.values()) {
				link.check();
			}
		});
		const dial = (): void => {
			for (const entry of [0, 1]) {
				if (this.links.get(entry)?.hasEnded !== false) {
					this.open(entry);
				}
			}
		};

		this.process.repeat(redialMs, dial);
		this.process.after(0, dial);
	}

	reported(worker: Worker, clock: number): void {
		const before = this.guard.worker;
		if (before && worker.born < before.born) {
			return;
		}

		const isNewer = worker.born > this.reportedBorn;
		this.reportedBorn = worker.born;
		if (isNewer) {
			this.fence = nextFence(this.fence, clock, 0);
			this.clockOfWorker.restart(clock, this.now);
			this.endPause();
		} else {
			this.clockOfWorker.readDelayed(clock, this.now);
		}

		this.apply({kind: 'reported', worker});
		if (isNewer) {
			this.reportToAll();
		}
	}

	/** The ends of all links, for a kill. */
	ends(): Array<End<ToSidecar, ToEntry>> {
		return [...this.links.values()];
	}

	private get now(): number {
		return this.world.timeline.now;
	}

	private open(entry: number): void {
		const link = this.world.connect(entry, this.number, this.process);
		if (!link) {
			return;
		}

		let owner = '';
		this.links.set(entry, link);
		link.handler = {
			receive: message => {
				if (message.kind === 'hello') {
					({owner} = message);
					this.owners.get(owner)?.end();
					this.owners.set(owner, link);
					link.send({kind: 'stamp', stamp: this.stamp()});
				} else if (owner !== '') {
					this.receive(message, owner);
				}
			},
			ended: () => {
				if (this.owners.get(owner) === link) {
					this.owners.delete(owner);
					this.apply({kind: 'ownerLost', owner});
				}
			},
			beforeFlush: pending => {
				pending.push({kind: 'stamp', stamp: this.stamp()});
			},
			isNeeded: () => this.guard.isNeededBy(owner),
			isOverdue: () => this.guard.isOverdue(owner, this.clockOfWorker.latestAt(this.now), this.now),
		};
	}

	private receive(message: ToSidecar, owner: string): void {
		switch (message.kind) {
			case 'hello': {
				break;
			}

			case 'start': {
				this.checkStandstill();
				const {ref, job, date, durationMs, submission} = message;
				const request: RunRequest = {
					owner, ref, task: String(job), resources: task, spec: '', sentAt: this.clockOfWorker.clockOf(date),
				};
				this.durations.set(`${owner}#${ref}`, {durationMs, submission});
				this.confirm(owner, date);
				this.apply({kind: 'request', request, clock: this.clockOfWorker.latestAt(this.now)});
				break;
			}

			case 'stop': {
				this.apply({
					kind: 'cancel', owner, ref: message.ref, hung: false,
				});
				break;
			}

			case 'callers': {
				this.confirm(owner, message.date);
				break;
			}
		}
	}

	private checkStandstill(): void {
		const stoodMs = this.now - this.tickedAt;
		this.tickedAt = this.now;
		if (stoodMs > standstillMs) {
			this.apply({kind: 'stoodStill'});
		}
	}

	private confirm(owner: string, date: number): void {
		this.apply({
			kind: 'confirmed', owner, date: this.clockOfWorker.clockOf(date), clock: this.clockOfWorker.latestAt(this.now),
		});
	}

	private apply(event: Event): void {
		const before = this.guard.startRefusal;
		for (const action of this.guard.step(event, this.now)) {
			this.carryOut(action);
		}

		if (this.guard.startRefusal !== before) {
			this.reportToAll();
		}

		this.pollIfNeeded();
	}

	private reportToAll(): void {
		for (const link of this.owners.values()) {
			link.send({kind: 'stamp', stamp: this.stamp()});
		}
	}

	private carryOut(action: Action): void {
		switch (action.kind) {
			case 'start': {
				this.start(action.run, action.request);
				break;
			}

			case 'stop': {
				this.stopRun(action.run);
				break;
			}

			case 'refuse': {
				if (action.why === 'stale') {
					this.world.reach('a start refused as stale');
				}

				this.owners.get(action.owner)?.send({kind: 'refused', ref: action.ref, why: action.why});
				break;
			}

			case 'end': {
				this.owners.get(action.owner)?.send({kind: 'ended', ref: action.ref, outcome: action.outcome});
				break;
			}

			case 'offer':
			case 'crashed': {
				break;
			}
		}
	}

	private start(run: RunId, request: RunRequest): void {
		const leaseUntil = this.guard.grantLease(this.workerClock());
		const job = this.durations.get(`${request.owner}#${request.ref}`)!;
		this.world.hosts[this.number]!.start(this.process, {
			...run, ...job, spec: '', leaseUntil, fence: this.fence, known: this.guard.worker!,
		}, reply => {
			this.updateFromReply(reply);
			this.apply({kind: 'started', run, reply});
		});
	}

	private stopRun(run: RunId): void {
		this.world.hosts[this.number]!.stop(this.process, {...run, fence: this.fence, life: this.guard.worker!.incarnation}, reply => {
			this.updateFromReply(reply);
			const apply = (): void => {
				this.apply({kind: 'stopped', run, reply});
			};

			if (reply.kind === 'done') {
				apply();
			} else {
				this.process.after(50, apply);
			}
		});
	}

	private pollIfNeeded(): void {
		const {worker} = this.guard;
		if (this.isPolling || !worker || !this.guard.needsPolling) {
			return;
		}

		this.isPolling = true;
		const sentAt = this.now;
		if (this.unansweredPolls === 0) {
			this.answeredAt = sentAt;
		}

		this.world.hosts[this.number]!.poll(this.process, {
			fence: this.fence,
			leaseUntil: sentAt - this.answeredAt < longestMs ? this.guard.grantLease(this.workerClock()) : undefined,
			seen: this.guard.lastEndSequence,
			waitMs: this.waitMs(sentAt),
			marginMs: Math.min(250, 60 * (2 ** this.unansweredPolls)),
			life: worker.incarnation,
		}, result => {
			this.handlePollResult(result, sentAt, worker);
		});
	}

	private handlePollResult(result: PollResult, sentAt: number, polled: Worker): void {
		const {worker} = this.guard;
		const next = (): void => {
			this.isPolling = false;
			this.pollIfNeeded();
		};

		if (worker && worker.born > Math.max(polled.born, result.kind === 'seen' ? result.born : 0)) {
			next();
			return;
		}

		this.updateFromReply(result);
		if (result.kind === 'seen' && worker && result.born > worker.born) {
			this.fence = nextFence(this.fence, result.clock, 0);
			this.clockOfWorker.restart(result.clock, this.now);
		}

		this.apply({
			kind: 'polled', result, sentAt, clock: this.clockOfWorker.certainAt(this.now),
		});
		if (result.kind === 'seen') {
			this.unansweredPolls = 0;
			next();
			return;
		}

		if (isPollUnanswered(result)) {
			this.unansweredPolls++;
			this.lostAt = this.now;
		}

		if (result.kind === 'unknown' && result.absent) {
			this.fence = nextFence(this.fence, 0, 0);
		}

		if (this.unansweredPolls === 1) {
			next();
			return;
		}

		const pauseMs = 50 * Math.max(1, Math.min(this.unansweredPolls, 6));
		const pause = {until: this.now + pauseMs};
		this.pause = pause;
		this.process.after(pauseMs, () => {
			if (this.pause === pause) {
				this.endPause();
				this.pollIfNeeded();
			}
		});
	}

	/** Ends the pause before the next poll. */
	private endPause(): void {
		this.isPolling &&= this.pause === undefined;
		this.pause = undefined;
	}

	private waitMs(now: number): number {
		if (this.guard.hasUnresolvedRuns) {
			return 20;
		}

		return now - this.lostAt < 8000 ? 40 : 200;
	}

	private updateFromReply(reply: Reply | PollResult): void {
		if ('clock' in reply && reply.clock !== undefined) {
			this.clockOfWorker.read(reply.clock, this.now);
		}

		if (reply.kind === 'refused' && reply.reason === 'fence') {
			this.fence = nextFence(this.fence, reply.clock ?? 0, this.fenceRefusals++);
		} else if (reply.kind !== 'unknown') {
			this.fenceRefusals = 0;
		}
	}

	private workerClock(): number {
		return this.clockOfWorker.valueAt(this.now);
	}

	private stamp(): number {
		return Math.floor(this.clockOfWorker.stampAt(this.now));
	}
}

type Attempt = {ref: number; job: number; submission: number; link: End<ToEntry, ToSidecar>; sidecar: number; isCancelled: boolean};
type Undated = ToSidecar & {kind: 'start'};
type EntryLink = {end: End<ToEntry, ToSidecar>; stamp: number; stampedAt: number; undated: Undated[]};

/** Entry starts jobs and dates its messages as `src/ephemeral/dispatcher.ts` does. One incarnation. */
class Entry {
	static create(world: World, number: number, life: number): Entry {
		return new Entry(world, number, life);
	}

	readonly process: Process;
	private tickedAt: number;
	private lastRef = 0;
	private readonly links = new Map<number, EntryLink>();
	private readonly attempts = new Map<number, Attempt>();
	/** The jobs whose callers are connected here, with the number of attempts. */
	private readonly callers = new Map<number, number>();

	private constructor(private readonly world: World, private readonly number: number, private readonly life: number) {
		this.process = Process.create(world.timeline);
		this.tickedAt = this.now;
		this.process.repeat(tickMs, () => {
			this.tickedAt = this.now;
		});
		this.process.repeat(checkMs, () => {
			for (const {end} of this.links.values()) {
				end.check();
			}
		});
	}

	/** The ends of all links, for a kill. */
	ends(): Array<End<ToEntry, ToSidecar>> {
		return [...this.links.values()].map(({end}) => end);
	}

	/** A sidecar has connected. */
	accept(sidecar: number, end: End<ToEntry, ToSidecar>): void {
		const entryLink: EntryLink = {
			end, stamp: 0, stampedAt: this.now, undated: [],
		};
		this.links.get(sidecar)?.end.end();
		this.links.set(sidecar, entryLink);
		end.handler = {
			receive: message => {
				this.receive(message, entryLink);
			},
			ended: () => {
				for (const attempt of this.attempts.values()) {
					if (attempt.link === end) {
						this.attempts.delete(attempt.ref);
						this.process.after(lostLinkMs, () => {
							this.retry(attempt);
						});
					}
				}
			},
			beforeFlush: pending => {
				this.dateMessages(entryLink, pending);
			},
			isNeeded: () => this.isNeeded(end),
		};
		end.send({kind: 'hello', owner: `e${this.number}/${this.life}`});
	}

	/** Reads a submission. It is admitted once its connection has been read once more. */
	submit(job: number, submission: number): void {
		this.callers.set(job, 0);
		this.process.immediate(() => {
			this.process.immediate(() => {
				this.attempt(job, submission, this.world.history.jobs[job]!.sidecar);
			});
		});
	}

	/** The end of a caller's connection has been read. */
	callerEnded(job: number): void {
		this.callers.delete(job);
		for (const attempt of this.attempts.values()) {
			if (attempt.job === job && !attempt.isCancelled) {
				attempt.isCancelled = true;
				this.stop(attempt);
			}
		}
	}

	/** Sends a stop, or takes back the start if that has not been sent. */
	private stop({ref, sidecar, link}: Attempt): void {
		const undated = this.links.get(sidecar)?.undated ?? [];
		const index = undated.findIndex(start => start.ref === ref);
		if (index === -1) {
			link.send({kind: 'stop', ref}, undated[0]);
			return;
		}

		const [start] = undated.splice(index, 1);
		link.withdraw(start!);
		this.attempts.delete(ref);
	}

	private get now(): number {
		return this.world.timeline.now;
	}

	private attempt(job: number, submission: number, from: number): void {
		const made = this.callers.get(job);
		if (made === undefined || made >= maxAttempts) {
			return;
		}

		this.callers.set(job, made + 1);
		const sidecar = from % this.world.hosts.length;
		const entryLink = this.links.get(sidecar);
		if (!entryLink || entryLink.end.hasEnded) {
			this.process.after(retryMs, () => {
				this.attempt(job, submission, sidecar + 1);
			});
			return;
		}

		const ref = ++this.lastRef;
		const {durationMs} = this.world.history.jobs[job]!;
		const start: Undated = {
			kind: 'start', ref, job, submission, durationMs, date: 0,
		};
		this.attempts.set(ref, {
			ref, job, submission, link: entryLink.end, sidecar, isCancelled: false,
		});
		entryLink.undated.push(start);
		entryLink.end.send(start);
	}

	private receive(message: ToEntry, entryLink: EntryLink): void {
		switch (message.kind) {
			case 'stamp': {
				entryLink.stamp = message.stamp;
				entryLink.stampedAt = this.now;
				break;
			}

			case 'refused': {
				const attempt = this.attempts.get(message.ref);
				this.attempts.delete(message.ref);
				if (attempt) {
					this.process.after(retryMs, () => {
						this.retry(attempt);
					});
				}

				break;
			}

			case 'ended': {
				const attempt = this.attempts.get(message.ref);
				this.attempts.delete(message.ref);
				if (attempt && message.outcome === 'lost') {
					this.retry(attempt);
				} else if (attempt) {
					this.callers.delete(attempt.job);
					this.world.answered(attempt.job);
				}

				break;
			}
		}
	}

	private retry({job, submission, sidecar, isCancelled}: Attempt): void {
		if (!isCancelled) {
			this.attempt(job, submission, sidecar + 1);
		}
	}

	private isNeeded(end: End<ToEntry, ToSidecar>): boolean {
		return [...this.attempts.values()].some(({link}) => link === end);
	}

	private dateMessages({end, stamp, stampedAt, undated}: EntryLink, pending: ToSidecar[]): void {
		const unreadMs = Math.max(0, this.now - this.tickedAt - inputLagMs);
		const date = stamp + Math.round(this.now - unreadMs - stampedAt);
		for (const start of undated) {
			start.date = date;
		}

		if (undated.length === 0 && this.isNeeded(end)) {
			pending.push({kind: 'callers', date});
		}

		undated.length = 0;
	}
}

type Submission = {brokenAt?: number; isAnswered: boolean; isSubmittedAgain: boolean; entry: Entry};

/** World plays one history. */
export class World {
	static create(history: History): World {
		return new World(history);
	}

	readonly timeline = Timeline.create();
	readonly hosts: Host[];
	readonly violations: string[] = [];
	readonly reached = new Set<State>();

	private readonly entries: Array<Entry | undefined> = [];
	private readonly sidecars: Array<Sidecar | undefined> = [];
	private readonly lives = [0, 0];
	private readonly submissions = new Map<number, Submission>();
	/** All runs, as `worker/task#number`, with the entry that ordered them. */
	private readonly runs = new Map<string, {job: number; submission: number; entry: number}>();
	/** One path for each direction, by entry and sidecar. */
	private readonly paths: Array<Array<{toSidecar: Path; toEntry: Path}>>;

	private constructor(readonly history: History) {
		const {workers, linkMs, jobs, faults} = history;
		this.hosts = workers.map((_, number) => Host.create(this, number));
		this.paths = [0, 1].map(() => workers.map(() => ({toSidecar: Path.create(this.timeline, linkMs), toEntry: Path.create(this.timeline, linkMs)})));
		for (const number of [0, 1]) {
			this.startEntry(number);
		}

		for (const number of workers.keys()) {
			this.sidecars[number] = Sidecar.create(this, number);
			this.report(number, 1);
		}

		for (const fault of faults) {
			this.timeline.at(fault.at, () => {
				this.inject(fault);
			});
		}

		for (const [number, job] of jobs.entries()) {
			this.timeline.at(job.at, () => {
				this.submit(number, job);
			});
		}
	}

	reach(state: State): void {
		this.reached.add(state);
	}

	play(): void {
		this.timeline.run(Math.max(...this.history.jobs.map(({at}) => at), ...this.history.faults.map(({at}) => at)) + resubmitMs + 1500);
		for (const host of this.hosts) {
			host.advance();
			this.violations.push(...host.worker.violations);
		}
	}

	/** The number of runs of entries that never failed and whose callers stayed, and how many of them lapsed. */
	get neighbours(): {runs: number; lapsed: number} {
		const hasFailed = (entry: number): boolean => this.history.faults.some(fault =>
			('role' in fault && fault.role === 'entry' && fault.on === entry) || (fault.kind === 'cut' && fault.entry === entry));
		const ofNeighbours = [...this.runs].filter(([, {job, submission, entry}]) =>
			!hasFailed(entry) && (submission === 2 || this.submissions.get(job)!.brokenAt === undefined));
		const lapsed = new Set(this.hosts.flatMap((host, number) => [...host.worker.lapsedRuns].map(run => `${number}/${run}`)));
		return {runs: ofNeighbours.length, lapsed: ofNeighbours.filter(([run]) => lapsed.has(run)).length};
	}

	/** A run has begun at a worker. */
	began({task: name, number}: RunId, submission: number, host: number): void {
		const job = Number(name);
		const others = this.hosts.filter((other, index) => index !== host && other.jobs.includes(job));
		if (others.length > 0) {
			this.violations.push(`${this.timeline.now}: job ${job} (submission ${submission}) begins at worker ${host} and runs at another`);
		}

		const known = this.submissions.get(job)!;
		if (submission === 2) {
			this.reach('a second submission that runs');
		} else if (known.isSubmittedAgain) {
			this.violations.push(`${this.timeline.now}: job ${job} begins at worker ${host} by its first submission, after the second`);
		}

		const {entry} = this.history.jobs[job]!;
		this.runs.set(`${host}/${name}#${number}`, {job, submission, entry: submission === 1 ? entry : 1 - entry});
	}

	answered(job: number): void {
		this.submissions.get(job)!.isAnswered = true;
	}

	/** Opens a link from a sidecar to an entry, unless the entry is away. */
	connect(entry: number, sidecar: number, process: Process): End<ToSidecar, ToEntry> | undefined {
		const target = this.entries[entry];
		const {toSidecar, toEntry} = this.paths[entry]![sidecar]!;
		if (!target || toSidecar.isCut || toEntry.isCut) {
			return undefined;
		}

		const near: End<ToSidecar, ToEntry> = End.create<ToSidecar, ToEntry>(this.timeline, process, (block, beats) => {
			toEntry.carry(() => {
				target.process.post(() => {
					far.read(block, beats);
				});
				this.resetIfGone(target.process, entry, near);
			});
		}, () => {
			toEntry.carry(() => {
				target.process.post(() => {
					far.end(true);
				});
			});
		});
		const far: End<ToEntry, ToSidecar> = End.create<ToEntry, ToSidecar>(this.timeline, target.process, (block, beats) => {
			toSidecar.carry(() => {
				process.post(() => {
					near.read(block, beats);
				});
			});
		}, () => {
			toSidecar.carry(() => {
				process.post(() => {
					near.end(true);
				});
			});
		});
		toEntry.carry(() => {
			target.process.post(() => {
				target.accept(sidecar, far);
			});
		});
		return near;
	}

	/** What reaches an entry that has died is answered with a reset, once its machine is back. */
	private resetIfGone(process: Process, entry: number, near: End<ToSidecar, ToEntry>): void {
		if (!process.isAlive && this.entries[entry]) {
			near.process.post(() => {
				near.end(true);
			});
		}
	}

	private startEntry(number: number): void {
		this.lives[number]!++;
		this.entries[number] = Entry.create(this, number, this.lives[number]!);
	}

	/** Sends the reports of a worker to its sidecar. */
	private report(number: number, afterMs: number): void {
		this.timeline.at(this.timeline.now + afterMs, () => {
			const host = this.hosts[number]!;
			host.advance();
			if (!host.isDown) {
				const described = host.describe();
				const {clock} = host.worker;
				this.timeline.at(this.timeline.now + 2 + (this.timeline.now < host.reports.until ? host.reports.delayMs : 0), () => {
					const sidecar = this.sidecars[number];
					sidecar?.process.post(() => {
						sidecar.reported(described, clock);
					});
				});
			}

			this.report(number, reportMs);
		});
	}

	private submit(job: number, {entry: number, resetMs}: Job): void {
		const entry = this.entries[number];
		if (!entry) {
			return;
		}

		const submission: Submission = {
			isAnswered: false, isSubmittedAgain: false, entry,
		};
		this.submissions.set(job, submission);
		this.post(entry, () => {
			entry.submit(job, 1);
		});
		if (resetMs !== undefined) {
			this.timeline.at(this.timeline.now + resetMs, () => {
				if (submission.isAnswered || submission.brokenAt !== undefined) {
					return;
				}

				if (this.isRunning(job)) {
					this.reach('a run when its caller\'s connection is reset');
				}

				this.break(job, submission);
				this.post(entry, () => {
					entry.callerEnded(job);
				});
			});
		}
	}

	/** Sends something from a caller to an entry. */
	private post(entry: Entry, go: () => void): void {
		this.timeline.at(this.timeline.now + this.history.linkMs, () => {
			entry.process.post(go);
		});
	}

	private isRunning(job: number): boolean {
		return this.hosts.some(host => host.jobs.includes(job));
	}

	/** The connection of a job's caller breaks: the job is submitted again at the other entry. */
	private break(job: number, submission: Submission): void {
		submission.brokenAt = this.timeline.now;
		this.noteFrozenSidecars();
		this.timeline.at(this.timeline.now + resubmitMs, () => {
			for (const [number, host] of this.hosts.entries()) {
				if (host.jobs.includes(job)) {
					this.violations.push(`${this.timeline.now}: job ${job} runs at worker ${number} when it is submitted again, ${resubmitMs} ms after the break`);
				}

				if ([...host.worker.lapsedRuns].some(run => run.startsWith(`${job}#`))) {
					this.reach('a run that lapsed after its caller had gone');
				}
			}

			submission.isSubmittedAgain = true;
			const entry = this.entries[1 - this.history.jobs[job]!.entry];
			entry?.process.post(() => {
				entry.submit(job, 2);
			});
		});
	}

	/** The jobs that run without a caller, at one worker or at any. */
	private abandonedAt(host: number): number[] {
		return this.hosts[host]!.jobs.filter(job => this.submissions.get(job)?.brokenAt !== undefined);
	}

	private inject(fault: Fault): void {
		const {timeline} = this;
		const until = timeline.now + fault.forMs;
		const host = this.hosts[fault.on % this.hosts.length]!;
		switch (fault.kind) {
			case 'freeze': {
				const process = this.processOf(fault);
				if (process) {
					process.frozenUntil = Math.max(process.frozenUntil, until);
				}

				break;
			}

			case 'slow': {
				const process = this.processOf(fault);
				if (process) {
					process.slowUntil = until;
					process.everyMs = fault.everyMs;
				}

				break;
			}

			case 'kill': {
				if (fault.role === 'entry') {
					this.killEntry(fault.on, fault.forMs, true);
				} else {
					this.killSidecar(fault.on % this.hosts.length, fault.forMs);
				}

				break;
			}

			case 'power': {
				this.killEntry(fault.on, fault.forMs, false);
				break;
			}

			case 'cut': {
				const paths = this.paths[fault.entry]![fault.on % this.hosts.length]!;
				if (host.jobs.length > 0) {
					this.reach('a cut link with a run');
				}

				paths.toSidecar.cutUntil = fault.toSidecar ? Math.max(until, paths.toSidecar.cutUntil) : paths.toSidecar.cutUntil;
				paths.toEntry.cutUntil = fault.toEntry ? Math.max(until, paths.toEntry.cutUntil) : paths.toEntry.cutUntil;
				break;
			}

			case 'worker freeze': {
				host.frozenUntil = Math.max(host.frozenUntil, until);
				break;
			}

			case 'worker slow': {
				host.slow = {until, eachMs: fault.eachMs};
				break;
			}

			case 'worker restart': {
				if (!host.isDown) {
					host.crash(fault.forMs, fault.hasSameName);
				}

				break;
			}

			case 'calls': {
				host.calls = {until, how: fault.how, delayMs: fault.delayMs};
				break;
			}

			case 'stops': {
				host.stops = {until, how: fault.how};
				break;
			}

			case 'reports late': {
				host.reports = {until, delayMs: fault.delayMs};
				break;
			}
		}

		this.noteFrozenSidecars();
	}

	private noteFrozenSidecars(): void {
		for (const [number, sidecar] of this.sidecars.entries()) {
			if (sidecar?.process.isFrozen && this.abandonedAt(number).length > 0) {
				this.reach('a frozen sidecar with a run whose caller has gone');
			}
		}
	}

	private processOf({role, on}: {role: 'entry' | 'sidecar'; on: number}): Process | undefined {
		return role === 'entry' ? this.entries[on]?.process : this.sidecars[on % this.hosts.length]?.process;
	}

	/** An entry dies, and its callers' connections with it. Only a kill ends its links; after a loss of power nobody does. */
	private killEntry(number: number, forMs: number, endsLinks: boolean): void {
		const entry = this.entries[number];
		if (!entry) {
			return;
		}

		this.entries[number] = undefined;
		entry.process.isAlive = false;
		for (const [job, submission] of this.submissions) {
			if (submission.entry === entry && !submission.isAnswered && submission.brokenAt === undefined) {
				if (this.isRunning(job)) {
					this.reach('a run when its entry dies');
				}

				this.break(job, submission);
			}
		}

		if (endsLinks) {
			for (const end of entry.ends()) {
				end.handler = undefined;
				end.end();
			}
		}

		this.timeline.at(this.timeline.now + forMs, () => {
			this.startEntry(number);
		});
	}

	private killSidecar(number: number, forMs: number): void {
		const sidecar = this.sidecars[number];
		if (!sidecar) {
			return;
		}

		if (this.abandonedAt(number).length > 0) {
			this.reach('a sidecar killed with a run whose caller has gone');
		}

		if (this.hosts[number]!.jobs.length > 0) {
			this.reach('runs of an earlier sidecar');
		}

		this.sidecars[number] = undefined;
		sidecar.process.isAlive = false;
		for (const end of sidecar.ends()) {
			end.handler = undefined;
			end.end();
		}

		this.timeline.at(this.timeline.now + forMs, () => {
			this.sidecars[number] = Sidecar.create(this, number);
		});
	}
}
