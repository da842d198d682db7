import {createServer, type AddressInfo} from 'node:net';
import test from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {requestMaxAgeMs} from '../src/decide/guard.js';
import type {PollResult, Reply} from '../src/ports/executor.js';
import {startDriver, waitUntil} from './ephemeral-cluster.js';

/** When a caller whose connection broke submits again, and how long a stop takes at a worker, in milliseconds. */
const againMs = 1300;
const stopMs = 50;
/** How old the start is when it is sent, in milliseconds: just accepted. */
const ageMs = requestMaxAgeMs - 20;

test('silent entry: a run of the oldest start that is accepted is over before its caller submits again', async t => {
	const from = systemClock.mono();
	const clock = () => Math.floor(systemClock.mono() - from);
	let orderedAt = 0;
	let stoppedAt = 0;
	const running: Array<{task: string; number: number}> = [];
	const entry = createServer(socket => {
		const send = (message: unknown) => socket.write(`${JSON.stringify([message])}\n`);
		send({
			kind: 'hello', role: 'entry', node: 'e', life: 'e-1', address: '127.0.0.1:1',
		});
		const beat = setInterval(() => {
			send({kind: 'beat', needed: true});
		}, 150);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			clearInterval(beat);
		});
		setTimeout(() => {
			clearInterval(beat);
			orderedAt = clock();
			send({
				kind: 'start', ref: 1, task: 't', room: {cpu: 1, memoryMb: 1, accelerators: 0}, spec: 'x', stamp: orderedAt, age: -ageMs,
			});
		}, 800);
		socket.resume();
	}).listen(0, '127.0.0.1');
	t.teardown(() => {
		entry.close();
	});
	await new Promise(resolve => {
		entry.once('listening', resolve);
	});
	startDriver(t, 's', {
		seeds: [`127.0.0.1:${(entry.address() as AddressInfo).port}`],
		executor: {
			async start({task, number}): Promise<Reply> {
				running.push({task, number});
				return {kind: 'done', clock: clock()};
			},
			async stop(): Promise<Reply> {
				stoppedAt ||= clock();
				running.length = 0;
				return {kind: 'done', clock: clock()};
			},
			async poll({waitMs}): Promise<PollResult> {
				await systemClock.sleep(Math.min(10, waitMs));
				return {
					kind: 'seen', clock: clock(), born: 1, running: [...running], ended: [],
				};
			},
			async close() {
				running.length = 0;
			},
		},
	});
	await waitUntil(() => stoppedAt > 0);
	t.true(stoppedAt - (orderedAt - ageMs) + stopMs <= againMs, `${stoppedAt - orderedAt + ageMs} ms`);
});
