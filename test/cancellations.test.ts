import test from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {Cancellations, cancellationRetentionMs} from '../src/decide/cancellations.js';
import {
	createJob, startCluster, submit, waitUntil,
} from './ephemeral-cluster.js';

test('cancellations: one is remembered for its time, and its age counts', t => {
	const memory = Cancellations.create(3);
	t.true(memory.add('a', 0));
	t.true(memory.add('b', 0, 1000));
	const known = (now: number) => ['a', 'b'].map(job => memory.has(job, now));
	t.deepEqual(known(cancellationRetentionMs - 1001), [true, true]);
	t.deepEqual(known(cancellationRetentionMs - 1000), [true, false]);
	t.deepEqual(known(cancellationRetentionMs), [false, false]);
	t.deepEqual(memory.list(500), [['a', 500], ['b', 1500]]);
});

test('cancellations: where there is no room, the new one is not remembered, and none is forgotten', t => {
	const memory = Cancellations.create(2);
	t.deepEqual(['a', 'b', 'c', 'a'].map(job => memory.add(job, 0)), [true, true, false, true]);
	t.deepEqual(['a', 'b', 'c'].map(job => memory.has(job, 1)), [true, true, false]);
	t.true(memory.add('c', cancellationRetentionMs));
});

// Guards against a cancelling that is forgotten with its job: the tasks start when the submission is repeated.
test('cancellations: a job that is cancelled starts nothing when it is submitted again', async t => {
	const {entries: [entry], workers} = await startCluster(t, 1, 2, 400);
	await waitUntil(() => entry!.schedule.placeCounts.open === 2);
	const running = submit(entry!, createJob('j', 8));
	await waitUntil(() => workers.some(({tasks}) => tasks.length > 0));
	entry!.cancel('j');
	t.deepEqual(await running, {kind: 'cancelled'});
	await waitUntil(() => workers.every(({tasks}) => tasks.length === 0));
	const before = workers.map(({startedRuns}) => startedRuns.size);
	t.deepEqual(await submit(entry!, createJob('j', 8)), {kind: 'cancelled'});
	await systemClock.sleep(200);
	t.deepEqual(workers.map(({startedRuns}) => startedRuns.size), before);
});
