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
const unresponsiveMs = 1000;
/** How long a place that refused for being full is passed over, in milliseconds. */
export const fullPauseMs = 15;
/** How long a place that cannot start anything now is passed over, in milliseconds. */
export const unavailablePauseMs = 300;

/** Parts is what a roster is made of; `changed` is told the pools whose places may have changed. */
export type Dependencies = {clock: Clock; watcher: TableWatcher; session: string; address: () => string; onPlacesChange: (pools: Iterable<string>) => void};

type Assignments = {version: number; entries: readonly string[]; assigned: Map<string, boolean>; shares: Map<string, number>};

/** Roster is the sidecars that announce themselves to this entry, and their places. */
export class SidecarDirectory {
	static create(dependencies: Dependencies): SidecarDirectory {
		return new SidecarDirectory(dependencies);
	}

	readonly places = new Map<string, PlaceState>();
	readonly sidecars = new Map<string, SidecarState>();
	private readonly startedAt: number;
	/** The sessions that should be heard here and are not, and since when. */
	private missingSince: ReadonlyMap<string, number> = new Map();
	/** Which sessions announce themselves here, as worked out from one version of the sessions. */
	private cachedAssignments: Assignments = {
		version: -1, entries: [], assigned: new Map(), shares: new Map(),
	};

	private constructor(private readonly dependencies: Dependencies) {
		this.startedAt = dependencies.clock.mono();
	}

	/** Takes a sidecar's announcement and answers with the configuration it lacks. */
	handleHeartbeat(request: BeatRequest): BeatReply {
		const {watcher} = this.dependencies;
		const ended = watcher.sessions.get(request.session)?.value.ended !== undefined;
		if (!ended) {
			this.updateSidecar(request);
		}

		return create(BeatReplySchema, {
			session: this.dependencies.session,
			stamp: request.stamp,
			ageMs: watcher.ageMs,
			readable: watcher.readable,
			pending: watcher.isChangePending,
			version: watcher.config.version,
			snapshot: request.version < watcher.config.version ? encodeSnapshot(watcher.config) : undefined,
			ended,
			sessionsVersion: watcher.sessionsVersion,
			...(request.sessionsVersion === watcher.sessionsVersion ? {} : {entries: watcher.liveEntries().map(row => row.value.address), neighbours: watcher.neighbours(request.zone)}),
		});
	}

	/** Lists the places of a pool that may get a task of this size, as candidates for the choice. */
	candidates(pool: string, resources: Resources, slowness: (place: PlaceState) => number): Candidate[] {
		const now = this.dependencies.clock.mono();
		return this.placesInService(pool).map(place => {
			const running = this.effectiveRunning(place);
			return {
				id: place.id,
				zone: place.zone,
				slots: place.report.kind === 'worker' ? running + freeSlotsFor(place, resources) : place.report.slots,
				running,
				reserved: 0,
				slowness: slowness(place),
				availability: availabilityOf(place.ejection, now),
				returnedAt: place.returnedAt,
				blockedUntil: Math.max(place.notBefore, this.sidecars.get(place.session)!.unresponsiveUntil),
			};
		});
	}

	/** The seats of a pool that are in service, whether free or not. */
	placesInService(pool: string): PlaceState[] {
		const {config} = this.dependencies.watcher;
		return [...this.places.values()].filter(place => place.report.pools.includes(pool) && config.isZoneInService(place.zone) && config.isUpstreamInService(place.id) && this.isServing(place));
	}

	/** Notes that a task goes to a seat. */
	recordStart(place: PlaceState): void {
		place.inFlight++;
		if (place.ejection.ejectedUntil > 0) {
			place.ejection = startProbe(place.ejection);
		}
	}

	/** Notes that a task came back from a seat, and how the place stands now. */
	recordReply(place: PlaceState, reply: StartReply | undefined): void {
		place.inFlight--;
		const sidecar = this.sidecars.get(place.session);
		if (reply?.place) {
			this.updateReport(place, reply.place);
		}

		if (reply && sidecar) {
			sidecar.lastHeardAt = this.dependencies.clock.mono();
			sidecar.unresponsiveUntil = 0;
			sidecar.stamp = reply.stamp;
		}
	}

	/** What a start to a session says of the configuration. */
	echo(session: string): Echo | undefined {
		const sidecar = this.sidecars.get(session);
		if (!sidecar || this.hasEnded(session)) {
			return undefined;
		}

		const {watcher} = this.dependencies;
		return create(EchoSchema, {
			entry: this.dependencies.address(),
			stamp: sidecar.stamp,
			ageMs: watcher.ageAt(sidecar.lastHeardAt),
			readable: watcher.readable,
			pending: watcher.isChangePending,
			version: watcher.config.version,
			sessionsVersion: watcher.sessionsVersion,
		});
	}

	/** Notes that a session failed to answer, so that nothing new goes there for a while unless it is heard. */
	markUnresponsive(session: string): void {
		const sidecar = this.sidecars.get(session);
		if (sidecar) {
			sidecar.unresponsiveUntil = this.dependencies.clock.mono() + unresponsiveMs;
		}
	}

	/** Notes whether a place did its work. */
	recordOutcome(place: PlaceState, ok: boolean): void {
		const pool = place.report.pools[0] ?? '';
		const others = this.placesInService(pool);
		const ejected = others.filter(other => other.ejection.ejectedUntil > 0).length;
		place.ejection = recordResult(place.ejection, ok, this.dependencies.clock.mono(), (ejected + 1) * 2 <= others.length);
	}

	/** Whether a session has ended, so that nothing more can be asked of it. */
	hasEnded(session: string): boolean {
		return this.dependencies.watcher.sessions.get(session)?.value.ended !== undefined;
	}

	/** Whether a sidecar has been silent for so long that nothing is expected of it. */
	isLost(session: string): boolean {
		const sidecar = this.sidecars.get(session);
		return !sidecar || livenessOf(sidecar, this.dependencies.clock.mono()) === 'gone';
	}

	/** Whether a sidecar session announces itself to this entry, by the choice that it makes too. */
	isAssigned(session: string): boolean {
		const {entries, assigned} = this.assignments;
		const isMine = assigned.get(session) ?? entrySubset(session, entries).includes(this.dependencies.address());
		assigned.set(session, isMine);
		return isMine;
	}

	/** Moves sidecars from live to suspected to gone, and returns the sessions silent for so long that they count as lost. */
	sweep(): string[] {
		const now = this.dependencies.clock.mono();
		for (const [session, sidecar] of this.sidecars) {
			if (this.hasEnded(session)) {
				this.removeSidecar(session);
			} else if (livenessOf(sidecar, now) === 'gone') {
				this.removePlaces(session);
			}
		}

		return this.lostSessions(now);
	}

	/** How many sidecars have this configuration in force, of how many. */
	inForce(version: number): {inForce: number; known: number} {
		const now = this.dependencies.clock.mono();
		const liveSidecars = [...this.sidecars.values()].filter(sidecar => livenessOf(sidecar, now) === 'live');
		return {inForce: liveSidecars.filter(sidecar => sidecar.version >= version).length, known: liveSidecars.length};
	}

	/** Silence counts from when it was noticed that a session should be heard here and is not. */
	private lostSessions(now: number): string[] {
		const {watcher} = this.dependencies;
		const silentSessions = watcher.liveSidecars().map(row => row.key).filter(session => !this.isLive(session, now) && this.isAssigned(session));
		const missingSince = new Map(silentSessions.map(session => [session, this.missingSince.get(session) ?? now]));
		this.missingSince = missingSince;
		return silentSessions.filter(session => now - missingSince.get(session)! > lostAfterMs);
	}

	/** How many more tasks this entry may send to a seat whatever the others do: the slots are shared out among the entries that see it. */
	private shareLeft({
		id, session, report, inFlight,
	}: PlaceState): number {
		const {entries, shares} = this.assignments;
		const share = shares.get(id) ?? slotShare(id, report.slots, entrySubset(session, entries), this.dependencies.address());
		shares.set(id, share);
		return Math.max(0, share - inFlight);
	}

	/**
	 * The tasks at a seat for a choice. Of an upstream's they are no more than leave this entry its share;
	 * beyond its share, one more than were told, since the others fill theirs without a word.
	 */
	private effectiveRunning(place: PlaceState): number {
		const running = reportedRunning(place);
		if (place.report.kind === 'worker') {
			return running;
		}

		const ownShareLeft = this.shareLeft(place);
		if (ownShareLeft > 0) {
			return Math.min(running, place.report.slots - ownShareLeft);
		}

		return running > place.inFlight ? running + 1 : running;
	}

	/** What follows from the sessions, worked out anew when they change. */
	private get assignments(): Assignments {
		const {watcher} = this.dependencies;
		if (this.cachedAssignments.version !== watcher.sessionsVersion) {
			this.cachedAssignments = {
				version: watcher.sessionsVersion, entries: watcher.liveEntries().map(row => row.value.address), assigned: new Map(), shares: new Map(),
			};
		}

		return this.cachedAssignments;
	}

	private isServing(place: PlaceState): boolean {
		const sidecar = this.sidecars.get(place.session);
		return sidecar !== undefined && !sidecar.draining && this.isLive(place.session, this.dependencies.clock.mono());
	}

	private isLive(session: string, now: number): boolean {
		const sidecar = this.sidecars.get(session);
		return sidecar !== undefined && livenessOf(sidecar, now) === 'live';
	}

	private updateSidecar(request: BeatRequest): void {
		const now = this.dependencies.clock.mono();
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
			this.updatePlace(request, report, now);
		}

		const names = new Set(request.places.map(place => place.name));
		for (const place of this.places.values()) {
			if (place.session === request.session && !names.has(place.id)) {
				this.places.delete(place.id);
			}
		}

		this.dependencies.onPlacesChange(request.places.flatMap(place => place.pools));
	}

	private updatePlace(request: BeatRequest, report: Place, now: number): void {
		const existing = this.places.get(report.name);
		if (existing?.session === request.session) {
			this.updateReport(existing, report);
			return;
		}

		const joining = now - this.startedAt > lostAfterMs;
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

	private updateReport(place: PlaceState, report: Place): void {
		place.report = report;
		place.inFlightAtReport = place.inFlight;
	}

	private removeSidecar(session: string): void {
		this.sidecars.delete(session);
		this.removePlaces(session);
	}

	private removePlaces(session: string): void {
		for (const place of this.places.values()) {
			if (place.session === session) {
				this.places.delete(place.id);
			}
		}
	}
}

/** The tasks at a seat: this entry's own, and others' as far as they were told. */
function reportedRunning(place: PlaceState): number {
	const others = Math.max(0, place.report.running + place.report.queued - place.inFlightAtReport);
	return others + place.inFlight;
}

/** How many more tasks of a size a worker has room for, less what was sent since it reported. */
function freeSlotsFor({report, inFlight, inFlightAtReport}: PlaceState, resources: Resources): number {
	const limits = [
		resources.cores > 0 ? report.freeCores / resources.cores : Number.POSITIVE_INFINITY,
		resources.memoryMb > 0 ? report.freeMemoryMb / resources.memoryMb : Number.POSITIVE_INFINITY,
		resources.accelerators > 0 ? report.freeAccelerators / resources.accelerators : Number.POSITIVE_INFINITY,
	];
	const remaining = Math.floor(Math.min(...limits, 256)) - Math.max(0, inFlight - inFlightAtReport);
	return report.running === 0 && inFlight === 0 ? Math.max(1, remaining) : Math.max(0, remaining);
}
