import {
	notEjected, recordReport, recordResult, startProbe, availabilityOf, type Ejection,
} from '../outlier-ejection.js';
import type {Outlook} from '../look-ahead.js';
import type {Resources} from '../resources.js';
import type {PlaceReport} from './types.js';

/** PlaceState is an entry's record of one place: its last report and this entry's own use of it. */
export type PlaceState = PlaceReport & {
	id: string;
	linked: boolean;
	/** The resources of this entry's outstanding orders. */
	ownUsage: Resources;
	/** The number of orders whose end or refusal has not been reported. */
	outstandingOrders: number;
	/** When its link was last lost. */
	linkLostAt: number;
	ejection: Ejection;
	/** It gets no work before this time, after it refused an order. */
	notBefore: number;
	/** Whether a capacity request was sent that it has not answered with an offer. */
	capacityRequested: boolean;
	/** When its worker leaves at the earliest, if it drains and has said so. */
	leavesAt?: number;
	/** What it last reported of its near future, where placement looks ahead. */
	outlook?: Outlook;
};

/** How long the record of a place without a link is kept, in milliseconds. Without a limit the records would pile up as machines come and go for years. */
const placeRetentionMs = 600_000;

/** Places holds the records of the known places, including those whose link was lost, and decides which may get work. */
export class Places {
	static create(): Places {
		return new Places();
	}

	/** Availability zones that get no work. */
	unavailableZones: ReadonlySet<string> = new Set();

	private readonly byId = new Map<string, PlaceState>();

	private constructor() {
		// Created by `create`.
	}

	/** The number of places with a link, and of those that are open to work. */
	get counts(): {linked: number; open: number} {
		let linked = 0;
		let open = 0;
		for (const place of this.byId.values()) {
			linked += Number(place.linked);
			open += Number(this.isOpen(place));
		}

		return {linked, open};
	}

	get(id: string): PlaceState | undefined {
		return this.byId.get(id);
	}

	/** All known places, in the order in which they were found. */
	all(): Iterable<PlaceState> {
		return this.byId.values();
	}

	/** Returns the places of a pool that are open to work. */
	openIn(pool: string): PlaceState[] {
		return [...this.byId.values()].filter(place => place.pool === pool && this.isOpen(place));
	}

	/** Records a full report. Returns the place. */
	update(id: string, report: PlaceReport, now: number): PlaceState {
		const known = this.byId.get(id);
		const place = known ?? {
			...report, id, linked: true, ownUsage: {cpu: 0, memoryMb: 0, accelerators: 0}, outstandingOrders: 0, linkLostAt: now,
			ejection: notEjected, notBefore: 0, capacityRequested: false, isFailing: false,
		};
		this.byId.set(id, place);
		if (report.isFailing !== place.isFailing) {
			place.ejection = recordReport(place.ejection, report.isFailing, now, this.mayEject(place));
		}

		return Object.assign(place, report, {
			hindrance: report.hindrance,
			labels: report.labels,
			remainingMs: report.remainingMs,
			leavesAt: report.remainingMs === undefined ? undefined : now + report.remainingMs,
			linked: true,
			notBefore: 0,
		});
	}

	/** Records the loss of the link to a place. */
	markLinkLost(id: string, now: number): void {
		const place = this.byId.get(id);
		if (place) {
			place.linked = false;
			place.capacityRequested = false;
			place.outlook = undefined;
			place.linkLostAt = now;
		}
	}

	/** Removes the records of places that have been without a link for long, and returns their ids. */
	removeOld(now: number): string[] {
		const old = [...this.byId.values()]
			.filter(({linked, outstandingOrders, linkLostAt}) => !linked && outstandingOrders === 0 && now - linkLostAt > placeRetentionMs)
			.map(({id}) => id);
		for (const id of old) {
			this.byId.delete(id);
		}

		return old;
	}

	/** Records for outlier ejection whether a run at the place succeeded. */
	recordResult(place: PlaceState, succeeded: boolean, now: number): void {
		place.ejection = recordResult(place.ejection, succeeded, now, succeeded || this.mayEject(place));
	}

	/** Records that an order is sent to the place, which may be its probe after an ejection. */
	recordOrder(place: PlaceState, now: number): void {
		if (availabilityOf(place.ejection, now) === 'probe') {
			place.ejection = startProbe(place.ejection);
		}
	}

	/** Whether a place is linked, reports nothing against starting tasks and is in an available zone. */
	isOpen(place: PlaceState): boolean {
		return place.linked && place.hindrance === undefined && !this.unavailableZones.has(place.zone);
	}

	/** Whether a place may get work now, also by its last refusal and its ejection. */
	mayReceive(place: PlaceState, now: number): boolean {
		return now >= place.notBefore && this.isOpen(place) && isAdmittedByEjection(place, now);
	}

	/** Whether fewer than half of the linked places of the pool are ejected, so that one more may be. */
	private mayEject(place: PlaceState): boolean {
		const pool = [...this.byId.values()].filter(other => other.linked && other.pool === place.pool);
		return pool.filter(other => other.ejection.ejectedUntil > 0).length < pool.length / 2;
	}
}

/** Returns the capacity of a place that neither this entry nor others use. */
export function freeCapacity({room, others, ownUsage}: PlaceState): Resources {
	return {
		cpu: room.cpu - others.cpu - ownUsage.cpu,
		memoryMb: room.memoryMb - others.memoryMb - ownUsage.memoryMb,
		accelerators: room.accelerators - others.accelerators - ownUsage.accelerators,
	};
}

function isAdmittedByEjection(place: PlaceState, now: number): boolean {
	switch (availabilityOf(place.ejection, now)) {
		case 'open': {
			return true;
		}

		case 'probe': {
			return place.ownUsage.cpu === 0;
		}

		case 'closed': {
			return false;
		}
	}
}
