import {create} from '@bufbuild/protobuf';
import {
	BeatRequestSchema, type BeatReply, type Echo, type Place,
} from '../../gen/sniperidge/v1/peer_pb.js';
import {configOf} from '../adapters/snapshot.js';
import {isConfirmed, type Confirmation} from '../decide/confirm.js';
import {Config} from '../decide/config.js';
import type {Clock} from '../ports/clock.js';
import type {Peers} from '../ports/peer.js';

/** A sidecar announces itself to an entry that has not been heard for so long, in milliseconds. */
const beatMs = 2500;
/** It announces itself to each entry when the newest confirmation is older than this, in milliseconds. */
const freshMs = 1200;
/** How often it looks whether to, and how long the reply may take, in milliseconds. */
const lookMs = 500;
const replyMs = 2500;
/** Silence of every entry after which others are looked for, in milliseconds. */
const aloneMs = 2500;

/** Announcement is what a sidecar says of itself. */
export type Announcement = {session: string; address: string; zone: string; draining: boolean; places: Place[]};

/** Listener is told what comes back. */
export type Listener = {
	/** A newer configuration is in force here. */
	configured(config: Config): void;
	/** This session was written as ended by somebody else. */
	ended(session: string): void;
};

/** Parts is what beats are made of; `entries` are the addresses to begin with, and `find` looks the present ones up in the table. */
export type Parts = {peers: Peers; clock: Clock; entries: readonly string[]; announce: () => Announcement; listener: Listener; find: () => Promise<string[]>};

/**
 * Beats announces a sidecar to every entry and keeps what they confirm. Starts that come with a
 * confirmation stand in for beats.
 *
 * A confirmation counts from when the request for it was sent, on this process's own clock, so that
 * one that lay in a buffer while the process was stopped counts for nothing.
 */
export class Beats {
	static create(parts: Parts): Beats {
		return new Beats(parts);
	}

	config = Config.empty;
	neighbours: readonly string[] = [];
	private readonly confirmations = new Map<string, Confirmation>();
	private readonly loops = new Map<string, AbortController>();
	private known: ReadonlySet<string>;
	private fetching = 0;
	private sessionsVersion = 0;

	private constructor(private readonly parts: Parts) {
		this.known = new Set(parts.entries);
	}

	/** Begins to announce. */
	start(): void {
		this.follow(this.known);
	}

	/** Looks the entries up in the table when none of those known has answered for a while. */
	async rediscover(): Promise<void> {
		const now = this.parts.clock.mono();
		const heard = [...this.confirmations.values()].some(confirmation => now - confirmation.heard < aloneMs);
		if (heard) {
			return;
		}

		try {
			const found = await this.parts.find();
			this.follow(new Set([...found, ...this.known, ...this.parts.entries]));
		} catch {
			// The table is away too; the known entries go on being tried.
		}
	}

	/** Whether a task may start now under the configuration that is in force here. */
	confirmed(): boolean {
		return isConfirmed(this.confirmations, this.known.size, this.config.version, this.parts.clock.mono());
	}

	/** Takes the confirmation that came with a start; a newer version, of the tables or of the sessions, is fetched at once. */
	take(echo: Echo): void {
		const known = this.confirmations.get(echo.entry);
		if (!this.loops.has(echo.entry) || echo.stamp < (known?.heard ?? 0)) {
			return;
		}

		this.confirmations.set(echo.entry, {
			asOf: echo.stamp - echo.ageMs, heard: echo.stamp, readable: echo.readable, version: echo.version,
		});
		const newest = Math.max(echo.version > this.config.version ? echo.version : 0, echo.sessionsVersion > this.sessionsVersion ? echo.sessionsVersion : 0);
		if (newest > this.fetching) {
			this.fetching = newest;
			void this.beat(echo.entry);
		}
	}

	/** How long ago the configuration was last confirmed by an entry that could read the table, in milliseconds. */
	get ageMs(): number {
		const latest = Math.max(...[...this.confirmations.values()].filter(({readable}) => readable).map(({asOf}) => asOf));
		return this.parts.clock.mono() - latest;
	}

	/** Announces once more to every entry, now, and waits for the replies. */
	async flush(): Promise<void> {
		await Promise.all([...this.loops.keys()].map(async entry => this.beat(entry)));
	}

	/** Stops announcing. */
	stop(): void {
		for (const loop of this.loops.values()) {
			loop.abort();
		}

		this.loops.clear();
	}

	private follow(entries: ReadonlySet<string>): void {
		for (const [entry, loop] of this.loops) {
			if (!entries.has(entry)) {
				loop.abort();
				this.loops.delete(entry);
				this.confirmations.delete(entry);
			}
		}

		for (const entry of entries) {
			if (!this.loops.has(entry)) {
				const loop = new AbortController();
				this.loops.set(entry, loop);
				void this.loop(entry, loop.signal);
			}
		}
	}

	private async loop(entry: string, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const now = this.parts.clock.mono();
			const due = now + lookMs;
			const silence = now - (this.confirmations.get(entry)?.heard ?? Number.NEGATIVE_INFINITY);
			if (silence > beatMs || (silence > freshMs && this.ageMs > freshMs)) {
				await this.beat(entry);
			}

			await this.parts.clock.sleep(Math.max(100, due - this.parts.clock.mono()), signal);
		}
	}

	private async beat(entry: string): Promise<void> {
		const stamp = this.parts.clock.mono();
		const request = create(BeatRequestSchema, {
			...this.parts.announce(), stamp, version: this.config.version, sessionsVersion: this.sessionsVersion,
		});
		try {
			this.hear(entry, request.session, await this.parts.peers.entry(entry).beat(request, {timeoutMs: replyMs}));
		} catch {
			// The confirmation grows old, which is all that a missing reply means.
		}
	}

	private hear(entry: string, session: string, reply: BeatReply): void {
		if (reply.snapshot && reply.snapshot.version > this.config.version) {
			this.config = configOf(reply.snapshot);
			this.parts.listener.configured(this.config);
			void this.beat(entry);
		}

		if (reply.ended) {
			this.parts.listener.ended(session);
			return;
		}

		if (!this.loops.has(entry)) {
			return;
		}

		this.confirmations.set(entry, {
			asOf: reply.stamp - reply.ageMs, heard: reply.stamp, readable: reply.readable, version: reply.version,
		});
		if (reply.entries.length > 0 && reply.readable && reply.sessionsVersion > this.sessionsVersion) {
			this.sessionsVersion = reply.sessionsVersion;
			this.neighbours = reply.neighbours;
			this.known = new Set(reply.entries);
			this.follow(new Set([...this.known, ...this.parts.entries]));
		}
	}
}
