import {create} from '@bufbuild/protobuf';
import {
	BeatReplySchema, EchoSchema, type BeatReply, type BeatRequest, type Echo, type Place, type StartReply,
} from '../../gen/sniperidge/v1/peer_pb.js';
import {entrySubset} from '../decide/announce.js';
import {encodeSnapshot} from '../adapters/snapshot.js';
import {
	notEjected, recordResult, startProbe, availabilityOf, type Ejection,
} from '../decide/outlier-ejection.js';
import {
	lostAfterMs, livenessOf, type LastContact,
} from '../decide/liveness.js';
import {slotShare, type Candidate} from '../decide/placement.js';
import type {Clock} from '../ports/clock.js';
import type {TableWatcher} from './table-watcher.js';

/** PlaceState is this entry's record of one place: an upstream or worker of a sidecar. */
export type PlaceState = {
	/** The place's name. What was learned about a place is kept under it when the place returns. */
	id: string;
	session: string;
	address: string;
	zone: string;
	/** The place's most recent report. */
	report: Place;
	/** This entry's tasks in flight at the place. */
	inFlight: number;
	/** This entry's tasks in flight there when the report arrived. */
	inFlightAtReport: number;
	ejection: Ejection;
	returnedAt?: number;
	notBefore: number;
};

/** SidecarState is this entry's record of one sidecar session. */
export type SidecarState = LastContact & {
	address: string;
	zone: string;
	draining: boolean;
	version: number;
	/** The sidecar's clock at its last message, to be echoed. */
	stamp: number;
	/** Monotonic milliseconds before which no new task is sent there, because it failed to answer. */
	unresponsiveUntil: number;
};

/** Resources are the cores, memory and accelerators that a task needs from a worker. */
export type Resources = {cores: number; memoryMb: number; accelerators: number};

/** How long a sidecar that failed to answer gets no new work, in milliseconds. */
const unresponsiveMs = 1000;
/** How long a place that refused a task because it was full is skipped, in milliseconds. */
export const fullPauseMs = 15;
/** How long a place that refused a task for any other reason is skipped, in milliseconds. */
export const unavailablePauseMs = 300;

/** Dependencies of the directory; `onPlacesChange` receives the pools whose places may have changed. */
export type Dependencies = {clock: Clock; watcher: TableWatcher; session: string; address: () => string; onPlacesChange: (pools: Iterable<string>) => void};

type Assignments = {version: number; entries: readonly string[]; assigned: Map<string, boolean>; shares: Map<string, number>};

/** SidecarDirectory holds the sidecars that send heartbeats to this entry, and their places. */
export class SidecarDirectory {
	static create(dependencies: Dependencies): SidecarDirectory {
		return new SidecarDirectory(dependencies);
	}

	readonly places = new Map<string, PlaceState>();
	readonly sidecars = new Map<string, SidecarState>();
	private readonly startedAt: number;
	/** The sessions that should send heartbeats here and do not, with the time at which this was noticed. */
	private missingSince: ReadonlyMap<string, number> = new Map();
	/** Which sessions send heartbeats to this entry, and its shares of their slots, cached for one version of the sessions. */
	private cachedAssignments: Assignments = {
		version: -1, entries: [], assigned: new Map(), shares: new Map(),
	};

	private constructor(private readonly dependencies: Dependencies) {
		this.startedAt = dependencies.clock.mono();
	}

	/** Handles a sidecar's heartbeat and replies with the configuration that it lacks. */
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

	/** Lists the places of a pool as candidates for a task that needs these resources. */
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

	/** The places of a pool that are in service, whether free or not. */
	placesInService(pool: string): PlaceState[] {
		const {config} = this.dependencies.watcher;
		return [...this.places.values()].filter(place => place.report.pools.includes(pool) && config.isZoneInService(place.zone) && config.isUpstreamInService(place.id) && this.isServing(place));
	}

	/** Records that a task is sent to a place. */
	recordStart(place: PlaceState): void {
		place.inFlight++;
		if (place.ejection.ejectedUntil > 0) {
			place.ejection = startProbe(place.ejection);
		}
	}

	/** Records that a task sent to a place has returned, and the place's report in the reply. */
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

	/** Returns the state of the configuration that a start carries to a session. */
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

	/** Records that a session failed to answer: it gets no new tasks for a while, unless it is heard again. */
	markUnresponsive(session: string): void {
		const sidecar = this.sidecars.get(session);
		if (sidecar) {
			sidecar.unresponsiveUntil = this.dependencies.clock.mono() + unresponsiveMs;
		}
	}

	/** Records whether a place completed a task. At most half of a pool's places are ejected. */
	recordOutcome(place: PlaceState, ok: boolean): void {
		const pool = place.report.pools[0] ?? '';
		const others = this.placesInService(pool);
		const ejected = others.filter(other => other.ejection.ejectedUntil > 0).length;
		place.ejection = recordResult(place.ejection, ok, this.dependencies.clock.mono(), (ejected + 1) * 2 <= others.length);
	}

	/** Whether a session has ended, so that requests to it are pointless. */
	hasEnded(session: string): boolean {
		return this.dependencies.watcher.sessions.get(session)?.value.ended !== undefined;
	}

	/** Whether a sidecar is unknown here or has been silent for so long that it counts as lost. */
	isLost(session: string): boolean {
		const sidecar = this.sidecars.get(session);
		return !sidecar || livenessOf(sidecar, this.dependencies.clock.mono()) === 'gone';
	}

	/** Whether a sidecar session sends heartbeats to this entry, computed in the same way as the sidecar does. */
	isAssigned(session: string): boolean {
		const {entries, assigned} = this.assignments;
		const isMine = assigned.get(session) ?? entrySubset(session, entries).includes(this.dependencies.address());
		assigned.set(session, isMine);
		return isMine;
	}

	/** Removes ended sidecars and the places of silent ones, and returns the sessions silent for so long that they count as lost. */
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

	/** How many of the live sidecars have applied this version of the configuration, and how many are live. */
	inForce(version: number): {inForce: number; known: number} {
		const now = this.dependencies.clock.mono();
		const liveSidecars = [...this.sidecars.values()].filter(sidecar => livenessOf(sidecar, now) === 'live');
		return {inForce: liveSidecars.filter(sidecar => sidecar.version >= version).length, known: liveSidecars.length};
	}

	/** The silence of a session counts from when this entry noticed that it should be heard here and is not. */
	private lostSessions(now: number): string[] {
		const {watcher} = this.dependencies;
		const silentSessions = watcher.liveSidecars().map(row => row.key).filter(session => !this.isLive(session, now) && this.isAssigned(session));
		const missingSince = new Map(silentSessions.map(session => [session, this.missingSince.get(session) ?? now]));
		this.missingSince = missingSince;
		return silentSessions.filter(session => now - missingSince.get(session)! > lostAfterMs);
	}

	/** How many more tasks this entry may send to a place regardless of other entries: its slots are divided among the entries that see it. */
	private shareLeft({
		id, session, report, inFlight,
	}: PlaceState): number {
		const {entries, shares} = this.assignments;
		const share = shares.get(id) ?? slotShare(id, report.slots, entrySubset(session, entries), this.dependencies.address());
		shares.set(id, share);
		return Math.max(0, share - inFlight);
	}

	/**
	 * The tasks counted at a place for a placement decision. For an upstream the count is capped so that
	 * this entry's share of the slots stays free. Beyond its share it is one more than reported, since
	 * other entries fill their shares unannounced.
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

	/** The assignments, recomputed when the sessions change. */
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

/** The tasks at a place: this entry's own, and those of other entries according to the last report. */
function reportedRunning(place: PlaceState): number {
	const others = Math.max(0, place.report.running + place.report.queued - place.inFlightAtReport);
	return others + place.inFlight;
}

/** How many more tasks with these needs fit a worker, less those sent since its report. An idle worker always counts as having one free slot. */
function freeSlotsFor({report, inFlight, inFlightAtReport}: PlaceState, resources: Resources): number {
	const limits = [
		resources.cores > 0 ? report.freeCores / resources.cores : Number.POSITIVE_INFINITY,
		resources.memoryMb > 0 ? report.freeMemoryMb / resources.memoryMb : Number.POSITIVE_INFINITY,
		resources.accelerators > 0 ? report.freeAccelerators / resources.accelerators : Number.POSITIVE_INFINITY,
	];
	const remaining = Math.floor(Math.min(...limits, 256)) - Math.max(0, inFlight - inFlightAtReport);
	return report.running === 0 && inFlight === 0 ? Math.max(1, remaining) : Math.max(0, remaining);
}
