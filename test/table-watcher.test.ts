import test from 'ava';
import {TableWatcher} from '../src/entry/table-watcher.js';
import {StoreError, type Table} from '../src/ports/table.js';

const timeoutMs = 1500;

/** Returns the counted failures after reads that failed after these delays, in milliseconds. */
async function failedReadsAfter(delays: readonly number[]): Promise<number> {
	let now = 0;
	const remaining = [...delays];
	const table = {
		async list() {
			now += remaining.shift()!;
			throw StoreError.create('no answer', true);
		},
	} as unknown as Table;
	const watcher = TableWatcher.create({
		table, clock: {now: () => now, mono: () => now, sleep: async () => undefined}, timeoutMs, onConfigChange: () => undefined,
	});
	while (remaining.length > 0) {
		await watcher.refresh();
	}

	return watcher.failedReads;
}

for (const [title, delays, misses] of [
	['refused reads count as failed', [1, 1], 2],
	['reads that timed out count as failed', [1500, 1510], 2],
	['a read during which the process was paused does not count', [1500, 6000], 1],
	['several reads during which the process was paused do not count', [6000, 4000], 0],
] as const) {
	test(`table watcher: ${title}`, async t => {
		t.is(await failedReadsAfter(delays), misses);
	});
}
