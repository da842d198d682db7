import {rankByRendezvous} from './rendezvous.js';

/**
 * Hearing is when an entry last heard of this sidecar, which is the send time of what it answered or
 * echoed, and when it was last tried, in monotonic milliseconds.
 */
export type EntryContact = {entry: string; lastHeardAt: number; lastTriedAt: number};

/** Need is why announcements are made: to stay known, or to have a fresh confirmation for what waits. */
export type AnnouncePurpose = 'presence' | 'fresh';

/** Each entry is spoken to when it has been silent for so long, in milliseconds. */
const maxEntrySilenceMs = 12_000;
/** Some entry is spoken to when all have been silent for so long, so that changes are heard of, in milliseconds. */
const maxOverallSilenceMs = 4000;
/** What a fresh confirmation may be old when one is needed, in milliseconds. */
export const freshConfirmationMs = 1200;
/** An entry that does not answer is tried again no sooner, in milliseconds. */
const retryIntervalMs = 1000;

/** The most entries that a sidecar announces itself to. */
export const subsetSize = 16;

/** Returns the entries that a sidecar session announces itself to: all while they are few, else a stable choice by rendezvous. */
export function entrySubset(session: string, entries: readonly string[]): readonly string[] {
	return entries.length <= subsetSize ? entries : rankByRendezvous(session, entries).slice(0, subsetSize);
}

/**
 * Returns the entries to speak to now. Starts and their answers count as speaking, so that a sidecar
 * with work announces itself little.
 */
export function entriesDue(contacts: readonly EntryContact[], purpose: AnnouncePurpose, now: number): string[] {
	const ready = contacts.filter(({lastTriedAt: tried}) => now - tried >= retryIntervalMs);
	const limit = purpose === 'fresh' ? freshConfirmationMs : maxEntrySilenceMs;
	const overdue = ready.filter(({lastHeardAt: heard}) => now - heard > limit);
	if (overdue.length > 0) {
		return overdue.map(({entry}) => entry);
	}

	const quiet = contacts.every(({lastHeardAt: heard}) => now - heard > maxOverallSilenceMs);
	const oldest = ready.toSorted((a, b) => a.lastHeardAt - b.lastHeardAt)[0];
	return quiet && oldest ? [oldest.entry] : [];
}
