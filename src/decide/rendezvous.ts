import {createHash} from 'node:crypto';

/**
 * Returns the candidate with the highest rendezvous weight for a subject: every process that knows
 * the same candidates chooses the same, and a candidate that leaves moves only its own subjects.
 */
export function highestRanked(subject: string, candidates: readonly string[]): string | undefined {
	return rankByRendezvous(subject, candidates)[0];
}

/** Returns the candidates in the order of their rendezvous weight for a subject. */
export function rankByRendezvous(subject: string, candidates: readonly string[]): string[] {
	return candidates
		.map(candidate => ({candidate, weight: createHash('sha256').update(`${subject}\n${candidate}`).digest('hex')}))
		.toSorted((a, b) => a.weight < b.weight ? 1 : -1)
		.map(({candidate}) => candidate);
}
