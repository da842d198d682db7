import test, {type ExecutionContext} from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';
import {
	startDriver, createExecutor, createJob, leaseMs, silentLog, room, startCluster, submit, waitUntil, type Cluster,
} from './ephemeral-cluster.js';
import {Proxy} from './proxy.js';
import {ModelWorker} from './model-worker.js';

/** How long each task takes, and how long what is silent stays so, in milliseconds. */
const taskMs = 900;
const silentMs = 1500;
/** When a caller whose connection broke submits again, in milliseconds. */
const againMs = 1300;

/** Two entries, the first behind a proxy, and two workers that say when a task begins while it runs at the other. */
async function open(t: ExecutionContext): Promise<Cluster & {proxy: Proxy; doubles: string[]}> {
	const scene = await startCluster(t, 1, 0);
	const [first] = scene.entries;
	const proxy = await Proxy.create(first!.address);
	t.teardown(async () => proxy.close());
	// The only address under which it is known, so that no link goes past the proxy.
	first!.address = proxy.address;
	scene.entries.push(await Dispatcher.create({
		node: 'e1', incarnation: 'e1-1', address: '127.0.0.1:0', seeds: [proxy.address],
	}, systemClock, silentLog, DispatcherMetrics.create()));
	const doubles: string[] = [];
	const workers = [ModelWorker.create(room, leaseMs), ModelWorker.create(room, leaseMs)];
	const executors = workers.map(worker => createExecutor(worker, {resources: {...room, cpu: 4}, durationMs: taskMs, ending: 'done'}));
	for (const [index, executor] of executors.entries()) {
		startDriver(t, `p${index}`, {
			seeds: [proxy.address],
			executor: {
				...executor,
				async start(order, life) {
					for (const other of executors) {
						other.advance();
					}

					if (workers.some(({tasks}) => tasks.includes(order.task))) {
						doubles.push(order.task);
					}

					return executor.start(order, life);
				},
				poll: async (renewal, life) => executor.poll(renewal, life),
			},
		});
	}

	await waitUntil(() => scene.entries.every(({schedule}) => schedule.placeCounts.open === 2));
	return {
		...scene, workers, executors, proxy, doubles,
	};
}

for (const [title, spoil] of [
	['silent both ways for a while', ({proxy}) => {
		proxy.stall('up');
		proxy.stall('down');
	}],
	['silent from the sidecar for a while', ({proxy}) => {
		proxy.stall('up');
	}],
	['silent to the sidecar for a while', ({proxy}) => {
		proxy.stall('down');
	}],
	['cut', ({proxy}) => {
		proxy.cut();
	}],
] as Array<[string, (scene: Cluster & {proxy: Proxy}) => void]>) {
	test(`silence: a task whose link is ${title} never runs twice at a time, and its job completes`, async t => {
		const scene = await open(t);
		const answer = submit(scene.entries[0]!, createJob('j', 4, taskMs));
		await waitUntil(() => scene.workers.every(({tasks}) => tasks.length === 2));
		spoil(scene);
		await systemClock.sleep(silentMs);
		scene.proxy.release();
		t.deepEqual(await answer, {kind: 'completed'});
		t.deepEqual([scene.doubles, scene.workers.flatMap(({violations: faults}) => faults)], [[], []]);
	});

	test(`silence: a job sent again elsewhere while its link is ${title} never runs twice at a time`, async t => {
		const scene = await open(t);
		void submit(scene.entries[0]!, createJob('j', 4, taskMs));
		await waitUntil(() => scene.workers.every(({tasks}) => tasks.length === 2));
		spoil(scene);
		await systemClock.sleep(againMs);
		const answer = submit(scene.entries[1]!, createJob('j', 4, taskMs));
		await systemClock.sleep(silentMs - againMs);
		scene.proxy.release();
		t.deepEqual(await answer, {kind: 'completed'});
		t.deepEqual([scene.doubles, scene.workers.flatMap(({violations: faults}) => faults)], [[], []]);
	});
}

test('silence: a worker that is silent for less than its lease keeps its runs, and none begins again', async t => {
	const scene = await open(t);
	const answer = submit(scene.entries[0]!, createJob('j', 4, taskMs));
	await waitUntil(() => scene.workers.every(({tasks}) => tasks.length === 2));
	scene.executors[0]!.silent = true;
	await systemClock.sleep(200);
	scene.executors[0]!.silent = false;
	t.deepEqual(await answer, {kind: 'completed'});
	t.deepEqual(scene.workers.map(({startedRuns: began}) => began.size), [2, 2]);
});

test('hand-over: while two lives of a sidecar act at once, no task runs twice at a time', async t => {
	const scene = await open(t);
	const answers = ['j', 'k', 'l'].map(async id => submit(scene.entries[0]!, createJob(id, 4, taskMs)));
	await waitUntil(() => scene.workers.every(({tasks}) => tasks.length === 2));
	const [worker] = scene.workers;
	startDriver(t, 'p0', {seeds: [scene.proxy.address], executor: scene.executors[0]!});
	t.deepEqual(await Promise.all(answers), [{kind: 'completed'}, {kind: 'completed'}, {kind: 'completed'}]);
	t.deepEqual([scene.doubles, worker!.violations], [[], []]);
});
