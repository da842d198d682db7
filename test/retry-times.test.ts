import test from 'ava';
import {maxRetryMs, minRetryMs, RetryTimes} from '../src/decide/schedule/retry-times.js';

const refused = (id: string, fields: Partial<{expectedMs: number; workMs: number}> = {}) => ({
	id, route: 'r', expectedMs: 0, workMs: 0, ...fields,
});

/** Guards against callers that all come back at once, or that are refused again though they came when told. */
for (const [title, fields, expected] of [
	['no caller is told to come back sooner than the least', {}, [minRetryMs, minRetryMs, minRetryMs]],
	['callers come back when room is expected', {expectedMs: 2500}, [2500, 2500, 2500]],
	['none is told to wait longer than the most', {expectedMs: 60_000}, [maxRetryMs, maxRetryMs, maxRetryMs]],
	['they come back at the rate at which they can be served', {expectedMs: 1500, workMs: 300}, [1500, 1800, 2100]],
	['more than can be served by then start again', {expectedMs: 1500, workMs: 2500}, [1500, 4000, 1500]],
] as Array<[string, {expectedMs?: number; workMs?: number}, number[]]>) {
	test(`retry times: ${title}`, t => {
		const times = RetryTimes.create();
		t.deepEqual(['a', 'b', 'c'].map(id => times.suggest(refused(id, fields), 0)), expected);
	});
}

for (const [title, at, expected] of [
	['a caller that comes back too early is not expected', minRetryMs - 1, false],
	['a caller that comes back when told is expected', minRetryMs, true],
	['a caller that comes back after the rounding up to seconds is expected', minRetryMs + 1000, true],
	['a caller that comes back long after is not expected', minRetryMs + 10_000, false],
] as Array<[string, number, boolean]>) {
	test(`retry times: ${title}`, t => {
		const times = RetryTimes.create();
		times.suggest(refused('a'), 0);
		t.is(times.isExpected('a', at), expected);
		t.false(times.isExpected('a', at));
	});
}
