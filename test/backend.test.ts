import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {openUpstream} from '../src/adapters/backend.js';
import type {Run} from '../src/ports/upstream.js';
import {SampleBackend} from '../src/standin/backend.js';

const never = new AbortController().signal;
const run = (task: number, ms: number): Run => ({
	claim: 'alpha/k',
	task,
	epoch: 1,
	member: 'alpha',
	route: 'r',
	body: new TextEncoder().encode(JSON.stringify({ms})),
	contentType: 'application/json',
	cores: 0,
	memoryMb: 0,
	accelerators: 0,
});

/** Runs a task that occupies the only connection, a second one that waits for it, and a third one; returns the outcomes and the started tasks. */
async function runBehindFirst(meanwhile: (stop: AbortController) => void, mayStart: () => boolean) {
	const backend = await SampleBackend.create({name: 'minion', zone: 'zone', slowness: 1});
	const upstream = openUpstream(backend.url, 1);
	const stop = new AbortController();
	const first = upstream.run(run(0, 150), {signal: never, mayStart: () => true});
	const waiting = upstream.run(run(1, 1), {signal: stop.signal, mayStart});
	await sleep(50);
	meanwhile(stop);
	const answer = await waiting;
	const {kind} = await first;
	const last = await upstream.run(run(2, 1), {signal: never, mayStart: () => true});
	await upstream.close();
	await backend.close();
	return {kinds: [kind, answer.kind, last.kind], started: backend.starts.map(({task}) => task)};
}

test('a run that may no longer start when its connection becomes free is refused without being started', async t => {
	let isAllowed = true;
	const {kinds, started} = await runBehindFirst(() => {
		isAllowed = false;
	}, () => isAllowed);
	t.deepEqual(kinds, ['done', 'refused', 'done']);
	t.deepEqual(started, [0, 2]);
});

test('a run withdrawn while it waits for a connection is refused at once without being started', async t => {
	const {kinds, started} = await runBehindFirst(stop => {
		stop.abort();
	}, () => true);
	t.deepEqual(kinds, ['done', 'refused', 'done']);
	t.deepEqual(started, [0, 2]);
});

test('the outcome of a run withdrawn after its start is unknown', async t => {
	const backend = await SampleBackend.create({name: 'minion', zone: 'zone', slowness: 1});
	const upstream = openUpstream(backend.url, 1);
	const stop = new AbortController();
	const running = upstream.run(run(0, 500), {signal: stop.signal, mayStart: () => true});
	await sleep(100);
	stop.abort();
	t.is((await running).kind, 'unknown');
	await upstream.close();
	await backend.close();
});
