// The table guards against an entry that takes jobs it cannot serve, that flaps between taking and refusing, or that
// a figure without meaning makes refuse all jobs.
import test from 'ava';
import {
	LoopDelay, Overload, type EntryLimits, type EntryLoad, type OverloadReason,
} from '../src/decide/overload.js';
import {policySettings} from '../src/settings/policy.js';

const settings = (enabled: 'auto' | 'on' | 'off') => policySettings.parse({
	overload: {
		enabled, delayLimitMs: 50, leaveShare: 0.5, jobsPerCore: 1000,
	},
}).overload;
const limits: EntryLimits = {cpuShare: 0.5, linkBytesPerSecond: 250_000};

/** Loads with the time of each in milliseconds, and what is decided: the reason of a refusal, or that the job is taken. */
const cases: ReadonlyArray<readonly [title: string, steps: ReadonlyArray<readonly [at: number, load: EntryLoad, expected: OverloadReason | 'taken']>]> = [
	['nothing is known', [[0, {}, 'taken']]],
	['a late loop, until half the limit', [
		[0, {loopDelayMs: 50}, 'taken'], [1, {loopDelayMs: 51}, 'loop'], [2, {loopDelayMs: 30}, 'loop'], [3, {loopDelayMs: 25}, 'taken'], [4, {loopDelayMs: 30}, 'taken'],
	]],
	['unsent bytes, by the rate of the link', [[0, {unsentBytes: 12_500}, 'taken'], [1, {unsentBytes: 12_600}, 'link'], [2, {unsentBytes: 6000}, 'taken']]],
	['bytes that the kernel has taken and the link has not', [[0, {writtenBytes: 1_000_000}, 'taken'], [10, {writtenBytes: 1_020_000}, 'link'], [60, {writtenBytes: 1_020_000}, 'taken']]],
	['a written count that falls', [[0, {writtenBytes: 5000}, 'taken'], [1, {writtenBytes: 0}, 'taken']]],
	['a request that waits', [[0, {oldestMs: 60}, 'age'], [1, {oldestMs: 0}, 'taken']]],
	['more jobs than the share of a core serves', [[0, {jobs: 500}, 'taken'], [1, {jobs: 501}, 'jobs'], [2, {jobs: 251}, 'jobs'], [3, {jobs: 250}, 'taken']]],
	['the worst of several is named', [[0, {loopDelayMs: 60, oldestMs: 100}, 'age']]],
	['figures that are none', [[0, {
		loopDelayMs: Number.NaN, unsentBytes: -1, writtenBytes: Number.POSITIVE_INFINITY, oldestMs: Number.POSITIVE_INFINITY, jobs: -5,
	}, 'taken']]],
	['a figure becomes none while jobs are refused', [[0, {loopDelayMs: 100}, 'loop'], [1, {loopDelayMs: -1}, 'taken']]],
];
for (const [title, steps] of cases) {
	test(`overload: ${title}`, t => {
		const overload = Overload.create(settings('auto'), limits)!;
		for (const [at, load, expected] of steps) {
			const decision = overload.decide(load, at);
			t.is(decision.kind === 'refused' ? decision.why : decision.kind, expected, `at ${at}`);
		}
	});
}

for (const [enabled, known, isOn] of [
	['auto', {}, false],
	['auto', {cpuShare: 0.3}, true],
	['auto', {linkBytesPerSecond: 1}, true],
	['on', {}, true],
	['off', limits, false],
] as const) {
	test(`overload: ${enabled} with ${JSON.stringify(known)} is ${isOn ? 'on' : 'off'}`, t => {
		t.is(Overload.create(settings(enabled), known) !== undefined, isOn);
	});
}

test('overload: the retry delay grows with the figure, within its bounds', t => {
	const delays = [51, 150, 5000].map(loopDelayMs => {
		const decision = Overload.create(settings('on'), {})!.decide({loopDelayMs}, 0);
		return decision.kind === 'refused' ? decision.retryMs : 0;
	});
	t.deepEqual(delays, [1020, 3000, 5000]);
});

test('overload: the delay of the loop is averaged, and the first figure after a pause is discarded', t => {
	const delay = LoopDelay.create(20);
	t.is(delay.valueAt(0), undefined);
	for (const at of [0, 20, 40]) {
		delay.fired(at);
	}

	t.is(delay.valueAt(60), 0);
	delay.fired(140);
	t.true(delay.valueAt(140)! > 30 && delay.valueAt(140)! < 50);
	t.true(delay.valueAt(300)! > delay.valueAt(140)!);
	t.is(delay.valueAt(4000), undefined);
	delay.fired(4000);
	t.is(delay.valueAt(4000), undefined);
	delay.fired(4020);
	t.is(delay.valueAt(4020), 0);
});
