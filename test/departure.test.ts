import test from 'ava';
import {decideMove, moveOverheadMs, type Departure} from '../src/decide/departure.js';

/** A run that needs 3 s at a worker that stays 1.9 s, of a job that can still end elsewhere. */
const departure: Departure = {
	remainingMs: 1900, ageMs: 0, expectedMs: 3000, elsewhereMs: 1000, worthMs: 5000,
};

for (const [title, fields, expected] of [
	['a run that can\'t end before its worker is gone is moved', {}, 'move'],
	['a run that should end just in time is left', {expectedMs: 1900}, 'leave'],
	['a run that has done most of its work is left', {ageMs: 1200}, 'leave'],
	['a run that takes longer than expected is left, since it may end at any time', {expectedMs: 3000, ageMs: 3500, remainingMs: 10}, 'leave'],
	['a run whose worker is gone at once is moved', {remainingMs: 0, expectedMs: 100, ageMs: 50}, 'move'],
	['a run that could end elsewhere only when it is worth nothing is left', {worthMs: 1000}, 'leave'],
	['a run that could end elsewhere just in time is moved', {worthMs: 1000 + moveOverheadMs}, 'move'],
	['a run for which there is no room elsewhere is left', {elsewhereMs: Number.POSITIVE_INFINITY}, 'leave'],
] as const) {
	test(`departure: ${title}`, t => {
		t.is(decideMove({...departure, ...fields}), expected);
	});
}
