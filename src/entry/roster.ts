import {create} from '@bufbuild/protobuf';
import {
	BeatReplySchema, EchoSchema, type BeatReply, type BeatRequest, type Echo, type Place, type StartReply,
} from '../../gen/sniperidge/v1/peer_pb.js';
import {entrySubset} from '../decide/announce.js';
import {snapshotOf} from '../adapters/snapshot.js';
import {
	notEjected, recordResult, startProbe, availabilityOf, type Ejection,
} from '../decide/eject.js';
import {
	lostAfterMs, livenessOf, type LastContact,
} from '../decide/member.js';
import {slotShare, type Candidate} from '../decide/place.js';
import type {Clock} from '../ports/clock.js';
import type {Feed} from './feed.js';

/** Seat is a place as this entry sees it: a sidecar's upstream or worker. */
export type Seat = {
	/** The place's name; a place that comes back keeps what was learned of it. */
	id: string;
	session: string;
	address: string;
	zone: string;
	/** How the place stood when last told. */
	report: Place;
	/** The tasks that this entry has there. */
	mine: number;
	/** The tasks that this entry had there when the report came. */
	mineThen: number;
	health: Ejection;
	returned?: number;
	notBefore: number;
};

/** Attendance is a sidecar session as this entry sees it. */
export type Attendance = LastContact & {
	address: string;
	zone: string;
	draining: boolean;
	version: number;
	/** The sidecar's clock when it last spoke, to be echoed. */
	stamp: number;
	/** Monotonic milliseconds before which nothing new goes there because it failed to answer. */
	doubtedUntil: number;
};

/** TaskSize is what a task takes of a worker. */
export type TaskSize = {cores: number; memoryMb: number; accelerators: number};

/** How long a sidecar that failed to answer gets no new work, in milliseconds. */
const doubtMs = 1000;
/** How long a place that refused for being full is passed over, in milliseconds. */
export const refusedPauseMs = 15;
/** How long a place that cannot start anything now is passed over, in milliseconds. */
export const hinderedPauseMs = 300;

/** Parts is what a roster is made of; `changed` is told the pools whose places may have changed. */
export type Parts = {clock: Clock; feed: Feed; session: string; address: () => string; changed: (pools: Iterable<string>) => void};

type Duties = {version: number; entries: readonly string[]; known: Map<string, boolean>; shares: Map<string, number>};

/** Roster is the sidecars that announce themselves to this entry, and their places. */
export class Roster {
	static create(parts: Parts): Roster {
		return new Roster(parts);
	}

	readonly seats = new Map<string, Seat>();
	readonly attendances = new Map<string, Attendance>();
	private readonly started: number;
	/** The sessions that should be heard here and are not, and since when. */
	private missed: ReadonlyMap<string, number> = new Map();
	/** Which sessions announce themselves here, as worked out from one version of the sessions. */
	private duties: Duties = {
		version: -1, entries: [], known: new Map(), shares: new Map(),
	};

	private constructor(private readonly parts: Parts) {
		this.started = parts.clock.mono();
	}

	/** Takes a sidecar's announcement and answers with the configuration it lacks. */
	beat(request: BeatRequest): BeatReply {
		const {feed} = this.parts;
		const ended = feed.sessions.get(request.session)?.value.ended !== undefined;
		if (!ended) {
			this.attend(request);
		}

		return create(BeatReplySchema, {
			session: this.parts.session,
			stamp: request.stamp,
			ageMs: feed.ageMs,
			readable: feed.readable,
			pending: feed.pending,
			version: feed.config.version,
			snapshot: request.version < feed.config.version ? snapshotOf(feed.config) : undefined,
			ended,
			sessionsVersion: feed.sessionsVersion,
			...(request.sessionsVersion === feed.sessionsVersion ? {} : {entries: feed.entries().map(row => row.value.address), neighbours: feed.neighbours(request.zone)}),
		});
	}

	/** Lists the places of a pool that may get a task of this size, as candidates for the choice. */
	candidates(pool: string, size: TaskSize, slowness: (seat: Seat) => number): Candidate[] {
		const now = this.parts.clock.mono();
		return this.serving(pool).map(seat => {
			const running = this.runningAt(seat);
			return {
				id: seat.id,
				zone: seat.zone,
				slots: seat.report.kind === 'worker' ? running + roomFor(seat, size) : seat.report.slots,
				running,
				reserved: 0,
				slowness: slowness(seat),
				availability: availabilityOf(seat.health, now),
				returnedAt: seat.returned,
				blockedUntil: Math.max(seat.notBefore, this.attendances.get(seat.session)!.doubtedUntil),
			};
		});
	}

	/** The seats of a pool that are in service, whether free or not. */
	serving(pool: string): Seat[] {
		const {config} = this.parts.feed;
		return [...this.seats.values()].filter(seat => seat.report.pools.includes(pool) && config.isZoneInService(seat.zone) && config.isUpstreamInService(seat.id) && this.serves(seat));
	}

	/** Notes that a task goes to a seat. */
	send(seat: Seat): void {
		seat.mine++;
		if (seat.health.ejectedUntil > 0) {
			seat.health = startProbe(seat.health);
		}
	}

	/** Notes that a task came back from a seat, and how the place stands now. */
	receive(seat: Seat, reply: StartReply | undefined): void {
		seat.mine--;
		const attendance = this.attendances.get(seat.session);
		if (reply?.place) {
			this.update(seat, reply.place);
		}

		if (reply && attendance) {
			attendance.lastHeardAt = this.parts.clock.mono();
			attendance.doubtedUntil = 0;
			attendance.stamp = reply.stamp;
		}
	}

	/** What a start to a session says of the configuration. */
	echo(session: string): Echo | undefined {
		const attendance = this.attendances.get(session);
		if (!attendance || this.gone(session)) {
			return undefined;
		}

		const {feed} = this.parts;
		return create(EchoSchema, {
			entry: this.parts.address(),
			stamp: attendance.stamp,
			ageMs: feed.ageAt(attendance.lastHeardAt),
			readable: feed.readable,
			pending: feed.pending,
			version: feed.config.version,
			sessionsVersion: feed.sessionsVersion,
		});
	}

	/** Notes that a session failed to answer, so that nothing new goes there for a while unless it is heard. */
	doubt(session: string): void {
		const attendance = this.attendances.get(session);
		if (attendance) {
			attendance.doubtedUntil = this.parts.clock.mono() + doubtMs;
		}
	}

	/** Notes whether a place did its work. */
	judge(seat: Seat, ok: boolean): void {
		const pool = seat.report.pools[0] ?? '';
		const others = this.serving(pool);
		const ejected = others.filter(other => other.health.ejectedUntil > 0).length;
		seat.health = recordResult(seat.health, ok, this.parts.clock.mono(), (ejected + 1) * 2 <= others.length);
	}

	/** Whether a session has ended, so that nothing more can be asked of it. */
	gone(session: string): boolean {
		return this.parts.feed.sessions.get(session)?.value.ended !== undefined;
	}

	/** Whether a sidecar has been silent for so long that nothing is expected of it. */
	silent(session: string): boolean {
		const attendance = this.attendances.get(session);
		return !attendance || livenessOf(attendance, this.parts.clock.mono()) === 'gone';
	}

	/** Whether a sidecar session announces itself to this entry, by the choice that it makes too. */
	mine(session: string): boolean {
		const {entries, known} = this.duty;
		const mine = known.get(session) ?? entrySubset(session, entries).includes(this.parts.address());
		known.set(session, mine);
		return mine;
	}

	/** Moves sidecars from live to suspected to gone, and returns the sessions silent for so long that they count as lost. */
	sweep(): string[] {
		const now = this.parts.clock.mono();
		for (const [session, attendance] of this.attendances) {
			if (this.gone(session)) {
				this.remove(session);
			} else if (livenessOf(attendance, now) === 'gone') {
				this.unseat(session);
			}
		}

		return this.lost(now);
	}

	/** How many sidecars have this configuration in force, of how many. */
	inForce(version: number): {inForce: number; known: number} {
		const now = this.parts.clock.mono();
		const live = [...this.attendances.values()].filter(attendance => livenessOf(attendance, now) === 'live');
		return {inForce: live.filter(attendance => attendance.version >= version).length, known: live.length};
	}

	/** Silence counts from when it was noticed that a session should be heard here and is not. */
	private lost(now: number): string[] {
		const {feed} = this.parts;
		const silent = feed.sidecars().map(row => row.key).filter(session => !this.live(session, now) && this.mine(session));
		const missed = new Map(silent.map(session => [session, this.missed.get(session) ?? now]));
		this.missed = missed;
		return silent.filter(session => now - missed.get(session)! > lostAfterMs);
	}

	/** How many more tasks this entry may send to a seat whatever the others do: the slots are shared out among the entries that see it. */
	private shareLeft({
		id, session, report, mine,
	}: Seat): number {
		const {entries, shares} = this.duty;
		const share = shares.get(id) ?? slotShare(id, report.slots, entrySubset(session, entries), this.parts.address());
		shares.set(id, share);
		return Math.max(0, share - mine);
	}

	/**
	 * The tasks at a seat for a choice. Of an upstream's they are no more than leave this entry its share;
	 * beyond its share, one more than were told, since the others fill theirs without a word.
	 */
	private runningAt(seat: Seat): number {
		const running = runningAt(seat);
		if (seat.report.kind === 'worker') {
			return running;
		}

		const left = this.shareLeft(seat);
		if (left > 0) {
			return Math.min(running, seat.report.slots - left);
		}

		return running > seat.mine ? running + 1 : running;
	}

	/** What follows from the sessions, worked out anew when they change. */
	private get duty(): Duties {
		const {feed} = this.parts;
		if (this.duties.version !== feed.sessionsVersion) {
			this.duties = {
				version: feed.sessionsVersion, entries: feed.entries().map(row => row.value.address), known: new Map(), shares: new Map(),
			};
		}

		return this.duties;
	}

	private serves(seat: Seat): boolean {
		const attendance = this.attendances.get(seat.session);
		return attendance !== undefined && !attendance.draining && this.live(seat.session, this.parts.clock.mono());
	}

	private live(session: string, now: number): boolean {
		const attendance = this.attendances.get(session);
		return attendance !== undefined && livenessOf(attendance, now) === 'live';
	}

	private attend(request: BeatRequest): void {
		const now = this.parts.clock.mono();
		this.attendances.set(request.session, {
			lastHeardAt: now,
			stamp: request.stamp,
			address: request.address,
			zone: request.zone,
			draining: request.draining,
			version: request.version,
			doubtedUntil: 0,
		});
		for (const report of request.places) {
			this.seat(request, report, now);
		}

		const names = new Set(request.places.map(place => place.name));
		for (const seat of this.seats.values()) {
			if (seat.session === request.session && !names.has(seat.id)) {
				this.seats.delete(seat.id);
			}
		}

		this.parts.changed(request.places.flatMap(place => place.pools));
	}

	private seat(request: BeatRequest, report: Place, now: number): void {
		const known = this.seats.get(report.name);
		if (known?.session === request.session) {
			this.update(known, report);
			return;
		}

		const joining = now - this.started > lostAfterMs;
		this.seats.set(report.name, {
			id: report.name,
			session: request.session,
			address: request.address,
			zone: request.zone,
			report,
			mine: 0,
			mineThen: 0,
			health: notEjected,
			returned: joining ? now : undefined,
			notBefore: 0,
		});
	}

	private update(seat: Seat, report: Place): void {
		seat.report = report;
		seat.mineThen = seat.mine;
	}

	private remove(session: string): void {
		this.attendances.delete(session);
		this.unseat(session);
	}

	private unseat(session: string): void {
		for (const seat of this.seats.values()) {
			if (seat.session === session) {
				this.seats.delete(seat.id);
			}
		}
	}
}

/** The tasks at a seat: this entry's own, and others' as far as they were told. */
function runningAt(seat: Seat): number {
	const others = Math.max(0, seat.report.running + seat.report.queued - seat.mineThen);
	return others + seat.mine;
}

/** How many more tasks of a size a worker has room for, less what was sent since it reported. */
function roomFor({report, mine, mineThen}: Seat, size: TaskSize): number {
	const parts = [
		size.cores > 0 ? report.freeCores / size.cores : Number.POSITIVE_INFINITY,
		size.memoryMb > 0 ? report.freeMemoryMb / size.memoryMb : Number.POSITIVE_INFINITY,
		size.accelerators > 0 ? report.freeAccelerators / size.accelerators : Number.POSITIVE_INFINITY,
	];
	const room = Math.floor(Math.min(...parts, 256)) - Math.max(0, mine - mineThen);
	return report.running === 0 && mine === 0 ? Math.max(1, room) : Math.max(0, room);
}
