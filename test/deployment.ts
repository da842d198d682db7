import {spawn, type ChildProcess} from 'node:child_process';
import {
	readdirSync, readFileSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import type {ExecutionContext} from 'ava';
import {Agent, request} from 'undici';
import {findFreePorts} from './entry-program.js';
import {ModelStore, serveStore} from './model-store.js';

/** Limits are what the platform gives a process: its memory in megabytes and its descriptors, by its settings and, as `kernelFds`, by the kernel. */
export type Limits = {memoryMb: number; fds: number; kernelFds?: number};

/** The heaps by the deploy file, in megabytes. */
const heapMb = {entry: 160, sidecar: 96} as const;
export type Role = keyof typeof heapMb;

/** The stand-in of a worker of the review; it is plain JavaScript. */
type Minions = {create(options: Record<string, unknown>): Promise<{close(): void}>};
const {Minion: minions} = await import(new URL('../../review/standin-2/minion.js', import.meta.url).href) as {Minion: Minions};

const host = 'desk.example';
const address = '127.0.0.1';
/** How often an ordinary job is tried, and how long one try may take, in milliseconds. */
const retryMs = 200;
const tryMs = 5000;
const sampleMs = 50;
const capacity = {cpu: 16_000, mem_mb: 65_536, gpu: 0};

/** The operator's limits, as in the desired states of the platform. */
const operatorLimits = {
	max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
};

/** Program is a process of the system. */
class Program {
	readonly child: ChildProcess;
	/** The most descriptors that it was seen with, and the peak of its resident memory in megabytes. */
	mostFds = 0;
	peakMb = 0;
	/** The end of what it wrote to its standard error. */
	errors = '';
	private readonly timer: NodeJS.Timeout;

	constructor(role: Role, settings: string, metricsPort: number, kernelFds: number | undefined) {
		const program = fileURLToPath(new URL(`../platform/${role}.js`, import.meta.url));
		const code = `import(${JSON.stringify(program)}).then(({start}) => start(false))`;
		const words = [`--max-old-space-size=${heapMb[role]}`, '--input-type=module', '-e', code, '--', '--metrics', String(metricsPort)];
		this.child = spawn('bash', ['-c', `${kernelFds === undefined ? '' : `ulimit -n ${kernelFds}; `}exec "$0" "$@"`, process.execPath, ...words], {
			env: {...process.env, SNIPERIDGE_SETTINGS: settings}, stdio: ['ignore', 'ignore', 'pipe'],
		});
		this.child.stderr!.on('data', (text: Uint8Array) => {
			this.errors = (this.errors + String(text)).slice(-2000);
		});
		this.timer = setInterval(() => {
			this.sample();
		}, sampleMs);
	}

	get isAlive(): boolean {
		return this.child.exitCode === null && this.child.signalCode === null;
	}

	sample(): void {
		try {
			this.mostFds = Math.max(this.mostFds, readdirSync(`/proc/${this.child.pid}/fd`).length);
			this.peakMb = Number(/^VmHWM:\s+(\d+) kB$/mv.exec(readFileSync(`/proc/${this.child.pid}/status`, 'utf8'))?.[1] ?? this.peakMb * 1024) / 1024;
		} catch {
			// The process has ended.
		}
	}

	end(): void {
		clearInterval(this.timer);
		this.child.kill('SIGKILL');
	}
}

/** Listener is where strangers may connect. */
export type Listener = 'front' | 'ready' | 'links' | 'metrics' | 'control' | 'sidecar metrics';

/** Deployment is an entry and a sidecar as processes, with stand-ins of the store and the worker. */
export class Deployment {
	static async create(t: ExecutionContext, limits: Record<Role, Limits>): Promise<Deployment> {
		const [front, ready, links, metrics, control, app, sidecarMetrics] = await findFreePorts(7) as [number, number, number, number, number, number, number];
		const folder = mkdtempSync(path.join(tmpdir(), 'deployment-'));
		const model = ModelStore.create(500);
		model.write('config', JSON.stringify({
			version: 1,
			routes: [{
				name: 'r', host, path_prefix: '/desk/', service: 'pool', target_latency_ms: 60, stretch: 1.6, priority: 1, max_attempts: 4,
			}],
			limits: operatorLimits,
		}));
		const store = await serveStore(t, model, () => false);
		const common = {
			ip: address, zone: 'z', port_range: [links, links], seeds: [`${address}:${control}`], platform: {addr: store},
			bounds: {
				hold_max_ms: 1000, stop_ms: 50, retransmit_ms: 1300, grace_s: 6,
			},
		};
		const start = (role: Role, port: number, settings: Record<string, unknown>): Program => {
			const file = path.join(folder, `${role}.json`);
			const {memoryMb, fds, kernelFds} = limits[role];
			writeFileSync(file, JSON.stringify({
				...common, ...settings, node: `${role}-1`, limits: {memory_mb: memoryMb, max_fds: fds},
			}));
			const program = new Program(role, file, port, kernelFds);
			t.teardown(() => {
				program.end();
			});
			return program;
		};

		const programs = {
			entry: start('entry', metrics, {serves: ['edge'], listen: {front: `${address}:${front}`, ready: `${address}:${ready}`}}),
			sidecar: start('sidecar', sidecarMetrics, {
				serves: ['side'], listen: {control: `${address}:${control}`}, app: `${address}:${app}`, service: 'pool',
			}),
		};
		const minion = await minions.create({
			name: 'minion-1', host: address, port: app, control: `${address}:${control}`, service: 'pool', zone: 'z', capacity, heartbeatMs: 1500, holdMaxMs: 1000, note: () => undefined,
		});
		t.teardown(() => {
			minion.close();
			rmSync(folder, {recursive: true, force: true});
		});
		return new Deployment(programs, {
			front, ready, links, metrics, control, 'sidecar metrics': sidecarMetrics,
		});
	}

	private jobs = 0;

	private constructor(readonly programs: Readonly<Record<Role, Program>>, readonly ports: Readonly<Record<Listener, number>>) {}

	/** Sends an ordinary job again and again, each on a connection of its own. Returns whether one was answered so in time. */
	async isAnswering(statuses: readonly number[], withinMs = 30_000): Promise<boolean> {
		const until = performance.now() + withinMs;
		while (performance.now() < until && this.programs.entry.isAlive) {
			if (statuses.includes(await this.submit())) {
				return true;
			}

			await sleep(retryMs);
		}

		return false;
	}

	/** Submits one job on a connection of its own. Resolves to the status of its answer, or 0 without one. */
	async submit(): Promise<number> {
		const dispatcher = new Agent();
		try {
			const {statusCode, body} = await request(`http://${address}:${this.ports.front}/desk/${(0xFF_00_00_00 + this.jobs++).toString(16).padStart(16, '0')}`, {
				method: 'POST', dispatcher, signal: AbortSignal.timeout(tryMs),
				headers: {host, 'content-type': 'application/json', 'x-deadline-ms': String(tryMs)},
				body: JSON.stringify({
					spec: '{"ms":20}', best_effort: true, steps: [{
						count: 2, cpu: 500, mem_mb: 16, estimate_ms: 20,
					}],
				}),
			});
			const {state} = await body.json() as {state?: string};
			return statusCode === 200 && state !== 'completed' ? 0 : statusCode;
		} catch {
			return 0;
		} finally {
			await dispatcher.destroy();
		}
	}
}
