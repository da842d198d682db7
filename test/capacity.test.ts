import test from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {
	createJob, room, startCluster, submit, waitUntil,
} from './ephemeral-cluster.js';

/** How long a report takes at most to reach an entry, and how long tasks take, in milliseconds. */
const reportMs = 300;
const taskMs = 3000;

// Guards against entries that order starts by the capacity that a worker had, and that leave a worker idle which has grown.
test('capacity: entries hear at once of a capacity that shrank or grew', async t => {
	const {entries: [entry], drivers: [driver], driverMetrics: [metrics], workers: [worker]} = await startCluster(t, 1, 1, taskMs);
	await waitUntil(() => entry!.schedule.placeCounts.open === 1);
	const resize = (cpu: number): void => {
		worker!.capacity = {...room, cpu};
		driver!.workerReported({
			incarnation: 'w-s0', born: 1, pool: 'p', capacity: worker!.capacity, labels: [], draining: false,
		}, 0);
	};

	resize(4);
	await systemClock.sleep(reportMs);
	void submit(entry!, createJob('j', 3, taskMs));
	await waitUntil(() => worker!.tasks.length === 1);
	await systemClock.sleep(reportMs);
	t.is(worker!.tasks.length, 1);
	t.deepEqual((await metrics!.refusedRequests.get()).values, []);
	resize(12);
	await systemClock.sleep(reportMs);
	t.is(worker!.tasks.length, 3);
	t.deepEqual((await metrics!.refusedRequests.get()).values, []);
	t.deepEqual(worker!.violations, []);
});
