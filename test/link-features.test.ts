import {
	createConnection, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {once} from 'node:events';
import {createInterface} from 'node:readline';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {systemClock} from '../src/adapters/clock.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {BlockReader, createMsgpackFrames, jsonLines} from '../src/ephemeral/frames.js';
import {
	Links, splitAddress, type Link, type LinkEndReason,
} from '../src/ephemeral/link.js';
import {features, type ReceivedMessage} from '../src/ephemeral/messages.js';
import {DispatcherMetrics, DriverMetrics} from '../src/ephemeral/metrics.js';
import {HeldTexts, SentTexts} from '../src/ephemeral/spec-texts.js';
import {policySettings, type PolicySettings} from '../src/settings/policy.js';
import {
	createExecutor, createJob, leaseMs, room, silentLog, startDriver, submit, waitUntil,
} from './ephemeral-cluster.js';
import {ModelWorker} from './model-worker.js';
import {Proxy} from './proxy.js';

type Said = {kind: string} & Record<string, unknown>;

/** A peer that writes lines of JSON and keeps those it gets, without those that hold heartbeats. */
class LinePeer {
	readonly lines: string[] = [];
	closed = false;

	constructor(readonly socket: Socket) {
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.closed = true;
		});
		createInterface({input: socket}).on('line', line => {
			if (!line.includes('"kind":"beat"')) {
				this.lines.push(line);
			}
		});
	}

	get messages(): Said[] {
		return this.lines.flatMap(line => JSON.parse(line) as Said[]);
	}

	ofKind(kind: string): Said[] {
		return this.messages.filter(message => message.kind === kind);
	}

	send(...messages: unknown[]): void {
		this.socket.write(`${JSON.stringify(messages)}\n`);
	}
}

const entryHello = (announced?: readonly string[]) => ({
	kind: 'hello', role: 'entry', node: 'e', life: 'e-1', address: '127.0.0.1:1', features: announced,
});
const sidecarHello = (announced?: readonly string[]) => ({
	kind: 'hello', role: 'sidecar', node: 's', life: 's-1', features: announced,
});
const place = {
	kind: 'place', report: {
		zone: 'z', pool: 'p', room, others: {cpu: 0, memoryMb: 0, accelerators: 0}, isFailing: false,
	}, stamp: 5, clear: true,
};
const start = {
	kind: 'start', ref: 1, task: 'j.0', room: {cpu: 4, memoryMb: 1, accelerators: 0}, stamp: 0, age: 0,
};

/** Connects a peer to an entry as its only sidecar, with room for two tasks. */
async function sidecarOf(t: ExecutionContext, announced?: readonly string[], policy?: PolicySettings): Promise<{entry: Dispatcher; peer: LinePeer; metrics: DispatcherMetrics}> {
	const metrics = DispatcherMetrics.create();
	const entry = await Dispatcher.create({
		node: 'e', incarnation: 'e-1', address: '127.0.0.1:0', seeds: [], policy,
	}, systemClock, silentLog, metrics);
	const [host, port] = splitAddress(entry.address);
	const peer = new LinePeer(createConnection({host, port}));
	t.teardown(() => {
		entry.close();
		peer.socket.destroy();
	});
	peer.send(sidecarHello(announced));
	peer.send(place);
	await waitUntil(() => entry.schedule.placeCounts.open === 1);
	return {entry, peer, metrics};
}

/** Starts a sidecar with a peer as its only entry. */
async function entryOf(t: ExecutionContext, announced?: readonly string[]): Promise<{peer: LinePeer; metrics: DriverMetrics}> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const metrics = DriverMetrics.create();
	const worker = ModelWorker.create(room, leaseMs);
	startDriver(t, 's', {
		seeds: [`127.0.0.1:${(server.address() as AddressInfo).port}`], executor: createExecutor(worker, {resources: room, durationMs: 20, ending: 'done'}), metrics,
	});
	const [socket] = await once(server, 'connection') as [Socket];
	const peer = new LinePeer(socket);
	t.teardown(() => {
		server.close();
		socket.destroy();
	});
	peer.send(entryHello(announced));
	await waitUntil(() => peer.ofKind('place').some(({report}) => (report as {hindrance?: string}).hindrance === undefined));
	return {peer, metrics};
}

/** Replaces what differs between runs: addresses, times and stamps. */
const normal = (line: string) => line.replaceAll(/127\.0\.0\.1:\d+/gv, 'ADDRESS').replaceAll(/"(?<key>stamp|age|ranMs)":[\d.]+/gv, '"$<key>":0');

// Guards against a new message or field on a link to an entry or sidecar of an earlier version. The lines were recorded from the code before features.
test('link features: a sidecar that announces none gets the lines of before', async t => {
	const {entry, peer} = await sidecarOf(t);
	const verdict = submit(entry, createJob('j'));
	await waitUntil(() => peer.ofKind('start').length === 2);
	peer.send({
		kind: 'ended', ref: 1, outcome: 'done', ranMs: 5,
	}, {
		kind: 'ended', ref: 2, outcome: 'done', ranMs: 5,
	});
	t.deepEqual(await verdict, {kind: 'completed'});
	t.deepEqual(peer.lines.map(line => normal(line)), [
		'[{"kind":"hello","role":"entry","node":"e","life":"e-1","address":"ADDRESS"},{"kind":"zones","asOf":0,"out":[]},{"kind":"entries","addresses":["ADDRESS"]}]',
		'[{"kind":"start","ref":1,"task":"j.0","room":{"cpu":4,"memoryMb":1,"accelerators":0},"spec":"text","stamp":0,"age":0},'
		+ '{"kind":"start","ref":2,"task":"j.1","room":{"cpu":4,"memoryMb":1,"accelerators":0},"spec":"text","stamp":0,"age":0}]',
	]);
});

test('link features: an entry that announces none gets the lines of before, but for the features in the hello', async t => {
	const {peer} = await entryOf(t);
	peer.send({...start, spec: 'text'});
	await waitUntil(() => peer.ofKind('ended').length === 1);
	const lines = peer.lines.map(line => normal(line)).filter(line => !line.startsWith('[{"kind":"room"'));
	const hello = lines[0]!.replace(/,"features":\[[^\]]+\]/v, '');
	const roomThen = '{"kind":"room","others":{"cpu":0,"memoryMb":0,"accelerators":0},"stamp":0,"clear":true}]';
	t.deepEqual([hello, lines.at(-2), lines.at(-1)], [
		'[{"kind":"hello","role":"sidecar","node":"s","life":"s-1"}]',
		'[{"kind":"place","report":{"zone":"z","pool":"p","room":{"cpu":10,"memoryMb":100,"accelerators":0},'
		+ `"others":{"cpu":0,"memoryMb":0,"accelerators":0},"isFailing":false},"stamp":0,"clear":true},${roomThen}`,
		`[{"kind":"ended","ref":1,"outcome":"done","ranMs":0},${roomThen}`,
	]);
});

// Guards against fields of look-ahead placement on a link to a side that does not use them.
for (const [title, announced, enabled, isSent] of [
	['to a sidecar that names the feature', ['lookAhead'], 'on', true],
	['not to a sidecar that names no such feature', ['specs'], 'on', false],
	['not where the entry has it switched off', ['lookAhead'], 'auto', false],
] as const) {
	test(`link features: the expected time of a start goes ${title}`, async t => {
		const {entry, peer} = await sidecarOf(t, announced, policySettings.parse({lookAhead: {enabled}}));
		void submit(entry, createJob('j'));
		await waitUntil(() => peer.ofKind('start').length === 2);
		t.is(peer.ofKind('start').every(({expectedMs}) => expectedMs !== undefined), isSent);
		t.is(peer.ofKind('hello').some(({features: named}) => (named as string[]).includes('lookAhead')), enabled === 'on');
	});
}

// Guards against a field of crash reports on a link to a sidecar of an earlier version.
for (const [announced, routes] of [['crashes', ['r', 'r']], ['specs', [undefined, undefined]]] as const) {
	test(`link features: a start ${announced === 'crashes' ? 'names' : 'does not name'} its route to a sidecar that names ${announced}`, async t => {
		const {entry, peer} = await sidecarOf(t, [announced]);
		void submit(entry, createJob('j'));
		await waitUntil(() => peer.ofKind('start').length === 2);
		t.deepEqual(peer.ofKind('start').map(({route}) => route), [...routes]);
	});
}

for (const announced of ['lookAhead', 'specs']) {
	test(`link features: releases ${announced === 'lookAhead' ? 'are' : 'are not'} reported to an entry that names ${announced}`, async t => {
		const {peer} = await entryOf(t, [announced]);
		peer.send({...start, spec: 'text', expectedMs: 20}, {kind: 'want', room: start.room, dueMs: 100});
		await waitUntil(() => peer.ofKind('offer').length === 1 && peer.ofKind('ended').length === 1);
		t.is(peer.ofKind('room').some(({releases}) => releases !== undefined), announced === 'lookAhead');
	});
}

// Guards against a text that travels with every task, and against texts that a sidecar never forgets.
test('link features: a text goes once to a sidecar and is forgotten when its job has ended', async t => {
	const {entry, peer} = await sidecarOf(t, ['specs']);
	for (const [index, id] of ['one', 'two'].entries()) {
		const verdict = submit(entry, createJob(id));
		await waitUntil(() => peer.ofKind('start').length === 2 * (index + 1));
		peer.send(...peer.ofKind('start').slice(-2).map(({ref}) => ({
			kind: 'ended', ref, outcome: 'done', ranMs: 5,
		})));
		t.deepEqual(await verdict, {kind: 'completed'});
	}

	t.deepEqual(peer.ofKind('spec'), [{kind: 'spec', id: 1, text: 'text'}, {kind: 'spec', id: 2, text: 'text'}]);
	t.deepEqual(peer.ofKind('start').map(({spec, specId}) => [spec, specId]), [[undefined, 1], [undefined, 1], [undefined, 2], [undefined, 2]]);
	t.deepEqual(peer.ofKind('forget'), [{kind: 'forget', ids: [1]}]);
});

// Guards against a job that is refused until its deadline because the sidecar lost its text.
test('link features: a text that the sidecar does not hold is sent again', async t => {
	const {entry, peer} = await sidecarOf(t, ['specs']);
	const verdict = submit(entry, createJob('j', 1));
	await waitUntil(() => peer.ofKind('start').length === 1);
	peer.send({kind: 'refused', ref: 1, why: 'invalid'});
	await waitUntil(() => peer.ofKind('start').length === 2);
	t.deepEqual(peer.ofKind('spec').map(({id}) => id), [1, 2]);
	peer.send({
		kind: 'ended', ref: 2, outcome: 'done', ranMs: 5,
	});
	t.deepEqual(await verdict, {kind: 'completed'});
});

test('link features: a start that names a text not sent, or forgotten, is refused as invalid, and the others go on', async t => {
	const {peer, metrics} = await entryOf(t, ['specs']);
	peer.send({...start, specId: 7}, {kind: 'spec', id: 8, text: 'a'}, {...start, ref: 2, specId: 8}, {kind: 'forget', ids: [8, 9]});
	peer.send({...start, ref: 3, specId: 8});
	await waitUntil(() => peer.ofKind('ended').length === 1 && peer.ofKind('refused').length === 2);
	t.deepEqual(peer.ofKind('refused'), [{kind: 'refused', ref: 1, why: 'invalid'}, {kind: 'refused', ref: 3, why: 'invalid'}]);
	t.deepEqual((await metrics.refusedRequests.get()).values.map(({labels, value}) => [labels.why, value]), [['invalid', 2]]);
});

// Guards against a sidecar whose memory an entry fills.
test('link features: an entry that sends too many texts costs its link', async t => {
	const {peer, metrics} = await entryOf(t, ['specs']);
	const text = 'x'.repeat(100_000);
	for (let id = 0; id < 40; id++) {
		peer.send({kind: 'spec', id, text});
	}

	await waitUntil(() => peer.closed);
	t.deepEqual((await metrics.linksLost.get()).values.map(({labels}) => labels.why), ['malformed']);
});

test('link features: an entry counts the texts as the sidecar does, until that was told to forget them', t => {
	const sent = SentTexts.create(1000);
	const held = HeldTexts.create(1000);
	const put = (job: string, text: string): boolean => {
		const id = sent.add(job, text);
		return id !== undefined && held.add(id, text);
	};

	t.deepEqual([put('a', 'ž'.repeat(200)), put('b', 'x'.repeat(400)), put('c', 'x'.repeat(400))], [true, true, false]);
	sent.release('a');
	t.false(put('c', 'x'.repeat(400)));
	const ids = sent.takeForgettable();
	held.forget(ids);
	t.deepEqual(ids, [1]);
	t.deepEqual([put('c', 'x'.repeat(400)), sent.idOf('a'), sent.idOf('c'), held.size], [true, undefined, 3, 2]);
	t.false(held.add(9, 'x'.repeat(400)));
});

const codecLine = (name: string) => `[{"kind":"codec","name":"${name}"}]\n`;
const frame = (...content: number[]) => [0, 0, 0, content.length, ...content];

for (const [title, announced, line, bytes] of [
	['a frame over the limit', ['msgpack'], codecLine('msgpack'), [0xFF, 0xFF, 0xFF, 0xFF]],
	['an empty frame', ['msgpack'], codecLine('msgpack'), [0, 0, 0, 0]],
	['a frame that is no MessagePack', ['msgpack'], codecLine('msgpack'), frame(0x92, 0x01)],
	['a frame with more than a value', ['msgpack'], codecLine('msgpack'), frame(0x90, 0x90)],
	['a frame of something else than a list', ['msgpack'], codecLine('msgpack'), frame(0x01)],
	['a frame of a reserved type', ['msgpack'], codecLine('msgpack'), frame(0x91, 0xC1)],
	['a frame of a message that the schema refuses', ['msgpack'], codecLine('msgpack'), [...createMsgpackFrames().encode([{kind: 'room'}])]],
	['a line that is not UTF-8', ['specs'], '[{"kind":"later","text":"', [0xFF, ...new TextEncoder().encode('"}]\n')]],
	['a line after the switch', ['msgpack'], codecLine('msgpack'), [...new TextEncoder().encode('[{"kind":"offer"}]\n')]],
	['a switch that was not agreed', ['specs'], codecLine('msgpack'), []],
	['a switch to an unknown codec', ['msgpack'], codecLine('other'), []],
	['a second switch', ['msgpack'], codecLine('msgpack'), [...createMsgpackFrames().encode([{kind: 'codec', name: 'msgpack'}])]],
] as const) {
	// Guards against a bad frame that ends the process, or that is passed over so that all after it is misread.
	test(`link features: ${title} costs the link`, async t => {
		const {entry, peer, metrics} = await sidecarOf(t, announced);
		peer.socket.write(line);
		peer.socket.write(Uint8Array.from(bytes));
		await waitUntil(() => peer.closed);
		t.deepEqual((await metrics.linksLost.get()).values.map(({labels}) => labels.why), ['malformed']);
		t.is(entry.schedule.placeCounts.linked, 0);
	});
}

test('link features: a frame that ends with its link is lost as a whole', async t => {
	const {entry, peer, metrics} = await sidecarOf(t, ['msgpack']);
	peer.socket.write(codecLine('msgpack'));
	const block = createMsgpackFrames().encode([{...place, report: {...place.report, hindrance: 'draining'}}]);
	peer.socket.end(block.subarray(0, -1));
	await waitUntil(() => entry.schedule.placeCounts.linked === 0);
	t.deepEqual((await metrics.linksLost.get()).values.map(({labels}) => labels.why), ['closed']);
});

// Guards against a side that takes the other's hello for its switch.
test('link features: a side that announces frames may go on with lines, and gets frames', async t => {
	const {entry, peer} = await sidecarOf(t, ['msgpack', 'later']);
	const bytes: number[] = [];
	peer.socket.on('data', (chunk: Uint8Array) => {
		bytes.push(...chunk);
	});
	const verdict = submit(entry, createJob('j', 1));
	await waitUntil(() => new TextDecoder().decode(Uint8Array.from(bytes)).includes('start'));
	peer.send({
		kind: 'ended', ref: 1, outcome: 'done', ranMs: 5,
	});
	t.deepEqual(await verdict, {kind: 'completed'});
	t.false(new TextDecoder().decode(Uint8Array.from(bytes)).includes('"kind":"start"'));
});

/** Lists of objects with any fields but `__proto__`, which the library renames and no message has. */
const anyLists = fc.array(fc.array(fc.dictionary(fc.string(), fc.jsonValue({depthSize: 'small'})), {maxLength: 4}), {maxLength: 100})
	.filter(lists => !JSON.stringify(lists).includes('__proto__'));

/** Returns lists as they are read from their blocks, so many lines and then frames, that arrive in chunks of some lengths. */
function readInChunks(lists: readonly unknown[][], lineCount: number, lengths: readonly number[]): unknown[] {
	const outgoing = createMsgpackFrames();
	const incoming = createMsgpackFrames();
	const bytes = Uint8Array.from(lists.flatMap((list, index) => [...(index < lineCount ? jsonLines : outgoing).encode(list)]));
	const reader = BlockReader.create();
	reader.isBinary = lineCount === 0;
	const got: unknown[] = [];
	for (let from = 0, index = 0; from < bytes.length; index++) {
		const until = from + lengths[index % lengths.length]!;
		for (const content of reader.read(bytes.subarray(from, until))) {
			got.push((reader.isBinary ? incoming : jsonLines).decode(content));
			reader.isBinary = got.length >= lineCount;
		}

		from = until;
	}

	return got;
}

test('link features: lists of messages are read as they were written, however their bytes are cut', t => {
	t.notThrows(() => {
		const lengths = fc.array(fc.integer({min: 1, max: 40}), {minLength: 1});
		const property = fc.property(anyLists, fc.nat(3), lengths, (lists, lineCount, cuts) => JSON.stringify(readInChunks(lists, lineCount, cuts)) === JSON.stringify(lists));
		fc.assert(property, {seed: 7, numRuns: 300});
	});
});

test('link features: a block over the limit is not collected', t => {
	for (const isBinary of [false, true]) {
		const reader = BlockReader.create(100);
		reader.isBinary = isBinary;
		t.throws(() => [...reader.read(isBinary ? Uint8Array.from([0, 0, 0, 101]) : new Uint8Array(101))]);
	}
});

/** Opens a link between two processes through a proxy, on which both sides have announced everything and frames are sent. */
async function throttledLink(t: ExecutionContext): Promise<{link: Link; proxy: Proxy; got: ReceivedMessage[]; ended: Promise<LinkEndReason>}> {
	const got: ReceivedMessage[] = [];
	let end!: (why: LinkEndReason) => void;
	const ended = new Promise<LinkEndReason>(resolve => {
		end = resolve;
	});
	const accepting = Links.create(systemClock, {
		receive(message, link) {
			got.push(message);
			if (message.kind === 'hello') {
				link.sendHello({...sidecarHello(features), kind: 'hello', role: 'sidecar'});
			}
		},
		linkEnded(_link, why) {
			end(why);
		},
		isNeeded: () => true,
	});
	const dialling = Links.create(systemClock, {receive: () => undefined, linkEnded: () => undefined, isNeeded: () => true});
	const proxy = await Proxy.create(await accepting.listen('127.0.0.1:0'));
	const link = await dialling.dial(proxy.address);
	t.teardown(async () => {
		dialling.close();
		accepting.close();
		await proxy.close();
	});
	link!.sendHello({...entryHello(features), kind: 'hello', role: 'entry'});
	await waitUntil(() => link!.speaks('parts'));
	link!.send({kind: 'fetch'});
	await waitUntil(() => got.length === 2);
	proxy.bytesPerSecond = 250_000;
	return {
		link: link!, proxy, got, ended,
	};
}

// Guards against stops that wait behind a desired state for seconds, and against a link that is given up for silence meanwhile.
test('link features: on a slow link, stops and heartbeats pass a large desired state, and keep their order', async t => {
	const {link, got} = await throttledLink(t);
	const text = 'ž"'.repeat(120_000);
	link.send({kind: 'desired', asOf: 7, text});
	for (let ref = 0; ref < 20; ref++) {
		link.send({kind: 'stop', ref, hung: false});
		await systemClock.sleep(20);
	}

	await waitUntil(() => got.some(({kind}) => kind === 'desired'));
	t.true(link.isOpen);
	t.deepEqual(got.slice(2), [
		...Array.from({length: 20}, (_, ref) => ({kind: 'stop' as const, ref, hung: false})), {kind: 'desired', asOf: 7, text},
	]);
});

test('link features: a desired state whose link ends before its last part is lost as a whole', async t => {
	const {link, proxy, got, ended} = await throttledLink(t);
	link.send({kind: 'desired', asOf: 7, text: 'x'.repeat(200_000)});
	await waitUntil(() => proxy.bytes > 50_000);
	proxy.cut();
	t.is(await ended, 'closed');
	t.deepEqual(got.map(({kind}) => kind), ['hello', 'fetch']);
});

for (const [title, message] of [
	['a part that is no JSON', {kind: 'part', bytes: new Uint8Array(3), last: true}],
	['parts of another message than a desired state', {kind: 'part', bytes: new TextEncoder().encode('{"kind":"offer"}'), last: true}],
	['the receipt of a part that was not sent', {kind: 'partTaken'}],
] as const) {
	test(`link features: ${title} costs the link`, async t => {
		const {link, ended} = await throttledLink(t);
		link.send(message);
		t.is(await ended, 'malformed');
	});
}

for (const [entrySide, sidecarSide] of [['off', 'auto'], ['auto', 'off'], ['off', 'off'], ['auto', 'auto']] as const) {
	// Guards against a feature that is used though one side has it switched off, or has no such feature.
	test(`link features: jobs are served with the links of the entry ${entrySide} and those of the sidecar ${sidecarSide}`, async t => {
		const entry = await Dispatcher.create({
			node: 'e', incarnation: 'e-1', address: '127.0.0.1:0', seeds: [], policy: policySettings.parse({links: {enabled: entrySide}}),
		}, systemClock, silentLog, DispatcherMetrics.create());
		t.teardown(() => {
			entry.close();
		});
		const sent: Array<ReceivedMessage['kind']> = [];
		entry.onFlush = messages => {
			sent.push(...messages.map(({kind}) => kind as ReceivedMessage['kind']));
		};

		const worker = ModelWorker.create(room, leaseMs);
		startDriver(t, 's', {
			seeds: [entry.address], executor: createExecutor(worker, {resources: {...room, cpu: 4}, durationMs: 20, ending: 'done'}), policy: policySettings.parse({links: {enabled: sidecarSide}}),
		});
		await waitUntil(() => entry.schedule.placeCounts.open === 1);
		t.deepEqual(await submit(entry, createJob('j', 4)), {kind: 'completed'});
		t.deepEqual(worker.violations, []);
		t.is(sent.filter(kind => kind === 'spec').length, entrySide === 'auto' && sidecarSide === 'auto' ? 1 : 0);
	});
}
