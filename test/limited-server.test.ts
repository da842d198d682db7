// Guards against limits that close the wrong connection, or that an ordinary client meets.
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {createLimitedServer} from '../src/adapters/limited-server.js';
import {ByteBudget} from '../src/decide/byte-budget.js';
import {ConnectionTable, type Phase} from '../src/decide/connection-table.js';
import {TokenBucket} from '../src/decide/token-bucket.js';
import {divideLimits} from '../src/decide/client-limits.js';
import {GrowableBuffer} from '../src/growable-buffer.js';
import {decodeDesired} from '../platform/desired.js';
import {machineSettings, clientLimitsOf} from '../platform/settings.js';
import {silentLog} from './ephemeral-cluster.js';

/** Connections with their phase and the time at which they entered it; a further one comes at 10,000 ms. */
for (const [title, phases, closed] of [
	['there is room', [['answer', 0], ['kept', 0]], undefined],
	['the oldest that its client holds up', [['answer', 0], ['kept', 0], ['body', 2000], ['header', 1000], ['unread', 3000]], 3],
	['the oldest that is kept, before one that has just come', [['answer', 0], ['kept', 9000], ['kept', 500], ['unused', 9500], ['header', 9900]], 2],
	['one that has just come, where no other can be closed', [['answer', 0], ['answer', 0], ['answer', 0], ['answer', 0], ['unused', 9990]], 4],
	['the new one, where all others wait for the server', [['answer', 0], ['answer', 0], ['answer', 0], ['answer', 0], ['answer', 0]], 'new'],
] as const) {
	test(`limited server: of five connections gives way: ${title}`, t => {
		const table = ConnectionTable.create<number | 'new'>(5);
		for (const [index, [phase, since]] of phases.entries()) {
			table.open(index, since);
			table.enter(index, phase, since);
		}

		t.is(table.open('new', 10_000), closed);
		t.true(table.size <= 5);
	});
}

for (const [phase, overdue] of [['unused', true], ['header', true], ['body', false], ['answer', false], ['kept', false]] as ReadonlyArray<readonly [Phase, boolean]>) {
	test(`limited server: a connection is ${overdue ? 'overdue' : 'not closed'} after a time in phase ${phase}`, t => {
		const table = ConnectionTable.create<string>(5);
		table.open('a', 0);
		table.enter('a', phase, 0);
		t.deepEqual(table.overdue(100, {unused: 100, header: 100}), []);
		t.deepEqual(table.overdue(101, {unused: 100, header: 100}), overdue ? [['a', phase]] : []);
	});
}

for (const [title, holders, displaced] of [
	['none within the limit', [['a', 50], ['b', 50]], []],
	['the one that keeps the most', [['a', 30], ['b', 60], ['c', 20]], ['b']],
	['the first of equal ones', [['a', 40], ['b', 40], ['c', 40]], ['a']],
	['one that has grown', [['a', 10], ['b', 20], ['a', 90]], ['a']],
	['none that has been released', [['a', 90], ['a', 0], ['b', 90]], []],
	['as many as it takes', [['a', 80], ['b', 190], ['c', 30]], ['b', 'a']],
] as const) {
	test(`byte budget: of 100 bytes gives way: ${title}`, t => {
		const budget = ByteBudget.create<string>(100);
		for (const [holder, bytes] of holders) {
			budget.set(holder, bytes);
		}

		t.deepEqual(budget.takeDisplaced(), [...displaced]);
		t.true(budget.heldBytes <= 100);
	});
}

for (const [title, takes, taken] of [
	['as many at once as it holds', [0, 0, 0, 0], [true, true, true, false]],
	['new ones with time', [0, 0, 0, 100, 100, 150, 200], [true, true, true, true, false, false, true]],
	['no more than it holds after a long time', [0, 0, 0, 10_000, 10_000, 10_000, 10_000], [true, true, true, true, true, true, false]],
	['none for a clock that goes back', [100, 100, 100, 0, 100], [true, true, true, false, true]],
] as const) {
	test(`token bucket: of three tokens and ten a second gives ${title}`, t => {
		const bucket = TokenBucket.create(3, 10);
		t.deepEqual(takes.map(now => bucket.take(now)), [...taken]);
	});
}

test('growable buffer: chunks of any size are joined, and take at most twice their bytes', t => {
	const buffer = GrowableBuffer.create();
	const text = Array.from({length: 5000}, (_, index) => `${index} `).join('');
	const bytes = Buffer.from(text);
	for (let from = 0, size = 1; from < bytes.length; from += size, size = (size % 7) + 1) {
		buffer.append(bytes.subarray(from, from + size));
		t.true(buffer.capacity <= Math.max(1024, 2 * buffer.length));
	}

	t.is(Buffer.from(buffer.take()).toString(), text);
	t.deepEqual([buffer.length, buffer.capacity], [0, 0]);
});

for (const [memoryMb, descriptors] of [[210, 2212], [350, 4100], [602, 10_250], [210, 500], [16, 210], [undefined, undefined]] as const) {
	test(`client limits: ${descriptors ?? 'unknown'} descriptors and ${memoryMb ?? 'unknown'} MB are not divided twice`, t => {
		const {connections, requestBytes, receivedBytes, unsentBytes} = divideLimits({memoryMb, descriptors});
		const {control, ...ofEntry} = connections;
		const sum = Object.values(ofEntry).reduce((total, count) => total + count, 0);
		t.true(sum + 200 <= (descriptors ?? 4096));
		t.true(control + connections.metrics + 200 <= (descriptors ?? 4096));
		t.true(requestBytes + receivedBytes + unsentBytes <= (memoryMb ?? 512) * 1_048_576 / 4);
	});
}

for (const [title, kernelLimit, callers] of [
	['none', undefined, 2442],
	['above that of the settings', 1_000_000, 2442],
	['below that of the settings', 1000, 378],
	['that leaves nothing for connections', 200, 2442],
] as const) {
	test(`client limits: a limit of the kernel ${title}`, t => {
		const settings = machineSettings.parse({
			node: 'n', ip: '127.0.0.1', zone: 'z', serves: [], listen: {}, port_range: [1, 2], bounds: {hold_max_ms: 1, grace_s: 1}, platform: {addr: 'a'}, limits: {memory_mb: 350, max_fds: 4100},
		});
		t.is(clientLimitsOf(settings, kernelLimit).connections.callers, callers);
	});
}

// Guards against a wrong limit that costs the whole desired state.
for (const [title, limits, expected] of [
	['are stated', {header_timeout_ms: 100, idle_timeout_ms: 200}, {headerMs: 100, idleMs: 200}],
	['are not stated', {max_body_bytes: 5}, {headerMs: 3000, idleMs: 15_000}],
	['there are no limits', undefined, {headerMs: 3000, idleMs: 15_000}],
	['are no times', {header_timeout_ms: '100', idle_timeout_ms: -1}, {headerMs: 3000, idleMs: 15_000}],
] as const) {
	test(`limited server: the times of the desired state, where they ${title}`, t => {
		t.deepEqual(decodeDesired(new Map([['config', JSON.stringify({version: 1, routes: [], limits})]]))?.times, expected);
	});
}

async function open(t: ExecutionContext, port: number): Promise<Socket> {
	const socket = connect(port, '127.0.0.1');
	t.teardown(() => socket.destroy());
	socket.on('error', () => undefined);
	socket.resume();
	await once(socket, 'connect');
	return socket;
}

test('limited server: connections without a request and headers without an end are closed, one that waits for its answer is not', async t => {
	let answer!: () => void;
	const server = createLimitedServer({
		name: 'test', maxConnections: 10, clock: systemClock, log: silentLog, times: () => ({headerMs: 200, idleMs: 200}), requestListener(_request, response) {
			answer = () => {
				response.end('answer');
			};
		},
	});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const [waiting, unused, header] = await Promise.all([open(t, port), open(t, port), open(t, port)]);
	waiting.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	header.write('GET / HTTP/1.1\r\nHost: a\r\n');
	await Promise.all([once(unused, 'close'), once(header, 'close')]);
	answer();
	const [bytes] = await once(waiting, 'data') as [Uint8Array];
	t.regex(String(bytes), /200 OK[\s\S]*answer/v);
});
