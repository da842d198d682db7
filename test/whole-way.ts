import {Buffer} from 'node:buffer';
import type {AddressInfo} from 'node:net';
import {Readable} from 'node:stream';
import type {ExecutionContext} from 'ava';
import {request} from 'undici';
import {decodeDesired} from '../platform/desired.js';
import {buildFront} from '../platform/front.js';
import {openWorker} from '../platform/worker.js';
import {systemClock} from '../src/adapters/clock.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';
import {
	leaseMs, room, silentLog, startDriver, waitUntil,
} from './ephemeral-cluster.js';
import {serve} from './local-server.js';
import {ModelWorker} from './model-worker.js';

/** How long a poll of the worker is answered after it came, in milliseconds. */
const pollMs = 5;
const desired = decodeDesired(new Map([['config', JSON.stringify({
	version: 1, routes: [{
		name: 'r', host: 'a.example', path_prefix: '/p/', service: 'p', target_latency_ms: 5000, max_attempts: 1,
	}],
})]]))!;

/** An order to start a run, as it arrives at the worker. */
type Order = {task: string; run: number; spec: string; deadline_ms: number; fence: number};
type Poll = {fence: number; seen_upto: number; deadline_ms: number};

/** Serves a model worker by the platform's calls. Each run ends as soon as it is polled. Resolves to the address. */
async function serveWorker(t: ExecutionContext, note: (spec: string) => void): Promise<string> {
	const worker = ModelWorker.create(room, leaseMs);
	const from = systemClock.mono();
	const advance = (): void => {
		worker.advance(Math.floor(systemClock.mono() - from) - worker.clock);
	};

	return serve(t, (incoming, {pathname}, response) => {
		const chunks: Uint8Array[] = [];
		incoming.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		const answer = (): void => {
			const body = JSON.parse(Buffer.concat(chunks).toString()) as Order & Poll;
			advance();
			if (pathname === '/sniperidge/run-start') {
				note(body.spec);
				const {kind} = worker.start({
					task: body.task, number: body.run, spec: body.spec, leaseUntil: body.deadline_ms, fence: body.fence,
				}, {resources: room, durationMs: 1, ending: 'done'});
				response.writeHead(kind === 'done' ? 200 : 409).end(JSON.stringify({clock_ms: worker.clock}));
				return;
			}

			const look = worker.renew({fence: body.fence, leaseUntil: body.deadline_ms, seen: body.seen_upto});
			if (look.kind !== 'seen') {
				response.writeHead(409).end(JSON.stringify({clock_ms: worker.clock, reason: 'fence'}));
				return;
			}

			response.end(JSON.stringify({
				clock_ms: worker.clock,
				born: worker.born,
				running: look.running.map(({task, number}) => [task, number, '', 0]),
				ended: look.ended.map(({sequence, task, number, ending}) => [sequence, task, number, ending, '']),
			}));
		};

		incoming.once('end', () => {
			if (pathname === '/sniperidge/hold') {
				setTimeout(answer, pollMs);
			} else {
				answer();
			}
		});
	});
}

/** WholeWay is all that is between a caller and a worker: the front of an entry, a link, a sidecar and its calls to the worker. */
export class WholeWay {
	static async create(t: ExecutionContext): Promise<WholeWay> {
		const specs: string[] = [];
		const worker = await serveWorker(t, spec => {
			specs.push(spec);
		});
		const dispatcher = await Dispatcher.create({
			node: 'e', incarnation: 'e-1', address: '127.0.0.1:0', seeds: [],
		}, systemClock, silentLog, DispatcherMetrics.create());
		const front = buildFront({
			dispatcher, clock: systemClock, log: silentLog, meters: DispatcherMetrics.create(), desired: () => desired, stopping: () => false,
		});
		await front.listen({host: '127.0.0.1', port: 0});
		t.teardown(async () => {
			dispatcher.close();
			await front.close();
		});
		startDriver(t, 's', {seeds: [dispatcher.address], executor: openWorker(worker)});
		await waitUntil(() => dispatcher.schedule.placeCounts.open === 1);
		return new WholeWay(`http://127.0.0.1:${(front.server.address() as AddressInfo).port}/p/`, specs);
	}

	private jobs = 0;

	/** `specs`: what the worker was told to start, in order. */
	private constructor(private readonly prefix: string, readonly specs: readonly string[]) {}

	/** Submits a job of one task whose spec is a JSON string given as bytes, quotes included, in chunks or with its length. Resolves to the answer's status. */
	async submit(spec: Uint8Array, isChunked = false): Promise<number> {
		const bytes = Buffer.concat([Buffer.from('{"spec":'), spec, Buffer.from(',"best_effort":true,"steps":[{"count":1,"cpu":1,"mem_mb":1,"estimate_ms":1}]}')]);
		const {statusCode, body} = await request(`${this.prefix}${String(this.jobs++).padStart(16, '0')}`, {
			method: 'POST',
			headers: {host: 'a.example', 'content-type': 'application/json'},
			body: isChunked ? Readable.from([bytes]) : bytes,
		});
		await body.dump();
		return statusCode;
	}
}
