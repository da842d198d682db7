import type {ActiveJob} from './active-job.js';

/**
 * The longest that a run can last after the link to its place was lost, in milliseconds. It is the sum of the age
 * at which a sidecar still accepts a request (600), the silence after which it gives up an entry (700), its interval
 * of checking that (100), a worker's lease by a clock that is 2% slow (1020) and the time of a stop (50), rounded up.
 * Dated leases end runs sooner (`src/decide/leases.ts`), but not at a sidecar of an earlier version.
 */
export const maxRunAfterLinkLossMs = 2500;
/** How long an ended job that may have run is remembered, in milliseconds: callers submit again after 1300, and go on for as long as they wait. */
const startedJobRetentionMs = 30_000;

/** LingeringTask is a task that may still run although its job has ended, until its end is reported or the time `until`. */
type LingeringTask = {ref: number; place: string; until: number; linkLost: boolean};

/**
 * LostRuns remembers what may have run or may still run without an order of a job under way, so that a job submitted
 * again does not start a task twice and is not told that it did not run.
 */
export class LostRuns {
	static create(): LostRuns {
		return new LostRuns();
	}

	/** Tasks that may still run although their job has ended, by task name. */
	private readonly lingeringByName = new Map<string, LingeringTask>();
	/** Ids of places whose link was lost and that have not confirmed since that all earlier runs have ended. */
	private readonly unconfirmedPlaces = new Set<string>();
	/** When to forget that an ended job may have run, by job id, in order of time. */
	private readonly startedJobExpiry = new Map<string, number>();

	private constructor() {
		// Created by `create`.
	}

	/** Records the end of a job that may have run, and its tasks that may still run. */
	recordJobEnd({job, tasks}: ActiveJob, now: number): void {
		this.startedJobExpiry.delete(job.id);
		this.startedJobExpiry.set(job.id, now + startedJobRetentionMs);
		for (const {state, ref, place, spec, notBefore} of tasks) {
			if (state === 'placed') {
				this.lingeringByName.set(spec.name, {
					ref, place, until: Number.POSITIVE_INFINITY, linkLost: false,
				});
			} else if (state === 'unknown') {
				this.lingeringByName.set(spec.name, {
					ref, place, until: notBefore, linkLost: true,
				});
			}
		}
	}

	/** Whether a job submitted earlier under this id may have run. */
	mayHaveRunBefore(id: string, now: number): boolean {
		for (const [other, until] of this.startedJobExpiry) {
			if (now < until) {
				break;
			}

			this.startedJobExpiry.delete(other);
		}

		return this.startedJobExpiry.has(id);
	}

	/** Whether a task of this name may still run for a job that has ended. */
	mayStillRun(name: string, now: number): boolean {
		const lingering = this.lingeringByName.get(name);
		if (lingering && now >= lingering.until) {
			this.lingeringByName.delete(name);
			return false;
		}

		return lingering !== undefined;
	}

	/** Forgets a lingering task when its order has ended. Returns whether there was one. */
	taskEnded(name: string, ref: number): boolean {
		return this.lingeringByName.get(name)?.ref === ref && this.lingeringByName.delete(name);
	}

	/** Records that the link to a place was lost: tasks lingering there can last for `maxRunAfterLinkLossMs` at most. */
	linkLost(place: string, now: number): void {
		this.unconfirmedPlaces.add(place);
		for (const lingering of this.lingeringByName.values()) {
			if (lingering.place === place && !lingering.linkLost) {
				lingering.linkLost = true;
				lingering.until = now + maxRunAfterLinkLossMs;
			}
		}
	}

	/** Records that a place has confirmed the end of its runs from before the loss of its link. Returns whether that was open. */
	confirmEnds(id: string): boolean {
		// This comes with every message of a place, so it must be cheap when no link was lost.
		if (!this.unconfirmedPlaces.delete(id)) {
			return false;
		}

		for (const [name, {place, linkLost}] of this.lingeringByName) {
			if (place === id && linkLost) {
				this.lingeringByName.delete(name);
			}
		}

		return true;
	}

	/** Forgets a place whose record is removed. */
	forgetPlace(id: string): void {
		this.unconfirmedPlaces.delete(id);
	}

	/** Forgets the lingering tasks that can no longer run. */
	expire(now: number): void {
		for (const [name, {until}] of this.lingeringByName) {
			if (now >= until) {
				this.lingeringByName.delete(name);
			}
		}
	}
}
