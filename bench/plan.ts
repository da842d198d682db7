import process from 'node:process';
import {seededRandom} from '../src/adapters/random.js';
import {subsetSize} from '../src/decide/announce.js';
import {pop, push, type Heap} from '../src/decide/heap.js';
import {
	Guard, type Action as GuardAction, type RunRequest, type Worker,
} from '../src/decide/guard.js';
import {
	Schedule, type Action, type CrashNotice, type Event, type Job, type Policy, type Verdict,
} from '../src/decide/schedule/schedule.js';
import {rankByRendezvous} from '../src/decide/rendezvous.js';
import type {Resources} from '../src/decide/resources.js';
import type {Random} from '../src/ports/random.js';
import {SizeReport, unevenLoads} from './look-ahead.js';

/** Kind is one kind of job: how many a second, and how its tasks are drawn. Times in milliseconds. */
export type Kind = {route: string; perSecond: number; width: number; widest: number; meanMs: number; longestMs: number; attempts: number; priority: number; worth: number; taskCpu?: number};

/** Load is what is played: the kinds, the workers, and what goes wrong when. */
export type Load = {
	kinds: readonly Kind[];
	entries: number;
	/** With how many entries each worker's sidecar has a link, where not with all. */
	links?: number;
	/** Speeds and capacities of the workers, in thousandths of a core. */
	workers: ReadonlyArray<{speed: number; cpu: number}>;
	taskCpu: number;
	seconds: number;
	/** Whether sidecars tell entries that all fails at their worker; they do unless it is false. */
	tellsFailing?: boolean;
	/** The cores of each entry, where its work for each event takes time. */
	entryCores?: readonly number[];
	/** The share of tasks that take `longFactor` times as long as their job's others. */
	longShare?: number;
	/** The first workers, so many, leave with all that runs there and return, by the second. */
	leave?: {count: number; from: number; to: number};
	/** Whether refused callers come back once, when they were told to, with the same job. */
	returns?: boolean;
	/** For so many seconds, a share of a route's jobs have a task that crashes each worker that starts it. */
	crashing?: {route: string; share: number; from: number; to: number};
	/** The first workers, so many, lose their power within so many milliseconds at this second. */
	powerLoss?: {count: number; at: number; withinMs: number};
	/** Traffic of a kind by the second, times the usual. */
	traffic(second: number, route: string): number;
	/** The workers that are said to be gone, or slowed by a factor, by the second. */
	gone(second: number): number;
	slow(second: number): number;
	/** The first workers, so many by the second, that fail all that they start. */
	failing?(second: number): number;
};

/** The response time aimed at is this much more than `stretch` times the longest task, and up to three times that is late. */
const aimMs = 60;
const stretch = 1.6;
const lateFactor = 3;
const lateShare = 0.2;
/** One way between processes, and what a worker takes to begin, in milliseconds. */
const wayMs = 1.5;
const beginMs = 2;
/** How often sidecars tell their room to entries with something under way there and to others, entries look at what waits, and how far estimates are off, as a share. */
const tellMs = 200;
const tellIdleMs = 1000;
const tickMs = 20;
const estimateOff = 0.4;
const unevenness = 0.15;
const longFactor = 7;
/** When a task crashes its worker after its start, at the least and by how much more; when its sidecar notices, and when the worker is back, in milliseconds. */
const crashAfterMs = 20;
const crashSpreadMs = 40;
const crashNoticedMs = 15;
const crashedMs = 3300;
/** Processor time of an entry for an event, in milliseconds of a core: a job of 3.6 tasks costs some 1.85 in all. */
const eventCostMs: Readonly<Partial<Record<Event['kind'], number>>> = {
	submit: 0.9, ended: 0.15, refused: 0.1, room: 0.05, told: 0.1, tick: 0.05, offered: 0.02,
};

const kinds = (share: number): Kind[] => [
	{
		route: 'preview', perSecond: 24.1 * share, width: 8, widest: 32, meanMs: 86, longestMs: 340, attempts: 4, priority: 0, worth: 0.0291,
	},
	{
		route: 'plate', perSecond: 4.4 * share, width: 4, widest: 16, meanMs: 1286, longestMs: 5000, attempts: 2, priority: 2, worth: 0.16,
	},
	{
		route: 'check', perSecond: 70 * share, width: 2, widest: 8, meanMs: 286, longestMs: 1140, attempts: 2, priority: 1, worth: 0.01,
	},
];
const speeds = [0.6, 1, 1.6];
const workers = (count: number, cpu: number) => Array.from({length: count}, (_, index) => ({speed: speeds[index % 3]!, cpu: index % 3 === 2 ? cpu * 1.5 : cpu}));

/** The loads that can be played. */
export const loads: Readonly<Record<string, Load>> = {
	calm: {
		kinds: kinds(1), entries: 3, workers: workers(11, 64_000), taskCpu: 6200, traffic: () => 1, gone: () => 0, slow: () => 1, seconds: 20,
	},
	burst: {
		kinds: kinds(1.3), entries: 3, workers: workers(11, 64_000), taskCpu: 6200, traffic: second => second >= 4 && second < 9 ? 1.5 : 1, gone: () => 0, slow: () => 1, seconds: 20,
	},
	loss: {
		kinds: kinds(1.3),
		entries: 4,
		workers: workers(11, 16_000),
		taskCpu: 1600,
		traffic: second => second >= 2 && second < 6 ? 1.4 : 1,
		gone: second => second >= 5 && second < 10 ? 3 : 0,
		slow: () => 1,
		seconds: 20,
	},
	flood: {
		kinds: kinds(2), entries: 4, workers: workers(11, 16_000), taskCpu: 1600, traffic: () => 1, gone: () => 0, slow: () => 1, seconds: 12,
	},
	slow: {
		kinds: kinds(1.2), entries: 3, workers: workers(11, 64_000), taskCpu: 6200, traffic: () => 1, gone: () => 0, slow: second => second >= 4 && second < 10 ? 5 : 1, seconds: 16,
	},
};

/** The same kinds of job at the size of hundreds of machines. */
const largeKinds = (share: number): Kind[] => kinds(9 * share);
const large = {
	entries: 35, links: subsetSize, workers: workers(160, 64_000), taskCpu: 10_000, gone: () => 0, slow: () => 1,
};
const largeLoads: Readonly<Record<string, Load>> = {
	largeCalm: {
		...large, kinds: largeKinds(1), traffic: () => 1, seconds: 10,
	},
	largeBurst: {
		...large, kinds: largeKinds(1.2), traffic: second => second >= 3 && second < 7 ? 1.5 : 1, seconds: 12,
	},
	largeLoss: {
		...large, kinds: largeKinds(1.2), traffic: () => 1, gone: second => second >= 3 && second < 8 ? 40 : 0, seconds: 12,
	},
	largeFailing: {
		...large, kinds: largeKinds(1), traffic: () => 1, failing: second => second >= 2 && second < 8 ? 13 : 0, seconds: 10,
	},
	largeFlood: {
		...large, kinds: largeKinds(1.9), traffic: () => 1, seconds: 8,
	},
};

/** The deployments of docs/design/hard-load.md: W with workers of three speeds, V with one speed and tasks that take far longer than declared. */
const deploymentW = {
	kinds: kinds(6),
	entries: 10,
	entryCores: [0.243, 0.324, 0.5, 0.5, 0.8, 0.8, 1, 1.2, 1.35, 1.35],
	workers: workers(60, 16_000),
	taskCpu: 1500,
	gone: () => 0,
	slow: () => 1,
};
const deploymentV = {
	kinds: kinds(5.3).map(kind => ({...kind, meanMs: kind.meanMs * 0.85, longestMs: kind.longestMs * 0.85})),
	entries: 9,
	entryCores: [0.324, 0.324, 0.324, 0.6, 0.8, 0.8, 1, 1.35, 1.35],
	workers: Array.from({length: 57}, (_, index) => ({speed: 1, cpu: index % 3 === 2 ? 48_000 : 32_000})),
	taskCpu: 2900,
	longShare: 0.03,
	gone: () => 0,
	slow: () => 1,
};
const during = (from: number, to: number, factor: number) => (second: number) => second >= from && second < to ? factor : 1;
const hardLoads: Readonly<Record<string, Load>> = {
	wBurst: {...deploymentW, traffic: during(4, 9, 1.7), seconds: 14},
	/** A burst of the middle kind while a seventh of the workers is gone: the worst seconds of W. */
	wLoss: {
		...deploymentW,
		traffic: (second, route) => during(3, 9, 1.25)(second) * (route === 'plate' ? during(5, 8, 2.5)(second) : 1),
		leave: {count: 9, from: 4, to: 9},
		seconds: 14,
	},
	/** The same with callers that come back. */
	wReturn: {
		...deploymentW, traffic: during(3, 9, 1.6), leave: {count: 9, from: 4, to: 9}, returns: true, seconds: 14,
	},
	wFlood: {...deploymentW, traffic: during(3, 11, 2.4), seconds: 14},
	vPeak: {...deploymentV, traffic: during(3, 8, 1.55), seconds: 12},
	vLoss: {
		...deploymentV, traffic: during(3, 8, 1.55), leave: {count: 8, from: 4, to: 8}, seconds: 12,
	},
	/** The smallest twin: three entries, and a burst of the middle kind. */
	twin: {
		kinds: kinds(1),
		entries: 3,
		entryCores: [0.24, 0.24, 0.5],
		workers: workers(11, 16_000),
		taskCpu: 1600,
		traffic: (second, route) => route === 'plate' ? during(4, 8, 3)(second) : during(4, 8, 1.3)(second),
		leave: {count: 2, from: 5, to: 9},
		gone: () => 0,
		slow: () => 1,
		seconds: 20,
	},
};

/** Tally is what the callers of one kind of job got. */
export type Tally = {
	asked: number; inAim: number; late: number; tooLate: number; refused: number; failed: number; worth: number; heldRefused: number;
	/** Callers that came back after a refusal, and those of them served in time. */
	returned: number; servedOnReturn: number; ends: End[];
};

/** End is what became of one job, with its declared work. */
type End = {work: number; served: boolean};

/** Draw is one job with what only the model knows: the times of its tasks in milliseconds, and when each was last started, by its number. */
type Draw = {job: Job; kind: Kind; workMs: number[]; objective: number; worth: number; at: number; startedAt: number[]; isReturn?: boolean; crashes?: boolean};

/** EndedJob is a job with the verdict on it and when it came, in milliseconds from the submission. */
export type EndedJob = Draw & {verdict: Verdict; tookMs: number};

type Running = {until: number; ref: number; owner: string; task: string; number: number};

/** Plan plays a load against schedules and guards, unchanged, in simulated time. */
export class Plan {
	static create(load: Load, policy: Partial<Policy>, seed: number): Plan {
		return new Plan(load, policy, seededRandom(seed));
	}

	readonly tallies = new Map<string, Tally>();
	/** All jobs that have ended, in order. */
	readonly ended: EndedJob[] = [];
	/** Starts refused by guards. */
	refusals = 0;
	starts = 0;
	/** Runs that failed. */
	failures = 0;
	/** The entries with a link, by worker. */
	readonly linked: ReadonlyArray<readonly number[]>;
	/** The largest share of a worker that was ever in use. */
	mostUsed = 0;
	/** How often a worker was asked for room. */
	wants = 0;
	/** Thousandths of a core times milliseconds that were in use. */
	busy = 0;

	/** Crashes of workers. */
	crashes = 0;
	/** By task how many workers have crashed under it, and how often it was started after the third. */
	readonly crashesByTask = new Map<string, {crashes: number; startsAfterThird: number; isCause: boolean}>();
	/** What the first entry has found out about crashes, with the time. */
	readonly notices: Array<CrashNotice & {at: number}> = [];

	private now = 0;
	private readonly crashed = new Set<number>();
	private queue: Heap<() => void>;
	private readonly schedules: Schedule[];
	private readonly guards: Guard[];
	private readonly running: Array<Map<string, Running>>;
	private readonly draws = new Map<string, Draw>();
	private readonly routes = new Map<string, string>();
	/** Draws what goes wrong, so that the jobs are the same without it. */
	private readonly chance = seededRandom(1);
	/** Until when each entry is busy with earlier events. */
	private readonly busyUntil: number[];
	/** When the present incarnation of each worker started. */
	private readonly births: number[];
	private serial = 0;
	private sequence = 0;

	private constructor(private readonly load: Load, policy: Partial<Policy>, private readonly random: Random) {
		this.schedules = Array.from({length: load.entries}, () => Schedule.create(policy));
		this.guards = load.workers.map(() => Guard.create({lookAhead: policy.lookAhead !== undefined && policy.lookAhead !== 'off'}));
		this.running = load.workers.map(() => new Map<string, Running>());
		this.busyUntil = this.schedules.map(() => 0);
		this.births = load.workers.map(() => 1);
		const entries = this.schedules.map((_, entry) => String(entry));
		this.linked = load.workers.map((_, index) => rankByRendezvous(`s${index}`, entries).slice(0, load.links).map(Number));
		for (const {route} of load.kinds) {
			this.tallies.set(route, {
				asked: 0, inAim: 0, late: 0, tooLate: 0, refused: 0, failed: 0, worth: 0, heldRefused: 0, returned: 0, servedOnReturn: 0, ends: [],
			});
		}
	}

	/** Plays to the end. */
	play(): this {
		for (const [index, guard] of this.guards.entries()) {
			guard.step({kind: 'reported', worker: this.worker(index)}, 0);
			this.look(index, []);
			this.tell(index);
		}

		const {count, from, to} = this.load.leave ?? {count: 0, from: 0, to: 0};
		for (let index = 0; index < count; index++) {
			this.at(from * 1000, () => {
				this.leave(index);
			});
			this.at(to * 1000, () => {
				this.return(index);
			});
		}

		const {count: cut, at: cutAt, withinMs} = this.load.powerLoss ?? {count: 0, at: 0, withinMs: 0};
		for (let index = 0; index < cut; index++) {
			this.at((cutAt * 1000) + (this.chance.next() * withinMs), () => {
				this.crash(index);
			});
		}

		for (const kind of this.load.kinds) {
			this.arrive(kind);
		}

		for (const entry of this.schedules.keys()) {
			this.tick(entry);
		}

		while (this.queue && this.now < (this.load.seconds + 8) * 1000) {
			const {key: rank, value} = this.queue;
			this.queue = pop(this.queue);
			this.now = rank;
			value();
		}

		return this;
	}

	private worker(index: number): Worker {
		return {
			incarnation: `w${this.births[index]!}`, born: this.births[index]!, pool: 'p', capacity: {cpu: this.load.workers[index]!.cpu, memoryMb: 1e9, accelerators: 0}, labels: [], draining: false,
		};
	}

	/** Ends a worker with all that runs there. */
	private leave(index: number): void {
		this.running[index]!.clear();
		this.guard(index, {kind: 'left', incarnation: this.worker(index).incarnation});
		this.guard(index, {kind: 'polled', result: {kind: 'unknown', cause: 'ECONNREFUSED', absent: true}, sentAt: this.now});
		for (const entry of this.linked[index]!) {
			this.report(index, entry);
		}
	}

	/** Starts the next incarnation of a worker. */
	private return(index: number): void {
		this.births[index]!++;
		this.guard(index, {kind: 'reported', worker: this.worker(index)});
		this.look(index, []);
		for (const entry of this.linked[index]!) {
			this.report(index, entry);
		}
	}

	/** Crashes a worker, which its sidecar notices a little later. */
	private crash(index: number): void {
		if (this.crashed.has(index)) {
			return;
		}

		this.crashes++;
		this.crashed.add(index);
		const lost = this.running[index]!;
		for (const {task} of lost.values()) {
			const [id, number] = task.split('.') as [string, string];
			const known = this.crashesByTask.get(task) ?? {crashes: 0, startsAfterThird: 0, isCause: this.draws.get(id)?.crashes === true && number === '0'};
			known.crashes++;
			this.crashesByTask.set(task, known);
		}

		const {incarnation} = this.worker(index);
		const tasks = [...lost.values()].map(({task}): [string, string] => [task, this.routes.get(task.split('.')[0]!)!]);
		lost.clear();
		this.at(crashNoticedMs, () => {
			this.at(wayMs / 2, () => {
				for (const entry of this.linked[index]!) {
					this.step(entry, {
						kind: 'crashed', place: String(index), life: incarnation, ageMs: wayMs / 2, tasks,
					});
				}
			});
			this.leave(index);
		});
		this.at(crashedMs, () => {
			this.crashed.delete(index);
			this.return(index);
		});
	}

	private at(delay: number, go: () => void): void {
		this.queue = push(this.queue, this.now + delay, go);
	}

	private tick(entry: number): void {
		this.step(entry, {kind: 'tick'});
		this.at(tickMs, () => {
			this.tick(entry);
		});
	}

	private arrive(kind: Kind): void {
		const second = this.now / 1000;
		const rate = kind.perSecond * this.load.traffic(second, kind.route);
		this.at(-Math.log(1 - this.random.next()) * 1000 / rate, () => {
			if (this.now < this.load.seconds * 1000) {
				this.submit(kind);
				this.arrive(kind);
			}
		});
	}

	private submit(kind: Kind): void {
		const width = Math.min(kind.widest, Math.max(1, Math.round(kind.width * this.spread(0.4))));
		const meanMs = Math.min(kind.longestMs, kind.meanMs * this.spread(0.4));
		const workMs = Array.from({length: width}, () => meanMs * this.spread(unevenness) * (this.load.longShare && this.random.next() < this.load.longShare ? longFactor : 1));
		const estimateMs = meanMs * (1 + (((this.random.next() * 2) - 1) * estimateOff));
		const cpu = (kind.taskCpu ?? this.load.taskCpu) * (0.8 + (this.random.next() * 0.4));
		const id = `j${++this.serial}`;
		const objective = aimMs + (stretch * Math.max(...workMs));
		const work = workMs.reduce((sum, ms) => sum + (ms * cpu), 0);
		const usual = kind.width * kind.meanMs * (kind.taskCpu ?? this.load.taskCpu);
		const job: Job = {
			id,
			route: kind.route,
			pool: 'p',
			spec: '',
			tasks: workMs.map((_, index) => ({name: `${id}.${index}`, resources: {cpu, memoryMb: 1, accelerators: 0}, estimateMs})),
			aimMs,
			stretch,
			attempts: kind.attempts,
			priority: kind.priority,
			leftMs: objective * lateFactor,
		};
		const {crashing} = this.load;
		const second = this.now / 1000;
		const crashes = crashing?.route === kind.route && second >= crashing.from && second < crashing.to && this.chance.next() < crashing.share;
		this.routes.set(id, kind.route);
		this.draws.set(id, {
			crashes, job, kind, workMs, objective, worth: kind.worth * Math.min(4, 0.3 + (0.7 * work / usual)), at: this.now, startedAt: [],
		});
		this.tallies.get(kind.route)!.asked++;
		const entry = Math.floor(this.random.next() * this.load.entries);
		this.step(entry, {kind: 'submit', job});
	}

	/** A lognormal factor of mean 1. */
	private spread(sigma: number): number {
		const normal = Math.sqrt(-2 * Math.log(1 - this.random.next())) * Math.cos(2 * Math.PI * this.random.next());
		return Math.exp((sigma * normal) - (sigma * sigma / 2));
	}

	/** Passes an event to an entry, which takes it up when it is done with earlier ones. */
	private step(entry: number, event: Event): void {
		const cores = this.load.entryCores?.[entry];
		if (cores === undefined) {
			this.stepNow(entry, event);
			return;
		}

		this.busyUntil[entry] = Math.max(this.now, this.busyUntil[entry]!) + ((eventCostMs[event.kind] ?? 0) / cores);
		this.at(this.busyUntil[entry] - this.now, () => {
			this.stepNow(entry, event);
		});
	}

	private stepNow(entry: number, event: Event): void {
		for (const action of this.schedules[entry]!.step(event, this.now)) {
			this.carryOut(entry, action);
		}
	}

	private carryOut(entry: number, action: Action): void {
		switch (action.kind) {
			case 'start': {
				const ask: RunRequest = {
					owner: String(entry), ref: action.ref, task: action.task.name, resources: action.task.resources, spec: '', route: action.job.route, sentAt: this.now, expectedMs: action.expectedMs,
				};
				this.at(wayMs, () => {
					this.guard(Number(action.place), {kind: 'request', request: ask, clock: this.now});
				});
				break;
			}

			case 'stop': {
				this.at(wayMs, () => {
					this.guard(Number(action.place), {
						kind: 'cancel', owner: String(entry), ref: action.ref, hung: action.hung,
					});
				});
				break;
			}

			case 'want': {
				const {resources: room, dueMs, reserve} = action;
				this.wants++;
				this.at(wayMs, () => {
					this.guard(Number(action.place), {
						kind: 'want', owner: String(entry), resources: room, dueMs, reserve,
					});
				});
				break;
			}

			case 'notice': {
				if (entry === 0) {
					this.notices.push({...action.notice, at: this.now});
				}

				break;
			}

			case 'answer': {
				const draw = this.draws.get(action.job)!;
				this.draws.delete(action.job);
				if (draw.isReturn) {
					this.countReturn(draw, action.verdict);
					break;
				}

				this.count(draw, action.verdict);
				if (this.load.returns && action.verdict.kind === 'refused') {
					this.at(Math.ceil(action.verdict.retryMs / 1000) * 1000, () => {
						this.draws.set(action.job, {...draw, at: this.now, isReturn: true});
						this.step(entry, {kind: 'submit', job: draw.job});
					});
				}

				break;
			}
		}
	}

	private guard(index: number, event: Parameters<Guard['step']>[0]): void {
		const guard = this.guards[index]!;
		const wasFailing = guard.isFailing;
		for (const action of guard.step(event, this.now)) {
			this.act(index, action);
		}

		if (guard.isFailing !== wasFailing) {
			this.at(wayMs, () => {
				for (const entry of this.linked[index]!) {
					this.report(index, entry);
				}
			});
		}
	}

	private act(index: number, action: GuardAction): void {
		switch (action.kind) {
			case 'start': {
				this.begin(index, action);
				break;
			}

			case 'stop': {
				this.at(beginMs, () => {
					this.running[index]!.delete(action.run.task);
					this.guard(index, {kind: 'stopped', run: action.run, reply: {kind: 'done'}});
					this.look(index, []);
				});
				break;
			}

			case 'refuse': {
				this.refusals++;
				this.reply(index, action.owner, {
					kind: 'refused', place: String(index), ref: action.ref, why: action.why,
				});
				break;
			}

			case 'offer': {
				this.at(wayMs, () => {
					this.step(Number(action.owner), {kind: 'offered', place: String(index)});
					this.room(index, Number(action.owner));
				});
				break;
			}

			case 'end': {
				this.reply(index, action.owner, {
					kind: 'ended', place: String(index), ref: action.ref, outcome: action.outcome, ranMs: action.ranMs,
				});
				break;
			}

			case 'crashed': {
				for (const entry of this.linked[index]!) {
					this.reply(index, String(entry), {
						kind: 'crashed', place: String(index), life: action.life, ageMs: 0, tasks: action.tasks,
					});
				}

				break;
			}
		}
	}

	private begin(index: number, {run, request: ask}: GuardAction & {kind: 'start'}): void {
		const [id, task] = run.task.split('.') as [string, string];
		const draw = this.draws.get(id);
		const second = this.now / 1000;
		const slowed = index === 1 ? this.load.slow(second) : 1;
		const ms = (draw?.workMs[Number(task)] ?? 1) / this.load.workers[index]!.speed * slowed;
		const ending = index < (this.load.failing?.(second) ?? 0) ? 'failed' : 'done';
		if (this.crashed.has(index)) {
			return;
		}

		this.starts++;
		const known = this.crashesByTask.get(run.task);
		if (known && known.crashes > 2) {
			known.startsAfterThird++;
		}

		const held = this.guards[index]!.capacityHeldByOthers('', this.now).cpu;
		this.mostUsed = Math.max(this.mostUsed, held / this.load.workers[index]!.cpu);
		if (draw) {
			draw.startedAt[Number(task)] = this.now;
		}

		this.failures += Number(ending === 'failed');
		if (this.now < this.load.seconds * 1000) {
			this.busy += ms * ask.resources.cpu;
		}

		this.at(beginMs, () => {
			if (this.crashed.has(index)) {
				this.guard(index, {kind: 'started', run, reply: {kind: 'unknown', cause: 'ECONNREFUSED', absent: true}});
				return;
			}

			this.running[index]!.set(run.task, {
				until: this.now + ms, ref: ask.ref, owner: ask.owner, task: run.task, number: run.number,
			});
			this.guard(index, {kind: 'started', run, reply: {kind: 'done'}});
			if (draw?.crashes && task === '0') {
				this.at(crashAfterMs + (this.chance.next() * crashSpreadMs), () => {
					if (this.running[index]!.get(run.task)?.number === run.number) {
						this.crash(index);
					}
				});
			}

			this.at(ms, () => {
				if (this.running[index]!.get(run.task)?.number === run.number) {
					this.running[index]!.delete(run.task);
					this.look(index, [{...run, sequence: ++this.sequence, ending}]);
				}
			});
		});
	}

	private look(index: number, ended: Array<{task: string; number: number; sequence: number; ending: 'done' | 'failed'}>): void {
		const running = [...this.running[index]!.values()].map(({task, number}) => ({task, number}));
		this.guard(index, {
			kind: 'polled',
			sentAt: this.now - 1,
			result: {
				kind: 'seen', clock: this.now, born: this.births[index]!, running, ended,
			},
		});
	}

	private reply(index: number, owner: string, event: Event): void {
		this.at(wayMs, () => {
			this.step(Number(owner), event);
			this.room(index, Number(owner));
		});
	}

	private room(index: number, entry: number): void {
		const guard = this.guards[index]!;
		const releases = guard.releases(this.now);
		this.step(entry, {
			kind: 'room',
			place: String(index),
			others: this.others(index, entry),
			...(releases.length > 0 && {releases}),
			reserved: guard.reservedByOthers(String(entry), this.now),
		});
	}

	private others(index: number, entry: number): Resources {
		return this.guards[index]!.capacityHeldByOthers(String(entry), this.now);
	}

	private tell(index: number, round = 0): void {
		for (const entry of this.linked[index]!) {
			if (round % (tellIdleMs / tellMs) === 0 || this.guards[index]!.isNeededBy(String(entry))) {
				this.report(index, entry);
			}
		}

		this.at(tellMs, () => {
			this.tell(index, round + 1);
		});
	}

	private report(index: number, entry: number): void {
		this.step(entry, {
			kind: 'told',
			place: String(index),
			report: {
				zone: `z${index % 3}`,
				pool: 'p',
				room: {cpu: this.load.workers[index]!.cpu, memoryMb: 1e9, accelerators: 0},
				others: this.others(index, entry),
				isFailing: this.load.tellsFailing !== false && this.guards[index]!.isFailing,
				hindrance: index < this.load.gone(this.now / 1000) ? 'absent' : this.guards[index]!.startRefusal,
			},
		});
	}

	private countReturn({kind, objective, at}: Draw, verdict: Verdict): void {
		const tally = this.tallies.get(kind.route)!;
		tally.returned++;
		tally.servedOnReturn += Number(verdict.kind === 'completed' && this.now - at + (2 * wayMs) <= objective);
	}

	private count(draw: Draw, verdict: Verdict): void {
		const {
			job, kind, objective, worth, at,
		} = draw;
		const tally = this.tallies.get(kind.route)!;
		const took = this.now - at + (2 * wayMs);
		this.ended.push({...draw, verdict, tookMs: took});
		tally.ends.push({
			work: job.tasks.reduce((sum, {resources, estimateMs}) => sum + (resources.cpu * estimateMs), 0), served: verdict.kind === 'completed' && took <= objective * lateFactor,
		});
		switch (verdict.kind) {
			case 'completed': {
				if (took <= objective) {
					tally.inAim++;
					tally.worth += worth;
				} else if (took <= objective * lateFactor) {
					tally.late++;
					tally.worth += worth * lateShare;
				} else {
					tally.tooLate++;
				}

				break;
			}

			case 'refused': {
				tally.refused++;
				tally.heldRefused += took > objective / 4 ? 1 : 0;
				break;
			}

			case 'failed':
			case 'expired':
			case 'cancelled': {
				tally.failed++;
				break;
			}
		}
	}
}

/** The size classes of a kind by work: the largest tenth, the fifth below it, and the rest. */
const classBounds = [0, 0.7, 0.9, 1] as const;

/** Returns the share of jobs served, or 1 where there are none. */
function servedShare(ends: readonly End[]): number {
	return ends.length === 0 ? 1 : ends.filter(({served}) => served).length / ends.length;
}

/** Returns the served share of each size class of a kind relative to the whole kind, the smallest jobs first. */
function classShares(ends: readonly End[]): number[] {
	const sorted = ends.toSorted((a, b) => a.work - b.work);
	const whole = servedShare(ends);
	return classBounds.slice(1).map((bound, index) => servedShare(sorted.slice(Math.floor(classBounds[index]! * ends.length), Math.floor(bound * ends.length))) / whole);
}

/** Plays loads with a policy over some seeds and prints one JSON line each: worth earned over worth owed, and what callers got. */
export function comparePlans(names: readonly string[], policy: Partial<Policy>, seeds: readonly number[]): void {
	const all = {
		...loads, ...largeLoads, ...hardLoads, ...unevenLoads,
	};
	for (const name of names.length > 0 ? names : Object.keys(loads)) {
		const total = {
			asked: 0, inAim: 0, late: 0, tooLate: 0, refused: 0, failed: 0, heldRefused: 0, returned: 0, servedOnReturn: 0,
		};
		const byRoute: Record<string, number> = {};
		const ends = new Map<string, End[]>();
		const sizes = SizeReport.create();
		let share = 0;
		let refusals = 0;
		let wants = 0;
		let use = 0;
		for (const seed of seeds) {
			const load = all[name]!;
			const plan = Plan.create(load, policy, seed).play();
			sizes.add(plan.ended, load.taskCpu);
			refusals += plan.refusals / plan.starts;
			wants += plan.wants / plan.starts;
			use += plan.busy / (load.workers.reduce((sum, {cpu}) => sum + cpu, 0) * load.seconds * 1000);
			for (const [route, tally] of plan.tallies) {
				const {worth} = load.kinds.find(kind => kind.route === route)!;
				const part = tally.worth / (worth * tally.asked);
				byRoute[route] = (byRoute[route] ?? 0) + (part / seeds.length);
				share += tally.worth;
				ends.set(route, [...(ends.get(route) ?? []), ...tally.ends]);
				for (const key of Object.keys(total) as Array<keyof typeof total>) {
					total[key] += tally[key];
				}
			}
		}

		const mean = (sum: number, digits: number): number => Number((sum / seeds.length).toFixed(digits));
		process.stdout.write(`${JSON.stringify({
			load: name,
			policy,
			seeds: seeds.length,
			earned: mean(share, 2),
			byRoute: Object.fromEntries(Object.entries(byRoute).map(([route, part]) => [route, Number(part.toFixed(3))])),
			servedByRoute: Object.fromEntries([...ends].map(([route, list]) => [route, Number(servedShare(list).toFixed(3))])),
			classes: Object.fromEntries([...ends].map(([route, list]) => [route, classShares(list).map(part => Number(part.toFixed(2)))])),
			...total,
			orderRefusals: mean(refusals, 3),
			wants: mean(wants, 3),
			use: mean(use, 3),
			...sizes.summary(),
		})}\n`);
	}
}
