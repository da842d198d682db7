import {Buffer} from 'node:buffer';
import {mkdtempSync, writeFileSync} from 'node:fs';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {isDeepStrictEqual} from 'node:util';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {request} from 'undici';
import * as z from 'zod';
import {decodeDesired} from '../platform/desired.js';
import {decodeReport, listenForReports} from '../platform/registry.js';
import {Store} from '../platform/store.js';
import {openWorker} from '../platform/worker.js';
import {systemClock} from '../src/adapters/clock.js';
import {openStore} from '../src/adapters/table.js';
import {openWorker as openWorkerClient} from '../src/adapters/worker.js';
import {buildCallerApi, type Dependencies} from '../src/entry/caller-api.js';
import {createMsgpackFrames} from '../src/ephemeral/frames.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';
import {loadSettings} from '../src/settings/load.js';
import {parseJson} from '../src/text.js';
import {silentLog} from './ephemeral-cluster.js';
import {serve} from './local-server.js';
import {WholeWay} from './whole-way.js';

/** A worker's report of itself. */
const report = {
	service: 'p', addr: '10.0.0.1:80', zone: 'z', state: 'ready', capacity: {cpu: 1, mem_mb: 1, gpu: 0}, labels: ['LABEL'], clock_ms: 1, seq: 1, born: 1,
};
/** The length of the prefix of a frame, in bytes. */
const prefixBytes = 4;
/** The byte order mark, a character of a text as any other. */
const mark = '\uFEFF';
/** The lengths at which the codec writes or reads a text in another way. */
const thresholds = [0, 4, 8, 16, 32, 64, 128, 256, 4096, 65_536];
const units = [mark, 'a', 'š', '票', '🎂', '\uFFFE', '\u0000'];

/** Texts of about a threshold's length in bytes, and any others. Some begin with marks. */
const anyText = fc.oneof(
	fc.record({
		marks: fc.nat(2), threshold: fc.constantFrom(...thresholds), off: fc.integer({min: -4, max: 4}), unit: fc.constantFrom(...units),
	}).map(({
		marks, threshold, off, unit,
	}) => mark.repeat(marks) + unit.repeat(Math.max(0, Math.round((threshold + off) / Buffer.byteLength(unit)) - marks))),
	fc.record({marks: fc.nat(2), rest: fc.string({unit: 'binary', maxLength: 200})}).map(({marks, rest}) => mark.repeat(marks) + rest),
);
/** Keys of objects. The codec renames `__proto__`, which no message has. */
const anyKey = anyText.filter(key => key !== '__proto__' && key.length < 1000);
const {tree: anyMessage} = fc.letrec(tie => ({
	tree: fc.oneof({maxDepth: 3}, anyText, fc.array(tie('tree'), {maxLength: 3}), fc.dictionary(anyKey, tie('tree'), {maxKeys: 3, noNullPrototype: true})),
}));

/** Returns what one side of a link decodes of lists of messages that the other side encodes. */
function transfer(lists: readonly unknown[][]): unknown[] {
	const outgoing = createMsgpackFrames();
	const incoming = createMsgpackFrames();
	return lists.map(list => incoming.decode(outgoing.encode(list).subarray(prefixBytes)));
}

// Guards against a text that another process gets without its first character: a decoder of UTF-8 drops a leading U+FEFF unless it is told not to.
test('texts: frames hold the texts of their messages whole, as fields, keys and in lists, whatever they begin with and however long they are', t => {
	const anyLists = fc.array(fc.array(anyMessage, {minLength: 1, maxLength: 3}), {minLength: 1, maxLength: 3});
	t.notThrows(() => {
		fc.assert(fc.property(anyLists, lists => {
			const before = structuredClone(lists);
			return isDeepStrictEqual(transfer(lists), before) && isDeepStrictEqual(lists, before);
		}), {seed: 51, numRuns: 1000});
	});
});

// Guards against a task that is started with another spec than its caller sent, and is told as completed.
test('texts: a worker is told the spec that the caller sent, whatever its characters and length', async t => {
	const way = await WholeWay.create(t);
	await t.notThrowsAsync(async () => fc.assert(fc.asyncProperty(anyText.filter(text => text.length <= 4000), async text => {
		const status = await way.submit(Buffer.from(JSON.stringify(text)));
		return status === 200 && way.specs.at(-1) === text;
	}), {seed: 51, numRuns: 100}));
});

for (const [title, spec, told] of [
	['an unpaired surrogate first', String.raw`\ud800 cake`, undefined],
	['an unpaired surrogate last', String.raw`cake \udc00`, undefined],
	['two surrogates in the wrong order', String.raw`\udc00\ud800`, undefined],
	['an unpaired surrogate first in a long text', String.raw`\ud800` + 'cake '.repeat(100), undefined],
	['an unpaired surrogate last in a long text', 'cake '.repeat(100) + String.raw`\uDFFF`, undefined],
	['a pair of surrogates', String.raw`\ud83c\udf82`, '🎂'],
	['an escaped escape', String.raw`\\ud800`, String.raw`\ud800`],
] as const) {
	// Guards against a task that is started with U+FFFD in place of a surrogate, which has no form in UTF-8.
	test(`texts: a spec with ${title} is ${told === undefined ? 'refused, and nothing of it runs' : 'told whole'}`, async t => {
		const way = await WholeWay.create(t);
		t.is(await way.submit(Buffer.from(`"${spec}"`)), told === undefined ? 400 : 200);
		t.deepEqual(way.specs, told === undefined ? [] : [told]);
	});
}

// Guards against a check that passes over an unpaired surrogate, or takes an escaped backslash for one.
test('texts: JSON with an unpaired surrogate is refused, and no other', t => {
	const anyPieces = fc.array(fc.constantFrom('\\', '"', 'u', 'd800', String.raw`\ud800`, '\uD800', '\uDC00', '🎂'), {maxLength: 8});
	const escaped = (json: string) => Array.from({length: json.length}, (_, index) => json[index]!)
		.map(unit => unit > '\u007F' ? String.raw`\u` + unit.codePointAt(0)!.toString(16) : unit).join('');
	const isTaken = (json: string): boolean => {
		try {
			return isDeepStrictEqual(parseJson(json), JSON.parse(json));
		} catch {
			return false;
		}
	};

	t.notThrows(() => {
		fc.assert(fc.property(anyPieces, pieces => {
			const text = pieces.join('');
			const documents = [JSON.stringify(text), JSON.stringify([{[text]: 1}])];
			return [...documents, ...documents.map(json => escaped(json))].every(json => isTaken(json) === text.isWellFormed());
		}), {seed: 51, numRuns: 2000});
	});
});

for (const [title, value] of [
	['a field', {...report, zone: '\uD800'}],
	['a label', {...report, labels: ['a', `${'k'.repeat(80)}\uDC00`]}],
	['a key', {...report, '\uD800': 1}],
] as const) {
	// Guards against a worker that other processes know by another name than its sidecar does.
	test(`texts: a worker's report with an unpaired surrogate in ${title} is refused`, t => {
		t.is(typeof decodeReport('i-1', JSON.stringify(value)), 'string');
	});
}

for (const field of ['name', 'host', 'path_prefix', 'service'] as const) {
	// Guards against jobs that a cancelling does not reach, since other entries know their route by another name.
	test(`texts: a route with an unpaired surrogate in its ${field} is left out, and named`, t => {
		const route = {
			name: 'r', host: 'a.example', path_prefix: '/p/', service: 's',
		};
		const desired = decodeDesired(new Map([['config', JSON.stringify({version: 1, routes: [{...route, [field]: '/p/\uD800'}, route]})]]))!;
		t.deepEqual(desired.queues.map(({name, host, prefix, pool}) => [name, host, prefix, pool]), [['r', 'a.example', '/p/', 's']]);
		t.regex(desired.problems.join(' '), new RegExp(String.raw`routes\.0\.${field}`, 'v'));
	});
}

/** Returns JSON with a lone byte 0xFF in place of each `?`. */
const spoilt = (value: unknown): Uint8Array => Buffer.from(JSON.stringify(value)).map(byte => byte === 0x3F ? 0xFF : byte);

// Guards against one text after which the runs and ends of a worker are never read again: it is replaced, and names no run.
test('texts: a text of a worker\'s answer that is not UTF-8 hides nothing else of it', async t => {
	const address = await serve(t, (_request, _url, response) => {
		response.end(spoilt({
			clock_ms: 5, born: 9, running: [['t', 1, '?', 50], ['?', 2, '', 50]], ended: [[1, 'u', 1, 'done', '?']],
		}));
	});
	const worker = openWorker(address);
	t.teardown(async () => worker.close());
	const look = await worker.poll({
		fence: 1, leaseUntil: 1, seen: 0, waitMs: 0, marginMs: 1000,
	}, 'i-1');
	t.deepEqual(look as Record<string, unknown>, {
		kind: 'seen', clock: 5, born: 9, running: [{task: 't', number: 1}, {task: '\uFFFD', number: 2}], ended: [{
			sequence: 1, task: 'u', number: 1, ending: 'done',
		}],
	});
});

// Guards against a desired state in force that the operator did not write.
test('texts: a row of the store whose value is not UTF-8 holds no text, and the others are read', async t => {
	const rowOf = (key: string, value: Uint8Array) => ({
		table: 'op', part: '', key, ver: 1, value: Buffer.from(value).toString('base64'),
	});
	const rows = [rowOf('config', spoilt({version: 1, routes: [{name: '?'}]})), rowOf('evacuate/z', Buffer.from('{}'))];
	const address = await serve(t, (_request, {pathname}, response) => {
		if (pathname === '/sniperidge/rows-get') {
			response.end(JSON.stringify({ver: 1, rows}));
		}
	});
	const store = Store.create(address, systemClock, silentLog, DispatcherMetrics.create());
	const read = await new Promise<ReadonlyMap<string, string>>(resolve => {
		void store.follow('op', snapshot => {
			resolve(snapshot.rows);
		});
	});
	await store.close();
	t.deepEqual([...read], [['config', ''], ['evacuate/z', '{}']]);
});

// Guards against a row that nobody wrote, and against an error that its readers don't expect.
test('texts: an answer of the table service or of a worker that is not UTF-8 is none', async t => {
	const address = await serve(t, (_request, _url, response) => {
		response.end(spoilt({
			rows: [], tasks: [], results: [], note: '?',
		}));
	});
	const store = openStore({url: `http://${address}`, timeoutMs: 1000});
	const client = openWorkerClient(`http://${address}`);
	t.teardown(async () => {
		await store.close();
		await client.close();
	});
	await t.throwsAsync(async () => store.list({tables: ['claims']}), {name: 'StoreError'});
	await t.throwsAsync(async () => store.write([]), {name: 'StoreError'});
	await t.throwsAsync(async () => client.acquireLease('s', 1), {message: /UTF-8/v});
});

// Guards against a process that runs under another name than its operator gave it.
test('texts: a settings file that is not UTF-8 is refused', t => {
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'texts-')), 'settings.json');
	writeFileSync(file, '{"name":"\u00E9"}', 'latin1');
	t.throws(() => loadSettings(z.looseObject({name: z.string()}), file), {name: 'SettingsError', message: /UTF-8/v});
});

/** Answers a look-up of a job with what the back end of its only task answered. Returns the task as its caller gets it. */
async function lookUp(t: ExecutionContext, contentType: string, bytes: Uint8Array): Promise<{body: string; encoding: 'utf8' | 'base64'}> {
	const answer = {
		code: 0, items: [{
			body: Buffer.from(bytes).toString('base64'), contentType, place: 'minion-0', ranMs: 1,
		}],
	};
	const app = buildCallerApi({
		jobs: {isDraining: false, lookUp: async () => answer}, watcher: {config: {memberByTokenHash: () => 'alpha'}}, metrics: {countResponse: () => undefined}, isJoined: () => true,
	} as unknown as Dependencies);
	t.teardown(async () => app.close());
	const reply = await app.inject({method: 'GET', url: '/v1/jobs/k', headers: {authorization: 'Bearer token'}});
	return reply.json<{tasks: Array<{body: string; encoding: 'utf8' | 'base64'}>}>().tasks[0]!;
}

for (const [title, contentType, bytes, encoding] of [
	['a text', 'text/plain', Buffer.from('š'), 'utf8'],
	['a text that begins with a byte order mark', 'text/plain', Buffer.from(`${mark}š`), 'utf8'],
	['JSON', 'application/json', Buffer.from('{"ok":true}'), 'utf8'],
	['a text in another encoding', 'text/plain; charset=iso-8859-2', Uint8Array.from([0xB9]), 'base64'],
	['JSON that is not UTF-8', 'application/json', Uint8Array.from([0x22, 0xFF, 0x22]), 'base64'],
	['an image', 'image/png', Uint8Array.from([0x89]), 'base64'],
] as const) {
	// Guards against an answer that its caller gets with U+FFFD in place of what the back end said.
	test(`texts: where a back end answers ${title}, its caller can tell the same bytes from ${encoding}`, async t => {
		const task = await lookUp(t, contentType, bytes);
		t.is(task.encoding, encoding);
		t.deepEqual([...Buffer.from(task.body, task.encoding)], [...bytes]);
	});
}

/** Bytes that are not valid UTF-8. */
const invalidBytes = [
	['a lone byte', [0xFF]],
	['an overlong form', [0xC0, 0xAF]],
	['a surrogate in three bytes', [0xED, 0xA0, 0x80]],
	['a sequence that is cut', [0xE2, 0x82]],
	['a character above U+10FFFF', [0xF4, 0x90, 0x80, 0x80]],
] as const;
const quoted = (bytes: readonly number[]): Uint8Array => Buffer.from([0x22, 0x61, ...bytes, 0x22]);

for (const [title, bytes] of invalidBytes) {
	// Guards against a task that is started with U+FFFD in place of what its caller sent.
	test(`texts: a submission with ${title} where UTF-8 is expected is refused, and nothing of it runs`, async t => {
		const way = await WholeWay.create(t);
		for (const isChunked of [false, true]) {
			t.is(await way.submit(quoted(bytes), isChunked), 400);
		}

		t.deepEqual(way.specs, []);
		t.is(await way.submit(Buffer.from('"a"')), 200);
	});

	// Guards against a worker that is placed by a name that it did not say.
	test(`texts: a worker's report with ${title} where UTF-8 is expected is refused`, async t => {
		const heard: string[] = [];
		const server = await listenForReports('127.0.0.1:0', {
			reported({worker}) {
				heard.push(`report of ${worker.labels.join(' ')}`);
			},
			left: () => undefined,
			malformed(life) {
				heard.push(`malformed report of ${life}`);
			},
			failed: () => undefined,
		}, {clock: systemClock, log: silentLog});
		t.teardown(() => {
			server.close();
		});
		const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/sniperidge/instances/i-1`;
		const [before, after] = JSON.stringify(report).split('"LABEL"') as [string, string];
		const {statusCode, body} = await request(url, {method: 'PUT', body: Buffer.concat([Buffer.from(before), quoted(bytes), Buffer.from(after)])});
		await body.dump();
		t.is(statusCode, 400);
		t.deepEqual(heard, ['malformed report of i-1']);
	});
}
