import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {setImmediate as turn} from 'node:timers/promises';
import {Worker as Thread} from 'node:worker_threads';
import test from 'ava';
import {pino} from 'pino';
import {request} from 'undici';
import {systemClock} from '../src/adapters/clock.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';
import {decodeDesired, type Desired, type Queue} from '../platform/desired.js';
import {buildFront, queueOf} from '../platform/front.js';
import {readJob} from '../platform/jobs.js';
import {decodeReport, type Report} from '../platform/registry.js';
import {machineSettings} from '../platform/settings.js';
import {Store} from '../platform/store.js';
import {decodeLook, decodeReply, openWorker} from '../platform/worker.js';
import type {Reply} from '../src/ports/executor.js';
import {checkSettings} from '../src/settings/load.js';
import {waitUntil} from './ephemeral-cluster.js';
import {serve} from './local-server.js';
import {hello, linkTo} from './odd-peer.js';

const quiet = pino({level: 'silent'});
const beat = {
	service: 'p',
	addr: '10.0.0.1:80',
	zone: 'z',
	version: 'v1',
	slots: 8,
	state: 'ready',
	cold_left_ms: 0,
	capacity: {cpu: 16_000, mem_mb: 32_768, gpu: 0},
	labels: ['a'],
	clock_ms: 4821,
	seq: 4,
	born: 1_700_000_000_000,
};

for (const [title, value, expected] of [
	['a report', beat, true],
	['a report with fields that are not known', {...beat, more: {deep: 1}}, true],
	['a report without labels', {...beat, labels: undefined}, true],
	['a report that drains', {...beat, state: 'draining'}, true],
	['a state that is not known', {...beat, state: 'resting'}, false],
	['no start', {...beat, born: undefined}, false],
	['a start of another type', {...beat, born: 'yesterday'}, false],
	['no capacity', {...beat, capacity: undefined}, false],
	['a capacity of another type', {...beat, capacity: {cpu: '16', mem_mb: 1, gpu: 0}}, false],
	['a number of another type', {...beat, seq: '4'}, false],
	['a list', [beat], false],
	['nothing', null, false],
	['the start that a machine without a time of day has', {...beat, born: 0}, true],
	['a start hours ahead of the own time of day, which may itself be wrong', {...beat, born: Date.now() + 36_000_000}, true],
	['a start after the end of the century', {...beat, born: Number.MAX_SAFE_INTEGER}, false],
	['a start in fractions', {...beat, born: 0.5}, false],
	['a start below 0', {...beat, born: -1}, false],
	['a number that no count reaches', {...beat, seq: 1e308}, false],
	['a number below 0', {...beat, seq: -1}, false],
	['a number in fractions', {...beat, seq: 0.5}, false],
	['a clock of a year', {...beat, clock_ms: 31_536_000_000}, true],
	['a clock that no worker reaches', {...beat, clock_ms: 1e300}, false],
	['a clock below 0', {...beat, clock_ms: -1e300}, false],
	['a machine of 1,024 cores, 32 TB and 64 accelerators', {...beat, capacity: {cpu: 1_024_000, mem_mb: 32_000_000, gpu: 64}}, true],
	['no room at all', {...beat, capacity: {cpu: 0, mem_mb: 0, gpu: 0}}, true],
	['processors that no machine has', {...beat, capacity: {...beat.capacity, cpu: 1e308}}, false],
	['memory that no machine has', {...beat, capacity: {...beat.capacity, mem_mb: 1e308}}, false],
	['accelerators that no machine has', {...beat, capacity: {...beat.capacity, gpu: 1e308}}, false],
	['processors below 0', {...beat, capacity: {...beat.capacity, cpu: -5}}, false],
	['memory below 0', {...beat, capacity: {...beat.capacity, mem_mb: -5}}, false],
	['accelerators below 0', {...beat, capacity: {...beat.capacity, gpu: -5}}, false],
	['200,000 labels', {...beat, labels: Array.from({length: 200_000}, () => 'a')}, false],
	['a label of a megabyte', {...beat, labels: ['a'.repeat(1_000_000)]}, false],
	['a port out of range', {...beat, addr: '10.0.0.1:99999'}, false],
	['a port below 0', {...beat, addr: '10.0.0.1:-1'}, false],
	['no port', {...beat, addr: '10.0.0.1'}, false],
] as const) {
	// Guards against one odd report that is taken for the worker's own.
	test(`platform: a worker says: ${title}`, t => {
		t.is(typeof decodeReport('i-1', JSON.stringify(value)) === 'object', expected);
	});
}

test('platform: a report is decoded into what its fields hold', t => {
	t.deepEqual(decodeReport('i-1', JSON.stringify({...beat, state: 'draining'})), {
		worker: {
			incarnation: 'i-1', born: 1_700_000_000_000, pool: 'p', capacity: {cpu: 16_000, memoryMb: 32_768, accelerators: 0}, labels: ['a'], draining: true,
		},
		clock: 4821,
		sequence: 4,
		address: '10.0.0.1:80',
	});
	t.is(typeof decodeReport('i-1', '{'), 'string');
});

const nested = (text: string): string => '['.repeat(1_000_000) + text + ']'.repeat(1_000_000);
for (const [title, text] of [
	['nested a million deep', nested('')],
	['with capacities nested a million deep', JSON.stringify(beat).replace('"cpu":16000', `"cpu":${nested('')}`)],
	['with labels nested a million deep', JSON.stringify(beat).replace('["a"]', nested('"a"'))],
	['with a number of reports that overflows', JSON.stringify(beat).replace('"seq":4', '"seq":1e400')],
	['with a start that overflows', JSON.stringify(beat).replace('1700000000000', '1e400')],
] as const) {
	test(`platform: a report ${title} is refused, and ends nothing`, t => {
		t.is(typeof decodeReport('i-1', text), 'string');
	});
}

for (const [title, fields, remainingMs, isIgnored] of [
	['a draining worker says how long it stays', {state: 'draining', remaining_ms: 1900}, 1900, false],
	['a draining worker doesn\'t say it', {state: 'draining'}, undefined, false],
	['a worker in service says it', {remaining_ms: 1900}, undefined, false],
	['a time below 0 is left out, and the drain holds', {state: 'draining', remaining_ms: -1}, undefined, true],
	['a time of days is left out, and the drain holds', {state: 'draining', remaining_ms: 1e9}, undefined, true],
	['a time that is no number is left out, and the drain holds', {state: 'draining', remaining_ms: '1900'}, undefined, true],
] as const) {
	test(`platform: ${title}`, t => {
		const report = decodeReport('i-1', JSON.stringify({...beat, ...fields})) as Report;
		t.is(report.worker.draining, 'state' in fields);
		t.is(report.worker.remainingMs, remainingMs);
		t.is(report.ignored !== undefined, isIgnored);
	});
}

for (const [title, status, body, reply] of [
	['an order that was carried out', 200, {clock_ms: 5}, {kind: 'done', clock: 5}],
	['a fence that is too low', 409, {clock_ms: 5, reason: 'fence'}, {kind: 'refused', reason: 'fence', clock: 5}],
	['a run that is over', 409, {clock_ms: 5, reason: 'old'}, {kind: 'refused', reason: 'old', clock: 5}],
	['a reason that is not known', 409, {clock_ms: 5, reason: 'mood'}, {kind: 'refused', reason: 'invalid', clock: 5}],
	['another life', 421, {}, {kind: 'refused', reason: 'other-life', clock: undefined}],
	['a worker that is unwell', 503, {}, {kind: 'refused', reason: 'unwell', clock: undefined}],
	['a worker that has too much', 429, {}, {kind: 'refused', reason: 'unwell', clock: undefined}],
	['a malformed order', 400, {}, {kind: 'refused', reason: 'invalid', clock: undefined}],
	['a clock that no worker reaches is left out', 200, {clock_ms: 1e300}, {kind: 'done', clock: undefined}],
	['an error of the worker says nothing of the order', 500, {}, {kind: 'unknown', cause: 'status 500', absent: false}],
] as const) {
	test(`platform: a worker answers: ${title}`, t => {
		t.deepEqual(decodeReply({status, body}) as Record<string, unknown>, reply);
	});
}

for (const [title, body, look] of [
	['runs and ends', {
		clock_ms: 5, born: 9, running: [['t', 2, '', 41]], ended: [[1, 'u', 1, 'done', '']],
	}, {
		kind: 'seen', clock: 5, born: 9, running: [{task: 't', number: 2}], ended: [{
			sequence: 1, task: 'u', number: 1, ending: 'done',
		}],
	}],
	['rows of another form are left out', {
		clock_ms: 5, born: 9, running: [['t'], 7, [1, 2]], ended: [[1, 'u', 1, 'vanished', ''], 'x', ['1', 'u', 1, 'done']],
	}, {
		kind: 'seen', clock: 5, born: 9, running: [], ended: [],
	}],
	['no lists', {clock_ms: 5}, {kind: 'unknown', cause: 'malformed answer', absent: false}],
	['no clock', {running: [], ended: []}, {kind: 'unknown', cause: 'malformed answer', absent: false}],
	['a clock that no worker reaches', {clock_ms: 1e300, running: [], ended: []}, {kind: 'unknown', cause: 'malformed answer', absent: false}],
	['a clock below 0', {clock_ms: -1, running: [], ended: []}, {kind: 'unknown', cause: 'malformed answer', absent: false}],
	['a start after the end of the century', {
		clock_ms: 5, born: Number.MAX_SAFE_INTEGER, running: [], ended: [],
	}, {kind: 'unknown', cause: 'malformed answer', absent: false}],
	['numbers that no worker can have reached are left out', {
		clock_ms: 5,
		born: 9,
		running: [['t', 1e308], ['u', 0], ['v', 0.5], ['w', 3]],
		ended: [[1e308, 'u', 1, 'done'], [601, 'u', 1, 'done'], [0, 'u', 1, 'done'], [1, 'u', 1e308, 'done'], [600, 'u', 1, 'done']],
	}, {
		kind: 'seen', clock: 5, born: 9, running: [{task: 'w', number: 3}], ended: [{
			sequence: 600, task: 'u', number: 1, ending: 'done',
		}],
	}],
] as const) {
	// Guards against one odd row or figure after which the ends or the incarnation of a worker are never read again.
	test(`platform: a worker shows: ${title}`, t => {
		t.deepEqual(decodeLook({status: 200, body}) as Record<string, unknown>, look);
	});
}

const route = {
	name: 'r', host: 'A.example', path_prefix: '/p/', service: 's', target_latency_ms: 60, stretch: 1.6, priority: 1, max_attempts: 2,
};
const config = (routes: unknown[], more: Record<string, unknown> = {}) => JSON.stringify({version: 7, routes, ...more});

test('platform: a desired state is decoded, what is wrong in it is named, and the rest holds', t => {
	const desired = decodeDesired(new Map([['config', config([route, {name: 'broken'}], {limits: {max_body_bytes: 10}, more: 1})], ['evacuate/z1', '{}'], ['wave/1', '{}']]))!;
	t.deepEqual(desired.queues, [{
		name: 'r', host: 'a.example', prefix: '/p/', pool: 's', aimMs: 60, stretch: 1.6, priority: 1, attempts: 2, advised: false,
	}]);
	t.deepEqual([desired.version, desired.bodyLimit, desired.out], [7, 10, ['z1']]);
	t.regex(desired.problems.join(' '), /routes\.1\.host/v);
});

for (const [title, rows] of [
	['none', new Map([['evacuate/z', '{}']])],
	['no text', new Map([['config', '\u0000']])],
	['no routes', new Map([['config', '{"version":1}']])],
	['a version of another type', new Map([['config', '{"version":"1","routes":[]}']])],
] as const) {
	test(`platform: no desired state: ${title}`, t => {
		t.is(decodeDesired(rows), undefined);
	});
}

const desiredOf = (...routes: unknown[]): Desired => decodeDesired(new Map([['config', config(routes)]]))!;
const state = desiredOf(route, {...route, name: 'deep', path_prefix: '/p/q/'}, {...route, name: 'other', host: 'b.example'});
for (const [host, path, name] of [
	['a.example', '/p/1', 'r'],
	['A.EXAMPLE:8080', '/p/1', 'r'],
	['a.example', '/p/q/1', 'deep'],
	['b.example', '/p/q/1', 'other'],
	['a.example', '/x/1', undefined],
	['c.example', '/p/1', undefined],
] as const) {
	test(`platform: ${host}${path} is sent to ${name ?? 'no queue'}`, t => {
		t.is(queueOf(state, host, path)?.name, name);
	});
}

const queue: Queue = state.queues.find(({name}) => name === 'r')!;
const step = {
	count: 2, cpu: 6200, mem_mb: 64, estimate_ms: 60,
};
const submission = {spec: 'x', best_effort: true, steps: [step]};
for (const [title, value, kind] of [
	['a job kept in memory', submission, 'job'],
	['fields that are not known', {...submission, more: 1, steps: [{...step, more: []}]}, 'job'],
	['fields that are empty', {
		...submission, iterations: 0, steps: [{
			...step, after: [], gang: false, required_label: '',
		}],
	}, 'job'],
	['a job to be stored', {...submission, best_effort: undefined}, 'unserved'],
	['two steps', {...submission, steps: [step, step]}, 'unserved'],
	['a gang', {...submission, steps: [{...step, gang: true}]}, 'unserved'],
	['the rack of its data, where racks are not served', {...submission, steps: [{...step, data_rack: 'k1'}]}, 'unserved'],
	['a job that lasts', {...submission, steps: [{...step, long_running: true}]}, 'unserved'],
	['a label', {...submission, steps: [{...step, required_label: 'a'}]}, 'unserved'],
	['a schedule', {...submission, iterations: 3}, 'unserved'],
	['no steps', {...submission, steps: []}, 'invalid'],
	['a count of another type', {...submission, steps: [{...step, count: '2'}]}, 'invalid'],
	['no body', undefined, 'invalid'],
] as const) {
	test(`platform: a submission has ${title}`, t => {
		t.is(readJob(queue, '00aa', {left: '1900'}, value).kind, kind);
	});
}

for (const [title, rack, expected] of [
	['the name of a rack', 'k1', 'k1'],
	['an empty name', '', undefined],
	['no name', undefined, undefined],
	['a number', 7, 'data_rack'],
	['a name that is too long', 'k'.repeat(257), 'data_rack'],
] as const) {
	test(`platform: where racks are served, the rack of its data is ${title}`, t => {
		const reading = readJob(queue, '00aa', {servesDataRack: true}, {...submission, steps: [{...step, data_rack: rack}]});
		t.is(reading.kind === 'unserved' ? reading.field : (reading.kind === 'job' ? reading.job.tasks[1]!.dataRack : reading.kind), expected);
	});
}

test('platform: a submission is decoded into tasks with their full names', t => {
	t.deepEqual(readJob(queue, '00aa', {left: '1900'}, submission), {
		kind: 'job', job: {
			id: 'r/00aa',
			route: 'r',
			pool: 's',
			spec: 'x',
			tasks: [0, 1].map(index => ({name: `00aa.0.0.${index}`, resources: {cpu: 6200, memoryMb: 64, accelerators: 0}, estimateMs: 60})),
			aimMs: 60,
			stretch: 1.6,
			attempts: 2,
			priority: 1,
			leftMs: 1900,
		},
	});
	t.is(readJob({...queue, advised: true}, '00aa', {left: undefined}, submission).kind, 'unserved');
});

test('platform: settings with new fields are read, and an error names the field', t => {
	const settings = {
		node: 'n',
		ip: '10.0.0.1',
		zone: 'z',
		serves: ['edge'],
		listen: {front: 'a:1', more: 1},
		port_range: [1, 2],
		seeds: [],
		bounds: {hold_max_ms: 1000, grace_s: 6, more: true},
		platform: {addr: 'a:2'},
		more: {},
	};
	t.is(checkSettings(machineSettings, settings, 'f').node, 'n');
	t.is(checkSettings(machineSettings, {...settings, bounds: {...settings.bounds, far_x: 3}}, 'f').bounds.far_x, 3);
	const error = t.throws(() => checkSettings(machineSettings, {...settings, bounds: {grace_s: 6}}, 'f'), {name: 'SettingsError'});
	t.regex(error.message, /bounds\.hold_max_ms/v);
});

const rowOf = (key: string, ver: number, value = key) => ({
	table: 'op', part: '', key, ver, value: Buffer.from(value).toString('base64'),
});

test('platform: a table is read in pages and followed through changes, removals, failures and a lost history', async t => {
	const feeds = [
		{status: 200, body: {ver: 4, rows: [rowOf('c', 4)]}},
		{status: 503, body: {}},
		{status: 200, body: {ver: 5, rows: [{...rowOf('a', 5), tombstone: true}]}},
		{status: 410, body: {}},
	];
	let lists = 0;
	const asked: string[] = [];
	const address = await serve(t, (_request, url, response) => {
		if (url.pathname === '/sniperidge/rows-get') {
			lists++;
			const isFirst = url.searchParams.get('from') === '';
			response.end(JSON.stringify(isFirst ? {ver: 3, rows: [rowOf('a', 1)], more_pages: true} : {ver: 3, rows: [rowOf('b', 2, lists > 2 ? 'new' : 'b')], more_pages: false}));
			return;
		}

		asked.push(url.searchParams.get('after')!);
		const feed = feeds.shift();
		if (feed) {
			response.writeHead(feed.status).end(JSON.stringify(feed.body));
		}
	});
	const store = Store.create(address, systemClock, quiet, DispatcherMetrics.create());
	const seen: string[] = [];
	const done = new Promise<void>(resolve => {
		void store.follow('op', ({version, rows}) => {
			seen.push(`${version}: ${[...rows].map(([key, value]) => `${key}=${value}`).join(' ')}`);
			if (seen.length === 4) {
				resolve();
			}
		});
	});
	await done;
	await store.close();
	t.deepEqual(seen, ['3: a=a b=b', '4: a=a b=b c=c', '5: b=b c=c', '3: a=a b=new']);
	t.deepEqual(asked.slice(0, 4), ['3', '4', '4', '5']);
});

test('platform: an answer that takes longer than the store\'s time to begin one is read once, while one that stands still is given up', async t => {
	const text = JSON.stringify({ver: 4, rows: [rowOf('c', 4, 'x'.repeat(10_000))]});
	const parts = 14;
	let feeds = 0;
	let stalled = 0;
	let deliver: (() => void) | undefined;
	const address = await serve(t, (_request, url, response) => {
		if (url.pathname === '/sniperidge/rows-get') {
			if (stalled === 0) {
				// The first list stands still after its beginning, and must be asked for again.
				stalled++;
				response.write('{');
				return;
			}

			response.end(JSON.stringify({ver: 3, rows: [], more_pages: false}));
			return;
		}

		feeds++;
		if (url.searchParams.get('after') !== '3') {
			return;
		}

		const size = Math.ceil(text.length / parts);
		let sent = 0;
		deliver = () => {
			response.write(text.slice(sent * size, (sent + 1) * size));
			sent++;
			if (sent < parts) {
				setTimeout(deliver!, 150);
			} else {
				response.end();
			}
		};

		deliver();
	});
	const store = Store.create(address, systemClock, quiet, DispatcherMetrics.create());
	let received = false;
	const seen = new Promise<number>(resolve => {
		void store.follow('op', ({rows}) => {
			received = store.isReceiving;
			if (rows.size > 0) {
				resolve(feeds);
			}
		});
	});
	t.is(await seen, 1);
	t.false(received);
	await store.close();
});

test('platform: a worker that leaves an order unanswered, or is not there, is told apart', async t => {
	const address = await serve(t, () => undefined);
	const worker = openWorker(address);
	const order = {
		task: 't', number: 1, spec: '', leaseUntil: 1, fence: 1,
	};
	t.like(await worker.start(order, 'i-1'), {kind: 'unknown', cause: 'TimeoutError', absent: false});
	await worker.close();
	const nowhere = openWorker('127.0.0.1:1');
	t.like(await nowhere.start(order, 'i-1'), {kind: 'unknown', cause: 'ECONNREFUSED', absent: true});
	await nowhere.close();
});

test('platform: an answer that came while the process was busy counts', async t => {
	// What the worker's thread has done: 1 when an order is there, 2 when it is answered. It answers once the second is 1.
	const state = new Int32Array(new SharedArrayBuffer(8));
	const thread = new Thread(`
		const {createServer} = require('node:http');
		const {parentPort, workerData: state} = require('node:worker_threads');
		const server = createServer((request, response) => {
			request.resume().on('end', () => {
				Atomics.store(state, 0, 1);
				Atomics.wait(state, 1, 0);
				response.on('finish', () => {
					Atomics.store(state, 0, 2);
					Atomics.notify(state, 0);
				});
				response.end(JSON.stringify({clock_ms: 7}));
			});
		}).listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
	`, {eval: true, workerData: state});
	const [port] = await once(thread, 'message') as [number];
	const worker = openWorker(`127.0.0.1:${port}`);
	t.teardown(async () => {
		await worker.close();
		await thread.terminate();
	});
	const send = (): {reply?: Reply; over: Promise<void>} => {
		const sent: {reply?: Reply; over: Promise<void>} = {over: Promise.resolve()};
		sent.over = worker.start({
			task: 't', number: 1, spec: '', leaseUntil: 1, fence: 1,
		}, 'i-1').then(reply => {
			sent.reply = reply;
		});
		return sent;
	};

	let order = send();
	while (Atomics.load(state, 0) === 0 || order.reply) {
		order = order.reply ? send() : order;
		await turn();
	}

	// The order is there and has not been given up. Nothing runs here until it is answered and its time is over.
	Atomics.store(state, 1, 1);
	Atomics.notify(state, 1);
	Atomics.wait(state, 0, 1, 10_000);
	t.is(Atomics.load(state, 0), 2);
	Atomics.wait(state, 0, 2, 200);
	await order.over;
	t.like(order.reply, {kind: 'done'});
});

test('platform: the front answers by what it knows', async t => {
	const dispatcher = await Dispatcher.create({
		node: 'e', incarnation: 'e-1', address: '127.0.0.1:0', seeds: [],
	}, systemClock, quiet, DispatcherMetrics.create());
	const known: {desired?: Desired; stopping: boolean} = {stopping: false};
	const front = buildFront({
		dispatcher, clock: systemClock, log: quiet, meters: DispatcherMetrics.create(), desired: () => known.desired, stopping: () => known.stopping,
	});
	await front.listen({host: '127.0.0.1', port: 0});
	const origin = `http://127.0.0.1:${(front.server.address() as AddressInfo).port}`;
	t.teardown(async () => {
		dispatcher.close();
		await front.close();
	});
	const ask = async (method: 'GET' | 'POST' | 'DELETE', url: string, payload?: unknown) => {
		const {statusCode, headers, body} = await request(`${origin}${url}`, {
			method,
			headers: {host: 'a.example', ...(payload === undefined ? undefined : {'content-type': 'application/json'})},
			body: payload === undefined || typeof payload === 'string' ? payload : JSON.stringify(payload),
		});
		return {statusCode, headers, body: await body.json() as {error?: string}};
	};

	const early = await ask('POST', '/p/00aa', submission);
	t.deepEqual([early.statusCode, early.headers['retry-after']], [503, '1']);
	known.desired = state;
	const refused = await ask('POST', '/p/00aa', submission);
	t.is(refused.statusCode, 503);
	t.is(refused.body.error, 'no-place');
	t.true(Number(refused.headers['retry-after']) >= 1);
	for (const [method, url, code, body] of [
		['POST', '/x/00aa', 404, {error: 'no such queue'}],
		['GET', '/p/', 200, {pending: 0}],
		['GET', '/p/00aa', 410, {}],
		['DELETE', '/p/00aa', 410, {}],
	] as const) {
		const reply = await ask(method, url, method === 'POST' ? submission : undefined);
		t.deepEqual([reply.statusCode, reply.body], [code, body], `${method} ${url}`);
	}

	const long = await ask('DELETE', `/p/${'0'.repeat(300)}`);
	t.is(long.statusCode, 400);
	const silent = await linkTo(t, dispatcher.address, hello('entry', {features: ['cancels']}));
	await waitUntil(() => silent.has('hello'));
	const unconfirmed = await ask('DELETE', '/p/00aa');
	t.deepEqual([unconfirmed.statusCode, unconfirmed.headers['retry-after']], [503, '1']);
	t.deepEqual((await ask('POST', '/p/00aa', submission)).body, {state: 'cancelled'} as Record<string, unknown>);
	silent.socket.destroy();

	const unserved = await ask('POST', '/p/00aa', {...submission, best_effort: false});
	t.is(unserved.statusCode, 503);
	t.is((await ask('POST', '/p/00aa', '{')).statusCode, 400);
	t.is((await ask('POST', '/p/00aa', `{"spec":"${'x'.repeat(state.bodyLimit)}"}`)).statusCode, 413);
	known.stopping = true;
	const last = await ask('GET', '/p/');
	t.is(last.headers.connection, 'close');
});
