import test from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {deferred} from '../src/deferred.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';
import type {StartOrder, PollResult} from '../src/ports/executor.js';
import {
	startDriver, createExecutor, createJob, leaseMs, silentLog, room, startCluster, submit, waitUntil,
} from './ephemeral-cluster.js';
import {ModelWorker} from './model-worker.js';

test('ephemeral: a job goes from an entry to workers and back', async t => {
	const {entries: [entry], workers} = await startCluster(t, 1, 2);
	await waitUntil(() => entry!.schedule.placeCounts.open === 2);
	t.deepEqual(await submit(entry!, createJob('j', 4)), {kind: 'completed'});
	t.deepEqual(workers.flatMap(({violations: faults}) => faults), []);
});

test('ephemeral: sidecars find entries that only other entries know', async t => {
	const {entries} = await startCluster(t, 3, 2);
	await waitUntil(() => entries.every(({schedule}) => schedule.placeCounts.open === 2));
	t.deepEqual(await Promise.all(entries.map(async (entry, index) => submit(entry, createJob(`j${index}`)))), entries.map(() => ({kind: 'completed'})));
});

test('ephemeral: an entry that others know by its address before it links is told to sidecars', async t => {
	const {entries: [first]} = await startCluster(t, 1, 1);
	await waitUntil(() => first!.schedule.placeCounts.open === 1);
	const late = await Dispatcher.create({
		node: 'late', incarnation: 'late-1', address: '127.0.0.1:0', seeds: [],
	}, systemClock, silentLog, DispatcherMetrics.create());
	t.teardown(() => {
		late.close();
	});
	first!.addAddresses([late.address]);
	await waitUntil(() => late.schedule.placeCounts.open === 1);
	t.deepEqual(await submit(late, createJob('j')), {kind: 'completed'});
});

test('ephemeral: an entry whose job waits for room is offered what another entry\'s job leaves', async t => {
	const {entries: [first, second], entryMetrics: entryMeters, driverMetrics: driverMeters} = await startCluster(t, 2, 1);
	await waitUntil(() => first!.schedule.placeCounts.open === 1 && second!.schedule.placeCounts.open === 1);
	const one = submit(first!, createJob('one', 8));
	await waitUntil(() => first!.schedule.outstandingTasks('s0').length === 2);
	t.deepEqual(await Promise.all([one, submit(second!, createJob('two', 8))]), [{kind: 'completed'}, {kind: 'completed'}]);
	const asked = await Promise.all(entryMeters.map(async ({orders}) => orders.get()));
	t.true(asked.flatMap(({values}) => values).some(({labels, value}) => labels.kind === 'want' && value > 0));
	const {values: [offers]} = await driverMeters[0]!.offers.get();
	t.true(offers!.value > 0);
});

test('ephemeral: a second submission of a job under way joins it', async t => {
	const {entries: [entry], workers: [worker]} = await startCluster(t, 1, 1);
	await waitUntil(() => entry!.schedule.placeCounts.open === 1);
	t.deepEqual(await Promise.all([submit(entry!, createJob('j')), submit(entry!, createJob('j'))]), [{kind: 'completed'}, {kind: 'completed'}]);
	t.is(worker!.startedRuns.size, 2);
});

test('ephemeral: the tasks of a caller that left are stopped', async t => {
	const {entries: [entry], workers: [worker]} = await startCluster(t, 1, 1, 60_000);
	await waitUntil(() => entry!.schedule.placeCounts.open === 1);
	const leave = entry!.submit(createJob('j'), () => {
		t.fail('answered though its caller left');
	});
	await waitUntil(() => worker!.tasks.length === 2);
	leave();
	await waitUntil(() => worker!.tasks.length === 0);
	t.is(entry!.schedule.jobCount, 0);
});

test('ephemeral: the runs of an entry that ends are stopped', async t => {
	const {entries: [entry], workers: [worker]} = await startCluster(t, 1, 1, 60_000);
	await waitUntil(() => entry!.schedule.placeCounts.open === 1);
	entry!.submit(createJob('j'), () => undefined);
	await waitUntil(() => worker!.tasks.length === 2);
	entry!.close();
	await waitUntil(() => worker!.tasks.length === 0);
	t.deepEqual(worker!.violations, []);
});

test('ephemeral: the runs of a worker that does not answer are run again elsewhere, once its leases are over', async t => {
	const {entries: [entry], workers, executors} = await startCluster(t, 1, 2, 300);
	await waitUntil(() => entry!.schedule.placeCounts.open === 2);
	const answer = submit(entry!, createJob('j', 4));
	await waitUntil(() => workers.every(({tasks}) => tasks.length === 2));
	executors[0]!.silent = true;
	t.deepEqual(await answer, {kind: 'completed'});
	t.is(workers[1]!.startedRuns.size, 4);
	workers[0]!.advance(leaseMs);
	t.deepEqual(workers.flatMap(({violations: faults}) => faults), []);
});

test('ephemeral: an order is not dated ahead of a worker whose clock is slow', async t => {
	const {entries: [entry], drivers: [first]} = await startCluster(t, 1, 1);
	await first!.stop(0);
	const worker = ModelWorker.create(room, leaseMs);
	const executor = createExecutor(worker, {resources: {...room, cpu: 4}, durationMs: 200, ending: 'done'}, 0.5);
	const ahead: number[] = [];
	startDriver(t, 'slow', {
		seeds: [entry!.address],
		executor: {
			...executor,
			async start(order, life) {
				ahead.push(order.leaseUntil - worker.clock);
				return executor.start(order, life);
			},
		},
	});
	await waitUntil(() => entry!.schedule.placeCounts.open === 1);
	for (let index = 0; index < 6; index++) {
		t.deepEqual(await submit(entry!, createJob(`j${index}`)), {kind: 'completed'});
	}

	t.true(Math.max(...ahead) < leaseMs * 1.5, `dated ${Math.max(...ahead)} ms ahead`);
});

/** The reply that confirms a report. */
const confirmed = (born: number): PollResult => ({
	kind: 'seen', clock: 0, born, running: [], ended: [],
});

test('ephemeral: a worker that refuses looks is asked again after a pause', async t => {
	let looks = 0;
	const from = systemClock.mono();
	startDriver(t, 's', {
		seeds: [],
		executor: {
			...createExecutor(ModelWorker.create(room, leaseMs), {resources: room, durationMs: 1, ending: 'done'}),
			async poll() {
				looks++;
				return looks === 1 ? confirmed(1) : {kind: 'refused', reason: 'other-life'};
			},
		},
	});
	await waitUntil(() => looks > 1);
	await systemClock.sleep(400);
	looks--;
	// One a pause of 50 ms, and one that may have begun before it.
	t.true(looks <= ((systemClock.mono() - from) / 50) + 1, `${looks} looks`);
});

test('ephemeral: a zone that is out gets nothing, whichever entry says so', async t => {
	const {entries: [first, second]} = await startCluster(t, 2, 1);
	await waitUntil(() => first!.schedule.placeCounts.open === 1 && second!.schedule.placeCounts.open === 1);
	first!.setDesiredState(7, '[]', ['z']);
	await waitUntil(() => second!.schedule.placeCounts.open === 0);
	const verdict = await submit(second!, {...createJob('j'), aimMs: 100});
	t.like(verdict, {kind: 'refused', why: 'no-place'});
});

test('ephemeral: a desired state goes to an entry that the store does not give it to, and only when that asks', async t => {
	const {entries} = await startCluster(t, 2, 0);
	const [first, second] = entries;
	const got = new Promise<[number, string]>(resolve => {
		second!.onDesiredState = (asOf, text) => {
			second!.setDesiredState(asOf, text, []);
			resolve([asOf, text]);
		};
	});
	first!.onDesiredState = () => {
		t.fail('it holds that state itself');
	};

	first!.setDesiredState(7, 'text', []);
	t.deepEqual(await got, [7, 'text']);
});

// Guards against entries that request the whole state from each other because the store's version rose with rows that have nothing to do with it.
test('ephemeral: an entry that holds the same desired state under an older version takes the newer version, not the state', async t => {
	const {entries: [first, second]} = await startCluster(t, 2, 0);
	for (const entry of [first!, second!]) {
		entry.onDesiredState = () => {
			t.fail('it holds that state');
		};
	}

	first!.setDesiredState(7, 'text', []);
	second!.setDesiredState(5, 'text', []);
	await waitUntil(() => second!.desiredAsOf === 7);
	second!.setDesiredState(9, 'text', []);
	await waitUntil(() => first!.desiredAsOf === 9);
	t.is(second!.desiredAsOf, 9);
});

test('ephemeral: an entry that starts takes the desired state from another', async t => {
	const {entries: [first]} = await startCluster(t, 1, 0);
	first!.setDesiredState(7, 'text', []);
	const late = await Dispatcher.create({
		node: 'late', incarnation: 'late-1', address: '127.0.0.1:0', seeds: [first!.address],
	}, systemClock, silentLog, DispatcherMetrics.create());
	t.teardown(() => {
		late.close();
	});
	t.deepEqual(await new Promise(resolve => {
		late.onDesiredState = (asOf, text) => {
			resolve([asOf, text]);
		};
	}), [7, 'text']);
});

test('ephemeral: ends of a restarted worker are not acknowledged by the numbers of its earlier incarnation', async t => {
	const late = deferred<PollResult>();
	const fence: PollResult = {kind: 'refused', reason: 'fence', clock: 0};
	/** The first report is confirmed, the poll after it is answered late, and then the second report is confirmed. */
	const replies = [confirmed(1), late.promise, confirmed(2)];
	let polls = 0;
	const driver = startDriver(t, 's', {
		seeds: [],
		executor: {
			...createExecutor(ModelWorker.create(room, leaseMs), {resources: room, durationMs: 1, ending: 'done'}),
			poll: async () => replies[polls++] ?? fence,
		},
	});
	await waitUntil(() => polls === 2);
	driver.workerReported({
		incarnation: 'w-2', born: 2, pool: 'p', capacity: room, labels: [], draining: false,
	}, 0);
	await waitUntil(() => driver.guard.worker?.born === 2);
	late.resolve({
		kind: 'seen', clock: 0, born: 1, running: [], ended: [{
			sequence: 9, task: 'j.0', number: 1, ending: 'done',
		}],
	});
	await systemClock.sleep(100);
	t.is(driver.guard.lastEndSequence, 0);
});

for (const [title, isGone] of [['reports at once', false], ['has refused connections before', true]] as const) {
	// Guards against a start that the worker left unanswered and carries out after a crash, while its task runs elsewhere.
	test(`ephemeral: the first call that reaches a restarted worker that ${title} bars the orders before it`, async t => {
		const {entries: [entry], drivers: [driver], workers: [worker], executors: [executor]} = await startCluster(t, 1, 1, 3000);
		await waitUntil(() => entry!.schedule.placeCounts.open === 1);
		const {start, poll} = executor!;
		let unanswered: StartOrder | undefined;
		executor!.start = async (order, life) => {
			if (unanswered) {
				return start(order, life);
			}

			unanswered = order;
			return {kind: 'unknown', cause: 'lost', absent: false};
		};

		void submit(entry!, createJob('j', 1));
		await waitUntil(() => worker!.tasks.length === 1);
		executor!.refuses = isGone;
		worker!.restart();
		await systemClock.sleep(isGone ? 400 : 0);
		let calls = 0;
		const barred = new Promise<number>(resolve => {
			executor!.poll = async (request, life) => {
				calls++;
				const call = calls;
				const result = await poll(request, life);
				if (worker!.start({...unanswered!, leaseUntil: 1e6}, {resources: room, durationMs: 1, ending: 'done'}).kind === 'refused') {
					resolve(call);
				}

				return result;
			};
		});
		executor!.refuses = false;
		driver!.workerReported({...driver!.guard.worker!, born: worker!.born}, 0);
		t.is(await barred, 1);
	});
}
