import {Buffer} from 'node:buffer';
import {Pool, type Dispatcher} from 'undici';
import type {Answer, Backend, Run} from '../ports/upstream.js';

/** The longest that a back end may take for one task, in milliseconds. */
const runLimitMs = 120_000;

/** Errors that come before anything was sent. */
const beforeSending = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** The headers that a back end gets with a task; their source is docs/OPERATING.md, "What a back end sees". */
export function runHeaders(run: Run): Record<string, string> {
	return {
		'content-type': run.contentType,
		'sniperidge-claim': encodeURIComponent(run.claim),
		'sniperidge-task': String(run.task),
		'sniperidge-member': run.member,
		'sniperidge-route': run.route,
	};
}

/** Opens an upstream that takes tasks as `POST /` under its URL and answers 2xx with the result. */
export function openUpstream(url: string, connections: number): Backend {
	const {origin, pathname} = new URL(url);
	const pool = new Pool(origin, {
		connections, pipelining: 1, headersTimeout: runLimitMs, bodyTimeout: runLimitMs,
	});
	return {
		run: async (run, signal) => exchange(pool, {
			method: 'POST', path: pathname, headers: runHeaders(run), body: run.body, signal,
		}),
		async close() {
			await pool.destroy();
		},
	};
}

/** Sends one request that starts a task and sorts what comes of it. */
export async function exchange(pool: Pool, request: Dispatcher.RequestOptions): Promise<Answer> {
	try {
		const reply = await pool.request(request);
		const body = Buffer.from(await reply.body.arrayBuffer());
		const contentType = String(reply.headers['content-type'] ?? 'application/octet-stream');
		if (reply.statusCode >= 200 && reply.statusCode < 300) {
			return {kind: 'done', body, contentType};
		}

		const detail = `status ${reply.statusCode}: ${body.subarray(0, 200).toString()}`;
		return reply.headers['sniperidge-not-started'] === 'true' ? {kind: 'refused', detail} : {kind: 'failed', detail};
	} catch (error) {
		const {code, message} = error as {code?: string; message: string};
		return {kind: beforeSending.has(code ?? '') ? 'refused' : 'unknown', detail: message};
	}
}
