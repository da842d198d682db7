import {pino, type Logger} from 'pino';
import {Entry} from '../entry/entry.js';
import {entrySettings, platformSettings, sidecarSettings} from '../settings/schema.js';
import {Sidecar} from '../sidecar/sidecar.js';
import {SampleBackend, type Start} from './backend.js';
import {Platform} from './platform.js';
import {loadTables, type Deployment} from './tables.js';
import {SampleWorker} from './worker.js';

/** The operators' token of an embedded system. */
export const operatorToken = 'example-operator-token';

/** Ports fix where an embedded system's first entry listens; 0 takes any free one. */
export type Ports = {callers: number; operators: number};

const anyPorts: Ports = {callers: 0, operators: 0};

/**
 * System is a whole deployment in one process on loopback: the stand-in platform, one entry a zone,
 * a sidecar with a sample upstream for each minion, and the workers.
 */
export class System {
	/** Starts a deployment and resolves once every process of it is ready. */
	static async create(deployment: Deployment, ports: Ports = anyPorts, log: Logger = pino({level: 'silent'})): Promise<System> {
		const platform = await Platform.create(platformSettings.parse({log: 'silent'}));
		platform.write([loadTables(deployment)]);
		const system = new System(deployment, platform, log);
		await system.startEntries(ports);
		await system.startMinions();
		await system.startWorkers();
		await system.settle();
		return system;
	}

	readonly entries: Entry[] = [];
	readonly sidecars: Sidecar[] = [];
	readonly upstreams: SampleBackend[] = [];
	readonly workers: SampleWorker[] = [];

	private constructor(readonly deployment: Deployment, readonly platform: Platform, private readonly log: Logger) {}

	/** The names of the zones. */
	get zones(): string[] {
		return Object.keys(this.deployment.tables['availability-zones']);
	}

	/** Every start that any back end recorded. */
	get starts(): Array<Start & {zone: string; place: string}> {
		return [...this.upstreams, ...this.workers].flatMap(backend => backend.starts.map(start => ({...start, zone: backend.options.zone, place: backend.options.name})));
	}

	/** Stops everything gracefully, entries first. */
	async close(): Promise<void> {
		await Promise.all(this.entries.map(async entry => entry.stop()));
		await Promise.all(this.sidecars.map(async sidecar => sidecar.stop()));
		await Promise.all([...this.upstreams, ...this.workers].map(async backend => backend.close()));
		await this.platform.close();
	}

	private get store() {
		return {url: this.platform.url};
	}

	private async startEntries(ports: Ports): Promise<void> {
		for (const [index, zone] of this.zones.entries()) {
			const settings = entrySettings.parse({
				name: `entry-${zone}`, zone, store: this.store, ports: index === 0 ? ports : {},
			});
			this.entries.push(await Entry.create(settings, this.log.child({process: settings.name}), operatorToken));
		}
	}

	private async startMinions(): Promise<void> {
		const {minions} = this.deployment;
		for (let index = 0; index < minions.count; index++) {
			const zone = this.zones[index % this.zones.length]!;
			const name = `minion-${index + 1}`;
			const upstream = await SampleBackend.create({name, zone, slowness: minions.slowness[index % minions.slowness.length]!});
			this.upstreams.push(upstream);
			const settings = sidecarSettings.parse({
				name: `sidecar-${index + 1}`,
				zone,
				store: this.store,
				entries: this.entries.map(entry => entry.address),
				upstreams: [{
					name, url: upstream.url, pools: minions.pools, slots: minions.slots, connections: minions.connections,
				}],
			});
			this.sidecars.push(await Sidecar.create(settings, this.log.child({process: settings.name})));
		}
	}

	private async startWorkers(): Promise<void> {
		const {workers} = this.deployment;
		for (let index = 0; index < workers.count; index++) {
			const zone = this.zones[index % this.zones.length]!;
			const worker = await SampleWorker.create({
				name: `worker-${index + 1}`,
				zone,
				slowness: workers.slowness[index % workers.slowness.length]!,
				pools: workers.pools,
				size: {cores: workers.cores, memoryMb: workers.memoryMb, accelerators: workers.accelerators},
				lagMs: 500,
			});
			this.workers.push(worker);
			worker.announce(() => this.sidecars.filter((_, at) => this.zones[at % this.zones.length] === zone).map(sidecar => sidecar.localUrl));
		}
	}

	/** Waits until every entry sees every minion and worker. */
	private async settle(): Promise<void> {
		const places = this.upstreams.length + this.workers.length;
		const until = performance.now() + settleMs;
		while (this.entries.some(entry => entry.directory.places.size < places || !entry.ready)) {
			if (performance.now() > until) {
				throw new Error('the processes did not find each other');
			}

			await new Promise(resolve => {
				setTimeout(resolve, 20);
			});
		}
	}
}

/** How long the processes may take to find each other, in milliseconds. */
const settleMs = 15_000;
