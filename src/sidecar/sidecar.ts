import {create} from '@bufbuild/protobuf';
import type {Logger} from 'pino';
import {systemClock, withUnlimitedListeners} from '../adapters/clock.js';
import {openUpstream} from '../adapters/backend.js';
import {openPeers, servePeers, type PeerServer} from '../adapters/peers.js';
import {systemRandom} from '../adapters/random.js';
import {
	endSession, findEntryAddresses, createSession, readSession, writeHandover,
} from '../adapters/sessions.js';
import {openStore, type Store} from '../adapters/table.js';
import {GreetReplySchema, Sidecar as SidecarService} from '../../gen/sniperidge/v1/peer_pb.js';
import type {Clock} from '../ports/clock.js';
import type {Peers} from '../ports/peer.js';
import type {SidecarSettings} from '../settings/schema.js';
import {HeartbeatSender} from './heartbeat.js';
import {Gate} from './gate.js';
import {serveLocal, type LocalServer} from './local.js';
import {UpstreamPlace, type Place} from './place.js';
import {WorkerRegistry} from './worker-registry.js';

/** How often worker leases are renewed and expired records deleted, in milliseconds. */
const reconcileIntervalMs = 1000;
const sweepIntervalMs = 5000;
/** The delay before a failed handover is retried, in milliseconds. */
const handoverRetryMs = 300;

/** Sidecar runs beside an upstream: it announces the upstream to entries, starts tasks on it at most once, and drives the workers that it owns. */
export class Sidecar {
	/** Starts a sidecar. Resolves once it listens; its session is written when the platform's table service answers. */
	static async create(settings: SidecarSettings, log: Logger, clock: Clock = systemClock): Promise<Sidecar> {
		const sidecar = new Sidecar(settings, log, clock);
		await sidecar.listen();
		return sidecar;
	}

	readonly gate: Gate;
	private session = systemRandom.id();
	private readonly store: Store;
	private readonly peers: Peers = openPeers();
	private readonly heartbeats: HeartbeatSender;
	private readonly workers: WorkerRegistry;
	private readonly upstreams = new Map<string, Place>();
	private readonly stopController = withUnlimitedListeners(new AbortController());
	private readonly timers: NodeJS.Timeout[] = [];
	private server!: PeerServer;
	private local!: LocalServer;
	private hasSession = false;
	private isStopping = false;

	private constructor(private readonly settings: SidecarSettings, private readonly log: Logger, private readonly clock: Clock) {
		this.store = openStore(settings.store);
		this.heartbeats = HeartbeatSender.create({
			peers: this.peers,
			clock,
			initialEntries: settings.entries,
			describeSidecar: () => this.describe(),
			findEntries: async () => findEntryAddresses(this.store),
			hasQueuedTasks: () => this.gate.hasQueuedTasks,
			listener: {
				configChanged: config => {
					this.gate.withdrawIneligible();
					log.info({version: config.version}, 'new configuration in force');
				},
				sessionEnded: session => {
					this.restartSession(session);
				},
			},
		});
		this.workers = WorkerRegistry.create(() => this.session, this.store, clock, () => this.heartbeats.neighbours);
		this.gate = Gate.create({
			session: this.session, zone: settings.zone, queueLimit: settings.queue, claimWindowMs: settings.claimWindowMs,
		}, clock, {
			currentConfig: () => this.heartbeats.config,
			isConfirmed: () => this.hasSession && this.heartbeats.isConfirmed(),
			findPlace: name => this.upstreams.get(name) ?? this.workers.findPlace(name),
			applyConfirmation: echo => {
				this.heartbeats.applyConfirmation(echo);
			},
		});
		for (const upstream of settings.upstreams) {
			this.addUpstream(upstream);
		}
	}

	/** The local address on which it listens for other processes, `host:port`. */
	get listens(): string {
		return this.server.address;
	}

	/** The address that other processes use, `host:port`. */
	get address(): string {
		return this.settings.advertise ?? this.server.address;
	}

	/** The URL of the local port, for upstreams, workers and operators. */
	get localUrl(): string {
		return this.local.url;
	}

	/** Whether its session is written, it is not draining, and an entry has answered lately. */
	get ready(): boolean {
		return this.hasSession && !this.gate.draining && this.heartbeats.hasRecentContact;
	}

	/** Stops gracefully: withdraws queued tasks, waits for running ones, writes the handover, and ends the session. */
	async stop(): Promise<void> {
		if (this.isStopping) {
			return;
		}

		this.isStopping = true;
		this.gate.draining = true;
		this.gate.withdrawIneligible();
		this.log.info('draining');
		const until = this.clock.mono() + this.settings.drainMs;
		await Promise.race([this.heartbeats.announceToAll(), this.clock.sleep(500)]);
		while (!this.gate.isIdle && this.clock.mono() < until) {
			await this.clock.sleep(20);
		}

		await this.endOwnSession(until);
		await this.close();
	}

	private async close(): Promise<void> {
		this.stopController.abort();
		this.heartbeats.stop();
		for (const timer of this.timers) {
			clearInterval(timer);
		}

		await this.server.close();
		this.peers.close();
		await this.local.close();
		await Promise.all([...this.upstreams.values()].map(async place => place.close()));
		await this.workers.close();
		await this.store.close();
		this.log.info('stopped');
	}

	private async listen(): Promise<void> {
		const {settings, gate} = this;
		this.server = await servePeers(settings.host, settings.ports.peers, router => {
			router.service(SidecarService, {
				start: async (request, context) => gate.start(request, context.signal),
				cancel: request => gate.cancel(request),
				collect: request => gate.collect(request),
				greet: request => {
					this.heartbeats.announceTo(request.entry);
					return create(GreetReplySchema);
				},
			});
		});
		this.local = await serveLocal(settings.host, settings.ports.local, {
			isReady: () => this.ready,
			registerWorker: announcement => {
				this.workers.register(announcement);
			},
			addUpstream: upstream => {
				this.addUpstream(upstream);
			},
			gate,
			heartbeats: this.heartbeats,
			listPlaces: () => this.listPlaces(),
		});
		void this.startSession();
	}

	/** Writes the session row first and reads the raised epochs after it: see docs/DESIGN.md, "Takeover". */
	private async startSession(): Promise<void> {
		const {settings, stopController} = this;
		const pools = [...new Set(settings.upstreams.flatMap(upstream => upstream.pools))];
		await createSession(this.store, this.clock, {
			id: this.session, session: {
				kind: 'sidecar', name: settings.name, zone: settings.zone, address: this.address, pools, at: this.clock.now(),
			},
		}, stopController.signal);
		await this.readRaisedEpochs();
		if (stopController.signal.aborted) {
			return;
		}

		this.hasSession = true;
		this.heartbeats.start();
		this.log.info({session: this.session, address: this.address, zone: settings.zone}, 'session started');
		this.timers.push(
			setInterval(() => {
				void this.workers.reconcile();
				void this.heartbeats.rediscoverEntries();
			}, reconcileIntervalMs),
			setInterval(() => {
				this.gate.sweep();
			}, sweepIntervalMs),
		);
	}

	private async readRaisedEpochs(): Promise<void> {
		while (!this.stopController.signal.aborted) {
			try {
				const {rows} = await this.store.list({tables: ['raised']});
				for (const row of rows) {
					this.gate.raiseEpoch(row.key, (row.value as {epoch: number}).epoch);
				}

				return;
			} catch {
				await this.clock.sleep(reconcileIntervalMs, this.stopController.signal);
			}
		}
	}

	/** Continues under a new session after another process wrote the old one as ended. */
	private restartSession(ended: string): void {
		if (ended !== this.session || this.isStopping) {
			return;
		}

		this.hasSession = false;
		this.heartbeats.stop();
		for (const timer of this.timers.splice(0)) {
			clearInterval(timer);
		}

		this.session = systemRandom.id();
		this.gate.continueAs(this.session);
		this.log.warn({ended, session: this.session}, 'session was ended by another process; starting a new one');
		void this.startSession();
	}

	/** Writes the handover and ends the session. While the store is unavailable it retries until the drain time has passed. */
	private async endOwnSession(until: number): Promise<void> {
		do {
			try {
				await writeHandover(this.store, this.session, this.gate.tasksToHandOver());
				const row = await readSession(this.store, this.session);
				if (row && this.gate.isIdle) {
					await endSession(this.store, this.clock, row, 'graceful');
				}

				return;
			} catch (error) {
				this.log.warn({reason: (error as Error).message}, 'writing the handover failed');
				await this.clock.sleep(handoverRetryMs);
			}
		} while (this.clock.mono() < until);
	}

	private addUpstream(upstream: SidecarSettings['upstreams'][number]): void {
		if (!this.upstreams.has(upstream.name)) {
			this.upstreams.set(upstream.name, UpstreamPlace.create(upstream.name, upstream.pools, upstream.slots, openUpstream(upstream.url, upstream.connections)));
		}
	}

	private listPlaces(): Place[] {
		return [...this.upstreams.values(), ...this.workers.places];
	}

	private describe() {
		const listPlaces = this.listPlaces().map(place => this.gate.describePlace(place));
		return {
			session: this.session, address: this.address, zone: this.settings.zone, draining: this.gate.draining, places: listPlaces,
		};
	}
}

