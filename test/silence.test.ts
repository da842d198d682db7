import test, {type ExecutionContext} from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {DispatchMeters} from '../src/ephemeral/meters.js';
import {
	drive, executorOf, job, leaseMs, quiet, room, start, submit, until, type Scene,
} from './ephemeral-scene.js';
import {Proxy} from './proxy.js';
import {ModelWorker} from './worker.js';

/** How long each task takes, and how long what is silent stays so, in milliseconds. */
const taskMs = 900;
const silentMs = 1500;
/** When a caller whose connection broke submits again, in milliseconds. */
const againMs = 1300;

/** Two entries, the first behind a proxy, and two workers that say when a task begins while it runs at the other. */
async function open(t: ExecutionContext): Promise<Scene & {proxy: Proxy; doubles: string[]}> {
	const scene = await start(t, 1, 0);
	const [first] = scene.entries;
	const proxy = await Proxy.create(first!.address);
	t.teardown(async () => proxy.close());
	// The only address under which it is known, so that no link goes past the proxy.
	first!.address = proxy.address;
	scene.entries.push(await Dispatcher.create({
		node: 'e1', life: 'e1-1', address: '127.0.0.1:0', seeds: [proxy.address],
	}, systemClock, quiet, DispatchMeters.create()));
	const doubles: string[] = [];
	const workers = [ModelWorker.create(room, leaseMs), ModelWorker.create(room, leaseMs)];
	const executors = workers.map(worker => executorOf(worker, {resources: {...room, cpu: 4}, durationMs: taskMs, ending: 'done'}));
	for (const [index, executor] of executors.entries()) {
		drive(t, `p${index}`, {
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
				renew: async (renewal, life) => executor.renew(renewal, life),
			},
		});
	}

	await until(() => scene.entries.every(({schedule}) => schedule.placeCounts.open === 2));
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
] as Array<[string, (scene: Scene & {proxy: Proxy}) => void]>) {
	test(`silence: a task whose link is ${title} never runs twice at a time, and its job completes`, async t => {
		const scene = await open(t);
		const answer = submit(scene.entries[0]!, job('j', 4, taskMs));
		await until(() => scene.workers.every(({tasks}) => tasks.length === 2));
		spoil(scene);
		await systemClock.sleep(silentMs);
		scene.proxy.release();
		t.deepEqual(await answer, {kind: 'completed'});
		t.deepEqual([scene.doubles, scene.workers.flatMap(({violations: faults}) => faults)], [[], []]);
	});

	test(`silence: a job sent again elsewhere while its link is ${title} never runs twice at a time`, async t => {
		const scene = await open(t);
		void submit(scene.entries[0]!, job('j', 4, taskMs));
		await until(() => scene.workers.every(({tasks}) => tasks.length === 2));
		spoil(scene);
		await systemClock.sleep(againMs);
		const answer = submit(scene.entries[1]!, job('j', 4, taskMs));
		await systemClock.sleep(silentMs - againMs);
		scene.proxy.release();
		t.deepEqual(await answer, {kind: 'completed'});
		t.deepEqual([scene.doubles, scene.workers.flatMap(({violations: faults}) => faults)], [[], []]);
	});
}

test('silence: a worker that is silent for less than its lease keeps its runs, and none begins again', async t => {
	const scene = await open(t);
	const answer = submit(scene.entries[0]!, job('j', 4, taskMs));
	await until(() => scene.workers.every(({tasks}) => tasks.length === 2));
	scene.executors[0]!.silent = true;
	await systemClock.sleep(200);
	scene.executors[0]!.silent = false;
	t.deepEqual(await answer, {kind: 'completed'});
	t.deepEqual(scene.workers.map(({startedRuns: began}) => began.size), [2, 2]);
});

test('hand-over: while two lives of a sidecar act at once, no task runs twice at a time', async t => {
	const scene = await open(t);
	const answers = ['j', 'k', 'l'].map(async id => submit(scene.entries[0]!, job(id, 4, taskMs)));
	await until(() => scene.workers.every(({tasks}) => tasks.length === 2));
	const [worker] = scene.workers;
	drive(t, 'p0', {seeds: [scene.proxy.address], executor: scene.executors[0]!});
	t.deepEqual(await Promise.all(answers), [{kind: 'completed'}, {kind: 'completed'}, {kind: 'completed'}]);
	t.deepEqual([scene.doubles, worker!.violations], [[], []]);
});
