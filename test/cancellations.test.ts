import {createServer, type AddressInfo} from 'node:net';
import {once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {Cancellations, cancellationRetentionMs, isCancellation} from '../src/decide/cancellations.js';
import type {CancelOutcome} from '../src/ephemeral/cancellation-exchange.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';
import {
	createJob, silentLog, startCluster, submit, waitUntil,
} from './ephemeral-cluster.js';
import {hello, linkTo, type Message} from './odd-peer.js';

const cancel = async (entry: Dispatcher, job: string): Promise<CancelOutcome> => new Promise(resolve => {
	entry.cancel(job, resolve);
});

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

for (const [value, expected] of [
	[['a', 0], true],
	[['a', cancellationRetentionMs], true],
	[['a', cancellationRetentionMs + 1], false],
	[['a', -1], false],
	[['a', Number.NaN], false],
	[['', 0], false],
	[['x'.repeat(257), 0], false],
	[['a'], false],
	['a', false],
	[null, false],
] as const) {
	test(`cancellations: ${JSON.stringify(value)?.slice(0, 30)} is ${expected ? 'one' : 'none'}`, t => {
		t.is(isCancellation(value), expected);
	});
}

// Guards against a cancelling that acts at one entry: the job goes on at another, or starts again when its submission is repeated.
for (const [title, at] of [['the entry that holds the job', 0], ['another entry', 1]] as const) {
	test(`cancellations: a job that is cancelled at ${title} ends, and starts nowhere when it is submitted again`, async t => {
		const {entries, workers} = await startCluster(t, 3, 2, 400);
		await waitUntil(() => entries.every(({schedule, linkedEntries}) => schedule.placeCounts.open === 2 && linkedEntries === 2));
		const running = submit(entries[0]!, createJob('j', 8));
		await waitUntil(() => workers.some(({tasks}) => tasks.length > 0));
		t.is(await cancel(entries[at]!, 'j'), 'cancelled');
		t.deepEqual(await running, {kind: 'cancelled'});
		await waitUntil(() => workers.every(({tasks}) => tasks.length === 0));
		const before = workers.map(({startedRuns}) => startedRuns.size);
		t.deepEqual(await Promise.all(entries.map(async entry => submit(entry, createJob('j', 8)))), entries.map(() => ({kind: 'cancelled'})));
		await systemClock.sleep(200);
		t.deepEqual(workers.map(({startedRuns}) => startedRuns.size), before);
	});
}

test('cancellations: one that overtakes its submission holds at every entry', async t => {
	const {entries, workers} = await startCluster(t, 3, 1);
	await waitUntil(() => entries.every(({schedule, linkedEntries}) => schedule.placeCounts.open === 1 && linkedEntries === 2));
	t.is(await cancel(entries[0]!, 'j'), 'unknown');
	t.deepEqual(await Promise.all(entries.map(async entry => submit(entry, createJob('j')))), entries.map(() => ({kind: 'cancelled'})));
	t.deepEqual(workers.map(({startedRuns}) => startedRuns.size), [0]);
});

async function openEntry(t: ExecutionContext, node: string, seeds: readonly string[]): Promise<Dispatcher> {
	const entry = await Dispatcher.create({
		node, incarnation: `${node}-1`, address: '127.0.0.1:0', seeds,
	}, systemClock, silentLog, DispatcherMetrics.create());
	t.teardown(() => {
		entry.close();
	});
	return entry;
}

test('cancellations: an entry that links later is told', async t => {
	const first = await openEntry(t, 'e0', []);
	t.is(await cancel(first, 'j'), 'unknown');
	const late = await openEntry(t, 'e1', [first.address]);
	await waitUntil(() => late.isCancelled('j'));
	t.deepEqual(await submit(late, createJob('j')), {kind: 'cancelled'});
});

for (const [title, features, reply, outcome] of [
	['says that it does not hold the job', ['cancels'], {kind: 'cancelAnswer', job: 'j', isUnderWay: false}, 'unknown'],
	['says that it held the job', ['cancels'], {kind: 'cancelAnswer', job: 'j', isUnderWay: true}, 'cancelled'],
	['answers for another job', ['cancels'], {kind: 'cancelAnswer', job: 'i', isUnderWay: false}, 'unconfirmed'],
	['answers without saying so', ['cancels'], {kind: 'cancelAnswer', job: 'j'}, 'unconfirmed'],
	['does not answer', ['cancels'], undefined, 'unconfirmed'],
	['ends its link', ['cancels'], 'end', 'unconfirmed'],
	['knows no cancellings', ['specs'], undefined, 'unconfirmed'],
] satisfies Array<[string, string[], Message | 'end' | undefined, CancelOutcome]>) {
	// Guards against a job that goes on after its caller was told that there is none.
	test(`cancellations: where another entry ${title}, the outcome is ${outcome}`, async t => {
		const entry = await openEntry(t, 'e0', []);
		const peer = await linkTo(t, entry.address, hello('entry', {features}));
		await waitUntil(() => peer.has('hello'));
		const result = cancel(entry, 'j');
		if (reply !== undefined) {
			await waitUntil(() => peer.has('cancel'));
			if (reply === 'end') {
				peer.socket.destroy();
			} else {
				peer.say(reply);
			}
		}

		t.is(await result, outcome);
	});
}

for (const [title, accepts, outcome] of [
	['accepts connections and says nothing', true, 'unconfirmed'],
	['refuses connections', false, 'unknown'],
] as const) {
	test(`cancellations: where the address of another entry ${title}, the outcome is ${outcome}`, async t => {
		const server = createServer().listen(0, '127.0.0.1');
		await once(server, 'listening');
		const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
		t.teardown(() => server.close());
		if (!accepts) {
			server.close();
			await once(server, 'close');
		}

		const entry = await openEntry(t, 'e0', [address]);
		t.is(await cancel(entry, 'i'), 'unconfirmed');
		await (accepts ? systemClock.sleep(1000) : waitUntil(() => !entry.mayMissEntries));

		t.is(await cancel(entry, 'j'), outcome);
	});
}

for (const [title, odd] of [
	['a number', {kind: 'cancel', job: 7}],
	['nothing', {kind: 'cancel'}],
	['a name that is too long', {kind: 'cancel', job: 'x'.repeat(100_000)}],
	['a list that is none', {kind: 'cancellations', jobs: {j: 1}}],
	['a list with an odd row', {kind: 'cancellations', jobs: [['j', 1], ['k', -1]]}],
	['too long a list', {kind: 'cancellations', jobs: Array.from({length: 1001}, (_, index) => [`j${index}`, 1])}],
	['an answer to nothing', {kind: 'cancelAnswer', job: 'j', isUnderWay: true}],
	['an answer of another type', {kind: 'cancelAnswer', job: {}, isUnderWay: 'yes'}],
] satisfies Array<[string, Message]>) {
	// Guards against one odd message that costs a link, a job or the next cancelling.
	test(`cancellations: a message about ${title} costs itself alone`, async t => {
		const entry = await openEntry(t, 'e0', []);
		const peer = await linkTo(t, entry.address, hello('entry', {features: ['cancels']}));
		await waitUntil(() => peer.has('hello'));
		peer.say(odd, {kind: 'cancel', job: 'k'});
		await waitUntil(() => peer.has('cancelAnswer'));
		t.deepEqual(peer.heard.filter(({kind}) => kind === 'cancelAnswer'), [{kind: 'cancelAnswer', job: 'k', isUnderWay: false}]);
		t.deepEqual(['j', 'j0', 'k'].map(job => entry.isCancelled(job)), [false, false, true]);
		t.false(peer.socket.destroyed);
	});
}
