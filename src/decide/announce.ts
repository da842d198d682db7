import {rankByRendezvous} from './rendezvous.js';

/**
 * EntryContact is when an entry last heard of this sidecar (the send time of the message that it
 * answered or echoed) and when it was last contacted, in monotonic milliseconds.
 */
export type EntryContact = {entry: string; lastHeardAt: number; lastTriedAt: number};

/** AnnouncePurpose is why the sidecar announces itself: to stay known, or to get a fresh confirmation for waiting tasks. */
export type AnnouncePurpose = 'presence' | 'fresh';

/** Silence of one entry after which it is contacted, in milliseconds. */
const maxEntrySilenceMs = 12_000;
/** Silence of all entries after which one is contacted, so that changes are noticed, in milliseconds. */
const maxOverallSilenceMs = 4000;
/** Greatest age of a confirmation that counts as fresh, in milliseconds. */
export const freshConfirmationMs = 1200;
/** Least time between two attempts to contact an entry, in milliseconds. */
const retryIntervalMs = 1000;

/** The most entries that a sidecar announces itself to. */
export const subsetSize = 16;

/** Returns the entries that a sidecar session announces itself to: all while they are few, else a stable choice by rendezvous. */
export function entrySubset(session: string, entries: readonly string[]): readonly string[] {
	return entries.length <= subsetSize ? entries : rankByRendezvous(session, entries).slice(0, subsetSize);
}

/**
 * Returns the entries to contact now. Starts and their answers count as contact, so that a busy
 * sidecar rarely announces itself.
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
