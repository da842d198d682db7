import {once} from 'node:events';
import {stat} from 'node:fs/promises';
import {connect, type AddressInfo, type Socket} from 'node:net';
import test from 'ava';
import {decodeDesired} from '../platform/desired.js';
import {buildFront} from '../platform/front.js';
import {systemClock} from '../src/adapters/clock.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';
import {
	createJob, room, silentLog, startCluster, submit, waitUntil,
} from './ephemeral-cluster.js';
import {hello, linkTo} from './odd-peer.js';
import {startSidecarThread} from './sidecar-thread.js';

const desired = decodeDesired(new Map([['config', JSON.stringify({
	version: 1, routes: [{
		name: 'r', host: 'a.example', path_prefix: '/', service: 'p', target_latency_ms: 60_000,
	}],
})]]))!;
const body = JSON.stringify({spec: 'x', best_effort: true, steps: [{count: 1, cpu: 1}]});
const submission = (id: string) => `POST /${id} HTTP/1.1\r\nhost: a.example\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
// The tests that hold up this process are serial: at the same time as others they would hold those up too.

/** The age at which a sidecar refuses a start, in milliseconds. */
const requestMaxAgeMs = 600;

for (const [title, leave] of [
	['closed', (caller: Socket) => caller.destroy()],
	['reset', (caller: Socket) => caller.resetAndDestroy()],
] as const) {
	test(`departed caller: a job starts nothing when its connection was ${title} before its submission was read`, async t => {
		const {entries: [dispatcher], executors: [executor]} = await startCluster(t, 1, 1);
		const starts: string[] = [];
		const {start} = executor!;
		executor!.start = async (order, life) => {
			starts.push(order.task);
			return start(order, life);
		};

		const front = buildFront({
			dispatcher: dispatcher!, clock: systemClock, log: silentLog, meters: DispatcherMetrics.create(), desired: () => desired, stopping: () => false,
		});
		await front.listen({host: '127.0.0.1', port: 0});
		t.teardown(async () => front.close());
		await waitUntil(() => dispatcher!.schedule.placeCounts.open === 1);
		const {port} = front.server.address() as AddressInfo;
		const callers = ['00aa', '00bb', '00cc'].map(id => ({id, socket: connect(port, '127.0.0.1')}));
		await Promise.all(callers.map(async ({socket}) => once(socket, 'connect')));
		for (const {id, socket} of callers) {
			socket.write(submission(id));
			leave(socket);
		}

		const last = connect(port, '127.0.0.1');
		last.write(submission('00dd'));
		await once(last, 'data');
		last.destroy();
		t.deepEqual(starts, ['00dd.0.0.0']);
	});
}

test('departed caller: a start that has not been sent when its caller leaves is taken back', async t => {
	const {entries: [dispatcher], executors: [executor]} = await startCluster(t, 1, 1);
	const starts: string[] = [];
	const {start} = executor!;
	executor!.start = async (order, life) => {
		starts.push(order.task);
		return start(order, life);
	};

	await waitUntil(() => dispatcher!.schedule.placeCounts.open === 1);
	const leave = dispatcher!.submit(createJob('j', 1), () => undefined);
	leave();
	t.deepEqual(await submit(dispatcher!, createJob('k', 1)), {kind: 'completed'});
	t.deepEqual(starts, ['k.0']);
	t.deepEqual(await submit(dispatcher!, createJob('j', 1)), {kind: 'completed'});
	t.deepEqual(starts, ['k.0', 'j.0']);
});

test.serial('departed caller: a sidecar refuses a start whose entry has not read its sockets since callers may have left', async t => {
	const {entries: [entry], driverMetrics: [meters]} = await startCluster(t, 1, 1);
	await waitUntil(() => entry!.schedule.placeCounts.open === 1);
	// Goes on while the event loop handles input, so that it reads no sockets between the standstill and the start.
	await stat('.');
	for (const until = systemClock.mono() + requestMaxAgeMs + 200; systemClock.mono() < until;) {
		// The entry stands still.
	}

	t.deepEqual(await submit(entry!, createJob('j', 1)), {kind: 'completed'});
	const {values} = await meters!.refusedRequests.get();
	t.true(values.some(({labels: {why}, value}) => why === 'stale' && value > 0));
});

// Guards against a start that is dated by the clock of an incarnation of the worker that has ended while its sidecar stood still.
test.serial('departed caller: a sidecar that stood still starts nothing until its worker has answered', async t => {
	const {entries: [entry], driverMetrics: [meters]} = await startCluster(t, 1, 1);
	await waitUntil(() => entry!.schedule.placeCounts.open === 1);
	for (const until = systemClock.mono() + (requestMaxAgeMs / 2); systemClock.mono() < until;) {
		// Both stand still, the entry not for long enough to make its start stale.
	}

	t.deepEqual(await submit(entry!, createJob('j', 1)), {kind: 'completed'});
	const {values} = await meters!.refusedRequests.get();
	t.deepEqual(values.map(({labels: {why}}) => why), ['unsettled']);
});

// Guards against a run that outlives its caller because the date of a start that goes first confirms it once more.
test('departed caller: the stop of its run goes before the starts of other callers in the same turn', async t => {
	const entry = await Dispatcher.create({
		node: 'e', incarnation: 'e-1', address: '127.0.0.1:0', seeds: [],
	}, systemClock, silentLog, DispatcherMetrics.create());
	t.teardown(() => {
		entry.close();
	});
	const sidecar = await linkTo(t, entry.address, hello('sidecar'));
	sidecar.say({
		kind: 'place', report: {
			zone: 'z', pool: 'p', room, others: {cpu: 0, memoryMb: 0, accelerators: 0}, isFailing: false,
		}, stamp: 1, clear: true,
	});
	await waitUntil(() => entry.schedule.placeCounts.open === 1);
	const leave = entry.submit(createJob('gone', 1), () => undefined);
	await waitUntil(() => sidecar.has('start'));
	entry.submit(createJob('here', 1), () => undefined);
	leave();
	await waitUntil(() => sidecar.heard.filter(({kind}) => kind === 'start').length === 2);
	t.deepEqual(sidecar.heard.filter(({kind}) => kind === 'start' || kind === 'stop').map(({kind, task = ''}) => `${kind} ${task as string}`), ['start gone.0', 'stop ', 'start here.0']);
});

test.serial('departed caller: the starts of an entry that takes a quarter of a second a turn are not refused as stale', async t => {
	const entry = await Dispatcher.create({
		node: 'e', incarnation: 'e-1', address: '127.0.0.1:0', seeds: [],
	}, systemClock, silentLog, DispatcherMetrics.create());
	let isOver = false;
	t.teardown(() => {
		isOver = true;
		entry.close();
	});
	const ages: number[] = [];
	startSidecarThread(t, entry.address, ({ageMs}) => {
		ages.push(ageMs);
	});
	await waitUntil(() => entry.schedule.placeCounts.open === 1);
	const turn = (): void => {
		for (const until = systemClock.mono() + 250; systemClock.mono() < until;) {
			// The entry is busy.
		}

		if (!isOver) {
			setTimeout(turn);
		}
	};

	turn();
	for (let index = 0; index < 4; index++) {
		entry.submit(createJob(`j${index}`, 1), () => undefined);
		await systemClock.sleep(200);
	}

	await waitUntil(() => ages.length === 4);
	t.true(Math.max(...ages) <= requestMaxAgeMs, `${ages.join(', ')} ms`);
});
