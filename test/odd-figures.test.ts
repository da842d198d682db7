// Guards against a single odd figure of a peer that shuts out the right ones after it, ends links again and again, or ends the process.
import {Buffer} from 'node:buffer';
import process from 'node:process';
import test, {type ExecutionContext} from 'ava';
import {pino} from 'pino';
import {systemClock} from '../src/adapters/clock.js';
import {nextFence} from '../src/decide/fence.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {Driver} from '../src/ephemeral/driver.js';
import {createMsgpackFrames} from '../src/ephemeral/frames.js';
import {splitAddress} from '../src/ephemeral/link.js';
import {DispatcherMetrics, DriverMetrics} from '../src/ephemeral/metrics.js';
import {
	createExecutor, createJob, leaseMs, room, submit, waitUntil,
} from './ephemeral-cluster.js';
import {ModelWorker} from './model-worker.js';
import {
	hello, linkTo, openOddEntry, type Message,
} from './odd-peer.js';

type Line = Record<string, unknown>;

/** The longest line that a log may have about a message of a peer, in characters. */
const maxLogLine = 10_000;
/** How long a test waits for what must happen, in milliseconds. */
const patienceMs = 5000;

/** A log that keeps its lines as text. */
function keepLines(): {log: pino.Logger; kept: string[]; find(event: string): Line[]} {
	const kept: string[] = [];
	const log = pino({}, {
		write(line: string) {
			kept.push(line);
		},
	});
	return {log, kept, find: event => kept.map(line => JSON.parse(line) as Line).filter(line => line.event === event)};
}

async function openEntry(t: ExecutionContext, log = pino({level: 'silent'})): Promise<{entry: Dispatcher; meters: DispatcherMetrics}> {
	const meters = DispatcherMetrics.create();
	const entry = await Dispatcher.create({
		node: 'e', incarnation: 'e-1', address: '127.0.0.1:0', seeds: [],
	}, systemClock, log, meters);
	t.teardown(() => {
		entry.close();
	});
	return {entry, meters};
}

function openDriver(t: ExecutionContext, seeds: readonly string[], log = pino({level: 'silent'})): {driver: Driver; meters: DriverMetrics; worker: ModelWorker} {
	const worker = ModelWorker.create(room, leaseMs);
	const meters = DriverMetrics.create();
	const driver = Driver.create({
		node: 's', incarnation: 's-1', zone: 'z', seeds,
	}, {
		clock: systemClock, executor: createExecutor(worker, {resources: {...room, cpu: 4}, durationMs: 50, ending: 'done'}), log, metrics: meters,
	});
	t.teardown(async () => driver.stop(0));
	driver.workerReported({
		incarnation: 'w', born: 1, pool: 'p', capacity: room, labels: [], draining: false,
	}, 0);
	return {driver, meters, worker};
}

/** Returns whether a condition holds in time. */
async function comesTrue(condition: () => boolean): Promise<boolean> {
	const until = systemClock.mono() + patienceMs;
	while (!condition()) {
		if (systemClock.mono() > until) {
			return false;
		}

		await systemClock.sleep(10);
	}

	return true;
}

async function ignored(meters: DispatcherMetrics | DriverMetrics): Promise<number> {
	const {values} = await meters.ignoredFigures.get();
	return values.reduce((sum, {value}) => sum + value, 0);
}

for (const asOf of [1e308, Number.MAX_SAFE_INTEGER, 2 ** 49, -1, 0.5]) {
	test(`odd figures: zones out of service as of ${asOf} don't shut out those that other entries tell later`, async t => {
		const odd = await openOddEntry(t);
		const {entry} = await openEntry(t);
		const {driver} = openDriver(t, [odd.address, entry.address]);
		const peer = await odd.linked;
		peer.say({kind: 'zones', asOf, out: []});
		await waitUntil(() => peer.socket.destroyed || peer.has('place'));
		await waitUntil(() => entry.schedule.placeCounts.open === 1);
		await systemClock.sleep(50);
		peer.socket.destroy();
		await waitUntil(() => driver.linkedEntries === 1);
		entry.setDesiredState(7, '[]', ['z']);
		t.true(await comesTrue(() => driver.guard.startRefusal === 'zone-out'));
	});
}

const small = {cpu: 1, memoryMb: 1, accelerators: 0};
for (const [title, odd] of [
	['a negative size', {cpu: -1e308, memoryMb: 1, accelerators: 0}],
	['a negative memory', {...small, memoryMb: -50}],
	['an endless size', {...small, accelerators: 1e308}],
] as const) {
	test(`odd figures: a start of ${title} is refused alone, and the sidecar's other entries keep their links and the true room`, async t => {
		const opened = await openOddEntry(t);
		const {entry, meters} = await openEntry(t);
		const {log, find} = keepLines();
		const sidecar = openDriver(t, [opened.address, entry.address], log);
		const peer = await opened.linked;
		await waitUntil(() => peer.has('room') && entry.schedule.placeCounts.open === 1 && sidecar.driver.guard.startRefusal === undefined);
		const start = (ref: number, resources: typeof small): Message => ({
			kind: 'start', ref, task: `odd.${ref}`, room: resources, spec: '', stamp: peer.stamp, age: 0,
		});
		peer.say({kind: 'want', room: odd, dueMs: 5}, start(1, odd), start(2, odd), start(3, small));
		const others = () => sidecar.driver.guard.capacityHeldByOthers('', systemClock.mono());
		const least = {cpu: 0, memoryMb: 0, accelerators: 0};
		t.true(await comesTrue(() => {
			const held = others();
			for (const key of ['cpu', 'memoryMb', 'accelerators'] as const) {
				least[key] = Math.min(least[key], held[key]);
			}

			return peer.heard.some(({kind, ref}) => kind === 'ended' && ref === 3);
		}));
		t.deepEqual(least, {cpu: 0, memoryMb: 0, accelerators: 0});
		t.deepEqual(peer.heard.filter(({kind}) => kind === 'refused').map(({ref, why}) => [ref, why]), [[1, 'invalid'], [2, 'invalid']]);
		t.deepEqual(await submit(entry, createJob('j')), {kind: 'completed'});
		t.is((await meters.linksLost.get()).values.length, 0);
		t.is(await ignored(sidecar.meters), 3);
		t.deepEqual(find('figure-ignored').map(({entry: from, field}) => [from, field]), [['odd', 'room']]);
	});
}

for (const asOf of [1e308, Number.MAX_SAFE_INTEGER, -1, 0.5]) {
	for (const kind of ['newest', 'desired'] as const) {
		test(`odd figures: a desired state as of ${asOf} (${kind}) of another entry ends its link and changes nothing`, async t => {
			const {log, find} = keepLines();
			const {entry, meters} = await openEntry(t, log);
			const received: number[] = [];
			entry.onDesiredState = version => {
				received.push(version);
			};

			const known = await linkTo(t, entry.address, hello('entry', {node: 'listener'}));
			entry.setDesiredState(5, '[]', []);
			await waitUntil(() => known.has('newest'));
			const {digest} = known.heard.find(({kind}) => kind === 'newest')!;
			const peer = await linkTo(t, entry.address, hello('entry'));
			peer.say(kind === 'newest' ? {kind, asOf, digest} : {kind, asOf, text: '[]'});
			await waitUntil(() => peer.socket.destroyed);
			t.is(entry.desiredAsOf, 5);
			t.deepEqual(received, []);
			t.is((await meters.malformedMessages.get()).values.find(({labels}) => labels.from === 'entry')?.value, 1);
			t.regex(String(find('link-lost')[0]?.problem), /asOf/v);
		});
	}
}

for (const ranMs of [1e308, 86_400_000, -1e308]) {
	test(`odd figures: a run that is said to have taken ${ranMs} ms does not keep the later jobs of its route waiting without end`, async t => {
		const {log, find} = keepLines();
		const {entry, meters} = await openEntry(t, log);
		const peer = await linkTo(t, entry.address, hello('sidecar'));
		peer.say({
			kind: 'place', report: {
				zone: 'z', pool: 'p', room, others: {cpu: 0, memoryMb: 0, accelerators: 0}, isFailing: false,
			}, stamp: 1, clear: true,
		});
		await waitUntil(() => entry.schedule.placeCounts.open === 1);
		const first = submit(entry, createJob('j', 1));
		await waitUntil(() => peer.has('start'));
		const {ref} = peer.heard.find(({kind}) => kind === 'start')!;
		peer.say({
			kind: 'ended', ref, outcome: 'done', ranMs,
		});
		t.deepEqual(await first, {kind: 'completed'});
		peer.socket.destroy();
		openDriver(t, [entry.address]);
		await waitUntil(() => entry.schedule.placeCounts.open === 1);
		const later = Array.from({length: 6}, async (_, index) => submit(entry, createJob(`k${index}`, 1)));
		t.true(entry.schedule.nextRefusalAt < systemClock.mono() + createJob('k').leftMs);
		t.deepEqual((await Promise.all(later)).map(({kind}) => kind), Array.from({length: 6}, () => 'completed'));
		t.is(await ignored(meters), 1);
		t.deepEqual(find('figure-ignored').map(({place, field}) => [place, field]), [['odd', 'ranMs']]);
	});
}

test('odd figures: jobs with months until they are refused do not keep the timer of refusals firing', async t => {
	const {entry} = await openEntry(t);
	const warnings: string[] = [];
	const warned = ({name}: Error): void => {
		warnings.push(name);
	};

	process.on('warning', warned);
	t.teardown(() => {
		process.off('warning', warned);
	});
	openDriver(t, [entry.address]);
	await waitUntil(() => entry.schedule.placeCounts.open === 1);
	await Promise.all(Array.from({length: 6}, async (_, index) => submit(entry, {...createJob(`j${index}`, 1), aimMs: 1e11})));
	t.deepEqual(warnings.filter(name => name === 'TimeoutOverflowWarning'), []);
});

const report = {
	zone: 'z', pool: 'p', room, others: {cpu: 0, memoryMb: 0, accelerators: 0}, isFailing: false, labels: ['k', 'r'],
};
const long = 'x'.repeat(1_000_000);
for (const [field, change, takesWork = false] of [
	['room', {room: {...room, cpu: 1e308}}],
	['room', {room: {...room, memoryMb: -5}}],
	['others', {others: {cpu: -1e308, memoryMb: 0, accelerators: 0}}],
	['pool', {pool: long}],
	['zone', {zone: long}],
	['labels', {labels: [long, 'r']}, true],
	['labels', {labels: Array.from({length: 100_000}, (_, index) => `label ${index}`)}, true],
] as const) {
	const [[name, value]] = Object.entries(change) as [[string, unknown]];
	test(`odd figures: a place with ${field} of ${JSON.stringify(value).slice(0, 30)} keeps its link, gets no work by it, and is told of in a short line`, async t => {
		const {log, kept, find} = keepLines();
		const {entry, meters} = await openEntry(t, log);
		const peer = await linkTo(t, entry.address, hello('sidecar'));
		peer.say({
			kind: 'place', report: {...report, [name]: value}, stamp: 1, clear: true,
		});
		await waitUntil(() => find('place').length === 1);
		openDriver(t, [entry.address]);
		await waitUntil(() => entry.schedule.placeCounts.linked === 2);
		entry.submit(createJob('j', 1), () => undefined);
		await systemClock.sleep(100);
		t.true(takesWork || !peer.has('start'));
		t.false(peer.socket.destroyed);
		t.is(await ignored(meters), 1);
		t.deepEqual(find('figure-ignored').map(({place, field: said}) => [place, said]), [['odd', field]]);
		t.true(Math.max(...kept.map(line => line.length)) < maxLogLine);
	});
}

test('odd figures: a room of other entries that is negative leaves the one known before in force', async t => {
	const {entry, meters} = await openEntry(t);
	const peer = await linkTo(t, entry.address, hello('sidecar'));
	const full = {cpu: 10, memoryMb: 100, accelerators: 0};
	peer.say({
		kind: 'place', report: {...report, others: full}, stamp: 1, clear: true,
	}, {
		kind: 'room', others: {cpu: -5, memoryMb: 0, accelerators: 0}, stamp: 1, clear: true,
	});
	await waitUntil(() => entry.schedule.placeCounts.open === 1);
	entry.submit(createJob('j', 1), () => undefined);
	await systemClock.sleep(100);
	t.false(peer.has('start'));
	t.is(await ignored(meters), 1);
});

for (const [title, more] of [
	['node', {node: long}], ['life', {life: long}], ['address', {address: long}], ['features', {features: [long]}],
] as const) {
	test(`odd figures: a hello with a ${title} of a megabyte costs its link, with a short line`, async t => {
		const {log, kept, find} = keepLines();
		const {entry} = await openEntry(t, log);
		const peer = await linkTo(t, entry.address, hello('entry', more));
		t.true(await comesTrue(() => peer.socket.destroyed));
		t.regex(String(find('link-lost')[0]?.problem), new RegExp(`hello.${title}`, 'v'));
		t.true(Math.max(...kept.map(line => line.length)) < maxLogLine);
	});
}

test('odd figures: an entry known under two addresses does not go on losing its runs to the second link', async t => {
	const {entry} = await openEntry(t);
	const {log, find} = keepLines();
	const [, port] = splitAddress(entry.address);
	const {driver} = openDriver(t, [entry.address, `127.0.0.1:0${port}`, `localhost:${port}`], log);
	await waitUntil(() => entry.schedule.placeCounts.open === 1);
	await systemClock.sleep(1000);
	const settled = find('entry-lost').length;
	await systemClock.sleep(1500);
	t.is(find('entry-lost').length - settled, 0);
	t.is(driver.linkedEntries, 1);
	t.deepEqual(await submit(entry, createJob('j')), {kind: 'completed'});
});

for (const [title, bytes] of [
	['nesting a million deep', new Uint8Array(1_000_000).fill(0x91)],
	['an array of four billion', new Uint8Array([0xDD, 0xFF, 0xFF, 0xFF, 0xFF])],
	['a map of four billion', new Uint8Array([0xDF, 0xFF, 0xFF, 0xFF, 0xFF])],
	['a text longer than the frame', new Uint8Array([0xDB, 0xFF, 0xFF, 0xFF, 0xFF, 0x61])],
	['a figure that is no number', createMsgpackFrames().encode([{
		kind: 'room', others: {cpu: Number.NaN, memoryMb: 0, accelerators: 0}, stamp: 1, clear: true,
	}]).subarray(4)],
] as const) {
	test(`odd figures: a frame with ${title} costs its link, and the entry serves on`, async t => {
		const {log, find} = keepLines();
		const {entry} = await openEntry(t, log);
		const peer = await linkTo(t, entry.address, hello('sidecar', {features: ['msgpack']}));
		peer.say({kind: 'codec', name: 'msgpack'});
		const prefix = Buffer.alloc(4);
		prefix.writeUInt32BE(bytes.length);
		peer.socket.write(Buffer.concat([prefix, bytes]));
		t.true(await comesTrue(() => find('link-lost').length === 1));
		t.is(find('link-lost')[0]!.why, 'malformed');
		openDriver(t, [entry.address]);
		await waitUntil(() => entry.schedule.placeCounts.open === 1);
		t.deepEqual(await submit(entry, createJob('j')), {kind: 'completed'});
	});
}

for (const clock of [1e308, Number.MAX_SAFE_INTEGER, -1e308, Number.NaN]) {
	test(`odd figures: a worker's clock of ${clock} leaves a fence that still rises`, t => {
		const fence = nextFence(100, clock, 1);
		t.true(Number.isSafeInteger(fence));
		t.true(fence > 100);
		t.true(nextFence(fence, 200, 0) > fence);
	});
}
