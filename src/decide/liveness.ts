/** LastContact is when a sidecar was last heard from, in monotonic milliseconds. */
export type LastContact = {lastHeardAt: number};

/** Liveness is the state of a sidecar: live, suspected (no new work) or gone (removed). */
export type Liveness = 'live' | 'suspect' | 'gone';

/** Silence after which a sidecar gets no new work; an idle one sends a message every 12 s. */
const suspectMs = 16_000;
/** Silence after which a sidecar is removed. */
const goneMs = 20_000;
/** How long a session that should be heard may stay not live before any process that notices records it as lost. */
export const lostAfterMs = 15_000;
/** How long a returned place takes to reach its full slots. */
const rampMs = 2000;

/** Returns the liveness of a sidecar from the time since its last contact. */
export function livenessOf(contact: LastContact, now: number): Liveness {
	const silence = now - contact.lastHeardAt;
	if (silence < suspectMs) {
		return 'live';
	}

	return silence < goneMs ? 'suspect' : 'gone';
}

/** Returns how many of a place's slots may be used: those of a returned place grow from a quarter to all within `rampMs`. */
export function usableSlots(slots: number, returnedAt: number | undefined, now: number): number {
	if (returnedAt === undefined || now - returnedAt >= rampMs) {
		return slots;
	}

	return Math.max(1, Math.ceil(slots * (0.25 + (0.75 * (now - returnedAt) / rampMs))));
}
