// Guards against an entry that reads hundreds of jobs in one turn of its event loop and meanwhile neither reads the
// heartbeats of its sidecars nor sends its own: they would take the loaded entry for a lost one and stop its runs.
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {Worker as Thread} from 'node:worker_threads';
import test, {type ExecutionContext} from 'ava';
import {pino} from 'pino';
import {request} from 'undici';
import {buildFront} from '../platform/front.js';
import {decodeDesired} from '../platform/desired.js';
import {countConnections} from '../src/entry/listener.js';
import {systemClock} from '../src/adapters/clock.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';
import {policySettings} from '../src/settings/policy.js';
import {waitUntil} from './ephemeral-cluster.js';

const quiet = pino({level: 'silent'});
const desired = decodeDesired(new Map([['config', JSON.stringify({
	version: 1, routes: [{
		name: 'r', host: 'a.example', path_prefix: '/', service: 'p', target_latency_ms: 60_000,
	}],
})]]))!;
/** The jobs that arrive at once, and the time that each takes of the entry, in milliseconds. Together they take over three times the silence that ends a link. */
const jobs = 240;
const jobMs = 10;
/** The silence after which a sidecar ends a link that it needs, in milliseconds. */
const silenceMs = 700;
const body = JSON.stringify({spec: 'x', best_effort: true, steps: [{count: 1, cpu: 1}]});

/** The code of a thread with a sidecar, which holds a link and says how it ended, and callers that each send one job at once. */
const peerCode = String.raw`
	const {connect} = require('node:net');
	const {parentPort, workerData: {links, front, jobs, body, silenceMs}} = require('node:worker_threads');
	const [host, port] = links.split(':');
	const link = connect(Number(port), host);
	const send = message => link.write(JSON.stringify([message]) + '\n');
	const room = {cpu: 1e9, memoryMb: 1e9, accelerators: 0};
	send({kind: 'hello', role: 'sidecar', node: 's', life: 's-1'});
	send({kind: 'place', report: {zone: 'z', pool: 'p', room, others: {cpu: 0, memoryMb: 0, accelerators: 0}, isFailing: false}, stamp: 1, clear: true});
	setInterval(() => send({kind: 'beat', needed: true}), 200);
	let heardAt = performance.now();
	link.on('data', () => {
		heardAt = performance.now();
		parentPort.postMessage('data');
	});
	const isSilent = () => performance.now() - heardAt > silenceMs;
	setInterval(() => isSilent() && setImmediate(() => isSilent() && link.destroy()), 50);
	link.on('close', () => parentPort.postMessage('closed'));
	link.on('error', () => {});
	const text = id => 'POST /' + id + ' HTTP/1.1\r\nhost: a.example\r\ncontent-type: application/json\r\ncontent-length: ' + body.length + '\r\n\r\n' + body;
	const callers = Array.from({length: jobs}, () => connect(front, '127.0.0.1').on('error', () => {}));
	parentPort.on('message', () => {
		for (const [id, caller] of callers.entries()) {
			caller.write(text(id));
		}
	});
`;

/** Starts an entry whose dispatcher takes `jobMs` to submit a job, as a slow processor would, and its peers. */
async function startLoaded(t: ExecutionContext, enabled: 'on' | 'off') {
	const meters = DispatcherMetrics.create();
	const dispatcher = await Dispatcher.create({
		node: 'e', incarnation: 'e-1', address: '127.0.0.1:0', seeds: [],
	}, systemClock, quiet, meters);
	const submit = dispatcher.submit.bind(dispatcher);
	let submitted = 0;
	dispatcher.submit = (job, answer) => {
		submitted++;
		for (const until = systemClock.mono() + jobMs; systemClock.mono() < until;) {
			// The processor is busy.
		}

		return submit(job, answer);
	};

	// Refusals are out of reach, so that all jobs are read.
	const {overload} = policySettings.parse({overload: {enabled, delayLimitMs: 1000, jobsPerCore: 100_000}});
	const front = buildFront({
		dispatcher, clock: systemClock, log: quiet, meters, desired: () => desired, stopping: () => false, policy: overload,
	});
	await front.listen({host: '127.0.0.1', port: 0});
	const {port} = front.server.address() as AddressInfo;
	const thread = new Thread(peerCode, {
		eval: true, workerData: {
			links: dispatcher.address, front: port, jobs, body, silenceMs,
		},
	});
	t.teardown(async () => {
		await thread.terminate();
		dispatcher.close();
		await front.close();
	});
	await once(thread, 'message');
	await waitUntil(() => dispatcher.schedule.placeCounts.open === 1);
	while (await countConnections(front.server) < jobs) {
		await systemClock.sleep(10);
	}

	return {
		dispatcher, meters, thread, port, submitted: () => submitted,
	};
}

test.serial('entry overload: the link to a sidecar outlasts a burst of jobs that takes seconds to read', async t => {
	const {dispatcher, meters, thread, submitted} = await startLoaded(t, 'on');
	let closed = false;
	thread.on('message', message => {
		closed ||= message === 'closed';
	});
	thread.postMessage('burst');
	await waitUntil(() => submitted() === jobs);
	t.false(closed);
	t.is(dispatcher.schedule.placeCounts.linked, 1);
	t.notRegex(await meters.registry.metrics(), /links_lost_total\{/v);
});

test.serial('entry overload: the jobs of callers that left while others were read are dropped before they are decoded', async t => {
	const {meters, thread, submitted} = await startLoaded(t, 'on');
	thread.postMessage('burst');
	await waitUntil(() => submitted() > 5);
	await thread.terminate();
	const shed = async () => Number(/jobs_shed_total\{why="left"\} (\d+)/v.exec(await meters.registry.metrics())?.[1] ?? 0);
	while (await shed() === 0) {
		await systemClock.sleep(10);
	}

	t.true(submitted() < jobs);
});

test.serial('entry overload: a refusal is made before the body is read, with a delay, but not of a job that is under way', async t => {
	const meters = DispatcherMetrics.create();
	const dispatcher = await Dispatcher.create({
		node: 'e', incarnation: 'e-1', address: '127.0.0.1:0', seeds: [],
	}, systemClock, quiet, meters);
	let loopDelayMs = 5000;
	Object.defineProperty(dispatcher, 'load', {get: () => ({loopDelayMs, jobs: 0})});
	const front = buildFront({
		dispatcher, clock: systemClock, log: quiet, meters, desired: () => desired, stopping: () => false, limits: {cpuShare: 0.3},
	});
	await front.listen({host: '127.0.0.1', port: 0});
	t.teardown(async () => {
		dispatcher.close();
		await front.close();
	});
	const ask = async (id: string, text: string) => {
		const {statusCode, headers, body: reply} = await request(`http://127.0.0.1:${(front.server.address() as AddressInfo).port}/${id}`, {
			method: 'POST', headers: {host: 'a.example', 'content-type': 'application/json'}, body: text,
		});
		return {status: statusCode, retry: headers['retry-after'], text: await reply.text()};
	};

	t.deepEqual(await ask('1', 'no JSON'), {status: 503, retry: '5', text: '{"error":"overloaded"}'});
	t.regex(await meters.registry.metrics(), /jobs_shed_total\{why="loop"\} 1/v);
	loopDelayMs = 0;
	const first = ask('2', body);
	await waitUntil(() => dispatcher.mayHaveRun('r/2'));
	loopDelayMs = 5000;
	const second = ask('2', body);
	await systemClock.sleep(100);
	dispatcher.cancel('r/2', () => undefined);
	t.deepEqual([(await first).text, (await second).text], ['{"state":"cancelled"}', '{"state":"cancelled"}']);
});
