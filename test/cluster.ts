import {fork, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Agent, request} from 'undici';
import {platformSettings} from '../src/settings/schema.js';
import {SampleBackend, type Start} from '../src/standin/backend.js';
import {Platform} from '../src/standin/platform.js';
import {tokenHash} from '../src/standin/tables.js';
import {SampleWorker} from '../src/standin/worker.js';
import {Proxy} from './proxy.js';

/** The operators' token of a test cluster. */
export const operatorToken = 'test-operator-token';

/** Shape is what a test cluster is made of. */
export type Shape = {
	entries: number;
	/** The zone of each sidecar; each has an upstream of its own. */
	sidecars: readonly string[];
	/** The zone of each worker. */
	workers?: readonly string[];
	slowness?: readonly number[];
	workerSlowness?: readonly number[];
	slots?: number;
	claimWindowMs?: number;
	drainMs?: number;
	policy?: string;
	/** The zones of the entries, by turns. */
	entryZones?: readonly string[];
	hedge?: boolean;
	/** The pools that every upstream serves. */
	pools?: readonly string[];
	/** What the tables hold beside those that every cluster has. */
	rows?: ReadonlyArray<[string, unknown]>;
	/** Added each way between entries and sidecars, in milliseconds. */
	delayMs?: number;
};

/** Node is one forked process, with the proxy that others reach it by. */
export type Node = {
	name: string;
	kind: 'entry' | 'sidecar';
	zone: string;
	child: ChildProcess;
	proxy: Proxy;
	/** What it reaches the platform by. */
	store: Proxy;
	/** Where it listens: `callers` and `operators` for an entry, `local` for a sidecar. */
	urls: Record<string, string>;
	exit: Promise<number | undefined>;
	/** Whether a balancer would send it callers. */
	ready: boolean;
	/** What was done to it, for checks of what may be cut. */
	fate: 'alive' | 'killed' | 'stopped';
};

/** Reply is what a caller got: nothing when the connection broke or no answer came. */
export type Reply = {status: number; result: number; body: Record<string, unknown> & {tasks?: Array<{body: string; place: string}>}};

type Headers = Record<string, string>;

/** Submitting is how a job is sent; `declared` are the expected times of its tasks, in milliseconds. */
export type Submitting = {route?: string; member?: MemberName; deadlineMs?: number; headers?: Headers; declared?: readonly number[]};

/** Asking is one request to the callers' port. */
export type Asking = {method: 'GET' | 'PUT' | 'POST' | 'DELETE'; path: string; body?: string | Uint8Array; headers?: Headers; member?: MemberName};

/** Administered is what the operators' port answered. */
export type Administered = {status: number; etag: string; body: Record<string, unknown>};

export const members = {alpha: 'token-alpha-1', beta: 'token-beta-22'} as const;

/** MemberName is one of the two members of a test cluster. */
export type MemberName = keyof typeof members;

const readyMs = 15_000;

/**
 * Cluster is real entries and sidecars as processes on loopback, each behind a proxy, with the
 * stand-in platform, upstreams and workers in the test's own process as witnesses.
 */
export class Cluster {
	static async create(shape: Shape): Promise<Cluster> {
		const platform = await Platform.create(platformSettings.parse({log: 'silent'}));
		const cluster = new Cluster(shape, platform);
		platform.write([{checks: [], changes: tables(shape)}]);
		await Promise.all(Array.from({length: shape.entries}, async (_, index) => cluster.startEntry(index)));
		await Promise.all(shape.sidecars.map(async (_, index) => cluster.startSidecar(index)));
		for (const [index, zone] of (shape.workers ?? []).entries()) {
			cluster.workers.push(await cluster.startWorker(index, zone));
		}

		await cluster.settle();
		return cluster;
	}

	readonly entries: Node[] = [];
	readonly sidecars: Node[] = [];
	readonly upstreams: SampleBackend[] = [];
	readonly workers: SampleWorker[] = [];
	readonly agent = new Agent({connections: 512, pipelining: 1});
	/** The error behind the last answer that did not come. */
	lastError: Error | undefined;
	private readonly folder = mkdtempSync(join(tmpdir(), 'sniperidge-'));
	private readonly nodes: Node[] = [];

	private constructor(readonly shape: Shape, readonly platform: Platform) {}

	/** Every start that any back end recorded. */
	get starts(): Array<Start & {zone: string; place: string}> {
		return [...this.upstreams, ...this.workers].flatMap(backend => backend.starts.map(start => ({...start, zone: backend.options.zone, place: backend.options.name})));
	}

	/** Starts an entry in place of whatever had its number. */
	async startEntry(index: number): Promise<Node> {
		const proxy = await Proxy.create();
		const node = await this.start('entry', `entry-${index}`, proxy, {
			zone: this.shape.entryZones?.[index % this.shape.entryZones.length] ?? `zone-${index % 2}`,
			drainMs: this.shape.drainMs ?? 20_000,
			policy: this.shape.policy ?? 'finish',
			hedge: this.shape.hedge ?? true,
		});
		this.entries[index] = node;
		void this.watchReady(node);
		return node;
	}

	/** Starts a sidecar, and its upstream the first time, in place of whatever had its number. */
	async startSidecar(index: number): Promise<Node> {
		const zone = this.shape.sidecars[index]!;
		const name = `minion-${index}`;
		this.upstreams[index] ??= await SampleBackend.create({name, zone, slowness: this.shape.slowness?.[index] ?? 1});
		const proxy = await Proxy.create();
		const node = await this.start('sidecar', `sidecar-${index}`, proxy, {
			zone,
			drainMs: this.shape.drainMs ?? 20_000,
			entries: this.entries.map(entry => entry.proxy.address),
			upstreams: [{
				name, url: this.upstreams[index].url, pools: [...this.shape.pools ?? ['main']], slots: this.shape.slots ?? 8,
			}],
		});
		node.proxy.delayMs = this.shape.delayMs ?? 0;
		this.sidecars[index] = node;
		return node;
	}

	/** Waits until every entry is ready and sees every place. */
	async settle(): Promise<void> {
		const until = performance.now() + readyMs;
		const places = this.upstreams.length + this.workers.length;
		while (performance.now() < until) {
			const seen = await Promise.all(this.entries.filter(entry => entry.fate === 'alive').map(async entry => this.placesAt(entry)));
			if (seen.every(count => count >= places) && this.entries.every(entry => entry.ready || entry.fate !== 'alive')) {
				return;
			}

			await sleep(50);
		}

		throw new Error('the cluster did not settle');
	}

	/** Submits a job of bodies under a key. Resolves to nothing when no answer came. */
	async put(entry: Node, key: string, bodies: readonly unknown[], options: Submitting = {}): Promise<Reply | undefined> {
		const {route = 'task', member = 'alpha', deadlineMs = 10_000, headers, declared} = options;
		const body = JSON.stringify({route, deadlineMs, tasks: bodies.map((value, index) => ({body: JSON.stringify(value), expectMs: declared?.[index]}))});
		return this.ask(entry.urls.callers!, {
			method: 'PUT', path: `/v1/jobs/${key}`, body, headers, member,
		});
	}

	/** Sends a request to a route. Resolves to nothing when no answer came. */
	async post(entry: Node, route: string, value: unknown, options: {member?: MemberName; headers?: Record<string, string>} = {}): Promise<Reply | undefined> {
		return this.ask(entry.urls.callers!, {
			method: 'POST', path: `/v1/routes/${route}`, body: JSON.stringify(value), headers: options.headers, member: options.member ?? 'alpha',
		});
	}

	/** Asks the callers' port of an entry. */
	async ask(url: string, {method, path, body, headers, member = 'alpha'}: Asking): Promise<Reply | undefined> {
		try {
			const reply = await request(`${url}${path}`, {
				method,
				body,
				dispatcher: this.agent,
				headers: {authorization: `Bearer ${members[member]}`, 'content-type': 'application/json', ...headers},
				headersTimeout: 60_000,
			});
			const parsed = JSON.parse(await reply.body.text()) as Reply['body'];
			return {status: reply.statusCode, result: Number(reply.headers['sniperidge-result'] ?? -1), body: parsed};
		} catch (error) {
			this.lastError = error as Error;
			return undefined;
		}
	}

	/** Asks the operators' port of an entry. Resolves to nothing when no answer came. */
	async admin(entry: Node, method: 'GET' | 'PUT' | 'DELETE', path: string, value?: unknown, headers: Headers = {}): Promise<Administered | undefined> {
		try {
			const reply = await request(`${entry.urls.operators!}/v1/admin/${path}`, {
				method,
				body: value === undefined ? undefined : JSON.stringify(value),
				dispatcher: this.agent,
				headers: {authorization: `Bearer ${operatorToken}`, ...headers},
			});
			return {status: reply.statusCode, etag: String(reply.headers.etag ?? ''), body: JSON.parse(await reply.body.text()) as Record<string, unknown>};
		} catch {
			return undefined;
		}
	}

	/** Takes a zone or an upstream out or in, and says whether the change was accepted. */
	async switch(entry: Node, table: 'availability-zones' | 'upstreams', name: string, state: 'in' | 'out'): Promise<boolean> {
		const before = await this.admin(entry, 'GET', `${table}/${name}`);
		const condition: Record<string, string> = before?.etag ? {'if-match': before.etag} : {'if-none-match': '*'};
		const reply = await this.admin(entry, 'PUT', `${table}/${name}`, {state}, condition);
		return reply?.status === 200;
	}

	/** Kills a process outright. */
	async kill(node: Node): Promise<void> {
		node.fate = 'killed';
		node.child.kill('SIGKILL');
		await node.exit;
		await node.proxy.close();
	}

	/** Stops a process gracefully and resolves to its exit code. */
	async stop(node: Node): Promise<number | undefined> {
		node.fate = 'stopped';
		node.child.kill('SIGTERM');
		const code = await node.exit;
		await node.proxy.close();
		return code;
	}

	/** Stops a process from running for a while. */
	async pause(node: Node, ms: number): Promise<void> {
		node.child.kill('SIGSTOP');
		await sleep(ms);
		node.child.kill('SIGCONT');
	}

	/** Ends everything. */
	async close(): Promise<void> {
		for (const node of this.nodes) {
			node.child.kill('SIGKILL');
		}

		await Promise.all(this.nodes.map(async node => node.exit));
		await Promise.all(this.nodes.flatMap(node => [node.proxy, node.store]).map(async proxy => proxy.close()));
		await this.agent.destroy();
		await Promise.all([...this.upstreams, ...this.workers].map(async backend => backend.close()));
		await this.platform.close();
		rmSync(this.folder, {recursive: true, force: true});
	}

	private async startWorker(index: number, zone: string): Promise<SampleWorker> {
		const worker = await SampleWorker.create({
			name: `worker-${index}`, zone, slowness: this.shape.workerSlowness?.[index] ?? 1, pools: ['heavy'], size: {cores: 8, memoryMb: 8192, accelerators: 0}, lagMs: 400,
		});
		worker.announce(() => this.sidecars.filter(node => node.zone === zone && node.fate === 'alive').map(node => node.urls.local!));
		return worker;
	}

	private async start(kind: Node['kind'], name: string, proxy: Proxy, particular: Record<string, unknown>): Promise<Node> {
		const file = join(this.folder, `${name}-${this.nodes.length}.json`);
		const store = await Proxy.create(this.platform.url.slice('http://'.length));
		const settings = {
			name,
			advertise: proxy.address,
			store: {url: `http://${store.address}`, timeoutMs: 1500},
			log: process.env.CLUSTER_LOG ?? 'silent',
			claimWindowMs: this.shape.claimWindowMs ?? 600_000,
			...particular,
		};
		writeFileSync(file, JSON.stringify(settings));
		const program = fileURLToPath(new URL(`../src/cli/${kind}.js`, import.meta.url));
		const child = fork(program, [file], {env: {...process.env, SNIPERIDGE_OPERATOR_TOKEN: operatorToken}, stdio: ['ignore', 'inherit', 'inherit', 'ipc']});
		const exit = new Promise<number | undefined>(resolve => {
			child.once('exit', code => {
				resolve(code ?? undefined);
			});
		});
		const urls = await new Promise<Record<string, string>>((resolve, reject) => {
			child.once('message', message => {
				resolve(message as Record<string, string>);
			});
			child.once('exit', () => {
				reject(new Error(`${name} did not start`));
			});
		});
		proxy.target = urls.peers!;
		const node: Node = {
			name, kind, zone: String(particular.zone), child, proxy, store, urls, exit, ready: kind === 'sidecar', fate: 'alive',
		};
		this.nodes.push(node);
		return node;
	}

	private async watchReady(node: Node): Promise<void> {
		while (node.fate === 'alive' && !node.ready) {
			await sleep(50);
			const reply = await request(`${node.urls.callers!}/readyz`, {dispatcher: this.agent}).catch(() => undefined);
			await reply?.body.dump();
			node.ready = reply?.statusCode === 200;
		}
	}

	private async placesAt(entry: Node): Promise<number> {
		const status = await this.admin(entry, 'GET', 'status');
		return (status?.body.places as unknown[] | undefined)?.length ?? 0;
	}
}

function tables(shape: Shape) {
	const rows: Array<[string, unknown]> = [
		['pools/main', {kind: 'upstream', queue: 5000}],
		['pools/heavy', {kind: 'worker', queue: 5000}],
		['routes/task', {pool: 'main', repeatable: false, expectMs: 60}],
		['routes/again', {pool: 'main', repeatable: true, expectMs: 60}],
		['routes/render', {
			pool: 'heavy', repeatable: false, expectMs: 60, cores: 1, memoryMb: 1024,
		}],
		...[...new Set([...shape.sidecars, ...shape.workers ?? []])].map((zone): [string, unknown] => [`availability-zones/${zone}`, {state: 'in'}]),
		...Object.entries(members).map(([member, token]): [string, unknown] => [`members/${member}`, {tokenHash: tokenHash(token), weight: 1}]),
		...shape.rows ?? [],
	];
	return rows.map(([key, value]) => ({
		kind: 'put' as const, table: 'config', key, value,
	}));
}
