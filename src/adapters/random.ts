import {randomBytes} from 'node:crypto';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {Random} from '../ports/random.js';

/** How many numbers of a new generator are passed over: the first ones of small seeds are much alike. */
const warmUp = 20;

/** Returns a source whose numbers follow from `seed`; its identifiers are random whatever the seed. */
export function seededRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	for (let index = 0; index < warmUp; index++) {
		uniformFloat64(generator);
	}

	return {
		next: () => uniformFloat64(generator),
		id: () => randomBytes(16).toString('hex'),
	};
}

/** A source that no seed repeats. */
export const systemRandom: Random = {
	next: () => Math.random(),
	id: () => randomBytes(16).toString('hex'),
};
