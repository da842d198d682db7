import test from 'ava';
import {replayDigests} from './schedule-digests.js';
import {Replay, replayPolicies} from './schedule-replay.js';

/** Guards against a change of behaviour where only structure or cost was to change. */
for (const policy of ['usual', 'opposite'] as const) {
	test(`schedule: random events give the recorded actions with the ${policy} policy`, t => {
		for (const [index, digest] of replayDigests[policy].entries()) {
			t.is(Replay.create(index + 1, replayPolicies[policy]).digest(), digest, `seed ${index + 1}`);
		}
	});
}
