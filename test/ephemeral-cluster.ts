import type {ExecutionContext} from 'ava';
import {pino} from 'pino';
import {systemClock} from '../src/adapters/clock.js';
import type {Worker} from '../src/decide/guard.js';
import type {Job, Verdict} from '../src/decide/schedule/schedule.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {Driver} from '../src/ephemeral/driver.js';
import {DispatcherMetrics, DriverMetrics} from '../src/ephemeral/metrics.js';
import type {Executor} from '../src/ports/executor.js';
import type {PolicySettings} from '../src/settings/policy.js';
import {ModelWorker, type RunPlan} from './model-worker.js';

export const leaseMs = 1000;
export const room = {cpu: 10, memoryMb: 100, accelerators: 0};
export const silentLog = pino({level: 'silent'});
/** How often a condition is looked at while a test waits for it, in milliseconds. */
const pollMs = 10;
/** How long a test waits for a condition, in milliseconds. It is no bound of a test: each passes in far less, and the runner gives up after four minutes. */
const waitLimitMs = 60_000;

/** ModelExecutor is a model worker as an executor, in real time or slower by a rate: time passes at each call. */
export type ModelExecutor = Executor & {
	/** Whether calls are lost before they reach the worker. */
	silent: boolean;
	/** Whether nothing listens at the worker's address. */
	refuses: boolean;
	/** Lets the time that has passed since pass at the worker. */
	advance(): void;
};

/** Makes an executor of a model worker. */
export function createExecutor(worker: ModelWorker, work: RunPlan, rate = 1): ModelExecutor {
	let at = systemClock.mono();
	const advance = (): void => {
		const now = systemClock.mono();
		const passed = Math.floor((now - at) * rate);
		worker.advance(passed);
		at += passed / rate;
	};

	const lost = {kind: 'unknown', cause: 'silent', absent: false} as const;
	const refused = {kind: 'unknown', cause: 'ECONNREFUSED', absent: true} as const;
	const failure = () => executor.refuses ? refused : (executor.silent ? lost : undefined);
	const executor: ModelExecutor = {
		silent: false,
		refuses: false,
		advance,
		async start(order) {
			advance();
			return failure() ?? worker.start(order, work);
		},
		async stop(run, fence) {
			advance();
			return failure() ?? worker.stop(run, fence);
		},
		async poll(renewal) {
			await systemClock.sleep(Math.min(renewal.waitMs, pollMs));
			advance();
			return failure() ?? worker.renew(renewal);
		},
		async close() {
			executor.silent = true;
		},
	};
	return executor;
}

/** `first`: the first report, where it is not the worker's own. */
export type DriverOptions = {seeds: readonly string[]; executor: Executor; metrics?: DriverMetrics; policy?: PolicySettings; first?: {worker: Worker; clock: number}};

/** Starts a sidecar whose worker has reported itself; it ends with the test. */
export function startDriver(t: ExecutionContext, node: string, {
	seeds, executor, metrics: meters = DriverMetrics.create(), policy, first,
}: DriverOptions): Driver {
	const driver = Driver.create({
		node, incarnation: `${node}-1`, zone: 'z', seeds, policy,
	}, {
		clock: systemClock, executor, log: silentLog, metrics: meters,
	});
	t.teardown(async () => driver.stop(0));
	driver.workerReported(first?.worker ?? {
		incarnation: `w-${node}`, born: 1, pool: 'p', capacity: room, labels: [], draining: false,
	}, first?.clock ?? 0);
	return driver;
}

export type Cluster = {entries: Dispatcher[]; entryMetrics: DispatcherMetrics[]; drivers: Driver[]; driverMetrics: DriverMetrics[]; workers: ModelWorker[]; executors: ModelExecutor[]};

/** Starts entries that know the first of them, and sidecars that know it too, each with a worker. */
export async function startCluster(t: ExecutionContext, entries: number, sidecars: number, tookMs = 50): Promise<Cluster> {
	const scene: Cluster = {
		entries: [], entryMetrics: [], drivers: [], driverMetrics: [], workers: [], executors: [],
	};
	for (let index = 0; index < entries; index++) {
		const meters = DispatcherMetrics.create();
		scene.entryMetrics.push(meters);
		scene.entries.push(await Dispatcher.create({
			node: `e${index}`, incarnation: `e${index}-1`, address: '127.0.0.1:0', seeds: scene.entries.slice(0, 1).map(({address}) => address),
		}, systemClock, silentLog, meters));
	}

	for (let index = 0; index < sidecars; index++) {
		const worker = ModelWorker.create(room, leaseMs);
		const executor = createExecutor(worker, {resources: {...room, cpu: 4}, durationMs: tookMs, ending: 'done'});
		const meters = DriverMetrics.create();
		scene.driverMetrics.push(meters);
		scene.workers.push(worker);
		scene.executors.push(executor);
		scene.drivers.push(startDriver(t, `s${index}`, {seeds: [scene.entries[0]!.address], executor, metrics: meters}));
	}

	t.teardown(() => {
		for (const entry of scene.entries) {
			entry.close();
		}
	});
	return scene;
}

/** Resolves when a condition holds. Rejects after a time, so that a test that waits for nothing fails by its name and does not stop the whole run. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
	const giveUpAt = systemClock.mono() + waitLimitMs;
	while (!await condition()) {
		if (systemClock.mono() > giveUpAt) {
			throw new Error(`still not so after ${waitLimitMs} ms: ${condition.toString()}`);
		}

		await systemClock.sleep(pollMs);
	}
}

export const createJob = (id: string, tasks = 2, estimateMs = 50): Job => ({
	id,
	route: 'r',
	pool: 'p',
	spec: 'text',
	tasks: Array.from({length: tasks}, (_, index) => ({name: `${id}.${index}`, resources: {cpu: 4, memoryMb: 1, accelerators: 0}, estimateMs})),
	aimMs: 5000,
	stretch: 1,
	attempts: 2,
	priority: 0,
	leftMs: 20_000,
});

export const submit = async (entry: Dispatcher, one: Job): Promise<Verdict> => new Promise(resolve => {
	entry.submit(one, resolve);
});
