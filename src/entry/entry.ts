import type {AddressInfo} from 'node:net';
import {create} from '@bufbuild/protobuf';
import type {FastifyInstance} from 'fastify';
import type {Logger} from 'pino';
import {
	Entry as EntryService, GreetRequestSchema, JoinRequestSchema, PrepareReplySchema, PrepareRequestSchema, PushReplySchema,
} from '../../gen/sniperidge/v1/peer_pb.js';
import {BatchWriter} from '../adapters/batch-writer.js';
import {systemClock, withUnlimitedListeners} from '../adapters/clock.js';
import {openPeers, servePeers, type PeerServer} from '../adapters/peers.js';
import {seededRandom, systemRandom} from '../adapters/random.js';
import {endSession, createSession, readSession} from '../adapters/sessions.js';
import {decodeSnapshot, encodeSnapshot} from '../adapters/snapshot.js';
import {openStore, type Store} from '../adapters/table.js';
import {subsetSize} from '../decide/announce.js';
import type {Session} from '../decide/claim.js';
import {acksNeeded} from '../decide/confirm.js';
import {livenessOf} from '../decide/liveness.js';
import {highestRanked} from '../decide/rendezvous.js';
import type {Clock} from '../ports/clock.js';
import type {Peers} from '../ports/peer.js';
import type {Random} from '../ports/random.js';
import type {Row} from '../ports/table.js';
import type {EntrySettings} from '../settings/schema.js';
import {buildOperatorApi, type RolloutStatus} from './operator-api.js';
import {TaskDispatcher} from './task-dispatcher.js';
import {TableWatcher} from './table-watcher.js';
import {buildCallerApi, keepAliveMs} from './caller-api.js';
import {JobService} from './jobs.js';
import {ClaimStore} from './claim-store.js';
import {closeListener, countConnections} from './listener.js';
import {EntryMetrics} from './metrics.js';
import {SidecarDirectory} from './sidecar-directory.js';
import {UsageMeter} from './usage-meter.js';

/** How long a stopping entry tries to write the usage of requests without a claim, in milliseconds. */
const flushMs = 2000;
/** The interval between checks of the other processes, in milliseconds. */
const tickMs = 1000;
/** How long another entry may not answer before its session is recorded as lost, in milliseconds. */
const entryLostMs = 15_000;
const pingMs = 1000;
/** The entries that this one watches are pinged every so many ticks. */
const pingTicks = 5;
/** How many entries watch each entry. */
const watchersPerEntry = 2;
/** How long a new entry waits for the first heartbeats of the live sidecars before it is ready without them, in milliseconds. */
const sidecarWaitMs = 4000;
/** How long before the end of its drain time a stopping entry ends the jobs in progress, in milliseconds, so that their callers still get an answer. */
const answerMs = 3000;
/** How long a stopping entry keeps serving after it reports not ready, so that a load balancer notices, in milliseconds. */
const lingerMs = 200;

/** An entry process: serves callers and operators, and dispatches tasks to sidecars. */
export class Entry {
	/** Starts an entry. Resolves once it listens; it becomes ready later, when its session is written and the configuration is read. */
	static async create(settings: EntrySettings, log: Logger, operatorToken: string | undefined, clock: Clock = systemClock): Promise<Entry> {
		const entry = new Entry(settings, log, operatorToken, clock);
		await entry.listen();
		return entry;
	}

	readonly directory: SidecarDirectory;
	readonly watcher: TableWatcher;
	readonly dispatcher: TaskDispatcher;
	readonly jobs: JobService;
	readonly batch: BatchWriter;
	private readonly session = systemRandom.id();
	private readonly random: Random;
	private readonly store: Store;
	private readonly peers: Peers = openPeers();
	private readonly meter: UsageMeter;
	private readonly metrics = EntryMetrics.create();
	private readonly stopping = withUnlimitedListeners(new AbortController());
	private readonly callerApi: FastifyInstance;
	private readonly operatorApi: FastifyInstance;
	private readonly lastHeardAt = new Map<string, number>();
	private readonly sweptSessions = new Set<string>();
	/** The configuration version that each other entry last confirmed, by session. */
	private readonly knownVersions = new Map<string, number>();
	private server!: PeerServer;
	private timer: NodeJS.Timeout | undefined;
	private joined = false;
	private joinedAt = 0;
	private ticks = 0;
	private stopped: Promise<void> | undefined;

	private constructor(private readonly settings: EntrySettings, private readonly log: Logger, operatorToken: string | undefined, private readonly clock: Clock) {
		const {session, peers} = this;
		const {signal} = this.stopping;
		this.random = settings.seed === undefined ? systemRandom : seededRandom(settings.seed);
		const {random} = this;
		this.store = openStore(settings.store);
		const {store} = this;
		this.batch = BatchWriter.create(store, clock, () => this.watcher.entryCount);
		const {batch} = this;
		this.watcher = TableWatcher.create({
			table: store, clock, timeoutMs: settings.store.timeoutMs, onConfigChange: config => {
				log.info({version: config.version}, 'configuration in force');
				this.dispatcher.placeWaiting(config.tables.pools.keys());
			},
		});
		const {watcher} = this;
		this.dispatcher = TaskDispatcher.create({
			clock, random, peers, objects: store, watcher,
		}, {policy: settings.policy, hedge: settings.hedge, zone: settings.zone});
		const {dispatcher} = this;
		this.directory = SidecarDirectory.create({
			clock, watcher, session, address: () => this.address, onPlacesChange: pools => {
				this.dispatcher.placeWaiting(pools);
			},
		});
		dispatcher.directory = this.directory;
		this.meter = UsageMeter.create(batch, clock, session);
		const {meter} = this;
		const claims = ClaimStore.create({
			session, clock, store, batch, peers, watcher, windowMs: settings.claimWindowMs, signal,
		});
		this.jobs = JobService.create({
			session, clock, random, peers, watcher, dispatcher, claims, meter,
		});
		const {jobs} = this;
		this.metrics.registerGauges({
			watcher, jobs, dispatcher, directory: this.directory, batch,
		});
		this.callerApi = buildCallerApi({
			clock, watcher, jobs, metrics: this.metrics, maxBodyBytes: settings.maxBodyBytes, isJoined: () => this.joined, isReady: () => this.ready,
		});
		this.operatorApi = buildOperatorApi({
			clock,
			random,
			table: store,
			watcher,
			token: operatorToken,
			announceChange: async withinMs => this.announceChange(withinMs),
			pushConfig: async version => this.pushConfig(version),
			status: () => this.status(),
			isStopping: () => this.stopped !== undefined,
		});
	}

	/** The URL for callers. */
	get callersUrl(): string {
		return urlOf(this.callerApi);
	}

	/** The URL for operators. */
	get operatorsUrl(): string {
		return urlOf(this.operatorApi);
	}

	/** The address that it listens on for other processes, `host:port`. */
	get listens(): string {
		return this.server.address;
	}

	/** The address that it announces to other processes, `host:port`. */
	get address(): string {
		return this.settings.advertise ?? this.server.address;
	}

	/** Whether it accepts work: its session is written, and every live sidecar has sent a heartbeat or had the time to. */
	get ready(): boolean {
		if (!this.joined || this.jobs.isDraining) {
			return false;
		}

		return this.clock.mono() - this.joinedAt > sidecarWaitMs || this.watcher.liveSidecars().every(({key}) => this.directory.sidecars.has(key) || !this.directory.isAssigned(key));
	}

	/** Stops in an orderly way: refuses new work, finishes jobs in progress, writes outcomes and usage, and ends its session. */
	async stop(): Promise<void> {
		this.stopped ??= this.drain();
		await this.stopped;
	}

	private async drain(): Promise<void> {
		const {clock, jobs, settings, log} = this;
		const began = clock.mono();
		const until = began + settings.drainMs;
		jobs.drain(until - Math.min(answerMs, settings.drainMs / 2));
		log.info({underWay: jobs.size}, 'draining');
		await clock.sleep(lingerMs);
		while (!jobs.isIdle && clock.mono() < until) {
			await clock.sleep(20);
		}

		await this.waitForConnections(Math.min(until, began + keepAliveMs));
		await this.callerApi.close();
		const flushed = new AbortController();
		await Promise.race([this.meter.flush(this.stopping.signal), clock.sleep(flushMs, flushed.signal)]);
		flushed.abort();
		await this.leave();
		clearInterval(this.timer);
		this.dispatcher.close();
		this.stopping.abort();
		await this.operatorApi.close();
		await this.server.close();
		this.peers.close();
		await this.store.close();
		log.info('stopped');
	}

	/**
	 * Stops listening and waits until callers have closed their connections. An idle connection is not
	 * closed from here, since a request may be on its way: it is answered with `connection: close`.
	 */
	private async waitForConnections(until: number): Promise<void> {
		const {server} = this.callerApi;
		await closeListener(server, () => this.clock.mono() >= until);
		while (this.clock.mono() < until && (await countConnections(server) > 0 || !this.jobs.isIdle)) {
			await this.clock.sleep(20);
		}
	}

	private async listen(): Promise<void> {
		const {settings} = this;
		this.server = await servePeers(settings.host, settings.ports.peers, router => {
			router.service(EntryService, {
				beat: request => {
					this.dispatcher.counts.beats++;
					return this.directory.handleHeartbeat(request);
				},
				join: async request => this.jobs.handleJoin(request),
				prepare: request => {
					this.watcher.expectChange(request.withinMs);
					return create(PrepareReplySchema, {session: this.session});
				},
				push: request => {
					this.watcher.acceptPushed(decodeSnapshot(request));
					return create(PushReplySchema, {version: this.watcher.config.version});
				},
			});
		});
		await this.callerApi.listen({host: settings.host, port: settings.ports.callers});
		await this.operatorApi.listen({host: settings.host, port: settings.ports.operators});
		void this.startSession();
	}

	private async startSession(): Promise<void> {
		const {settings, clock, store, session, stopping, watcher} = this;
		const row: Session = {
			kind: 'entry', name: settings.name, zone: settings.zone, address: this.address, pools: [], at: clock.now(),
		};
		await createSession(store, clock, {id: session, session: row}, stopping.signal);
		if (stopping.signal.aborted) {
			return;
		}

		await watcher.refresh();
		this.greet();
		void watcher.watch(stopping.signal);
		void this.meter.flushPeriodically(stopping.signal);
		this.joined = true;
		this.joinedAt = clock.mono();
		this.log.info({session, address: this.address, zone: settings.zone}, 'session started');
		this.timer = setInterval(() => {
			void this.tick();
		}, tickMs);
	}

	/** Announces this entry to the sidecars that are to send it heartbeats. */
	private greet(): void {
		const request = create(GreetRequestSchema, {entry: this.address});
		for (const {key, value} of this.watcher.liveSidecars()) {
			if (this.directory.isAssigned(key)) {
				// A sidecar that misses the greeting learns of this entry at a later heartbeat.
				void this.peers.sidecar(value.address).greet(request, {timeoutMs: pingMs}).catch(() => undefined);
			}
		}
	}

	private async leave(): Promise<void> {
		try {
			const row = await readSession(this.store, this.session);
			if (row) {
				await endSession(this.store, this.clock, row, 'graceful');
			}
		} catch (error) {
			this.log.warn({reason: (error as Error).message}, 'left without ending the session');
		}
	}

	/** Checks the other processes: records lost sessions as ended and closes the claims of lost entries. */
	private async tick(): Promise<void> {
		const {watcher, directory} = this;
		const lost = directory.sweep();
		this.dispatcher.estimate.prune(place => directory.places.has(place));
		const watched = this.watchedEntries();
		this.ticks++;
		if (this.ticks % pingTicks === 0) {
			await Promise.all(watched.map(async row => this.ping(row)));
		}

		const now = this.clock.mono();
		const silent = watched.filter(row => now - (this.lastHeardAt.get(row.key) ?? now) > entryLostMs).map(row => row.key);
		if (watcher.readable) {
			await Promise.all([...lost, ...silent].map(async session => this.endLost(session)));
			await this.closeOrphanedClaims();
		}
	}

	/** The entries that this one watches: the next two in the ring of live sessions, so that each entry is watched by two. */
	private watchedEntries(): Array<Row<Session>> {
		const ring = this.watcher.liveEntries().toSorted((a, b) => a.key < b.key ? -1 : 1);
		const at = ring.findIndex(row => row.key === this.session);
		const next = [...ring.slice(at + 1), ...ring.slice(0, Math.max(0, at))].slice(0, watchersPerEntry);
		for (const session of this.lastHeardAt.keys()) {
			if (!next.some(row => row.key === session)) {
				this.lastHeardAt.delete(session);
			}
		}

		return next;
	}

	private async ping(row: Row<Session>): Promise<void> {
		this.dispatcher.counts.pings++;
		if (!this.lastHeardAt.has(row.key)) {
			this.lastHeardAt.set(row.key, this.clock.mono());
		}

		try {
			const reply = await this.peers.entry(row.value.address).join(create(JoinRequestSchema, {}), {timeoutMs: pingMs});
			if (reply.session === row.key) {
				this.lastHeardAt.set(row.key, this.clock.mono());
			}
		} catch {
			// The time without an answer is counted from the last answer.
		}
	}

	private async endLost(session: string): Promise<void> {
		const row = this.watcher.sessions.get(session);
		try {
			if (row && await endSession(this.store, this.clock, row, 'lost')) {
				this.log.warn({session, name: row.value.name, kind: row.value.kind}, 'session lost');
			}
		} catch {
			// Tried again at the next tick.
		}
	}

	private async closeOrphanedClaims(): Promise<void> {
		const entries = this.watcher.liveEntries().map(row => row.key);
		for (const [session, {value}] of this.watcher.sessions) {
			const due = value.kind === 'entry' && value.ended !== undefined && value.ended !== 'graceful' && !this.sweptSessions.has(session);
			if (due && highestRanked(session, entries) === this.session) {
				this.sweptSessions.add(session);
				try {
					const closed = await this.jobs.closeOrphans(session);
					this.log.info({session, closed}, 'orphaned claims closed');
				} catch {
					this.sweptSessions.delete(session);
				}
			}
		}
	}

	/** Announces to the other entries that a change is about to be written. Resolves to whether enough of them confirmed it. */
	private async announceChange(withinMs: number): Promise<boolean> {
		const {watcher} = this;
		watcher.expectChange(withinMs);
		const entries = watcher.liveEntries();
		const others = entries.filter(row => row.key !== this.session);
		const needed = acksNeeded(entries.length, subsetSize) - 1;
		return atLeast(needed, others.map(async row => {
			const reply = await this.peers.entry(row.value.address).prepare(create(PrepareRequestSchema, {withinMs}), {timeoutMs: pingMs});
			return reply.session === row.key;
		}));
	}

	private async pushConfig(version: number): Promise<RolloutStatus> {
		const snapshot = encodeSnapshot(this.watcher.config);
		const others = this.watcher.liveEntries().filter(row => row.key !== this.session);
		const versions = await Promise.all(others.map(async row => {
			const known = this.knownVersions.get(row.key) ?? 0;
			if (known >= version) {
				return known;
			}

			try {
				const reply = await this.peers.entry(row.value.address).push(snapshot, {timeoutMs: pingMs});
				this.knownVersions.set(row.key, reply.version);
				return reply.version;
			} catch {
				return 0;
			}
		}));
		const inForce = [this.watcher.config.version, ...versions].filter(other => other >= version).length;
		return {entries: {inForce, known: others.length + 1}, sidecars: this.directory.inForce(version)};
	}

	private status(): unknown {
		const {watcher, directory, dispatcher, jobs} = this;
		const now = this.clock.mono();
		return {
			session: this.session,
			version: watcher.config.version,
			readable: watcher.readable,
			ageMs: Math.round(watcher.ageMs),
			underWay: jobs.size,
			entries: watcher.liveEntries().map(({key, value}) => ({
				session: key, name: value.name, zone: value.zone, address: value.address,
			})),
			sidecars: [...directory.sidecars].map(([session, attendance]) => ({
				session,
				zone: attendance.zone,
				address: attendance.address,
				stage: livenessOf(attendance, now),
				draining: attendance.draining,
				version: attendance.version,
				silentMs: Math.round(now - attendance.lastHeardAt),
			})),
			places: [...directory.places.values()].map(place => ({
				name: place.id,
				zone: place.zone,
				kind: place.report.kind,
				pools: place.report.pools,
				slots: place.report.slots,
				running: place.report.running,
				mine: place.inFlight,
				slowness: Number(dispatcher.slowness(place).toFixed(2)),
				ejected: place.ejection.ejectedUntil > now,
			})),
		};
	}
}

/** Resolves to true as soon as `needed` of the promises have resolved to true, and to false if all settled without that. */
async function atLeast(needed: number, replies: ReadonlyArray<Promise<boolean>>): Promise<boolean> {
	let acknowledged = 0;
	return new Promise(resolve => {
		const count = (ok: boolean) => {
			acknowledged += ok ? 1 : 0;
			if (acknowledged >= needed) {
				resolve(true);
			}
		};

		count(false);
		void Promise.allSettled(replies.map(async one => one.then(count))).then(() => {
			resolve(acknowledged >= needed);
		});
	});
}

function urlOf(app: FastifyInstance): string {
	const {address, port} = app.server.address() as AddressInfo;
	return `http://${address}:${port}`;
}
