import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {promisify} from 'node:util';
import {gzip} from 'node:zlib';

const compress = promisify(gzip);

/** Start is the record that a stand-in back end keeps of one start: the witness that checkers trust. */
export type Start = {claim: string; task: number; member: string; route: string; at: number; ended?: 'done' | 'failed' | 'cut'};

/** BackendOptions shape a stand-in back end. */
export type BackendOptions = {
	name: string;
	zone: string;
	host?: string;
	/** How many times longer than ordinary its tasks take. */
	slowness: number;
	/** Added to each exchange there and back, in milliseconds, for the way between zones. */
	delayMs?: number;
};

/** BackendFaults is what is wrong with a stand-in back end now. */
export type BackendFaults = {
	/** Fails every task at once. */
	failAll: boolean;
	/** Multiplies the time of each task. */
	slower: number;
	/** So many of the next tasks run and then break the connection. */
	loseReplies: number;
};

/** The time that a task takes where its body names none, in milliseconds. */
const ordinaryMs = 100;

/**
 * SampleBackend is a stand-in upstream. A task's body may be JSON with `ms`, the time it takes on an
 * ordinary back end, and `fail`; the answer has the digest and the compressed size of the body.
 */
export class SampleBackend {
	static async create(options: BackendOptions): Promise<SampleBackend> {
		const backend = new SampleBackend(options);
		await new Promise<void>(resolve => {
			backend.server.listen(0, options.host ?? '127.0.0.1', resolve);
		});
		return backend;
	}

	readonly starts: Start[] = [];
	protected readonly server: http.Server;
	protected faults: BackendFaults = {failAll: false, slower: 1, loseReplies: 0};

	protected constructor(readonly options: BackendOptions) {
		this.server = http.createServer((request, response) => {
			void this.serve(request, response);
		});
		this.server.keepAliveTimeout = 60_000;
	}

	/** The URL it listens on. */
	get url(): string {
		return `http://${this.options.host ?? '127.0.0.1'}:${(this.server.address() as AddressInfo).port}/`;
	}

	/** Changes what is wrong with it. */
	fault(faults: Partial<BackendFaults>): void {
		this.faults = {...this.faults, ...faults};
	}

	/** Stops listening and cuts what is open. */
	async close(): Promise<void> {
		this.server.closeAllConnections();
		await new Promise(resolve => {
			this.server.close(resolve);
		});
	}

	protected async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const chunks: Uint8Array[] = [];
		try {
			for await (const chunk of request) {
				chunks.push(chunk as Uint8Array);
			}

			await this.answer(request, Buffer.concat(chunks), response);
		} catch {
			response.destroy();
		}
	}

	protected async answer(request: http.IncomingMessage, body: Uint8Array, response: http.ServerResponse): Promise<void> {
		if (request.method === 'GET') {
			send(response, 200, this.starts);
			return;
		}

		if (request.url === '/faults') {
			this.fault(JSON.parse(Buffer.from(body).toString()) as Partial<BackendFaults>);
			send(response, 200, this.faults);
			return;
		}

		await this.run(request, body, response);
	}

	protected async run(request: http.IncomingMessage, body: Uint8Array, response: http.ServerResponse): Promise<void> {
		const start = this.record(request.headers);
		response.once('close', () => {
			start.ended ??= 'cut';
		});
		const {ms, fail} = readTask(body);
		if (this.faults.failAll || fail) {
			start.ended = 'failed';
			send(response, 500, {error: 'the task failed'});
			return;
		}

		const due = performance.now() + (ms * this.options.slowness * this.faults.slower) + (this.options.delayMs ?? 0);
		const digest = createHash('sha256').update(body).digest('hex');
		const packed = await compress(body);
		await pause(due - performance.now());
		start.ended ??= 'done';
		if (this.faults.loseReplies > 0) {
			this.faults.loseReplies--;
			response.destroy();
			return;
		}

		send(response, 200, {
			claim: start.claim, task: start.task, digest, size: body.length, packed: packed.length,
		});
	}

	private record(headers: http.IncomingHttpHeaders): Start {
		const start: Start = {
			claim: decodeURIComponent(String(headers['sniperidge-claim'])),
			task: Number(headers['sniperidge-task']),
			member: String(headers['sniperidge-member']),
			route: String(headers['sniperidge-route']),
			at: Date.now(),
		};
		this.starts.push(start);
		return start;
	}
}

/** Answers with JSON. */
export function send(response: http.ServerResponse, status: number, value: unknown, headers: Record<string, string> = {}): void {
	const body = Buffer.from(JSON.stringify(value));
	response.writeHead(status, {'content-type': 'application/json', 'content-length': body.length, ...headers});
	response.end(body);
}

function readTask(body: Uint8Array): {ms: number; fail: boolean} {
	try {
		const {ms, fail} = JSON.parse(Buffer.from(body).toString()) as {ms?: number; fail?: boolean};
		return {ms: ms ?? ordinaryMs, fail: fail ?? false};
	} catch {
		return {ms: ordinaryMs, fail: false};
	}
}

async function pause(ms: number): Promise<void> {
	if (ms > 0) {
		await new Promise(resolve => {
			setTimeout(resolve, ms);
		});
	}
}
