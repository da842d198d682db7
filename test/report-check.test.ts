import test from 'ava';
import type {Worker} from '../src/decide/guard.js';
import {
	answerWithinMs, clockToleranceMs, maxCandidates, ReportCheck, type Report, type ReportAction, type ReportEvent,
} from '../src/decide/report-check.js';
import type {PollResult} from '../src/ports/executor.js';

const report = (fields: Partial<Worker> = {}, clock = 1000, sequence = 4): Report => ({
	worker: {
		incarnation: 'w', born: 10, pool: 'p', capacity: {cpu: 10, memoryMb: 100, accelerators: 0}, labels: [], draining: false, ...fields,
	},
	clock,
	sequence,
});
const reported = (one: Report, workerClock = 1000): ReportEvent => ({kind: 'reported', report: one, workerClock});
const seen = (born = 10, clock = 1000): PollResult => ({
	kind: 'seen', clock, born, running: [], ended: [],
});
const otherLife: PollResult = {kind: 'refused', reason: 'other-life'};
const fence: PollResult = {kind: 'refused', reason: 'fence'};
const unwell: PollResult = {kind: 'refused', reason: 'unwell'};
const unknown: PollResult = {kind: 'unknown', cause: 'timeout', absent: false};
const answered = (result: PollResult, incarnation = 'w', sentAt = Number.POSITIVE_INFINITY): ReportEvent => ({
	kind: 'answered', incarnation, result, sentAt,
});

/** Returns the actions of these events, in words: the start and the clock of a report tell which it is. */
function play(events: ReadonlyArray<ReportEvent | [now: number, event: ReportEvent]>): string[] {
	const check = ReportCheck.create();
	const describe = (action: ReportAction): string => {
		switch (action.kind) {
			case 'accept': {
				return `accept ${action.report.worker.born} ${action.report.clock} at ${action.clock}`;
			}

			case 'probe': {
				return `probe ${action.incarnation} in ${action.afterMs}`;
			}

			case 'ignore': {
				return `${action.why} ${action.report.worker.born} ${action.report.clock}`;
			}
		}
	};

	return events.flatMap(event => Array.isArray(event) ? check.step(event[1], event[0]) : check.step(event, 0)).map(action => describe(action));
}

const known = [reported(report()), answered(seen(10, 1010))];
const first = ['probe w in 0', 'accept 10 1000 at 1010'];
/** The worker starts again, and confirms it. */
const reborn = reported(report({born: 20}, 5));
const rebornConfirmed = answered(seen(20, 7));
const restart = [...known, reborn, rebornConfirmed];
const restartActions = [...first, 'probe w in 0', 'accept 20 5 at 7'];
/** The worker's next good report. */
const next = reported(report({}, 2000, 5), 2000);

for (const [title, odd, answers, expected] of [
	[
		'a start far ahead under the worker\'s name',
		report({born: Number.MAX_SAFE_INTEGER}),
		[answered(seen(10, 1500))],
		['probe w in 0', 'contradicted 9007199254740991 1000'],
	],
	[
		'a start an hour ahead under another name',
		report({incarnation: 'x', born: 3_600_010}),
		[answered(otherLife, 'x')],
		['probe x in 0', 'contradicted 3600010 1000'],
	],
	['a start far ahead that the worker does not answer to', report({born: 99}), [answered(unknown)], ['probe w in 0', 'probe w in 50']],
	['the same start under another name', report({incarnation: 'x'}), [answered(otherLife, 'x')], ['probe x in 0', 'contradicted 10 1000']],
	['a clock far ahead', report({}, 1e10), [answered(seen(10, 1500))], ['probe w in 0', 'contradicted 10 10000000000']],
	['a clock far ahead that the worker does not answer to', report({}, 1e10), [answered(unknown)], ['probe w in 0', 'probe w in 50']],
	['a number far ahead', report({}, 1001, 1e15), [], ['accept 10 1001 at 1001']],
	['a start before that of the worker', report({born: 9}, 5000, 90), [], ['late 9 5000']],
	['a clock before that of the last report', report({}, 999, 90), [], ['late 10 999']],
] as Array<[string, Report, ReportEvent[], string[]]>) {
	// Guards against one odd report that makes a sidecar deaf to its worker.
	test(`report check: a good report holds after one with ${title}`, t => {
		t.deepEqual(play([...known, reported(odd, 1500), ...answers, next]), [...first, ...expected, 'accept 10 2000 at 2000']);
	});

	test(`report check: the right worker is found after a first report with ${title}`, t => {
		const actions = play([reported(odd, 0), ...answers, reported(report({}, 2000, 5), 0), answered(seen(10, 2010)), reported(report({}, 3000, 6), 3000)]);
		t.is(actions.filter(action => action === 'accept 10 2000 at 2010').length, 1);
		t.is(actions.at(-1), 'accept 10 3000 at 3000');
	});
}

// Guards against a delayed report that brings a capacity back which the worker has no more.
for (const [title, fields, clock, sequence, expected] of [
	['with a lower number is late', {}, 1000, 3, ['late 10 1000']],
	['with the same number is not', {}, 1000, 4, ['accept 10 1000 at 1000']],
	['with a higher number is not', {}, 1000, 5, ['accept 10 1000 at 1000']],
	['of an earlier incarnation is late, whatever its number', {born: 9}, 1000, 90, ['late 9 1000']],
	['of a later incarnation is not, whatever its number', {born: 11}, 1000, 0, ['probe w in 0']],
] as const) {
	test(`report check: a report ${title}`, t => {
		t.deepEqual(play([...known, reported(report(fields, clock, sequence))]), [...first, ...expected]);
	});
}

for (const [title, events, expected] of [
	['the first report counts once the worker confirms it', known, first],
	['a later report of the incarnation counts at once', [...known, next], [...first, 'accept 10 2000 at 2000']],
	['a clock may be a little ahead of the replies', [...known, reported(report({}, 1000 + clockToleranceMs))], [...first, 'accept 10 1100 at 1100']],
	[
		'a clock that the worker has reached counts, though the replies so far did not tell',
		[...known, reported(report({}, 5000)), answered(seen(10, 5001))],
		[...first, 'probe w in 0', 'accept 10 5000 at 5001'],
	],
	['a restart under the same name counts once the worker confirms it', restart, restartActions],
	[
		'a restart under another name counts once the worker confirms it',
		[...known, reported(report({incarnation: 'v', born: 20}, 5)), answered(seen(20, 7), 'v')],
		[...first, 'probe v in 0', 'accept 20 5 at 7'],
	],
	['a report of the incarnation before is late after it', [...restart, reported(report({}, 2000, 5))], [...restartActions, 'late 10 2000']],
	[
		'a restart that another one has overtaken is contradicted',
		[...known, reborn, answered(seen(30, 7)), reported(report({born: 30}, 6)), answered(seen(30, 9))],
		[...first, 'probe w in 0', 'contradicted 20 5', 'probe w in 0', 'accept 30 6 at 9'],
	],
	[
		'a forged restart does not displace a true one that waits',
		[...known, reborn, reported(report({born: 99}, 1e10)), rebornConfirmed],
		[...restartActions, 'contradicted 99 10000000000'],
	],
	[
		'probes go on while the worker is silent, less and less often',
		[reported(report()), ...Array.from({length: 8}, () => answered(unknown))],
		['probe w in 0', ...[50, 100, 150, 200, 250, 300, 300, 300].map(ms => `probe w in ${ms}`)],
	],
	[
		'a probe with a low fence is repeated at once, and then with a pause',
		[reported(report()), answered(fence), answered(fence), answered(unwell)],
		['probe w in 0', 'probe w in 0', 'probe w in 100', 'probe w in 150'],
	],
	[
		'a report that came after the probe was sent waits for the next',
		[reported(report()), [5, reported(report({}, 1003, 5))], [6, answered(seen(10, 1002), 'w', 1)], [60, answered(seen(10, 1060), 'w', 56)]],
		['probe w in 0', 'accept 10 1000 at 1002', 'probe w in 50', 'accept 10 1003 at 1060'],
	],
	[
		'a report that the worker does not answer to in time is ignored',
		[reported(report()), [answerWithinMs, answered(unknown)], [answerWithinMs + 1, answered(unknown)]],
		['probe w in 0', 'probe w in 50', 'unanswered 10 1000'],
	],
	['of many candidates the newest stay', Array.from({length: maxCandidates + 1}, (_, index) => reported(report({}, index))), ['probe w in 0', 'displaced 10 0']],
] as Array<[string, Array<ReportEvent | [number, ReportEvent]>, string[]]>) {
	test(`report check: ${title}`, t => {
		t.deepEqual(play(events), expected);
	});
}

for (const [title, events, expected] of [
	['the first report', [reported(report())], false],
	['a report of a newer incarnation', [...known, reported(report({born: 20}))], true],
	['one that was confirmed', restart, false],
	['one that was contradicted', [...known, reported(report({born: 20})), answered(seen(10, 1020))], false],
	['a report with a clock ahead', [...known, reported(report({}, 1e10))], false],
] as Array<[string, ReportEvent[], boolean]>) {
	test(`report check: whether the worker may have restarted after ${title}: ${expected}`, t => {
		const check = ReportCheck.create();
		for (const event of events) {
			check.step(event, 0);
		}

		t.is(check.mayHaveRestarted, expected);
	});
}
