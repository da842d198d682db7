import test from 'ava';
import {writeIntervalMs} from '../src/adapters/batch-writer.js';
import {withEpoch} from '../src/decide/start-check.js';
import {ClaimRecords} from '../src/sidecar/claim-records.js';

const windowMs = 1000;

function recordsAt(time: {now: number}): ClaimRecords {
	return ClaimRecords.create(windowMs, {now: () => time.now, mono: () => time.now, sleep: async () => undefined});
}

test('no task of a released claim starts for at least one claim window, and its key is deleted after two', t => {
	const time = {now: 0};
	const records = recordsAt(time);
	const state = records.getOrCreate('alpha/k', true);
	state.record = withEpoch(state.record, 3);
	records.release('alpha/k');
	for (const now of [0, 900, 1900]) {
		time.now = now;
		records.sweep();
		t.true(records.getOrCreate('alpha/k', true).record.released, `at ${now}`);
	}

	time.now = 5000;
	records.sweep();
	time.now = 7000;
	records.sweep();
	t.false(records.getOrCreate('alpha/k', true).record.released);
});

test('a released request without a key is not started again while a copy of its start may be delayed', t => {
	const time = {now: 0};
	const records = recordsAt(time);
	records.getOrCreate('~s/1', false);
	records.release('~s/1');
	time.now = 59_000;
	records.sweep();
	t.true(records.getOrCreate('~s/1', false).record.released);
});

for (const [entries, spacing] of [[1, 10], [4, 10], [16, 40], [50, 125]] as const) {
	test(`${entries} entries together do not exceed the write rate of the table service`, t => {
		t.is(writeIntervalMs(entries), spacing);
		t.true(entries * 1000 / writeIntervalMs(entries) <= 400);
	});
}
