import test from 'ava';
import {
	loads, Plan, type Load, type Tally,
} from '../bench/plan.js';

/** What all callers got together. */
function sum(plan: Plan, pick: (tally: Tally) => number): number {
	let total = 0;
	for (const tally of plan.tallies.values()) {
		total += pick(tally);
	}

	return total;
}

/** Nine entries and thirty workers of which three fail all that they start for a while. */
const failing: Load = {
	...loads.calm!,
	kinds: loads.calm!.kinds.map(kind => ({...kind, perSecond: kind.perSecond * 2.5})),
	entries: 9,
	workers: Array.from({length: 30}, (_, index) => loads.calm!.workers[index % 11]!),
	failing: second => second >= 1 && second < 5 ? 3 : 0,
	seconds: 6,
};

const seeds = [1, 2, 3, 4];

test('load: of workers that fail all, entries learn from their sidecars, and callers get no less for it', t => {
	const alone = seeds.map(seed => Plan.create({...failing, tellsFailing: false}, {}, seed).play());
	const told = seeds.map(seed => Plan.create(failing, {}, seed).play());
	for (const [index, plan] of told.entries()) {
		t.true(plan.failures < alone[index]!.failures, `${plan.failures} of ${alone[index]!.failures} runs failed`);
	}

	const all = (plans: Plan[], pick: (tally: Tally) => number) => plans.reduce((total, plan) => total + sum(plan, pick), 0);
	t.true(all(told, ({failed}) => failed) <= all(alone, ({failed}) => failed));
	t.true(all(told, ({inAim}) => inAim) >= all(alone, ({inAim}) => inAim));
	t.log(`runs that failed ${alone.map(({failures}) => failures).join(', ')} alone and ${told.map(({failures}) => failures).join(', ')} told`);
});
