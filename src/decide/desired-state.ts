/**
 * How far a read of the store may be behind the store, in milliseconds: such a read disproves nothing that another
 * entry claims. The store's reads are linearizable by its protocol; its operators know of reads that are 3 s behind.
 */
const staleReadMs = 5000;

/** DesiredState is a whole desired state at a version of the store (`asOf`); `number` is the version that the operator gave it. The same state has the same text. */
export type DesiredState = {asOf: number; number: number; text: string};

/** StateInForce is the desired state that an entry acts by. */
export type StateInForce = DesiredState & {
	/** The version of the store from which on the state is known to hold, up to `asOf`. */
	since: number;
	/** When another entry claimed that the state holds up to `asOf`, in monotonic milliseconds; absent once this entry has read the store up to there. */
	claimedAt?: number;
};

/** A state that was read or received either replaces the one in force, is the same, is older, or contradicts what is known. */
export type StateRelation = 'replaces' | 'same' | 'older' | 'contradicts';

/** What an entry that holds no state acts by. */
export const noState: StateInForce = {
	asOf: 0, number: Number.NEGATIVE_INFINITY, text: '', since: 0,
};

/**
 * Returns whether a read of the store up to version `asOf`, requested at `askedAt` (monotonic milliseconds), disproves
 * what another entry claimed: the store would have shown that version or a later one.
 */
export function isDisproved({asOf, claimedAt}: StateInForce, read: {asOf: number}, askedAt: number): boolean {
	return claimedAt !== undefined && read.asOf < asOf && askedAt - claimedAt > staleReadMs;
}

/**
 * Relates a state that this entry has read from the store to the one in force. What it has read itself goes before what
 * other entries claim for the same version, and an operator's newer state before any older one.
 */
export function relateRead(read: DesiredState, askedAt: number, inForce: StateInForce): Exclude<StateRelation, 'contradicts'> {
	if (read.text === inForce.text) {
		return 'same';
	}

	return read.asOf >= inForce.asOf || read.number > inForce.number || isDisproved(inForce, read, askedAt) ? 'replaces' : 'older';
}

/**
 * Relates a state that another entry has sent to the one in force. Its version of the store is a claim: a state whose
 * own number is lower can't be the later one, whatever the claim.
 */
export function relateReceived(received: DesiredState, inForce: StateInForce): StateRelation {
	if (received.text === inForce.text) {
		return 'same';
	}

	if (received.asOf <= inForce.asOf) {
		return 'older';
	}

	return received.number < inForce.number ? 'contradicts' : 'replaces';
}

/**
 * Relates the version and digest that another entry announces to the state in force, whose digest is `digest`. They
 * contradict each other where this entry has read the store at that version and found another state.
 */
export function relateAnnounced(announced: {asOf: number; digest?: string}, inForce: StateInForce, digest: string): StateRelation {
	if (announced.digest === digest) {
		return 'same';
	}

	if (announced.asOf > inForce.asOf) {
		return 'replaces';
	}

	const isKnown = announced.asOf >= inForce.since && inForce.claimedAt === undefined && announced.digest !== undefined;
	return isKnown ? 'contradicts' : 'older';
}

/** Returns the state in force after a read of the store that showed the same state. */
export function confirmedBy(read: {asOf: number}, askedAt: number, inForce: StateInForce): StateInForce {
	if (read.asOf < inForce.asOf && !isDisproved(inForce, read, askedAt)) {
		return inForce;
	}

	return {
		asOf: read.asOf, number: inForce.number, text: inForce.text, since: Math.min(inForce.since, read.asOf),
	};
}

/** Returns the state in force after another entry claimed, at `now`, that the same state holds up to `asOf`. */
export function extendedBy(claim: {asOf: number}, now: number, inForce: StateInForce): StateInForce {
	return claim.asOf > inForce.asOf ? {...inForce, asOf: claim.asOf, claimedAt: now} : inForce;
}
