import {randomBytes} from 'node:crypto';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {Random} from '../ports/random.js';

/** How many numbers of a new generator are discarded: small seeds give very similar first numbers. */
const discardedNumbers = 20;

/** Returns a source whose numbers are determined by `seed`; its identifiers are random regardless of the seed. */
export function seededRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	for (let index = 0; index < discardedNumbers; index++) {
		uniformFloat64(generator);
	}

	return {
		next: () => uniformFloat64(generator),
		id: () => randomBytes(16).toString('hex'),
	};
}

/** An unseeded source. */
export const systemRandom: Random = {
	next: () => Math.random(),
	id: () => randomBytes(16).toString('hex'),
};
