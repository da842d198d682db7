/** Presence is when a sidecar was last heard, in monotonic milliseconds. */
export type LastContact = {lastHeardAt: number};

/** Stage is how far a sidecar is trusted: live, suspected (no new work) or gone (removed). */
export type Liveness = 'live' | 'suspect' | 'gone';

/** Silence after which a sidecar gets no new work; an idle one speaks every 12 s. */
const suspectMs = 16_000;
/** Silence after which a sidecar is removed. */
const goneMs = 20_000;
/** How long a session that should be heard is not live before it is written as lost, by whoever notices. */
export const lostAfterMs = 15_000;
/** How long a returned place takes to reach its full slots. */
const rampMs = 2000;

/** Says how far a sidecar is trusted after this silence. */
export function livenessOf(contact: LastContact, now: number): Liveness {
	const silence = now - contact.lastHeardAt;
	if (silence < suspectMs) {
		return 'live';
	}

	return silence < goneMs ? 'suspect' : 'gone';
}

/** Returns how many of a place's slots may be used: a returned place's grow over a while, from a quarter. */
export function usableSlots(slots: number, returnedAt: number | undefined, now: number): number {
	if (returnedAt === undefined || now - returnedAt >= rampMs) {
		return slots;
	}

	return Math.max(1, Math.ceil(slots * (0.25 + (0.75 * (now - returnedAt) / rampMs))));
}
