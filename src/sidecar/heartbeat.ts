import {create} from '@bufbuild/protobuf';
import {
	BeatRequestSchema, type BeatReply, type Echo, type Place,
} from '../../gen/sniperidge/v1/peer_pb.js';
import {decodeSnapshot} from '../adapters/snapshot.js';
import {
	entriesDue, freshConfirmationMs, entrySubset, type EntryContact, type AnnouncePurpose,
} from '../decide/announce.js';
import {isConfirmed, type Confirmation} from '../decide/confirm.js';
import {Config} from '../decide/config.js';
import type {Clock} from '../ports/clock.js';
import type {Peers} from '../ports/peer.js';

/** How often the sender checks which heartbeats are due, and the timeout of their replies, in milliseconds. */
const lookMs = 500;
const replyMs = 2500;
/** Without contact to any entry for this long, the table is searched for others, in milliseconds. */
const aloneMs = 4600;
/** How long fresh confirmations are requested after an entry reported that it cannot read the table, in milliseconds. */
const outageMs = 5000;
/** The maximum age of a stamp in an echo, in milliseconds: over longer times clocks drift apart. */
const stampMs = 60_000;

/** SidecarAnnouncement is the state that a sidecar reports in its heartbeats. */
export type SidecarAnnouncement = {session: string; address: string; zone: string; draining: boolean; places: Place[]};

/** HeartbeatListener receives the events found in replies. */
export type HeartbeatListener = {
	/** A newer configuration took effect. */
	configChanged(config: Config): void;
	/** Another process wrote this session as ended. */
	sessionEnded(session: string): void;
};

export type Dependencies = {
	peers: Peers;
	clock: Clock;
	/** The addresses of the entries to contact first. */
	initialEntries: readonly string[];
	listener: HeartbeatListener;
	describeSidecar(): SidecarAnnouncement;
	/** Reads the addresses of the running entries from the table. */
	findEntries(): Promise<string[]>;
	/** Whether tasks are queued here, which need a fresh confirmation to start. */
	hasQueuedTasks(): boolean;
};

/**
 * HeartbeatSender sends heartbeats to this sidecar's subset of the entries and keeps the confirmations
 * of the configuration from their replies. A start request that carries a confirmation replaces a heartbeat.
 *
 * The age of a confirmation is counted from when its request was sent, on this process's own clock, so
 * that one that lay in a buffer while the process was suspended has expired when it is read.
 */
export class HeartbeatSender {
	static create(parts: Dependencies): HeartbeatSender {
		return new HeartbeatSender(parts);
	}

	config = Config.empty;
	neighbours: readonly string[] = [];
	private readonly confirmations = new Map<string, Confirmation>();
	/** All known entries. */
	private known: readonly string[];
	/** The subset of them that this sidecar sends heartbeats to. */
	private hearings: ReadonlyMap<string, EntryContact>;
	private running = new AbortController();
	private outageUntil = Number.NEGATIVE_INFINITY;
	private fetching = 0;
	private sessionsVersion = 0;

	private constructor(private readonly parts: Dependencies) {
		this.known = parts.initialEntries;
		this.hearings = new Map(parts.initialEntries.map(entry => [entry, unheard(entry)]));
	}

	/** Starts sending heartbeats, the first ones at once. */
	start(): void {
		this.running = new AbortController();
		this.follow(this.known);
		for (const hearing of this.hearings.values()) {
			hearing.lastTriedAt = Number.NEGATIVE_INFINITY;
		}

		void this.loop(this.running.signal);
	}

	/** Reads the entries from the table when none of the known ones has answered lately. */
	async rediscoverEntries(): Promise<void> {
		if (this.hasRecentContact) {
			return;
		}

		try {
			const found = await this.parts.findEntries();
			this.follow(found.length > 0 ? found : this.parts.initialEntries);
		} catch {
			// The table is unavailable too; the loop keeps trying the known entries.
		}
	}

	/** Sends a heartbeat at once to an entry that has just started. */
	announceTo(entry: string): void {
		if (!this.hearings.has(entry)) {
			this.follow([...this.known, entry]);
		}

		if (this.hearings.has(entry) && !this.running.signal.aborted) {
			void this.beat(entry);
		}
	}

	/** Whether any entry has answered lately. */
	get hasRecentContact(): boolean {
		const now = this.parts.clock.mono();
		return [...this.hearings.values()].some(({lastHeardAt: heard}) => now - heard < aloneMs);
	}

	/** Whether the current configuration is confirmed recently enough to start a task. */
	isConfirmed(): boolean {
		return isConfirmed(this.confirmations, this.hearings.size, this.config.version, this.parts.clock.mono());
	}

	/**
	 * Applies the confirmation that a start carried. If it names a newer version, of the tables or of the
	 * sessions, that version is fetched at once. A confirmation dated in the future means that the clocks
	 * ran at different speeds, as after a machine was suspended, and is ignored.
	 */
	applyConfirmation(echo: Echo): void {
		const now = this.parts.clock.mono();
		const asOf = echo.stamp - echo.ageMs;
		if (!this.hearings.has(echo.entry) || asOf > now || now - echo.stamp > stampMs) {
			return;
		}

		this.confirm(echo.entry, {
			asOf, requestSentAt: echo.stamp, readable: echo.readable, pending: echo.pending, version: echo.version,
		});
		const newest = Math.max(echo.version > this.config.version ? echo.version : 0, echo.sessionsVersion > this.sessionsVersion ? echo.sessionsVersion : 0);
		if (newest > this.fetching) {
			this.fetching = newest;
			void this.beat(echo.entry);
		}
	}

	/** The time since an entry that could read the table last confirmed the configuration, in milliseconds. */
	get configAgeMs(): number {
		const latest = Math.max(...[...this.confirmations.values()].filter(({readable}) => readable).map(({asOf}) => asOf));
		return this.parts.clock.mono() - latest;
	}

	/** Sends a heartbeat to every entry of the subset at once, and waits for the replies. */
	async announceToAll(): Promise<void> {
		await Promise.all([...this.hearings.keys()].map(async entry => this.beat(entry)));
	}

	stop(): void {
		this.running.abort();
	}

	private follow(entries: readonly string[]): void {
		const {session} = this.parts.describeSidecar();
		this.known = entries;
		this.hearings = new Map(entrySubset(session, entries).map(entry => [entry, this.hearings.get(entry) ?? unheard(entry)]));
		for (const entry of this.confirmations.keys()) {
			if (!this.hearings.has(entry)) {
				this.confirmations.delete(entry);
			}
		}
	}

	private async loop(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const now = this.parts.clock.mono();
			for (const entry of entriesDue([...this.hearings.values()], this.need(now), now)) {
				void this.beat(entry);
			}

			await this.parts.clock.sleep(lookMs, signal);
		}
	}

	private need(now: number): AnnouncePurpose {
		const needed = now < this.outageUntil || this.parts.hasQueuedTasks();
		return needed && this.configAgeMs > freshConfirmationMs ? 'fresh' : 'presence';
	}

	private async beat(entry: string): Promise<void> {
		const stamp = this.parts.clock.mono();
		const hearing = this.hearings.get(entry);
		if (hearing) {
			hearing.lastTriedAt = stamp;
		}

		const request = create(BeatRequestSchema, {
			...this.parts.describeSidecar(), stamp, version: this.config.version, sessionsVersion: this.sessionsVersion,
		});
		try {
			this.hear(entry, request.session, await this.parts.peers.entry(entry).beat(request, {timeoutMs: replyMs}));
		} catch {
			// A missing reply only lets the last confirmation age.
		}
	}

	private hear(entry: string, session: string, reply: BeatReply): void {
		if (reply.ended) {
			this.parts.listener.sessionEnded(session);
			return;
		}

		if (!this.hearings.has(entry)) {
			return;
		}

		this.confirm(entry, {
			asOf: reply.stamp - reply.ageMs, requestSentAt: reply.stamp, readable: reply.readable, pending: reply.pending, version: reply.version,
		});
		if (reply.entries.length > 0 && reply.readable && reply.sessionsVersion > this.sessionsVersion) {
			this.sessionsVersion = reply.sessionsVersion;
			this.neighbours = reply.neighbours;
			this.follow(reply.entries);
		}

		if (reply.snapshot && reply.snapshot.version > this.config.version) {
			this.config = decodeSnapshot(reply.snapshot);
			this.parts.listener.configChanged(this.config);
			void this.announceToAll();
		}
	}

	/** Records a confirmation. Each is valid on its own, whatever arrived before it; only the most recent one is kept. */
	private confirm(entry: string, confirmation: Confirmation): void {
		const known = this.confirmations.get(entry);
		const hearing = this.hearings.get(entry)!;
		hearing.lastHeardAt = Math.max(confirmation.requestSentAt, hearing.lastHeardAt);
		if (!known || confirmation.asOf > known.asOf || confirmation.requestSentAt >= known.requestSentAt) {
			this.confirmations.set(entry, confirmation);
		}

		if (!confirmation.readable) {
			this.outageUntil = this.parts.clock.mono() + outageMs;
		}
	}
}

function unheard(entry: string): EntryContact {
	return {entry, lastHeardAt: Number.NEGATIVE_INFINITY, lastTriedAt: Number.NEGATIVE_INFINITY};
}
