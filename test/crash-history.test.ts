import test from 'ava';
import {CrashHistory, type Suspicion} from '../src/decide/crash-history.js';
import {Quarantines} from '../src/decide/quarantine.js';

/** A crash at a time, at a place of its own, of tasks named by job and index; the route is the first letter of the name. */
type Given = readonly [at: number, tasks: string];

function historyOf(given: readonly Given[]): CrashHistory {
	const history = CrashHistory.create();
	for (const [index, [at, tasks]] of given.entries()) {
		const names = tasks.split(' ');
		history.record({
			place: `p${index}`, life: 'w', at, tasks: new Map(names.map(name => [name, name[0]!])),
		});
	}

	return history;
}

for (const [title, given, task, suspicion, routes] of [
	['the task that alone was in two crashes is the cause', [[0, 'x1 a b'], [200, 'x1 c']], 'x1', 'condemned', 'x'],
	['the other tasks of crashes with a known cause are clear', [[0, 'x1 a b'], [200, 'x1 c']], 'a', 'clear', 'x'],
	['a task in one crash is a suspect and its route is not', [[0, 'x1 a b']], 'x1', 'suspect', ''],
	['a task that was alone in its second crash is the cause', [[0, 'x1 a b'], [200, 'x1']], 'x1', 'condemned', 'x'],
	['tasks of one job in both crashes count as one', [[0, 'x1.0 x1.1 a'], [200, 'x1.0 x1.1 b']], 'x1.1', 'condemned', 'x'],
	['of two jobs in both crashes none is the cause yet', [[0, 'x1 a b'], [200, 'x1 a c']], 'x1', 'alone', ''],
	['of two jobs of one route in both crashes the route is suspected', [[0, 'x1 x2 b'], [200, 'x1 x2 c']], 'x1', 'alone', 'x'],
	['a second crash that came late is no proof', [[0, 'x1 a b'], [400, 'x1 c']], 'x1', 'alone', ''],
	['a third crash makes up for it', [[0, 'x1 a b'], [400, 'x1 c'], [900, 'x1 d']], 'x1', 'condemned', 'x'],
	['after three crashes a task is given up in any case', [[0, 'x1 a'], [200, 'x1 a'], [400, 'x1 a']], 'a', 'condemned', ''],
	['two losses of power in a row find no cause', [[0, 'x1'], [10, 'a'], [20, 'b'], [5000, 'x1'], [5010, 'c'], [5020, 'd']], 'x1', 'alone', ''],
	['a loss of power in several moments finds no cause', [[0, 'x1 a'], [10, 'b'], [100, 'x1 c'], [150, 'd']], 'x1', 'alone', ''],
	['a task that meets a second crash by chance is clear once both causes are known', [[0, 'x1 a'], [80, 'x1 b'], [700, 'x2 a'], [860, 'x2 c']], 'a', 'clear', 'x'],
	['a loss of power in two waves finds no cause', [[0, 'x1 a'], [10, 'x2 b'], [200, 'x1 c'], [210, 'x2 d']], 'x1', 'alone', ''],
	['of two causes at the same time each is given up at its third crash', [[0, 'x1 a'], [40, 'x2 a'], [80, 'x1 b'], [200, 'x2 c'], [300, 'x1 d'], [320, 'x2 e']], 'x2', 'condemned', 'x'],
	['a task that meets the crash of another after a known cause is no cause', [[0, 'x1 a'], [80, 'x1 b'], [2000, 'y1 a']], 'a', 'suspect', 'x'],
] as Array<[string, Given[], string, Suspicion, string]>) {
	test(`crash history: ${title}`, t => {
		const history = historyOf(given);
		const now = given.at(-1)![0] + 300;
		t.is(history.suspicionOf(task, now), suspicion);
		t.is([...history.suspectedRoutes(now).keys()].toSorted().join(' '), routes);
	});
}

/** Guards against a verdict that depends on the order in which the reports of sidecars arrive, which differs between entries. */
test('crash history: the same crashes in another order, and reported twice, give the same result', t => {
	const given: Given[] = [[0, 'x1 a'], [80, 'x1 b'], [700, 'x2 a'], [860, 'x2 c'], [1900, 'x3 d e'], [2100, 'x3 e']];
	const indexed = given.map((one, index) => ({one, place: `p${index}`}));
	const results = [indexed, indexed.toReversed(), [...indexed, ...indexed]].map(order => {
		const history = CrashHistory.create();
		for (const {one: [at, tasks], place} of order) {
			history.record({
				place, life: 'w', at, tasks: new Map(tasks.split(' ').map(name => [name, name[0]!])),
			});
		}

		return [...history.causes(3000).map(({task}) => task), history.size].join(' ');
	});
	t.deepEqual(new Set(results), new Set(['x1 x2 6']));
});

test('crash history: crashes of more than a minute ago are forgotten', t => {
	const history = historyOf([[0, 'x1 a'], [200, 'x1 b']]);
	history.expire(60_100);
	t.is(history.suspicionOf('x1', 60_100), 'suspect');
	history.expire(60_300);
	t.is(history.size, 0);
});

/** Evidence and successes by time, in milliseconds, and what the quarantine of the route does. */
const evidence = (at: number) => new Map([['x', {evidenceAt: at, lastCrashAt: at, place: 'p'}]]);
for (const [title, crashes, successes, until, changes] of [
	['a quarantine ends after five seconds with successes', [0], 20, 20_000, ['0 begun', '5000 recovered']],
	['without successes it ends after fifteen', [0], 19, 20_000, ['0 begun', '15000 expired']],
	['crashes prolong it instead of beginning it again', [0, 3000, 6000, 9000], 20, 40_000, ['0 begun', '14000 recovered']],
	['one that begins again soon lasts twice as long', [0, 6000], 20, 40_000, ['0 begun', '5000 recovered', '6000 begun', '16000 recovered']],
	['one that begins again later lasts no longer', [0, 36_000], 20, 60_000, ['0 begun', '5000 recovered', '36000 begun', '41000 recovered']],
] as Array<[string, number[], number, number, string[]]>) {
	test(`quarantine: ${title}`, t => {
		const quarantines = Quarantines.create();
		const seen: string[] = [];
		for (let now = 0; now <= until; now += 100) {
			const last = crashes.findLast(at => at <= now)!;
			for (const {end} of quarantines.update(evidence(last), () => 'pool', now)) {
				seen.push(`${now} ${end ?? 'begun'}`);
			}

			for (const _ of now === last ? Array.from({length: successes}) : []) {
				quarantines.succeeded('x');
			}
		}

		t.deepEqual(seen, changes);
	});
}
