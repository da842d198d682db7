import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import type {Size} from '../decide/packing.js';
import type {Answer, RunControl, Run} from '../ports/upstream.js';
import {decodeText} from '../text.js';
import {sendRun, runHeaders} from './backend.js';

/** WorkerUsage is the resources that a worker used at a wall-clock time of its own clock. */
export type WorkerUsage = {at: number; used: Size};

/** RunningTask is a task that a worker reports as running. */
export type RunningTask = {id: string; route: string; size: Size; startedAt: number};

/** The timeout of requests to a worker other than runs, in milliseconds. */
const requestTimeoutMs = 2000;
const poolSize = 128;

/**
 * WorkerClient drives one worker under a lease epoch, by the platform's worker protocol:
 * `PUT /v1/lease`, `POST /v1/tasks`, `GET /v1/usage` and `POST /v1/tasks/{id}/{step}`.
 */
export type WorkerClient = {
	/** Acquires or renews the lease under an epoch and returns the running tasks. Rejects when a higher epoch holds the lease. */
	acquireLease(owner: string, epoch: number): Promise<RunningTask[]>;
	run(run: Run, epoch: number, control: RunControl): Promise<Answer>;
	readUsage(): Promise<WorkerUsage>;
	step(id: string, step: 'throttle' | 'checkpoint' | 'stop'): Promise<void>;
	close(): Promise<void>;
};

/** Connects to a worker by its URL. */
export function openWorker(url: string): WorkerClient {
	const pool = new Pool(new URL(url).origin, {connections: poolSize, pipelining: 1});

	async function send(method: 'GET' | 'PUT' | 'POST', path: string, value?: unknown): Promise<unknown> {
		const reply = await pool.request({
			method,
			path,
			headers: {'content-type': 'application/json'},
			body: value === undefined ? undefined : JSON.stringify(value),
			signal: AbortSignal.timeout(requestTimeoutMs),
		});
		const bytes = Buffer.from(await reply.body.arrayBuffer());
		if (reply.statusCode >= 300) {
			throw new Error(`the worker answered ${reply.statusCode}: ${bytes.toString()}`);
		}

		return JSON.parse(decodeText(bytes));
	}

	return {
		async acquireLease(owner, epoch) {
			const reply = await send('PUT', '/v1/lease', {owner, epoch}) as {tasks: RunningTask[]};
			return reply.tasks;
		},
		run: async (run, epoch, control) => sendRun(pool, {
			method: 'POST',
			path: '/v1/tasks',
			headers: {
				...runHeaders(run),
				'sniperidge-epoch': String(epoch),
				'sniperidge-cores': String(run.cores),
				'sniperidge-memory-mb': String(run.memoryMb),
				'sniperidge-accelerators': String(run.accelerators),
			},
			body: run.body,
		}, control),
		readUsage: async () => await send('GET', '/v1/usage') as WorkerUsage,
		async step(id, step) {
			await send('POST', `/v1/tasks/${encodeURIComponent(id)}/${step}`, {});
		},
		async close() {
			await pool.destroy();
		},
	};
}
