import {Buffer} from 'node:buffer';
import {Pool, type Dispatcher} from 'undici';
import type {
	Answer, Backend, RunControl, Run,
} from '../ports/upstream.js';

/** The timeout of one run at a back end, in milliseconds. */
const runTimeoutMs = 120_000;

/** How much of the body of a failed response goes into the answer's detail, in bytes. */
const maxDetailBytes = 200;

/** Returns the request headers of a run; docs/OPERATIONS.md, "What a back end sees", specifies them. */
export function runHeaders(run: Run): Record<string, string> {
	return {
		'content-type': run.contentType,
		'sniperidge-claim': encodeURIComponent(run.claim),
		'sniperidge-task': String(run.task),
		'sniperidge-member': run.member,
		'sniperidge-route': run.route,
	};
}

/** Opens an upstream that receives tasks as `POST` to its URL and answers 2xx with the result. */
export function openUpstream(url: string, connections: number): Backend {
	const {origin, pathname} = new URL(url);
	const pool = new Pool(origin, {
		connections, pipelining: 1, headersTimeout: runTimeoutMs, bodyTimeout: runTimeoutMs,
	});
	return {
		run: async (run, control) => sendRun(pool, {
			method: 'POST', path: pathname, headers: runHeaders(run), body: run.body,
		}, control),
		async close() {
			await pool.destroy();
		},
	};
}

/**
 * Sends the request that starts a run and classifies the response. `mayStart` is checked again just
 * before the bytes are sent, since a request may have waited long for its connection; until then an
 * abort or an error means that nothing was started.
 */
export async function sendRun(pool: Dispatcher, request: Dispatcher.DispatchOptions, control: RunControl): Promise<Answer> {
	return new Promise(resolve => {
		pool.dispatch(request, createHandler(control, resolve));
	});
}

function createHandler({signal, mayStart}: RunControl, resolve: (answer: Answer) => void): Dispatcher.DispatchHandler {
	const chunks: Uint8Array[] = [];
	let sent = false;
	let status = 0;
	let headers: Record<string, string | string[] | undefined> = {};
	let stop = (): void => {
		resolve({kind: 'refused', detail: 'withdrawn before it was sent'});
	};

	const abort = (): void => {
		stop();
	};

	signal.addEventListener('abort', abort, {once: true});
	return {
		onRequestStart(controller) {
			if (signal.aborted || !mayStart()) {
				throw new Error('may no longer start');
			}

			sent = true;
			stop = () => {
				controller.abort(new Error('aborted'));
			};
		},
		onResponseStart(_controller, code, received) {
			status = code;
			headers = received;
		},
		onResponseData(_controller, chunk) {
			chunks.push(chunk);
		},
		onResponseEnd() {
			signal.removeEventListener('abort', abort);
			resolve(classifyResponse(status, headers, Buffer.concat(chunks)));
		},
		onResponseError(_controller, error) {
			signal.removeEventListener('abort', abort);
			resolve({kind: sent ? 'unknown' : 'refused', detail: error.message});
		},
	};
}

function classifyResponse(status: number, headers: Record<string, string | string[] | undefined>, body: Uint8Array): Answer {
	if (status >= 200 && status < 300) {
		return {kind: 'done', body, contentType: String(headers['content-type'] ?? 'application/octet-stream')};
	}

	const detail = `status ${status}: ${Buffer.from(body.subarray(0, maxDetailBytes)).toString()}`;
	return {kind: headers['sniperidge-not-started'] === 'true' ? 'refused' : 'failed', detail};
}
