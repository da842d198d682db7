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

/** How often it is looked whom to speak to, and how long the reply may take, in milliseconds. */
const lookMs = 500;
const replyMs = 2500;
/** Silence of every entry after which others are looked for, in milliseconds. */
const aloneMs = 4600;
/** How long after an entry said that it cannot read the table fresh confirmations are kept up, in milliseconds. */
const outageMs = 5000;
/** The oldest stamp that may be echoed, in milliseconds: over longer times clocks drift apart. */
const stampMs = 60_000;

/** Announcement is what a sidecar says of itself. */
export type SidecarAnnouncement = {session: string; address: string; zone: string; draining: boolean; places: Place[]};

/** Listener is told what comes back. */
export type HeartbeatListener = {
	/** A newer configuration is in force here. */
	configChanged(config: Config): void;
	/** This session was written as ended by somebody else. */
	sessionEnded(session: string): void;
};

/** Parts is what beats are made of. */
export type Dependencies = {
	peers: Peers;
	clock: Clock;
	/** The addresses to begin with. */
	initialEntries: readonly string[];
	listener: HeartbeatListener;
	describeSidecar(): SidecarAnnouncement;
	/** Looks the present entries up in the table. */
	findEntries(): Promise<string[]>;
	/** Whether tasks wait here for their turn, which will need a fresh confirmation. */
	hasQueuedTasks(): boolean;
};

/**
 * Beats announces a sidecar to its subset of the entries and keeps what they confirm. Starts that
 * come with a confirmation stand in for beats.
 *
 * A confirmation counts from when the request for it was sent, on this process's own clock, so that
 * one that lay in a buffer while the process was stopped counts for nothing.
 */
export class HeartbeatSender {
	static create(parts: Dependencies): HeartbeatSender {
		return new HeartbeatSender(parts);
	}

	config = Config.empty;
	neighbours: readonly string[] = [];
	private readonly confirmations = new Map<string, Confirmation>();
	/** The entries that there are. */
	private known: readonly string[];
	/** Those of them that this sidecar announces itself to. */
	private hearings: ReadonlyMap<string, EntryContact>;
	private running = new AbortController();
	private outageUntil = Number.NEGATIVE_INFINITY;
	private fetching = 0;
	private sessionsVersion = 0;

	private constructor(private readonly parts: Dependencies) {
		this.known = parts.initialEntries;
		this.hearings = new Map(parts.initialEntries.map(entry => [entry, unheard(entry)]));
	}

	/** Begins to announce. */
	start(): void {
		this.running = new AbortController();
		this.follow(this.known);
		for (const hearing of this.hearings.values()) {
			hearing.lastTriedAt = Number.NEGATIVE_INFINITY;
		}

		void this.loop(this.running.signal);
	}

	/** Looks the entries up in the table when none of those known has answered for a while. */
	async rediscoverEntries(): Promise<void> {
		if (this.hasRecentContact) {
			return;
		}

		try {
			const found = await this.parts.findEntries();
			this.follow(found.length > 0 ? found : this.parts.initialEntries);
		} catch {
			// The table is away too; the known entries go on being tried.
		}
	}

	/** Announces to an entry that has just joined, at once. */
	announceTo(entry: string): void {
		if (!this.hearings.has(entry)) {
			this.follow([...this.known, entry]);
		}

		if (this.hearings.has(entry) && !this.running.signal.aborted) {
			void this.beat(entry);
		}
	}

	/** Whether any entry was heard lately. */
	get hasRecentContact(): boolean {
		const now = this.parts.clock.mono();
		return [...this.hearings.values()].some(({lastHeardAt: heard}) => now - heard < aloneMs);
	}

	/** Whether a task may start now under the configuration that is in force here. */
	isConfirmed(): boolean {
		return isConfirmed(this.confirmations, this.hearings.size, this.config.version, this.parts.clock.mono());
	}

	/**
	 * Takes the confirmation that came with a start; a newer version, of the tables or of the sessions,
	 * is fetched at once. One dated in the future comes from clocks that do not run alike, as after a
	 * machine was suspended, and counts for nothing.
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

	/** How long ago the configuration was last confirmed by an entry that could read the table, in milliseconds. */
	get configAgeMs(): number {
		const latest = Math.max(...[...this.confirmations.values()].filter(({readable}) => readable).map(({asOf}) => asOf));
		return this.parts.clock.mono() - latest;
	}

	/** Announces once more to every entry, now, and waits for the replies. */
	async announceToAll(): Promise<void> {
		await Promise.all([...this.hearings.keys()].map(async entry => this.beat(entry)));
	}

	/** Stops announcing. */
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
			// The confirmation grows old, which is all that a missing reply means.
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

	/** Each confirmation holds by itself, whatever came before or after it; the most recent one is kept. */
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
