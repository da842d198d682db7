import {create} from '@bufbuild/protobuf';
import {
	BeatReplySchema, EchoSchema, type BeatReply, type BeatRequest, type Echo, type Place, type StartReply,
} from '../../gen/sniperidge/v1/peer_pb.js';
import {entrySubset} from '../decide/announce.js';
import {encodeSnapshot} from '../adapters/snapshot.js';
import {
	notEjected, recordResult, startProbe, availabilityOf, type Ejection,
} from '../decide/eject.js';
import {
	lostAfterMs, livenessOf, type LastContact,
} from '../decide/liveness.js';
import {slotShare, type Candidate} from '../decide/placement.js';
import type {Clock} from '../ports/clock.js';
import type {TableWatcher} from './table-watcher.js';

/** Seat is a place as this entry sees it: a sidecar's upstream or worker. */
export type PlaceState = {
	/** The place's name; a place that comes back keeps what was learned of it. */
	id: string;
	session: string;
	address: string;
	zone: string;
	/** How the place stood when last told. */
	report: Place;
	/** The tasks that this entry has there. */
	inFlight: number;
	/** The tasks that this entry had there when the report came. */
	inFlightAtReport: number;
	ejection: Ejection;
	returnedAt?: number;
	notBefore: number;
};

/** Attendance is a sidecar session as this entry sees it. */
export type SidecarState = LastContact & {
	address: string;
	zone: string;
	draining: boolean;
	version: number;
	/** The sidecar's clock when it last spoke, to be echoed. */
	stamp: number;
	/** Monotonic milliseconds before which nothing new goes there because it failed to answer. */
	unresponsiveUntil: number;
};

/** TaskSize is what a task takes of a worker. */
export type Resources = {cores: number; memoryMb: number; accelerators: number};

/** How long a sidecar that failed to answer gets no new work, in milliseconds. */
const doubtMs = 1000;
/** How long a place that refused for being full is passed over, in milliseconds. */
export const fullPauseMs = 15;
/** How long a place that cannot start anything now is passed over, in milliseconds. */
export const unavailablePauseMs = 300;

/** Parts is what a roster is made of; `changed` is told the pools whose places may have changed. */
export type Dependencies = {clock: Clock; watcher: TableWatcher; session: string; address: () => string; onPlacesChange: (pools: Iterable<string>) => void};

type Duties = {version: number; entries: readonly string[]; known: Map<string, boolean>; shares: Map<string, number>};

/** Roster is the sidecars that announce themselves to this entry, and their places. */
export class SidecarDirectory {
	static create(parts: Dependencies): SidecarDirectory {
		return new SidecarDirectory(parts);
	}

	readonly places = new Map<string, PlaceState>();
	readonly sidecars = new Map<string, SidecarState>();
	private readonly started: number;
	/** The sessions that should be heard here and are not, and since when. */
	private missed: ReadonlyMap<string, number> = new Map();
	/** Which sessions announce themselves here, as worked out from one version of the sessions. */
	private duties: Duties = {
		version: -1, entries: [], known: new Map(), shares: new Map(),
	};

	private constructor(private readonly parts: Dependencies) {
		this.started = parts.clock.mono();
	}

	/** Takes a sidecar's announcement and answers with the configuration it lacks. */
	handleHeartbeat(request: BeatRequest): BeatReply {
		const {watcher: feed} = this.parts;
		const ended = feed.sessions.get(request.session)?.value.ended !== undefined;
		if (!ended) {
			this.attend(request);
		}

		return create(BeatReplySchema, {
			session: this.parts.session,
			stamp: request.stamp,
			ageMs: feed.ageMs,
			readable: feed.readable,
			pending: feed.isChangePending,
			version: feed.config.version,
			snapshot: request.version < feed.config.version ? encodeSnapshot(feed.config) : undefined,
			ended,
			sessionsVersion: feed.sessionsVersion,
			...(request.sessionsVersion === feed.sessionsVersion ? {} : {entries: feed.liveEntries().map(row => row.value.address), neighbours: feed.neighbours(request.zone)}),
		});
	}

	/** Lists the places of a pool that may get a task of this size, as candidates for the choice. */
	candidates(pool: string, size: Resources, slowness: (seat: PlaceState) => number): Candidate[] {
		const now = this.parts.clock.mono();
		return this.placesInService(pool).map(seat => {
			const running = this.runningAt(seat);
			return {
				id: seat.id,
				zone: seat.zone,
				slots: seat.report.kind === 'worker' ? running + roomFor(seat, size) : seat.report.slots,
				running,
				reserved: 0,
				slowness: slowness(seat),
				availability: availabilityOf(seat.ejection, now),
				returnedAt: seat.returnedAt,
				blockedUntil: Math.max(seat.notBefore, this.sidecars.get(seat.session)!.unresponsiveUntil),
			};
		});
	}

	/** The seats of a pool that are in service, whether free or not. */
	placesInService(pool: string): PlaceState[] {
		const {config} = this.parts.watcher;
		return [...this.places.values()].filter(seat => seat.report.pools.includes(pool) && config.isZoneInService(seat.zone) && config.isUpstreamInService(seat.id) && this.serves(seat));
	}

	/** Notes that a task goes to a seat. */
	recordStart(seat: PlaceState): void {
		seat.inFlight++;
		if (seat.ejection.ejectedUntil > 0) {
			seat.ejection = startProbe(seat.ejection);
		}
	}

	/** Notes that a task came back from a seat, and how the place stands now. */
	recordReply(seat: PlaceState, reply: StartReply | undefined): void {
		seat.inFlight--;
		const attendance = this.sidecars.get(seat.session);
		if (reply?.place) {
			this.update(seat, reply.place);
		}

		if (reply && attendance) {
			attendance.lastHeardAt = this.parts.clock.mono();
			attendance.unresponsiveUntil = 0;
			attendance.stamp = reply.stamp;
		}
	}

	/** What a start to a session says of the configuration. */
	echo(session: string): Echo | undefined {
		const attendance = this.sidecars.get(session);
		if (!attendance || this.gone(session)) {
			return undefined;
		}

		const {watcher: feed} = this.parts;
		return create(EchoSchema, {
			entry: this.parts.address(),
			stamp: attendance.stamp,
			ageMs: feed.ageAt(attendance.lastHeardAt),
			readable: feed.readable,
			pending: feed.isChangePending,
			version: feed.config.version,
			sessionsVersion: feed.sessionsVersion,
		});
	}

	/** Notes that a session failed to answer, so that nothing new goes there for a while unless it is heard. */
	doubt(session: string): void {
		const attendance = this.sidecars.get(session);
		if (attendance) {
			attendance.unresponsiveUntil = this.parts.clock.mono() + doubtMs;
		}
	}

	/** Notes whether a place did its work. */
	recordOutcome(seat: PlaceState, ok: boolean): void {
		const pool = seat.report.pools[0] ?? '';
		const others = this.placesInService(pool);
		const ejected = others.filter(other => other.ejection.ejectedUntil > 0).length;
		seat.ejection = recordResult(seat.ejection, ok, this.parts.clock.mono(), (ejected + 1) * 2 <= others.length);
	}

	/** Whether a session has ended, so that nothing more can be asked of it. */
	gone(session: string): boolean {
		return this.parts.watcher.sessions.get(session)?.value.ended !== undefined;
	}

	/** Whether a sidecar has been silent for so long that nothing is expected of it. */
	silent(session: string): boolean {
		const attendance = this.sidecars.get(session);
		return !attendance || livenessOf(attendance, this.parts.clock.mono()) === 'gone';
	}

	/** Whether a sidecar session announces itself to this entry, by the choice that it makes too. */
	isAssigned(session: string): boolean {
		const {entries, known} = this.duty;
		const mine = known.get(session) ?? entrySubset(session, entries).includes(this.parts.address());
		known.set(session, mine);
		return mine;
	}

	/** Moves sidecars from live to suspected to gone, and returns the sessions silent for so long that they count as lost. */
	sweep(): string[] {
		const now = this.parts.clock.mono();
		for (const [session, attendance] of this.sidecars) {
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
		const live = [...this.sidecars.values()].filter(attendance => livenessOf(attendance, now) === 'live');
		return {inForce: live.filter(attendance => attendance.version >= version).length, known: live.length};
	}

	/** Silence counts from when it was noticed that a session should be heard here and is not. */
	private lost(now: number): string[] {
		const {watcher: feed} = this.parts;
		const silent = feed.liveSidecars().map(row => row.key).filter(session => !this.live(session, now) && this.isAssigned(session));
		const missed = new Map(silent.map(session => [session, this.missed.get(session) ?? now]));
		this.missed = missed;
		return silent.filter(session => now - missed.get(session)! > lostAfterMs);
	}

	/** How many more tasks this entry may send to a seat whatever the others do: the slots are shared out among the entries that see it. */
	private shareLeft({
		id, session, report, inFlight: mine,
	}: PlaceState): number {
		const {entries, shares} = this.duty;
		const share = shares.get(id) ?? slotShare(id, report.slots, entrySubset(session, entries), this.parts.address());
		shares.set(id, share);
		return Math.max(0, share - mine);
	}

	/**
	 * The tasks at a seat for a choice. Of an upstream's they are no more than leave this entry its share;
	 * beyond its share, one more than were told, since the others fill theirs without a word.
	 */
	private runningAt(seat: PlaceState): number {
		const running = runningAt(seat);
		if (seat.report.kind === 'worker') {
			return running;
		}

		const left = this.shareLeft(seat);
		if (left > 0) {
			return Math.min(running, seat.report.slots - left);
		}

		return running > seat.inFlight ? running + 1 : running;
	}

	/** What follows from the sessions, worked out anew when they change. */
	private get duty(): Duties {
		const {watcher: feed} = this.parts;
		if (this.duties.version !== feed.sessionsVersion) {
			this.duties = {
				version: feed.sessionsVersion, entries: feed.liveEntries().map(row => row.value.address), known: new Map(), shares: new Map(),
			};
		}

		return this.duties;
	}

	private serves(seat: PlaceState): boolean {
		const attendance = this.sidecars.get(seat.session);
		return attendance !== undefined && !attendance.draining && this.live(seat.session, this.parts.clock.mono());
	}

	private live(session: string, now: number): boolean {
		const attendance = this.sidecars.get(session);
		return attendance !== undefined && livenessOf(attendance, now) === 'live';
	}

	private attend(request: BeatRequest): void {
		const now = this.parts.clock.mono();
		this.sidecars.set(request.session, {
			lastHeardAt: now,
			stamp: request.stamp,
			address: request.address,
			zone: request.zone,
			draining: request.draining,
			version: request.version,
			unresponsiveUntil: 0,
		});
		for (const report of request.places) {
			this.seat(request, report, now);
		}

		const names = new Set(request.places.map(place => place.name));
		for (const seat of this.places.values()) {
			if (seat.session === request.session && !names.has(seat.id)) {
				this.places.delete(seat.id);
			}
		}

		this.parts.onPlacesChange(request.places.flatMap(place => place.pools));
	}

	private seat(request: BeatRequest, report: Place, now: number): void {
		const known = this.places.get(report.name);
		if (known?.session === request.session) {
			this.update(known, report);
			return;
		}

		const joining = now - this.started > lostAfterMs;
		this.places.set(report.name, {
			id: report.name,
			session: request.session,
			address: request.address,
			zone: request.zone,
			report,
			inFlight: 0,
			inFlightAtReport: 0,
			ejection: notEjected,
			returnedAt: joining ? now : undefined,
			notBefore: 0,
		});
	}

	private update(seat: PlaceState, report: Place): void {
		seat.report = report;
		seat.inFlightAtReport = seat.inFlight;
	}

	private remove(session: string): void {
		this.sidecars.delete(session);
		this.unseat(session);
	}

	private unseat(session: string): void {
		for (const seat of this.places.values()) {
			if (seat.session === session) {
				this.places.delete(seat.id);
			}
		}
	}
}

/** The tasks at a seat: this entry's own, and others' as far as they were told. */
function runningAt(seat: PlaceState): number {
	const others = Math.max(0, seat.report.running + seat.report.queued - seat.inFlightAtReport);
	return others + seat.inFlight;
}

/** How many more tasks of a size a worker has room for, less what was sent since it reported. */
function roomFor({report, inFlight: mine, inFlightAtReport: mineThen}: PlaceState, size: Resources): number {
	const parts = [
		size.cores > 0 ? report.freeCores / size.cores : Number.POSITIVE_INFINITY,
		size.memoryMb > 0 ? report.freeMemoryMb / size.memoryMb : Number.POSITIVE_INFINITY,
		size.accelerators > 0 ? report.freeAccelerators / size.accelerators : Number.POSITIVE_INFINITY,
	];
	const room = Math.floor(Math.min(...parts, 256)) - Math.max(0, mine - mineThen);
	return report.running === 0 && mine === 0 ? Math.max(1, room) : Math.max(0, room);
}
