import {Buffer} from 'node:buffer';
import type http from 'node:http';
import type {Size} from '../decide/packing.js';
import {SampleBackend, send, type BackendOptions} from './backend.js';

/** WorkerOptions shape a stand-in worker: its size and how long its usage reports lag, in milliseconds. */
export type WorkerOptions = BackendOptions & {pools: string[]; size: Size; lagMs: number};

type Task = {id: string; route: string; size: Size; startedAt: number};
type Sample = {at: number; used: Size};

/** How often a worker measures its use and announces itself, in milliseconds. */
const sampleMs = 200;
const announceMs = 1000;

/**
 * SampleWorker is a stand-in worker: it starts whatever its lease holder sends, whether it fits or
 * not, and reports usage late. Beyond its memory every task slows down.
 */
export class SampleWorker extends SampleBackend {
	static override async create(options: WorkerOptions): Promise<SampleWorker> {
		const worker = new SampleWorker(options);
		await new Promise<void>(resolve => {
			worker.server.listen(0, options.host ?? '127.0.0.1', resolve);
		});
		return worker;
	}

	/** The most memory in use at any time over the memory there is. */
	peak = 0;
	private epoch = 0;
	private readonly tasks = new Map<string, Task>();
	private readonly samples: Sample[] = [];
	private readonly timers: NodeJS.Timeout[] = [];

	private constructor(override readonly options: WorkerOptions) {
		super(options);
		this.timers.push(setInterval(() => {
			this.sample();
		}, sampleMs));
	}

	/** Announces the worker to sidecars, by the URLs of their local ports, until it is closed. */
	announce(sidecars: () => readonly string[]): void {
		const {name, pools, size, zone} = this.options;
		const body = JSON.stringify({
			name, url: this.url, zone, pools, ...size,
		});
		const tell = () => {
			for (const url of sidecars()) {
				void fetch(`${url}/v1/announce`, {method: 'POST', body, headers: {'content-type': 'application/json'}}).then(async reply => reply.arrayBuffer()).catch(() => undefined);
			}
		};

		tell();
		this.timers.push(setInterval(tell, announceMs));
	}

	override async close(): Promise<void> {
		for (const timer of this.timers) {
			clearInterval(timer);
		}

		await super.close();
	}

	protected override async answer(request: http.IncomingMessage, body: Uint8Array, response: http.ServerResponse): Promise<void> {
		const url = request.url ?? '/';
		if (url === '/v1/lease') {
			this.lease(JSON.parse(Buffer.from(body).toString()) as {epoch: number}, response);
		} else if (url === '/v1/usage') {
			send(response, 200, this.usage());
		} else if (url.startsWith('/v1/tasks/') && request.method === 'POST') {
			send(response, 200, {});
		} else if (url === '/v1/tasks') {
			await this.start(request, body, response);
		} else {
			await super.answer(request, body, response);
		}
	}

	private lease({epoch}: {epoch: number}, response: http.ServerResponse): void {
		if (epoch < this.epoch) {
			send(response, 409, {epoch: this.epoch});
			return;
		}

		this.epoch = epoch;
		send(response, 200, {epoch, tasks: [...this.tasks.values()]});
	}

	private async start(request: http.IncomingMessage, body: Uint8Array, response: http.ServerResponse): Promise<void> {
		const {headers} = request;
		if (Number(headers['sniperidge-epoch']) < this.epoch) {
			send(response, 409, {epoch: this.epoch}, {'sniperidge-not-started': 'true'});
			return;
		}

		const task: Task = {
			id: `${String(headers['sniperidge-claim'])}#${String(headers['sniperidge-task'])}`,
			route: String(headers['sniperidge-route']),
			size: {cores: Number(headers['sniperidge-cores']), memoryMb: Number(headers['sniperidge-memory-mb']) * realRatio(body), accelerators: Number(headers['sniperidge-accelerators'])},
			startedAt: Date.now(),
		};
		this.tasks.set(task.id, task);
		this.peak = Math.max(this.peak, this.used().memoryMb / this.options.size.memoryMb);
		await this.run(request, body, response);
		this.tasks.delete(task.id);
	}

	private used(): Size {
		const used = {cores: 0, memoryMb: 0, accelerators: 0};
		for (const {size} of this.tasks.values()) {
			used.cores += size.cores;
			used.memoryMb += size.memoryMb;
			used.accelerators += size.accelerators;
		}

		return used;
	}

	private sample(): void {
		this.samples.push({at: Date.now(), used: this.used()});
		if (this.samples.length > 100) {
			this.samples.shift();
		}
	}

	private usage(): Sample {
		const latest = Date.now() - this.options.lagMs;
		return this.samples.findLast(sample => sample.at <= latest) ?? {at: 0, used: {cores: 0, memoryMb: 0, accelerators: 0}};
	}
}

/** A task's body may name how its real size compares to the declared one. */
function realRatio(body: Uint8Array): number {
	try {
		return (JSON.parse(Buffer.from(body).toString()) as {real?: number}).real ?? 1;
	} catch {
		return 1;
	}
}
