import {createServer, type AddressInfo, type Socket} from 'node:net';
import test from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {Driver} from '../src/ephemeral/driver.js';
import {DriverMetrics} from '../src/ephemeral/metrics.js';
import type {PollResult, RunId} from '../src/ports/executor.js';
import {
	room, silentLog, waitUntil,
} from './ephemeral-cluster.js';

/** The pauses of the sidecar, in milliseconds: together longer than a lease, each too short to count as a standstill, after which it would start nothing yet. */
const pauses = Array.from({length: 12}, () => 140);
const tickMs = 10;
/** Longer than the interval at which it looks whether it stood still. */
const runsForMs = 60;

test('paused sidecar: a run that it orders after pauses is not lost by the time-out of a poll sent before', async t => {
	// A clock of the test's own: on a busy machine the process may stand still for longer than its pauses.
	let now = 0;
	const ticker = setInterval(() => {
		now += tickMs;
	}, tickMs);
	t.teardown(() => {
		clearInterval(ticker);
	});
	const clock = {...systemClock, mono: () => now};
	const workerClock = () => now;
	const running: RunId[] = [];
	let heldPoll: ((result: PollResult) => void) | undefined;
	let isHolding = false;
	let socket: Socket | undefined;
	let received = '';
	const send = (message: unknown): void => {
		socket!.write(`${JSON.stringify([message])}\n`);
	};

	const order = (ref: number, task: string): void => {
		send({
			kind: 'start', ref, task, room: {cpu: 1, memoryMb: 1, accelerators: 0}, spec: 'x', stamp: workerClock(), age: 0,
		});
	};

	const entry = createServer(accepted => {
		socket = accepted;
		accepted.on('error', () => undefined);
		accepted.on('data', data => {
			received += data.toString();
		});
		send({
			kind: 'hello', role: 'entry', node: 'e', life: 'e-1', address: '127.0.0.1:1',
		});
	}).listen(0, '127.0.0.1');
	t.teardown(() => {
		entry.close();
	});
	await new Promise(resolve => {
		entry.once('listening', resolve);
	});
	const driver = Driver.create({
		node: 's', incarnation: 's-1', zone: 'z', seeds: [`127.0.0.1:${(entry.address() as AddressInfo).port}`],
	}, {
		clock, log: silentLog, metrics: DriverMetrics.create(), executor: {
			async start({task, number}) {
				running.push({task, number});
				return {kind: 'done', clock: workerClock()};
			},
			async stop({task}) {
				running.splice(0, running.length, ...running.filter(run => run.task !== task));
				return {kind: 'done', clock: workerClock()};
			},
			async poll({waitMs}) {
				if (isHolding && !heldPoll) {
					return new Promise(resolve => {
						heldPoll = resolve;
					});
				}

				await systemClock.sleep(Math.min(10, waitMs));
				return {
					kind: 'seen', clock: workerClock(), born: 1, running: [...running], ended: [],
				};
			},
			async close() {
				running.length = 0;
			},
		},
	});
	t.teardown(async () => driver.stop(0));
	driver.workerReported({
		incarnation: 'w', born: 1, pool: 'p', capacity: room, labels: [], draining: false,
	}, workerClock());
	await waitUntil(() => driver.linkedEntries === 1 && driver.guard.startRefusal === undefined);
	order(1, 'before');
	await waitUntil(() => running.length === 1);
	isHolding = true;
	await waitUntil(() => heldPoll !== undefined);

	for (const pausedMs of pauses) {
		now += pausedMs;
		send({kind: 'beat', needed: true});
		await systemClock.sleep(runsForMs);
	}

	running.length = 0;
	order(2, 'after');
	await waitUntil(() => running.length === 1);
	heldPoll!({kind: 'unknown', cause: 'TimeoutError', absent: false});
	await waitUntil(() => received.includes('"ref":1'));
	t.deepEqual([running.map(({task}) => task), driver.guard.tasksOf('e/e-1'), received.includes('"ref":2')], [['after'], ['after'], false]);
});
