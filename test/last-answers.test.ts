import {Agent, request as httpRequest} from 'node:http';
import {connect} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';
import {
	createJob, silentLog, startCluster, submit, waitUntil,
} from './ephemeral-cluster.js';
import {startEntry} from './entry-program.js';
import {ModelStore, serveStore} from './model-store.js';
import {hello, linkTo} from './odd-peer.js';
import {startSidecarThread} from './sidecar-thread.js';

// Guards against a process that ends without an answer to the jobs and cancellings that it has taken.
test('last answers: an entry that gives up answers each job by whether it may have run', async t => {
	const {entries: [entry], workers} = await startCluster(t, 1, 1, 5000);
	await waitUntil(() => entry!.schedule.placeCounts.open === 1);
	const running = submit(entry!, createJob('running', 2));
	await waitUntil(() => workers[0]!.tasks.length === 2);
	const queued = submit(entry!, createJob('queued', 2));
	await systemClock.sleep(50);
	t.is(entry!.giveUp(), 2);
	t.deepEqual(await running, {kind: 'expired'});
	t.like(await queued, {kind: 'refused', why: 'stopping'});
	await waitUntil(() => workers[0]!.tasks.length === 0);
});

test('last answers: an entry that gives up does not say that a cancelled job is unknown', async t => {
	const entry = await Dispatcher.create({
		node: 'e', incarnation: 'e-1', address: '127.0.0.1:0', seeds: [],
	}, systemClock, silentLog, DispatcherMetrics.create());
	t.teardown(() => {
		entry.close();
	});
	const silent = await linkTo(t, entry.address, hello('entry', {features: ['cancels']}));
	await waitUntil(() => silent.has('hello'));
	const outcome = new Promise(resolve => {
		entry.cancel('j', resolve);
	});
	entry.giveUp();
	t.is(await outcome, 'unconfirmed');
});

const body = JSON.stringify({
	spec: 'x', best_effort: true, steps: [{
		count: 1, cpu: 1, mem_mb: 1, estimate_ms: 2000,
	}],
});
/** How many callers come at once. */
const batch = 100;
const idOf = (index: number) => index.toString(16).padStart(16, '0');

for (const callers of [1, 1000]) {
	// By the estimate, tasks end before the entry does, and none counts as hung before; they go on for longer than the entry has.
	test(`last answers: a stopping entry answers ${callers} callers whose jobs outlast it, and one that reads late`, async t => {
		const store = ModelStore.create(500);
		store.write('config', JSON.stringify({
			version: 1, routes: [{
				name: 'r', host: 'a.example', path_prefix: '/p/', service: 'p', target_latency_ms: 20_000,
			}],
		}));
		const {front, links, child} = await startEntry(t, await serveStore(t, store, () => false));
		// Tasks in a thread, which a busy machine or the many requests here don't end before the entry stops.
		const startedJobs = new Set<string>();
		startSidecarThread(t, links, ({task}) => {
			startedJobs.add(task);
		});
		const agent = new Agent({keepAlive: true});
		t.teardown(() => {
			agent.destroy();
		});
		const submitTo = async (id: string): Promise<number | string> => new Promise(resolve => {
			const request = httpRequest({
				port: front, host: '127.0.0.1', agent, method: 'POST', path: `/p/${id}`, headers: {host: 'a.example', 'content-type': 'application/json', 'x-deadline-ms': '60000'},
			}, response => {
				response.resume();
				response.once('end', () => {
					resolve(response.statusCode!);
				});
			});
			request.once('error', (error: NodeJS.ErrnoException) => {
				resolve(error.code ?? error.message);
			});
			request.end(body);
		});
		let isStopping = false;
		// A job that is refused, as before the entry knows its store and the sidecar, is submitted again, so that all callers wait when the entry stops.
		const submitUntilStop = async (id: string): Promise<number | string> => {
			for (;;) {
				const answer = await submitTo(id);
				if (isStopping) {
					return answer;
				}

				await systemClock.sleep(100);
			}
		};

		const answers: Array<Promise<number | string>> = [];
		while (answers.length <= callers) {
			answers.push(...Array.from({length: Math.min(batch, callers + 1 - answers.length)}, async (_, index) => submitUntilStop(idOf(answers.length + index))));
			await waitUntil(() => startedJobs.size === answers.length);
		}

		const late = connect({port: front, host: '127.0.0.1'});
		late.pause();
		late.write(`POST /p/${idOf(callers + 1)} HTTP/1.1\r\nhost: a.example\r\ncontent-type: application/json\r\nx-deadline-ms: 60000\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
		await waitUntil(() => startedJobs.size === callers + 2);
		isStopping = true;
		child.kill('SIGTERM');
		await once(child, 'exit');
		const statuses = new Set(await Promise.all(answers));
		t.deepEqual([...statuses], [504]);
		const chunks: string[] = [];
		late.on('data', (chunk: Uint8Array) => {
			chunks.push(String(chunk));
		});
		late.resume();
		await once(late, 'end');
		t.regex(chunks.join(''), /^HTTP\/1\.1 504 .*"error"/sv);
		t.is(child.exitCode, 0);
	});
}
