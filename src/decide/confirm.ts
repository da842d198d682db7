/** How old a confirmation may be at a start, in milliseconds. */
export const confirmMaxMs = 3000;

/** Confirmation is what one entry last said of the configuration, on the sidecar's own clock. */
export type Confirmation = {
	/** Monotonic milliseconds at which the version was surely the newest; of the request, less the age told. */
	asOf: number;
	/** Monotonic milliseconds at which the answered request was sent. */
	heard: number;
	/** Whether the entry can read the table. */
	readable: boolean;
	version: number;
};

/**
 * Says whether a task may start now under configuration `version`.
 *
 * One entry that has read the table within the bound suffices. When none has, the table may be out
 * of reach of all, and then no change can be accepted: more than half of the known entries must say
 * so, within the bound, and none of them may know a newer version.
 */
export function isConfirmed(confirmations: ReadonlyMap<string, Confirmation>, known: number, version: number, now: number): boolean {
	let unreadable = 0;
	for (const confirmation of confirmations.values()) {
		if (confirmation.readable && now - confirmation.asOf <= confirmMaxMs && confirmation.version <= version) {
			return true;
		}

		if (!confirmation.readable && now - confirmation.heard <= confirmMaxMs && confirmation.version <= version) {
			unreadable++;
		}
	}

	return unreadable > known / 2;
}
