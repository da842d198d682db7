import test from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {
	createJob, room, startCluster, submit, waitUntil,
} from './ephemeral-cluster.js';

/** How long a worker stays away after a crash, in milliseconds. */
const awayMs = 500;

// Guards against a crashed worker that is offered tasks until three polls are unanswered: each was lost again with the next poll.
test('crashes: only what ran at a crashed worker is lost, and nothing more is sent to it until it is back', async t => {
	const {entries: [entry], drivers: [driver], driverMetrics: [metrics], workers: [worker], executors: [executor]} = await startCluster(t, 1, 1, 100);
	await waitUntil(() => entry!.schedule.placeCounts.open === 1);
	const verdict = submit(entry!, createJob('j', 4));
	await waitUntil(() => worker!.tasks.length === 2);
	worker!.restart();
	executor!.refuses = true;
	await systemClock.sleep(awayMs);
	t.is(entry!.schedule.placeCounts.open, 0);
	const counted = async () => (await metrics!.endedRuns.get()).values.find(({labels}) => labels.outcome === 'lost')?.value;
	t.is(await counted(), 2);
	executor!.refuses = false;
	driver!.workerReported({
		incarnation: 'w2', born: 2, pool: 'p', capacity: room, labels: [], draining: false,
	}, 0);
	t.deepEqual(await verdict, {kind: 'completed'});
	t.is(await counted(), 2);
	t.deepEqual(worker!.violations, []);
});
