import test from 'ava';
import {runSeed} from '../bench/faults.js';

for (const seed of [1, 3, 7]) {
	test.serial(`a random schedule of faults breaks no promise: seed ${seed}`, async t => {
		const {faults, notes, jobs, starts, violations} = await runSeed(seed);
		t.log(`seed ${seed}: ${faults.join(', ')}; ${jobs} jobs, ${starts} starts`);
		t.deepEqual(notes, []);
		t.true(Object.values(violations).every(count => count === 0));
		t.true(starts > 0);
	});
}
