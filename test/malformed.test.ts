import {createServer as createHttpServer, type Server as HttpServer} from 'node:http';
import {
	createConnection, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {pino} from 'pino';
import {request} from 'undici';
import {decodeDesired} from '../platform/desired.js';
import {listenForReports} from '../platform/registry.js';
import {Store} from '../platform/store.js';
import {decodeLook, decodeReply} from '../platform/worker.js';
import {systemClock} from '../src/adapters/clock.js';
import type {Verdict} from '../src/decide/schedule/schedule.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {Driver} from '../src/ephemeral/driver.js';
import {splitAddress} from '../src/ephemeral/link.js';
import {decodeMessage, type Message} from '../src/ephemeral/messages.js';
import {DispatcherMetrics, DriverMetrics} from '../src/ephemeral/metrics.js';
import type {Executor} from '../src/ports/executor.js';

const room = {cpu: 10, memoryMb: 100, accelerators: 0};
/** A message of every kind, as it should be. */
const samples: readonly Message[] = [
	{
		kind: 'hello', role: 'entry', node: 'n', life: 'l', address: '127.0.0.1:1',
	},
	{
		kind: 'place', report: {
			zone: 'z', pool: 'p', room, others: room, isFailing: false, hindrance: 'draining', labels: ['k', 'r1'], remainingMs: 1900,
		}, stamp: 1, clear: true,
	},
	{
		kind: 'room', others: room, stamp: 1, clear: false,
	},
	{kind: 'offer'},
	{kind: 'refused', ref: 1, why: 'room'},
	{
		kind: 'ended', ref: 1, outcome: 'done', ranMs: 5,
	},
	{
		kind: 'crashed', life: 'w', ageMs: 5, tasks: [['t', 'r']],
	},
	{
		kind: 'start', ref: 1, task: 't', room, spec: '', stamp: 1, age: 1,
	},
	{kind: 'spec', id: 1, text: 't'},
	{
		kind: 'start', ref: 1, task: 't', room, specId: 1, stamp: 1, age: 1,
	},
	{kind: 'forget', ids: [1]},
	{kind: 'stop', ref: 1, hung: false},
	{kind: 'want', room, dueMs: 5},
	{kind: 'zones', asOf: 1, out: ['z']},
	{kind: 'entries', addresses: ['127.0.0.1:1']},
	{kind: 'newest', asOf: 1},
	{kind: 'fetch'},
	{kind: 'desired', asOf: 1, text: '[]'},
	{kind: 'beat', needed: true},
	{kind: 'codec', name: 'msgpack'},
	{kind: 'part', bytes: new Uint8Array(2), last: true},
	{kind: 'partTaken'},
];
const hello = (role: string) => JSON.stringify([{
	kind: 'hello', role, node: 'liar', life: 'l',
}]);
const place = JSON.stringify([samples[1]]);

/** Lines that end a link: before and after a hello. */
const lines = [
	['nothing', ['null']],
	['a list of nothing', ['[null]']],
	['an object', ['{}']],
	['a text', ['"hello"']],
	['a list of lists', ['[[]]']],
	['a message without a kind', ['[{"ref":1}]']],
	['a kind of another type', ['[{"kind":7}]']],
	['no JSON', ['[{"kind":']],
	['no text', ['\u0000\uFFFD\u0001']],
	['an order before hello', ['[{"kind":"stop","ref":1}]']],
	['addresses of nobody', [hello('entry'), '[{"kind":"entries","addresses":null}]']],
	['an address of another type', [hello('entry'), '[{"kind":"entries","addresses":[7]}]']],
	['a role that is none', [hello('caller')]],
	['a second hello', [hello('sidecar'), hello('entry')]],
	['a place without room', [hello('sidecar'), place.replace('"room":{"cpu":10,"memoryMb":100,"accelerators":0},"others"', '"room":null,"others"')]],
	['a hindrance that is none', [hello('sidecar'), place.replace('draining', 'tired')]],
	['features of another type', ['[{"kind":"hello","role":"entry","node":"liar","life":"l","features":[7]}]']],
	['a start without a text', [hello('entry'), '[{"kind":"start","ref":1,"task":"t","room":{"cpu":1,"memoryMb":1,"accelerators":0},"stamp":1,"age":1}]']],
	['a crash in the future', [hello('sidecar'), '[{"kind":"crashed","life":"w","ageMs":-1,"tasks":[]}]']],
	['a crash with too many tasks', [hello('sidecar'), JSON.stringify([{
		kind: 'crashed', life: 'w', ageMs: 0, tasks: Array.from({length: 1001}, () => ['t', 'r']),
	}])]],
	['a number of another type', [hello('sidecar'), '[{"kind":"ended","ref":"1","outcome":"done","ranMs":5}]']],
] as const;

/** A log that keeps its lines. */
function keepLines(): {log: pino.Logger; kept: Array<Record<string, unknown>>} {
	const kept: Array<Record<string, unknown>> = [];
	const log = pino({}, {
		write(line: string) {
			kept.push(JSON.parse(line) as Record<string, unknown>);
		},
	});
	return {log, kept};
}

/** Sends lines on one connection and resolves once the other side has closed it. */
async function sendLines(address: string, some: readonly string[]): Promise<void> {
	const [host, port] = splitAddress(address);
	const socket = createConnection({host, port});
	socket.on('error', () => undefined);
	socket.resume();
	await once(socket, 'connect');
	socket.write(some.map(line => `${line}\n`).join(''));
	await once(socket, 'close');
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

/** A worker at which every task is done when it is looked at. */
function doneAtOnce(): Executor {
	const ended: Array<{sequence: number; task: string; number: number; ending: 'done'}> = [];
	return {
		async start({task, number}) {
			ended.push({
				sequence: ended.length + 1, task, number, ending: 'done',
			});
			return {kind: 'done', clock: systemClock.mono()};
		},
		async stop() {
			return {kind: 'done', clock: systemClock.mono()};
		},
		async poll({seen}) {
			await systemClock.sleep(5);
			return {
				kind: 'seen', clock: systemClock.mono(), born: 1, running: [], ended: ended.filter(({sequence}) => sequence > seen),
			};
		},
		async close() {
			ended.length = 0;
		},
	};
}

function openDriver(t: ExecutionContext, seeds: readonly string[], log = pino({level: 'silent'})): Driver {
	const driver = Driver.create({
		node: 's', incarnation: 's-1', zone: 'z', seeds,
	}, {
		clock: systemClock, executor: doneAtOnce(), log, metrics: DriverMetrics.create(),
	});
	t.teardown(async () => driver.stop(0));
	driver.workerReported({
		incarnation: 'w', born: 1, pool: 'p', capacity: room, labels: [], draining: false,
	}, systemClock.mono());
	return driver;
}

/** Resolves to how a job ends that is submitted once a sidecar is linked. */
async function submit(entry: Dispatcher): Promise<Verdict> {
	while (entry.schedule.placeCounts.open === 0) {
		await systemClock.sleep(5);
	}

	return new Promise(resolve => {
		entry.submit({
			id: 'j',
			route: 'r',
			pool: 'p',
			spec: '',
			tasks: [{name: 'j.0', resources: {cpu: 1, memoryMb: 1, accelerators: 0}, estimateMs: 10}],
			aimMs: 5000,
			stretch: 1,
			attempts: 1,
			priority: 0,
			leftMs: 10_000,
		}, resolve);
	});
}

for (const [title, some] of lines) {
	test(`malformed: ${title} at an entry costs its connection, with a line and a count`, async t => {
		const {log, kept} = keepLines();
		const {entry, meters} = await openEntry(t, log);
		openDriver(t, [entry.address]);
		await sendLines(entry.address, some);
		const said = kept.find(({event, why}) => event === 'link-lost' && why === 'malformed');
		t.truthy(said?.problem);
		t.regex(String(said?.remote), /^127\.0\.0\.1:\d+$/v);
		const {values} = await meters.malformedMessages.get();
		t.is(values.reduce((sum, {value}) => sum + value, 0), 1);
		t.deepEqual(await submit(entry), {kind: 'completed'});
	});

	test(`malformed: ${title} from an entry costs a sidecar that connection`, async t => {
		const sockets = new Set<Socket>();
		const liar: Server = createServer(socket => {
			sockets.add(socket);
			socket.on('error', () => undefined);
			socket.resume();
			socket.write(some.map(line => `${line}\n`).join(''));
		});
		liar.listen(0, '127.0.0.1');
		await once(liar, 'listening');
		t.teardown(() => {
			liar.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		});
		const {log, kept} = keepLines();
		const {entry} = await openEntry(t);
		openDriver(t, [`127.0.0.1:${(liar.address() as AddressInfo).port}`, entry.address], log);
		t.deepEqual(await submit(entry), {kind: 'completed'});
		while (!kept.some(({event, why}) => event === 'entry-lost' && why === 'malformed')) {
			await systemClock.sleep(5);
		}

		t.truthy(kept.find(({why}) => why === 'malformed')?.problem);
	});
}

test('malformed: addresses that are none are never dialled, and the others are', async t => {
	const {entry} = await openEntry(t);
	const {entry: other} = await openEntry(t);
	openDriver(t, [entry.address]);
	other.addAddresses(['', 'nowhere', ':1', 'a:b', '127.0.0.1:', '127.0.0.1:70000', '127.0.0.1:0', ' 127.0.0.1:1', entry.address], true);
	t.deepEqual(await submit(other), {kind: 'completed'});
});

for (const sample of samples) {
	test(`malformed: a message is read as it was sent: ${sample.kind}${'specId' in sample ? ' of a text sent before' : ''}`, t => {
		t.deepEqual(decodeMessage(structuredClone(sample)), {kind: 'message', message: sample});
	});
}

test('malformed: a kind that a later version may send is passed over', t => {
	t.deepEqual(decodeMessage({kind: 'later', more: 1}), {kind: 'unknown', name: 'later'});
});

test('malformed: a time of leaving that is out of range is left out, counted, and logged once a link', async t => {
	const {log, kept} = keepLines();
	const {entry, meters} = await openEntry(t, log);
	await sendLines(entry.address, [hello('sidecar'), place.replace('1900', '-1'), place.replace('1900', '1e12'), '{}']);
	t.deepEqual(kept.filter(({event}) => event === 'figure-ignored').map(({place: from, field, value}) => [from, field, value]), [['liar', 'remainingMs', -1]]);
	t.is((await meters.ignoredFigures.get()).values[0]!.value, 2);
	t.is(entry.schedule.placeCounts.linked, 0);
});

/** A message with one field, at any depth, left out or put to something else. */
const spoilt = fc.record({sample: fc.constantFrom(...samples), pick: fc.nat(), value: fc.oneof(fc.constant(undefined), fc.jsonValue())}).map(({sample, pick, value}) => {
	const copy = structuredClone(sample) as unknown as Record<string, unknown>;
	const holders: Array<[Record<string, unknown>, string]> = [];
	const walk = (at: Record<string, unknown>): void => {
		for (const [key, inner] of Object.entries(at)) {
			holders.push([at, key]);
			if (typeof inner === 'object' && inner !== null) {
				walk(inner as Record<string, unknown>);
			}
		}
	};

	walk(copy);
	const [holder, key] = holders[pick % holders.length]!;
	holder[key] = value;
	return copy;
});

test('malformed: whatever is sent, an entry goes on serving', async t => {
	const {entry} = await openEntry(t);
	openDriver(t, [entry.address]);
	await t.notThrowsAsync(async () => fc.assert(fc.asyncProperty(fc.constantFrom('entry', 'sidecar'), fc.array(spoilt, {minLength: 1, maxLength: 5}), async (role, messages) => {
		const [host, port] = splitAddress(entry.address);
		const socket = createConnection({host, port});
		socket.on('error', () => undefined);
		socket.resume();
		await once(socket, 'connect');
		socket.end(`${hello(role)}\n${JSON.stringify(messages)}\n`);
		await once(socket, 'close');
	}), {seed: 7, numRuns: 300}));
	t.deepEqual(await submit(entry), {kind: 'completed'});
});

for (const [method, path, body, status] of [
	['PUT', '/sniperidge/instances/%zz', '{}', 404],
	['PUT', '/sniperidge/instances/', '{}', 404],
	['PUT', '/elsewhere', '{}', 404],
	['PUT', '/sniperidge/instances/i', 'null', 400],
	['PUT', '/sniperidge/instances/i', '{"born":', 400],
	['PUT', '/sniperidge/instances/i', '[]', 400],
	['DELETE', '/sniperidge/instances/%E0%A4%A', '', 404],
	['GET', '/sniperidge/instances/i', undefined, 404],
	['DELETE', '/sniperidge/instances/fails', '', 500],
	['DELETE', '/sniperidge/instances/i', '', 200],
] as const) {
	test(`malformed: the address for reports answers ${method} ${path} ${body ?? ''} with ${status}`, async t => {
		const failed: string[] = [];
		const server = await listenForReports('127.0.0.1:0', {
			reported() {
				t.fail('nothing was reported');
			},
			left(life) {
				if (life === 'fails') {
					throw new Error('as planned');
				}
			},
			malformed: () => undefined,
			failed(life) {
				failed.push(life);
			},
		}, {clock: systemClock, log: pino({level: 'silent'})});
		t.teardown(() => {
			server.close();
		});
		const {port} = server.address() as AddressInfo;
		const {statusCode, body: answer} = await request(`http://127.0.0.1:${port}${path}`, {method, body});
		await answer.dump();
		t.is(statusCode, status);
		t.is(failed.length, status === 500 ? 1 : 0);
	});
}

test('malformed: whatever a worker answers, it is decoded without an error', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.integer({min: 100, max: 599}), fc.dictionary(fc.constantFrom('clock_ms', 'reason', 'running', 'ended', 'born'), fc.jsonValue()), (status, body) => {
			decodeReply({status, body});
			decodeLook({status, body});
		}), {seed: 7, numRuns: 2000});
	});
});

test('malformed: whatever the operator\'s rows hold, they are decoded without an error', t => {
	const text = fc.oneof(fc.string(), fc.json(), fc.record({version: fc.integer(), routes: fc.array(fc.jsonValue())}).map(value => JSON.stringify(value)));
	t.notThrows(() => {
		fc.assert(fc.property(text, value => {
			decodeDesired(new Map([['config', value]]));
		}), {seed: 7, numRuns: 2000});
	});
});

for (const [title, text] of [
	['nothing', 'null'],
	['a list', '[]'],
	['no JSON', '{"rows"'],
	['no version', '{"rows":[]}'],
	['a version of another type', '{"ver":"x","rows":[]}'],
	['no version beside rows', '{"rows":[{"key":"k","value":"dg==","ver":1}]}'],
] as const) {
	test(`malformed: a store that answers ${title} is asked again, and nothing is taken in`, async t => {
		let asked = 0;
		const server: HttpServer = createHttpServer((_request, response) => {
			asked++;
			response.end(asked < 3 ? text : '{"ver":4,"rows":[null,{"key":7},{"key":"k","value":"dg==","ver":4}]}');
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const store = Store.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, systemClock, pino({level: 'silent'}), DispatcherMetrics.create());
		t.teardown(async () => {
			await store.close();
			server.close();
		});
		const found = await new Promise<unknown>(resolve => {
			void store.follow('op', resolve);
		});
		t.deepEqual(found, {version: 4, rows: new Map([['k', 'v']])});
	});
}
