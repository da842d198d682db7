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
const checkIntervalMs = 500;
const replyTimeoutMs = 2500;
/** Without contact to any entry for this long, the table is searched for others, in milliseconds. */
const contactTimeoutMs = 4600;
/** How long fresh confirmations are requested after an entry reported that it cannot read the table, in milliseconds. */
const outageMs = 5000;
/** The maximum age of a stamp in an echo, in milliseconds: over longer times clocks drift apart. */
const maxStampAgeMs = 60_000;
/** How far the time of day may run ahead of the monotonic clock between two looks, in milliseconds, before the machine counts as suspended. */
const suspensionMs = 500;

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
 * that one that lay in a buffer while the process was stopped has expired when it is read. That clock doesn't
 * count the time for which the machine is suspended, so confirmations from before a suspension are dropped.
 */
export class HeartbeatSender {
	static create(dependencies: Dependencies): HeartbeatSender {
		return new HeartbeatSender(dependencies);
	}

	config = Config.empty;
	neighbours: readonly string[] = [];
	private readonly confirmations = new Map<string, Confirmation>();
	/** All known entries. */
	private knownEntries: readonly string[];
	/** The subset of them that this sidecar sends heartbeats to. */
	private contacts: ReadonlyMap<string, EntryContact>;
	private abortController = new AbortController();
	private outageUntil = Number.NEGATIVE_INFINITY;
	private requestedVersion = 0;
	private sessionsVersion = 0;
	/** The time of day less the monotonic time, as last seen, and the monotonic time at which a suspension was last noticed. */
	private dayOffset: number;
	private wokeAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly dependencies: Dependencies) {
		this.knownEntries = dependencies.initialEntries;
		this.dayOffset = dependencies.clock.now() - dependencies.clock.mono();
		this.contacts = new Map(dependencies.initialEntries.map(entry => [entry, noContact(entry)]));
	}

	/** Starts sending heartbeats, the first ones at once. */
	start(): void {
		this.abortController = new AbortController();
		this.setEntries(this.knownEntries);
		for (const contact of this.contacts.values()) {
			contact.lastTriedAt = Number.NEGATIVE_INFINITY;
		}

		void this.sendDueHeartbeats(this.abortController.signal);
	}

	/** Reads the entries from the table when none of the known ones has answered lately. */
	async rediscoverEntries(): Promise<void> {
		if (this.hasRecentContact) {
			return;
		}

		try {
			const found = await this.dependencies.findEntries();
			this.setEntries(found.length > 0 ? found : this.dependencies.initialEntries);
		} catch {
			// The table is unavailable too; the loop keeps trying the known entries.
		}
	}

	/** Sends a heartbeat at once to an entry that has just started. */
	announceTo(entry: string): void {
		if (!this.contacts.has(entry)) {
			this.setEntries([...this.knownEntries, entry]);
		}

		if (this.contacts.has(entry) && !this.abortController.signal.aborted) {
			void this.sendHeartbeat(entry);
		}
	}

	/** Whether any entry has answered lately. */
	get hasRecentContact(): boolean {
		const now = this.dependencies.clock.mono();
		return [...this.contacts.values()].some(({lastHeardAt}) => now - lastHeardAt < contactTimeoutMs);
	}

	/** Whether the current configuration is confirmed recently enough to start a task. */
	isConfirmed(): boolean {
		this.dropUncertain();
		return isConfirmed(this.confirmations, this.contacts.size, this.config.version, this.dependencies.clock.mono());
	}

	/**
	 * Applies the confirmation that a start carried. If it names a newer version, of the tables or of the
	 * sessions, that version is fetched at once. A confirmation dated in the future means that the clocks
	 * ran at different speeds, as after a machine was suspended, and is ignored.
	 */
	applyConfirmation(echo: Echo): void {
		const now = this.dependencies.clock.mono();
		const asOf = echo.stamp - echo.ageMs;
		this.dropUncertain();
		if (!this.contacts.has(echo.entry) || asOf > now || now - echo.stamp > maxStampAgeMs) {
			return;
		}

		this.recordConfirmation(echo.entry, {
			asOf, requestSentAt: echo.stamp, readable: echo.readable, pending: echo.pending, version: echo.version,
		});
		const newestVersion = Math.max(echo.version > this.config.version ? echo.version : 0, echo.sessionsVersion > this.sessionsVersion ? echo.sessionsVersion : 0);
		if (newestVersion > this.requestedVersion) {
			this.requestedVersion = newestVersion;
			void this.sendHeartbeat(echo.entry);
		}
	}

	/** The time since an entry that could read the table last confirmed the configuration, in milliseconds. */
	get configAgeMs(): number {
		const latest = Math.max(...[...this.confirmations.values()].filter(({readable}) => readable).map(({asOf}) => asOf));
		return this.dependencies.clock.mono() - latest;
	}

	/** Sends a heartbeat to every entry of the subset at once, and waits for the replies. */
	async announceToAll(): Promise<void> {
		await Promise.all([...this.contacts.keys()].map(async entry => this.sendHeartbeat(entry)));
	}

	stop(): void {
		this.abortController.abort();
	}

	private setEntries(entries: readonly string[]): void {
		const {session} = this.dependencies.describeSidecar();
		this.knownEntries = entries;
		this.contacts = new Map(entrySubset(session, entries).map(entry => [entry, this.contacts.get(entry) ?? noContact(entry)]));
		for (const entry of this.confirmations.keys()) {
			if (!this.contacts.has(entry)) {
				this.confirmations.delete(entry);
			}
		}
	}

	private async sendDueHeartbeats(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.dropUncertain();
			const now = this.dependencies.clock.mono();
			for (const entry of entriesDue([...this.contacts.values()], this.purpose(now), now)) {
				void this.sendHeartbeat(entry);
			}

			await this.dependencies.clock.sleep(checkIntervalMs, signal);
		}
	}

	private purpose(now: number): AnnouncePurpose {
		const needsFresh = now < this.outageUntil || this.dependencies.hasQueuedTasks();
		return needsFresh && this.configAgeMs > freshConfirmationMs ? 'fresh' : 'presence';
	}

	private async sendHeartbeat(entry: string): Promise<void> {
		const stamp = this.dependencies.clock.mono();
		const contact = this.contacts.get(entry);
		if (contact) {
			contact.lastTriedAt = stamp;
		}

		const request = create(BeatRequestSchema, {
			...this.dependencies.describeSidecar(), stamp, version: this.config.version, sessionsVersion: this.sessionsVersion,
		});
		try {
			this.handleReply(entry, request.session, await this.dependencies.peers.entry(entry).beat(request, {timeoutMs: replyTimeoutMs}));
		} catch {
			// A missing reply only lets the last confirmation age.
		}
	}

	private handleReply(entry: string, session: string, reply: BeatReply): void {
		if (reply.ended) {
			this.dependencies.listener.sessionEnded(session);
			return;
		}

		if (!this.contacts.has(entry)) {
			return;
		}

		this.recordConfirmation(entry, {
			asOf: reply.stamp - reply.ageMs, requestSentAt: reply.stamp, readable: reply.readable, pending: reply.pending, version: reply.version,
		});
		if (reply.entries.length > 0 && reply.readable && reply.sessionsVersion > this.sessionsVersion) {
			this.sessionsVersion = reply.sessionsVersion;
			this.neighbours = reply.neighbours;
			this.setEntries(reply.entries);
		}

		if (reply.snapshot && reply.snapshot.version > this.config.version) {
			this.config = decodeSnapshot(reply.snapshot);
			this.dependencies.listener.configChanged(this.config);
			void this.announceToAll();
		}
	}

	/** Drops all confirmations where the time of day has run ahead of the monotonic clock: a suspension, or a correction of the time of day, which costs a heartbeat. */
	private dropUncertain(): void {
		const {clock} = this.dependencies;
		const mono = clock.mono();
		const offset = clock.now() - mono;
		if (offset - this.dayOffset > suspensionMs) {
			this.wokeAt = mono;
			this.confirmations.clear();
		}

		this.dayOffset = offset;
	}

	/** Records a confirmation. Each is valid on its own, whatever arrived before it; only the most recent one is kept. */
	private recordConfirmation(entry: string, confirmation: Confirmation): void {
		this.dropUncertain();
		if (confirmation.requestSentAt <= this.wokeAt) {
			return;
		}

		const existing = this.confirmations.get(entry);
		const contact = this.contacts.get(entry)!;
		contact.lastHeardAt = Math.max(confirmation.requestSentAt, contact.lastHeardAt);
		if (!existing || confirmation.asOf > existing.asOf || confirmation.requestSentAt >= existing.requestSentAt) {
			this.confirmations.set(entry, confirmation);
		}

		if (!confirmation.readable) {
			this.outageUntil = this.dependencies.clock.mono() + outageMs;
		}
	}
}

function noContact(entry: string): EntryContact {
	return {entry, lastHeardAt: Number.NEGATIVE_INFINITY, lastTriedAt: Number.NEGATIVE_INFINITY};
}
