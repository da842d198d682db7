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

/** How long a stopping entry tries to write the usage that no claim carries, in milliseconds. */
const flushMs = 2000;
/** How often the other processes are looked after, in milliseconds. */
const tickMs = 1000;
/** How long another entry may be silent before its session is written as lost, in milliseconds. */
const entryLostMs = 15_000;
const pingMs = 1000;
/** The entries that each looks after are asked for every so many ticks. */
const pingTicks = 5;
/** How many entries look after each. */
const watchers = 2;
/** How long a new entry waits for sidecars to announce themselves before it is ready without them, in milliseconds. */
const gatherMs = 4000;
/** How long before the end of its drain time a stopping entry ends what is under way, in milliseconds, so that it can be answered. */
const answerMs = 3000;
/** How long a stopping entry goes on serving after it stopped being ready, so that a balancer sees it, in milliseconds. */
const lingerMs = 200;

/** Entry takes callers' requests and operators' changes, and dispatches tasks to sidecars. */
export class Entry {
	/** Starts an entry. Resolves once it listens; it is ready when it has joined and read the configuration. */
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
	private readonly meters = EntryMetrics.create();
	private readonly stopping = withUnlimitedListeners(new AbortController());
	private readonly front: FastifyInstance;
	private readonly admin: FastifyInstance;
	private readonly heard = new Map<string, number>();
	private readonly swept = new Set<string>();
	/** The versions that other entries are known to have. */
	private readonly pushed = new Map<string, number>();
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
		const {watcher: feed} = this;
		this.dispatcher = TaskDispatcher.create({
			clock, random, peers, objects: store, watcher: feed,
		}, {policy: settings.policy, hedge: settings.hedge, zone: settings.zone});
		const {dispatcher: dispatch} = this;
		this.directory = SidecarDirectory.create({
			clock, watcher: feed, session, address: () => this.address, onPlacesChange: pools => {
				this.dispatcher.placeWaiting(pools);
			},
		});
		dispatch.directory = this.directory;
		this.meter = UsageMeter.create(batch, clock, session);
		const {meter} = this;
		const ledger = ClaimStore.create({
			session, clock, store, batch, peers, watcher: feed, windowMs: settings.claimWindowMs, signal,
		});
		this.jobs = JobService.create({
			session, clock, random, peers, watcher: feed, dispatcher: dispatch, claims: ledger, meter,
		});
		const {jobs} = this;
		this.meters.registerGauges({
			watcher: feed, jobs, dispatcher: dispatch, directory: this.directory, batch,
		});
		this.front = buildCallerApi({
			clock, watcher: feed, jobs, metrics: this.meters, maxBodyBytes: settings.maxBodyBytes, isJoined: () => this.joined, isReady: () => this.ready,
		});
		this.admin = buildOperatorApi({
			clock,
			random,
			table: store,
			watcher: feed,
			token: operatorToken,
			announceChange: async withinMs => this.prepare(withinMs),
			pushConfig: async version => this.spread(version),
			status: () => this.status(),
			isStopping: () => this.stopped !== undefined,
		});
	}

	/** The URL for callers. */
	get callersUrl(): string {
		return urlOf(this.front);
	}

	/** The URL for operators. */
	get operatorsUrl(): string {
		return urlOf(this.admin);
	}

	/** Where it listens for other processes, `host:port`. */
	get listens(): string {
		return this.server.address;
	}

	/** The address that other processes are told, `host:port`. */
	get address(): string {
		return this.settings.advertise ?? this.server.address;
	}

	/** Whether it takes work: it has joined, and every live sidecar has announced itself or had the time to. */
	get ready(): boolean {
		if (!this.joined || this.jobs.isDraining) {
			return false;
		}

		return this.clock.mono() - this.joinedAt > gatherMs || this.watcher.liveSidecars().every(({key}) => this.directory.sidecars.has(key) || !this.directory.isAssigned(key));
	}

	/** Stops gracefully: takes nothing new, finishes what is under way, writes outcomes and usage, leaves. */
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

		await this.emptied(Math.min(until, began + keepAliveMs));
		await this.front.close();
		const flushed = new AbortController();
		await Promise.race([this.meter.flush(this.stopping.signal), clock.sleep(flushMs, flushed.signal)]);
		flushed.abort();
		await this.leave();
		clearInterval(this.timer);
		this.dispatcher.close();
		this.stopping.abort();
		await this.admin.close();
		await this.server.close();
		this.peers.close();
		await this.store.close();
		log.info('stopped');
	}

	/**
	 * Takes no more connections and waits until callers have ended theirs. One that is closed while it is
	 * idle may have a request on the way; what comes is answered, and its connection closed with it.
	 */
	private async emptied(until: number): Promise<void> {
		const {server} = this.front;
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
		await this.front.listen({host: settings.host, port: settings.ports.callers});
		await this.admin.listen({host: settings.host, port: settings.ports.operators});
		void this.enroll();
	}

	private async enroll(): Promise<void> {
		const {settings, clock, store, session, stopping, watcher: feed} = this;
		const row: Session = {
			kind: 'entry', name: settings.name, zone: settings.zone, address: this.address, pools: [], at: clock.now(),
		};
		await createSession(store, clock, {id: session, session: row}, stopping.signal);
		if (stopping.signal.aborted) {
			return;
		}

		await feed.refresh();
		this.greet();
		void feed.watch(stopping.signal);
		void this.meter.flushPeriodically(stopping.signal);
		this.joined = true;
		this.joinedAt = clock.mono();
		this.log.info({session, address: this.address, zone: settings.zone}, 'joined');
		this.timer = setInterval(() => {
			void this.tick();
		}, tickMs);
	}

	/** Tells the sidecars that announce themselves here that this entry is there. */
	private greet(): void {
		const request = create(GreetRequestSchema, {entry: this.address});
		for (const {key, value} of this.watcher.liveSidecars()) {
			if (this.directory.isAssigned(key)) {
				// One that does not hear it hears of the entry with a later beat.
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

	/** Looks after the other processes: writes lost sessions as ended and closes the claims of lost entries. */
	private async tick(): Promise<void> {
		const {watcher: feed, directory: roster} = this;
		const lost = roster.sweep();
		this.dispatcher.estimate.prune(place => roster.places.has(place));
		const watched = this.watched();
		this.ticks++;
		if (this.ticks % pingTicks === 0) {
			await Promise.all(watched.map(async row => this.ping(row)));
		}

		const now = this.clock.mono();
		const silent = watched.filter(row => now - (this.heard.get(row.key) ?? now) > entryLostMs).map(row => row.key);
		if (feed.readable) {
			await Promise.all([...lost, ...silent].map(async session => this.endLost(session)));
			await this.sweepOrphans();
		}
	}

	/** The entries that this one looks after: the next two round the ring of sessions, so that each is looked after by two. */
	private watched(): Array<Row<Session>> {
		const ring = this.watcher.liveEntries().toSorted((a, b) => a.key < b.key ? -1 : 1);
		const at = ring.findIndex(row => row.key === this.session);
		const next = [...ring.slice(at + 1), ...ring.slice(0, Math.max(0, at))].slice(0, watchers);
		for (const session of this.heard.keys()) {
			if (!next.some(row => row.key === session)) {
				this.heard.delete(session);
			}
		}

		return next;
	}

	private async ping(row: Row<Session>): Promise<void> {
		this.dispatcher.counts.pings++;
		if (!this.heard.has(row.key)) {
			this.heard.set(row.key, this.clock.mono());
		}

		try {
			const reply = await this.peers.entry(row.value.address).join(create(JoinRequestSchema, {}), {timeoutMs: pingMs});
			if (reply.session === row.key) {
				this.heard.set(row.key, this.clock.mono());
			}
		} catch {
			// Its silence is counted from when it was last heard.
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

	private async sweepOrphans(): Promise<void> {
		const entries = this.watcher.liveEntries().map(row => row.key);
		for (const [session, {value}] of this.watcher.sessions) {
			const due = value.kind === 'entry' && value.ended !== undefined && value.ended !== 'graceful' && !this.swept.has(session);
			if (due && highestRanked(session, entries) === this.session) {
				this.swept.add(session);
				try {
					const closed = await this.jobs.closeOrphans(session);
					this.log.info({session, closed}, 'orphaned claims closed');
				} catch {
					this.swept.delete(session);
				}
			}
		}
	}

	/** Tells the other entries that a change is about to be written; resolves to whether enough of them know. */
	private async prepare(withinMs: number): Promise<boolean> {
		const {watcher: feed} = this;
		feed.expectChange(withinMs);
		const entries = feed.liveEntries();
		const others = entries.filter(row => row.key !== this.session);
		const needed = acksNeeded(entries.length, subsetSize) - 1;
		return atLeast(needed, others.map(async row => {
			const reply = await this.peers.entry(row.value.address).prepare(create(PrepareRequestSchema, {withinMs}), {timeoutMs: pingMs});
			return reply.session === row.key;
		}));
	}

	private async spread(version: number): Promise<RolloutStatus> {
		const snapshot = encodeSnapshot(this.watcher.config);
		const others = this.watcher.liveEntries().filter(row => row.key !== this.session);
		const versions = await Promise.all(others.map(async row => {
			const known = this.pushed.get(row.key) ?? 0;
			if (known >= version) {
				return known;
			}

			try {
				const reply = await this.peers.entry(row.value.address).push(snapshot, {timeoutMs: pingMs});
				this.pushed.set(row.key, reply.version);
				return reply.version;
			} catch {
				return 0;
			}
		}));
		const inForce = [this.watcher.config.version, ...versions].filter(other => other >= version).length;
		return {entries: {inForce, known: others.length + 1}, sidecars: this.directory.inForce(version)};
	}

	private status(): unknown {
		const {watcher: feed, directory: roster, dispatcher: dispatch, jobs} = this;
		const now = this.clock.mono();
		return {
			session: this.session,
			version: feed.config.version,
			readable: feed.readable,
			ageMs: Math.round(feed.ageMs),
			underWay: jobs.size,
			entries: feed.liveEntries().map(({key, value}) => ({
				session: key, name: value.name, zone: value.zone, address: value.address,
			})),
			sidecars: [...roster.sidecars].map(([session, attendance]) => ({
				session,
				zone: attendance.zone,
				address: attendance.address,
				stage: livenessOf(attendance, now),
				draining: attendance.draining,
				version: attendance.version,
				silentMs: Math.round(now - attendance.lastHeardAt),
			})),
			places: [...roster.places.values()].map(seat => ({
				name: seat.id,
				zone: seat.zone,
				kind: seat.report.kind,
				pools: seat.report.pools,
				slots: seat.report.slots,
				running: seat.report.running,
				mine: seat.inFlight,
				slowness: Number(dispatch.slowness(seat).toFixed(2)),
				ejected: seat.ejection.ejectedUntil > now,
			})),
		};
	}
}

/** Resolves to true as soon as so many resolve to true, and to false when that cannot be any more. */
async function atLeast(needed: number, asked: ReadonlyArray<Promise<boolean>>): Promise<boolean> {
	let told = 0;
	return new Promise(resolve => {
		const count = (ok: boolean) => {
			told += ok ? 1 : 0;
			if (told >= needed) {
				resolve(true);
			}
		};

		count(false);
		void Promise.allSettled(asked.map(async one => one.then(count))).then(() => {
			resolve(told >= needed);
		});
	});
}

function urlOf(app: FastifyInstance): string {
	const {address, port} = app.server.address() as AddressInfo;
	return `http://${address}:${port}`;
}
