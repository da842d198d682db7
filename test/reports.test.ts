import test, {type ExecutionContext} from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import type {Worker} from '../src/decide/guard.js';
import type {Driver} from '../src/ephemeral/driver.js';
import {DriverMetrics} from '../src/ephemeral/metrics.js';
import {
	createExecutor, createJob, leaseMs, room, startCluster, startDriver, submit, waitUntil, type ModelExecutor,
} from './ephemeral-cluster.js';
import {ModelWorker} from './model-worker.js';

const worker = (fields: Partial<Worker> = {}): Worker => ({
	incarnation: 'w-s0', born: 1, pool: 'p', capacity: room, labels: [], draining: false, ...fields,
});

/** Lets a worker answer only to the names of its incarnations. */
function answerTo(executor: ModelExecutor, ...lives: string[]): void {
	const poll = executor.poll.bind(executor);
	executor.poll = async (renewal, life) => lives.includes(life) ? poll(renewal, life) : {kind: 'refused', reason: 'other-life', clock: 0};
}

type Sidecar = {driver: Driver; metrics: DriverMetrics; model: ModelWorker};

/** Starts a sidecar, whose worker has reported itself. */
function start(t: ExecutionContext): Sidecar {
	const model = ModelWorker.create(room, leaseMs);
	const executor = createExecutor(model, {resources: {...room, cpu: 4}, durationMs: 300, ending: 'done'});
	answerTo(executor, 'w-s0', 'w-2');
	const metrics = DriverMetrics.create();
	return {driver: startDriver(t, 's0', {seeds: [], executor, metrics}), metrics, model};
}

/** The reports that did not count so far, by reason. */
async function ignored(metrics: DriverMetrics): Promise<string[]> {
	const {values} = await metrics.ignoredReports.get();
	return values.map(({labels, value}) => `${labels.why} ${value}`);
}

const odd = [
	['a start far ahead', {born: Number.MAX_SAFE_INTEGER}, 0, 4],
	['a start an hour ahead, under another name', {incarnation: 'x', born: 3_600_000}, 0, 4],
	['the same start, under another name', {incarnation: 'x'}, 0, 4],
	['a clock far ahead', {}, 1e10, 4],
] as const;

for (const [title, fields, clock, sequence] of odd) {
	// Guards against one odd report that makes a sidecar deaf to its worker.
	test(`reports: the worker's drain is followed after a report with ${title}`, async t => {
		const {driver, metrics} = start(t);
		await waitUntil(() => driver.guard.startRefusal === undefined);
		driver.workerReported(worker({...fields, capacity: {...room, cpu: 99}}), clock, sequence);
		t.deepEqual(driver.guard.worker?.capacity, room);
		driver.workerReported(worker({draining: true}), 1, 5);
		t.true(driver.guard.worker?.draining);
		t.deepEqual(driver.guard.worker?.capacity, room);
		await systemClock.sleep(200);
		t.like(driver.guard.worker, worker({draining: true}));
		t.is(driver.guard.startRefusal, 'draining');
		t.deepEqual(await ignored(metrics), ['contradicted 1']);
	});

	// Guards against a forged report that ends runs as lost, so that their tasks start elsewhere while they run on.
	test(`reports: runs go on, and tasks start, after a report with ${title}`, async t => {
		const {entries: [entry], drivers: [driver], driverMetrics: [metrics], workers: [model], executors: [executor]} = await startCluster(t, 1, 1, 300);
		answerTo(executor!, 'w-s0');
		await waitUntil(() => entry!.schedule.placeCounts.open === 1);
		const verdict = submit(entry!, createJob('j'));
		await waitUntil(() => model!.tasks.length === 2);
		driver!.workerReported(worker(fields), clock, sequence);
		t.deepEqual(await verdict, {kind: 'completed'});
		t.deepEqual(await submit(entry!, createJob('k')), {kind: 'completed'});
		t.deepEqual([...model!.startedRuns], ['j.0#1', 'j.1#1', 'k.0#1', 'k.1#1']);
		const {values} = await metrics!.endedRuns.get();
		t.deepEqual(values.map(({labels, value}) => [labels.outcome, value]), [['done', 4]]);
		t.is((await metrics!.workerCrashes.get()).values.length, 0);
	});

	test(`reports: the right worker is found after a first report with ${title}`, async t => {
		const executor = createExecutor(ModelWorker.create(room, leaseMs), {resources: room, durationMs: 1, ending: 'done'});
		answerTo(executor, 'w-s0');
		const driver = startDriver(t, 's0', {seeds: [], executor, first: {worker: worker(fields), clock}});
		await systemClock.sleep(100);
		driver.workerReported(worker(), 1, 5);
		await waitUntil(() => driver.guard.startRefusal === undefined);
		t.like(driver.guard.worker, worker());
	});
}

for (const [title, incarnation] of [['the same name', 'w-s0'], ['another name', 'w-2']] as const) {
	test(`reports: a worker that starts again under ${title} is found by its report`, async t => {
		const {driver, metrics, model} = start(t);
		await waitUntil(() => driver.guard.startRefusal === undefined && !driver.guard.needsPolling);
		model.restart();
		driver.workerReported(worker({incarnation, born: 2}), 0);
		t.is(driver.guard.startRefusal, 'unsettled');
		await waitUntil(() => driver.guard.startRefusal === undefined);
		t.like(driver.guard.worker, worker({incarnation, born: 2}));
		t.deepEqual(await ignored(metrics), []);
	});
}

// Guards against a slow worker whose reports are never confirmed, as polls have longer to be answered the more are lost.
test('reports: a worker that takes 200 ms to answer is found', async t => {
	const executor = createExecutor(ModelWorker.create(room, leaseMs), {resources: room, durationMs: 1, ending: 'done'});
	const poll = executor.poll.bind(executor);
	executor.poll = async (renewal, life) => {
		await systemClock.sleep(Math.min(200, renewal.waitMs + renewal.marginMs));
		return renewal.waitMs + renewal.marginMs < 200 ? {kind: 'unknown', cause: 'timeout', absent: false} : poll(renewal, life);
	};

	const driver = startDriver(t, 's0', {seeds: [], executor});
	await waitUntil(() => driver.guard.startRefusal === undefined);
	t.like(driver.guard.worker, worker());
});

test('reports: a report of the incarnation before, delayed until the next one has reported, changes nothing', async t => {
	const {driver, metrics, model} = start(t);
	await waitUntil(() => driver.guard.startRefusal === undefined);
	model.restart();
	driver.workerReported(worker({incarnation: 'w-2', born: 2}), 0);
	await waitUntil(() => driver.guard.worker?.born === 2);
	driver.workerReported(worker({draining: true}), 1e6, 90);
	t.like(driver.guard.worker, worker({incarnation: 'w-2', born: 2}));
	t.deepEqual(await ignored(metrics), ['late 1']);
});
