import test from 'ava';
import fc from 'fast-check';
import {seededRandom} from '../src/adapters/random.js';
import {DurationEstimator} from '../src/decide/duration-estimator.js';
import {maxRatio, RatioQuantiles} from '../src/decide/ratio-quantiles.js';

/** Kinds by their first letter: tasks take 1.6 times as long at the slow ones. */
const slownessOf = {slow: 1.6, fast: 1} as const;
type Kind = keyof typeof slownessOf;

/** Observes so many runs of tasks declared at 100 ms, at places of both kinds in turn, with declared times off by up to 40%. */
function observeRuns(estimator: DurationEstimator, runs: number, placesPerKind = 5): DurationEstimator {
	for (let index = 0; index < runs; index++) {
		const kind: Kind = index % 2 === 0 ? 'fast' : 'slow';
		const ranMs = 100 * slownessOf[kind] * (0.6 + (0.2 * (Math.floor(index / 10) % 5)));
		estimator.observe({
			route: 'r', place: `${kind}-${index % (2 * placesPerKind)}`, ranMs, declaredMs: 100,
		});
	}

	return estimator;
}

function createWithKinds(placesPerKind = 5): DurationEstimator {
	const estimator = DurationEstimator.create();
	for (let index = 0; index < 2 * placesPerKind; index++) {
		const kind: Kind = index % 2 === 0 ? 'fast' : 'slow';
		estimator.assignKind(`${kind}-${index}`, {pool: 'p', name: kind});
	}

	return estimator;
}

/** Returns how much slower a place is expected to be than a place of the fast kind that has run tasks. */
const slowerThanFast = (estimator: DurationEstimator, place: string) => estimator.slowness(place) / estimator.slowness('fast-0');

for (const [title, prepare, low, high] of [
	['a new place of a slow kind is known as slow', estimator => {
		estimator.assignKind('new', {pool: 'p', name: 'slow'});
	}, 1.4, 1.8],
	['a new place of a fast kind is known as fast', estimator => {
		estimator.assignKind('new', {pool: 'p', name: 'fast'});
	}, 0.9, 1.1],
	['a place that returns as another kind is judged by that kind', estimator => {
		estimator.assignKind('fast-2', {pool: 'p', name: 'slow'});
	}, 1.4, 1.8],
	['a place that returns after its record was removed starts from its kind', estimator => {
		estimator.prune(place => place !== 'slow-1');
		estimator.assignKind('new', {pool: 'p', name: 'slow'});
	}, 1.4, 1.8],
] as Array<[string, (estimator: DurationEstimator) => void, number, number]>) {
	test(`kinds: ${title}`, t => {
		const estimator = observeRuns(createWithKinds(), 400);
		prepare(estimator);
		const place = title.includes('another kind') ? 'fast-2' : 'new';
		const ratio = slowerThanFast(estimator, place);
		t.true(ratio > low && ratio < high, `${ratio}`);
	});
}

test('kinds: a single ill place does not make its kind look slow', t => {
	const estimator = observeRuns(createWithKinds(), 400);
	for (let index = 0; index < 200; index++) {
		estimator.observe({
			route: 'r', place: index % 10 === 0 ? 'fast-0' : `fast-${2 * (1 + (index % 4))}`, ranMs: index % 10 === 0 ? 1000 : 100, declaredMs: 100,
		});
	}

	estimator.assignKind('new', {pool: 'p', name: 'fast'});
	t.true(estimator.slowness('new') / estimator.slowness('fast-2') < 1.4);
});

test('kinds: the own runs of a place win in the end, whatever its kind', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.double({min: 0.2, max: 5, noNaN: true}), fc.double({min: 0.2, max: 5, noNaN: true}), (kindSlowness, ownSlowness) => {
			const estimator = DurationEstimator.create();
			estimator.assignKind('own', {pool: 'p', name: 'k'});
			for (let place = 0; place < 5; place++) {
				estimator.assignKind(`other-${place}`, {pool: 'p', name: 'k'});
			}

			// Places without a kind hold the usual time of the route in its place.
			for (let run = 0; run < 300; run++) {
				for (const [place, slowness] of [['plain', 1], [`other-${run % 5}`, kindSlowness]] as const) {
					estimator.observe({
						route: 'r', place, ranMs: 1000 * slowness, declaredMs: 1000,
					});
				}
			}

			const before = Math.abs(Math.log(estimator.slowness('own') / estimator.slowness('plain') / ownSlowness));
			for (let run = 0; run < 100; run++) {
				for (const [place, slowness] of [['plain', 1], ['own', ownSlowness]] as const) {
					estimator.observe({
						route: 'r', place, ranMs: 1000 * slowness, declaredMs: 1000,
					});
				}
			}

			const after = Math.abs(Math.log(estimator.slowness('own') / estimator.slowness('plain') / ownSlowness));
			return after <= Math.max(0.15, before / 4);
		}), {seed: 11, numRuns: 200});
	});
});

test('kinds: places without a kind are estimated as if no kinds were known elsewhere', t => {
	const runs = fc.array(fc.record({place: fc.constantFrom('a', 'b', 'c'), ranMs: fc.integer({min: 1, max: 5000}), declaredMs: fc.integer({min: 1, max: 500})}), {maxLength: 60});
	t.notThrows(() => {
		fc.assert(fc.property(runs, observations => {
			const plain = DurationEstimator.create();
			const labelled = DurationEstimator.create();
			labelled.assignKind('d', {pool: 'p', name: 'k'});
			for (const observation of observations) {
				plain.observe({route: 'r', ...observation});
				labelled.observe({route: 'r', ...observation});
				labelled.observe({route: 'other', ...observation, place: 'd'});
			}

			return ['a', 'b', 'c', 'new'].every(place => plain.slowness(place) === labelled.slowness(place)) && plain.expectedMs('r', 100) === labelled.expectedMs('r', 100);
		}), {seed: 12, numRuns: 200});
	});
});

/** Guards against a scale that nothing holds: without the prior of 1 all places of one kind could drift off, and the times of the routes, which targets are made of, the other way. */
test('kinds: in a pool of one kind the times of routes stay those learned without kinds', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.integer({min: 0}), seed => {
			const random = seededRandom(seed);
			const runs = Array.from({length: 1000}, () => [Math.floor(random.next() * 20), 0.6 + (0.8 * random.next()), random.next()] as const);
			const [plain, labelled] = [false, true].map(hasKind => {
				const estimator = DurationEstimator.create();
				for (const [place, ratio, long] of runs) {
					estimator.assignKind(`${place}`, hasKind ? {pool: 'p', name: 'k'} : undefined);
					estimator.observe({
						route: 'r', place: `${place}`, ranMs: 1000 * ratio * (long < 0.03 ? 7 : 1), declaredMs: 1000,
					});
				}

				return estimator.expectedMs('r', 1000);
			});
			return Math.abs(Math.log(labelled! / plain!)) < 0.15;
		}), {seed: 14, numRuns: 50});
	});
});

/** One step of the distribution, which quantiles are rounded up by. */
const step = 1.1;

for (const [title, ratios, share, expected] of [
	['unknown after a few runs', Array.from({length: 19}, () => 1), 0.99, undefined],
	['the common ratio where all are alike', Array.from({length: 500}, () => 1), 0.99, 1],
	['the ratio of the long tasks where 3% take 7 times as long', Array.from({length: 2000}, (_, index) => index % 33 === 0 ? 7 : 1), 0.99, 7],
	['the common ratio at a lower share', Array.from({length: 2000}, (_, index) => index % 33 === 0 ? 7 : 1), 0.95, 1],
	['the latest ratios after a change', [...Array.from({length: 3000}, () => 8), ...Array.from({length: 8000}, () => 2)], 0.99, 2],
	['bounded, so that runs that stand still can\'t raise it for ever', Array.from({length: 100}, () => 1e9), 0.99, maxRatio],
] as const) {
	test(`quantiles: ${share} of the runs: ${title}`, t => {
		const quantiles = RatioQuantiles.create();
		for (const ratio of ratios) {
			quantiles.observe(ratio);
		}

		const quantile = quantiles.quantile(share);
		t.true(expected === undefined ? quantile === undefined : quantile! >= expected * 0.999 && quantile! <= expected * step, `${quantile}`);
	});
}

test('quantiles: a quantile is never more than a step off the exact one over recent values', t => {
	const values = fc.array(fc.double({min: 0.3, max: 15, noNaN: true}), {minLength: 20, maxLength: 300});
	t.notThrows(() => {
		fc.assert(fc.property(values, fc.constantFrom(0.5, 0.95, 0.99), (ratios, share) => {
			const quantiles = RatioQuantiles.create();
			for (const ratio of ratios) {
				quantiles.observe(ratio);
			}

			// Newer values weigh up to e^0.3 times as much as the oldest, so the share may be off by that factor.
			const sorted = ratios.toSorted((a, b) => a - b);
			const at = (some: number) => sorted[Math.min(sorted.length - 1, Math.max(0, Math.ceil(some * sorted.length) - 1))]!;
			const quantile = quantiles.quantile(share)!;
			const slack = (1 - share) * 0.4;
			return quantile >= at(share - slack - (1 / sorted.length)) && quantile <= at(share + slack + (1 / sorted.length)) * step;
		}), {seed: 13, numRuns: 300});
	});
});
