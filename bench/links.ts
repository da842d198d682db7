import process from 'node:process';
import {pino} from 'pino';
import {systemClock} from '../src/adapters/clock.js';
import {seededRandom} from '../src/adapters/random.js';
import type {Job, Verdict} from '../src/decide/schedule/schedule.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {Driver} from '../src/ephemeral/driver.js';
import {createMsgpackFrames, jsonLines, type Codec} from '../src/ephemeral/frames.js';
import {decodeMessage, type Message} from '../src/ephemeral/messages.js';
import {DispatcherMetrics, DriverMetrics} from '../src/ephemeral/metrics.js';
import type {
	EndedRun, Executor, PollRequest, PollResult, RunId, StartOrder,
} from '../src/ports/executor.js';
import type {Random} from '../src/ports/random.js';
import {policySettings, type PolicySettings} from '../src/settings/policy.js';

/** A third of deployment V's entries, with all of its sidecars: the links of an entry and the jobs on them are as there. */
const entryCount = 3;
const sidecarCount = 57;
const jobsPerSecondOfEntry = 58;
/** The workers' capacity in thousandths of a core. Beside a third of the load it leaves as much free as all of the load leaves in V. */
const workerCpu = 26_000;
const taskCpu = 2700;
/** The kinds of jobs: jobs a second in V, tasks, and their time in milliseconds. */
const kinds = [
	{
		route: 'short', perSecond: 127, tasks: 8, ms: 73, priority: 0,
	},
	{
		route: 'middle', perSecond: 23, tasks: 4, ms: 1086, priority: 2,
	},
	{
		route: 'two', perSecond: 370, tasks: 2, ms: 243, priority: 1,
	},
] as const;
/** Lengths of a job's text, in bytes; the mean is 2,400. */
const shortestText = 1000;
const longestText = 3800;
/** Declared run times are off by up to this share. */
const estimateError = 0.4;
/** How long the load runs before and while bytes are counted, in milliseconds. */
const warmUpMs = 5000;
const measuredMs = 15_000;
/** The number of sent lists of messages on which encoding and decoding are timed, and how often each is timed. */
const timedLists = 4000;
const timedRounds = 5;

/** ModelWorker runs each task for its time, and answers a poll as soon as a run has ended. */
class ModelWorker implements Executor {
	private readonly running = new Map<string, RunId>();
	private ends: EndedRun[] = [];
	private sequence = 0;
	private wake?: () => void;

	constructor(private readonly durations: ReadonlyMap<string, number>) {}

	async start({task, number}: StartOrder): Promise<{kind: 'done'; clock: number}> {
		this.running.set(task, {task, number});
		setTimeout(() => {
			this.end(task);
		}, this.durations.get(task));
		return {kind: 'done', clock: systemClock.mono()};
	}

	async stop({task}: RunId): Promise<{kind: 'done'; clock: number}> {
		this.running.delete(task);
		return {kind: 'done', clock: systemClock.mono()};
	}

	async poll({seen, waitMs}: PollRequest): Promise<PollResult> {
		this.ends = this.ends.filter(({sequence}) => sequence > seen);
		if (this.ends.length === 0) {
			await new Promise<void>(resolve => {
				const timer = setTimeout(resolve, waitMs);
				this.wake = () => {
					clearTimeout(timer);
					resolve();
				};
			});
		}

		return {
			kind: 'seen', clock: systemClock.mono(), born: 1, running: [...this.running.values()], ended: this.ends,
		};
	}

	async close(): Promise<void> {
		this.running.clear();
	}

	private end(task: string): void {
		const run = this.running.get(task);
		if (run) {
			this.running.delete(task);
			this.ends.push({...run, sequence: ++this.sequence, ending: 'done'});
			this.wake?.();
		}
	}
}

/** Draws jobs of V's kinds, and remembers how long their tasks take. */
class JobSource {
	readonly durations = new Map<string, number>();

	constructor(private readonly random: Random) {}

	next(): Job {
		const id = this.random.id().slice(0, 16);
		const {route, tasks, ms, priority} = this.kind();
		return {
			id: `${route}/${id}`,
			route,
			pool: 'p',
			spec: this.text(),
			tasks: Array.from({length: tasks}, (_, index) => {
				const name = `${id}.0.0.${index}`;
				this.durations.set(name, ms * (1 + (estimateError * ((2 * this.random.next()) - 1))));
				return {name, resources: {cpu: taskCpu, memoryMb: 512, accelerators: 0}, estimateMs: ms};
			}),
			aimMs: 60,
			stretch: 1.6,
			attempts: 3,
			priority,
			leftMs: 1500,
		};
	}

	/** Returns the time to the next job of an entry, in milliseconds. */
	pauseMs(): number {
		return -Math.log(1 - this.random.next()) * 1000 / jobsPerSecondOfEntry;
	}

	private kind(): typeof kinds[number] {
		let at = this.random.next() * kinds.reduce((sum, {perSecond}) => sum + perSecond, 0);
		return kinds.find(({perSecond}) => {
			at -= perSecond;
			return at < 0;
		}) ?? kinds[0];
	}

	private text(): string {
		const length = Math.floor(shortestText + (this.random.next() * (longestText - shortestText)));
		return Array.from({length}, () => String.fromCodePoint(97 + Math.floor(this.random.next() * 26))).join('');
	}
}

/** Tally adds up the bytes on the links by direction and kind of message, and keeps the lists that are timed later. */
class Tally {
	readonly bytes = new Map<string, number>();
	readonly counts = new Map<string, number>();
	readonly lists: Message[][] = [];
	isCounting = false;

	/** Divides the bytes of messages that were sent together by their lengths. */
	add(direction: 'toEntry' | 'fromEntry', messages: readonly Message[], bytes: number): void {
		if (!this.isCounting) {
			return;
		}

		if (this.lists.length < timedLists) {
			this.lists.push([...messages]);
		}

		const lengths = messages.map(message => JSON.stringify(message).length);
		const whole = lengths.reduce((sum, length) => sum + length, 0);
		for (const [index, {kind}] of messages.entries()) {
			const key = `${direction} ${kind}`;
			this.bytes.set(key, (this.bytes.get(key) ?? 0) + (bytes * lengths[index]! / whole));
			this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
		}
	}
}

/** Runs entries and sidecars on loopback under a steady load like deployment V's, and prints the bytes a job on their links. */
export async function measureLinks(enabled: string, seed: number): Promise<void> {
	const policy = policySettings.parse({links: {enabled}});
	const source = new JobSource(seededRandom(seed));
	const tally = new Tally();
	const verdicts = new Map<Verdict['kind'], number>();
	const {entries, drivers} = await open(policy, source, tally);
	const until = systemClock.mono() + warmUpMs + measuredMs;
	const load = entries.map(async entry => {
		for (let dueAt = systemClock.mono(); dueAt < until; dueAt += source.pauseMs()) {
			await systemClock.sleep(Math.max(0, dueAt - systemClock.mono()));
			const isCounted = tally.isCounting;
			entry.submit(source.next(), ({kind}) => {
				verdicts.set(kind, (verdicts.get(kind) ?? 0) + Number(isCounted));
			});
		}
	});
	await systemClock.sleep(warmUpMs);
	tally.isCounting = true;
	const cpu = process.cpuUsage();
	await Promise.all(load);
	tally.isCounting = false;
	const {user, system} = process.cpuUsage(cpu);
	const jobs = [...verdicts.values()].reduce((sum, count) => sum + count, 0);
	const perJob = (figures: ReadonlyMap<string, number>, digits: number) => Object.fromEntries([...figures]
		.toSorted((a, b) => b[1] - a[1])
		.map(([key, value]) => [key, Number((value / jobs).toFixed(digits))]));
	process.stdout.write(`${JSON.stringify({
		links: enabled,
		seed,
		jobs,
		verdicts: Object.fromEntries(verdicts),
		bytesPerJob: Math.round([...tally.bytes.values()].reduce((sum, bytes) => sum + bytes, 0) / jobs),
		bytesPerJobByKind: perJob(tally.bytes, 0),
		messagesPerJobByKind: perJob(tally.counts, 2),
		cpuMsPerJob: Number(((user + system) / 1000 / jobs).toFixed(2)),
		...timeCodecs(tally.lists),
	})}\n`);
	for (const entry of entries) {
		entry.close();
	}

	await Promise.all(drivers.map(async driver => driver.stop(0)));
}

async function open(policy: PolicySettings, source: JobSource, tally: Tally): Promise<{entries: Dispatcher[]; drivers: Driver[]}> {
	const log = pino({level: 'silent'});
	const entries: Dispatcher[] = [];
	for (let index = 0; index < entryCount; index++) {
		const entry = await Dispatcher.create({
			node: `entry-${index}`, incarnation: `entry-${index}-1`, address: '127.0.0.1:0', zone: `zone-${index}`, seeds: entries.map(({address}) => address), policy,
		}, systemClock, log, DispatcherMetrics.create());
		entry.onFlush = (messages, bytes) => {
			tally.add('fromEntry', messages, bytes);
		};

		entries.push(entry);
	}

	const drivers = Array.from({length: sidecarCount}, (_, index) => {
		const node = `sidecar-${index}`;
		const driver = Driver.create({
			node, incarnation: `${node}-1`, zone: `zone-${index % 3}`, seeds: entries.map(({address}) => address), policy,
		}, {
			clock: systemClock, executor: new ModelWorker(source.durations), log, metrics: DriverMetrics.create(),
		});
		driver.onFlush = (messages, bytes) => {
			tally.add('toEntry', messages, bytes);
		};

		driver.workerReported({
			incarnation: `worker-${index}`, born: 1, pool: 'p', capacity: {cpu: workerCpu, memoryMb: 100_000, accelerators: 0}, labels: [], draining: false,
		}, systemClock.mono());
		return driver;
	});
	while (entries.some(({schedule}) => schedule.placeCounts.open < sidecarCount)) {
		await systemClock.sleep(50);
	}

	return {entries, drivers};
}

/** Times encoding, decoding and the check against the schemas, in microseconds a message. */
function timeCodecs(lists: readonly Message[][]): Record<string, unknown> {
	const messages = lists.reduce((sum, list) => sum + list.length, 0);
	const microseconds = (run: () => void): number => {
		const times = Array.from({length: timedRounds}, () => {
			const from = process.hrtime.bigint();
			run();
			return Number(process.hrtime.bigint() - from);
		});
		return Math.round(Math.min(...times) / messages / 10) / 100;
	};

	const check = (values: unknown): void => {
		for (const value of values as unknown[]) {
			decodeMessage(value);
		}
	};

	const timesOf = (createCodec: () => Codec): Record<string, number> => {
		const writer = createCodec();
		const reader = createCodec();
		const blocks = lists.map(list => writer.encode(list));
		const contents = blocks.map(block => block.subarray(writer === jsonLines ? 0 : 4));
		for (const content of contents) {
			reader.decode(content);
		}

		return {
			encode: microseconds(() => {
				for (const list of lists) {
					writer.encode(list);
				}
			}),
			decode: microseconds(() => {
				for (const content of contents) {
					reader.decode(content);
				}
			}),
			bytes: Math.round(blocks.reduce((sum, {length}) => sum + length, 0) / messages),
		};
	};

	return {
		json: timesOf(() => jsonLines),
		msgpack: timesOf(() => createMsgpackFrames()),
		checkUs: microseconds(() => {
			for (const list of lists) {
				check(list);
			}
		}),
	};
}
