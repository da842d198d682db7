/** How old a confirmation may be at a start, in milliseconds. */
export const confirmationMaxAgeMs = 3000;

/** Confirmation is what one entry last reported about the configuration, on the sidecar's own clock. */
export type Confirmation = {
	/** Monotonic milliseconds at which the version was certainly the newest: the send time of the request less the reported age. */
	asOf: number;
	/** Monotonic milliseconds at which the answered request was sent. */
	requestSentAt: number;
	/** Whether the entry can read the table. */
	readable: boolean;
	/** Whether a change may have been accepted that the entry has not read yet. */
	pending: boolean;
	version: number;
};

/**
 * Says whether a task may start now under configuration `version`.
 *
 * One entry that has read the table within the bound suffices. When none has, the table may be out
 * of reach of all, and then no change can be accepted: more than half of the entries that this
 * sidecar announces itself to must say so, within the bound. One that knows a newer version, or was
 * told of a change that it has not read, does not count. See `acksNeeded` for why half is enough.
 */
export function isConfirmed(confirmations: ReadonlyMap<string, Confirmation>, entryCount: number, version: number, now: number): boolean {
	let confirmedWithoutTable = 0;
	for (const confirmation of confirmations.values()) {
		if (confirmation.readable && now - confirmation.asOf <= confirmationMaxAgeMs && confirmation.version <= version) {
			return true;
		}

		if (!confirmation.readable && !confirmation.pending && now - confirmation.requestSentAt <= confirmationMaxAgeMs && confirmation.version <= version) {
			confirmedWithoutTable++;
		}
	}

	return confirmedWithoutTable > entryCount / 2;
}

/**
 * Returns how many entries, the accepting one included, must have been told of a change before it
 * is written: so many that more than half of any sidecar's subset cannot all have missed it.
 */
export function acksNeeded(entries: number, subset: number): number {
	return entries - Math.floor(Math.min(entries, subset) / 2);
}
