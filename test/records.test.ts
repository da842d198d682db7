import test from 'ava';
import {spacingOf} from '../src/adapters/batch.js';
import {withEpoch} from '../src/decide/gate.js';
import {Records} from '../src/sidecar/records.js';

const windowMs = 1000;

function recordsAt(time: {now: number}): Records {
	return Records.create(windowMs, {now: () => time.now, mono: () => time.now, sleep: async () => undefined});
}

test('a released claim starts nothing for at least the window, and is forgotten after two', t => {
	const time = {now: 0};
	const records = recordsAt(time);
	const held = records.held('alpha/k', true);
	held.record = withEpoch(held.record, 3);
	records.release('alpha/k');
	for (const now of [0, 900, 1900]) {
		time.now = now;
		records.sweep();
		t.true(records.held('alpha/k', true).record.released, `at ${now}`);
	}

	time.now = 5000;
	records.sweep();
	time.now = 7000;
	records.sweep();
	t.false(records.held('alpha/k', true).record.released);
});

test('a request without a key that was released starts nothing while a copy may be delayed', t => {
	const time = {now: 0};
	const records = recordsAt(time);
	records.held('~s/1', false);
	records.release('~s/1');
	time.now = 59_000;
	records.sweep();
	t.true(records.held('~s/1', false).record.released);
});

for (const [entries, spacing] of [[1, 10], [4, 10], [16, 40], [50, 125]] as const) {
	test(`${entries} entries together write no more than the table takes`, t => {
		t.is(spacingOf(entries), spacing);
		t.true(entries * 1000 / spacingOf(entries) <= 400);
	});
}
