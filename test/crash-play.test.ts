import test from 'ava';
import {loads, Plan, type Load} from '../bench/plan.js';
import {
	Schedule, type Action, type Event, type Job,
} from '../src/decide/schedule/schedule.js';

/** Four entries, eleven workers with about ten tasks each; from second 4 to 14 a tenth of the jobs of one route crash their workers. */
const calm: Load = {
	...loads.loss!, kinds: loads.calm!.kinds, traffic: () => 1, gone: () => 0, seconds: 16,
};
const crashing = {
	route: 'preview', share: 0.1, from: 4, to: 14,
};

/** The share of the jobs of the other routes that were served before their worth was gone, of those sent while bad tasks come. */
function othersServed(plan: Plan): number {
	const sent = plan.ended.filter(({job, at}) => job.route !== crashing.route && at >= crashing.from * 1000 && at < crashing.to * 1000);
	return sent.filter(({verdict, tookMs, objective}) => verdict.kind === 'completed' && tookMs <= 3 * objective).length / sent.length;
}

/** Guards against tasks of one route that take all workers down again and again, so that no route is served. */
for (const seed of [1, 3, 6, 12, 18, 24]) {
	test(`crashing tasks: while bad tasks of one route come, the other routes are served nearly as before, seed ${seed}`, t => {
		const without = othersServed(Plan.create(calm, {}, seed).play());
		const plan = Plan.create({...calm, crashing}, {}, seed).play();
		const tasks = [...plan.crashesByTask.values()];
		const begun = plan.notices.filter(notice => notice.kind === 'quarantine' && !notice.end);
		t.log(`${othersServed(plan).toFixed(3)} of ${without.toFixed(3)} served, ${plan.crashes} crashes, ${begun.length} quarantines begun`);
		t.true(othersServed(plan) >= 0.8 * without);
		t.true(tasks.every(({startsAfterThird}) => startsAfterThird <= 2), 'a task is started three times more after three crashes');
		const bad = tasks.filter(({isCause}) => isCause);
		t.true(bad.filter(({crashes}) => crashes <= 2).length > bad.length / 2, 'most bad tasks crash two workers at most');
		t.true(begun.length <= 2, 'the quarantine flaps');
	});
}

/** Guards against jobs given up for a loss of power, at one moment or spread over some time so that tasks are lost twice. */
for (const [count, withinMs] of [[6, 2], [6, 100], [6, 300], [11, 300], [4, 1000]] as const) {
	test(`crashing tasks: the loss of ${count} workers within ${withinMs} ms gives up no job`, t => {
		for (const seed of [1, 2, 3]) {
			const plan = Plan.create({...calm, seconds: 8, powerLoss: {count, at: 4, withinMs}}, {}, seed).play();
			t.is(plan.crashes, count);
			t.is(plan.ended.filter(({verdict}) => verdict.kind === 'failed').length, 0);
		}
	});
}

const job = (id: string, route: string): Job => ({
	id, route, pool: 'p', spec: '', aimMs: 60, stretch: 1.6, attempts: 2, priority: 0, leftMs: 3000,
	tasks: [{name: `${id}.0`, resources: {cpu: 1, memoryMb: 1, accelerators: 0}, estimateMs: 100}],
});
const places = ['a', 'b', 'c', 'd', 'e'];
const told = (place: string): Event => ({
	kind: 'told', place, report: {
		zone: 'z', pool: 'p', room: {cpu: 10, memoryMb: 10, accelerators: 0}, others: {cpu: 0, memoryMb: 0, accelerators: 0}, isFailing: false,
	},
});
const crash = (place: string, ageMs: number, ...tasks: string[]): Event => ({
	kind: 'crashed', place, life: 'w1', ageMs, tasks: tasks.map(task => [task, task[0]!] as const),
});
/** Task x1.0 crashes two workers, among tasks of other routes. */
const twoCrashes = [crash('a', 700, 'y1.0', 'x1.0', 'z1.0'), crash('b', 600, 'x1.0', 'y2.0')];
/** Two tasks are in three crashes together. */
const threeCrashes = [crash('a', 9000, 'x1.0', 'y1.0'), crash('b', 6000, 'x1.0', 'y1.0'), crash('c', 3000, 'x1.0', 'y1.0')];

function started(events: readonly Event[], at = 0): Schedule {
	const schedule = Schedule.create();
	for (const event of [...places.map(place => told(place)), ...events]) {
		schedule.step(event, at);
	}

	return schedule;
}

function answers(actions: readonly Action[]): string[] {
	return actions.filter(({kind}) => kind === 'answer').map(action => action.kind === 'answer' ? action.verdict.kind : '');
}

/** Guards against a count of crashes that dies with the entry that kept it. */
for (const [title, events, submitted, answered] of [
	['an entry that hears of the crashes later gives the job up', twoCrashes, 'x', ['failed']],
	['reports that came twice do not add up', [twoCrashes[0]!, twoCrashes[0]!, twoCrashes[0]!], 'x', []],
	['a task that three workers crashed under is given up though another was there each time', threeCrashes, 'x', ['failed']],
	['a task that stood beside the cause is started', twoCrashes, 'y', []],
] as Array<[string, Event[], string, string[]]>) {
	test(`crashing tasks: ${title}`, t => {
		const schedule = started(events);
		const actions = schedule.step({kind: 'submit', job: job(`${submitted}1`, submitted)}, 1);
		t.deepEqual(answers(actions), answered);
		t.is(actions.some(({kind}) => kind === 'start'), answered.length === 0);
	});
}

/** Guards against entries that quarantine a route at different places, which would leave the other routes none. */
test('crashing tasks: entries that hear the same crashes confine the route to the same place and keep others from it', t => {
	const placesOf = (schedule: Schedule, route: string) => {
		const found = new Set<string>();
		for (let index = 0; index < 40; index++) {
			for (const action of schedule.step({kind: 'submit', job: job(`${route}${100 + index}`, route)}, 1)) {
				if (action.kind === 'start') {
					found.add(action.place);
				}
			}
		}

		return [...found].toSorted();
	};

	const [confined] = placesOf(started(twoCrashes), 'x');
	const other = started(twoCrashes.toReversed());
	t.deepEqual(placesOf(other, 'x'), [confined]);
	t.deepEqual(placesOf(other, 'y'), places.filter(place => place !== confined));
	t.deepEqual(placesOf(started([twoCrashes[0]!]), 'x'), places);
});

/** Guards against a job that waits for a cause to be confirmed and is then forgotten. */
test('crashing tasks: a job whose task crashes two workers fails and its other runs are stopped', t => {
	const schedule = started([]);
	const tasks = ['x1.0', 'x1.1'].map(name => ({name, resources: {cpu: 6, memoryMb: 1, accelerators: 0}, estimateMs: 1000}));
	const [start] = schedule.step({kind: 'submit', job: {...job('x1', 'x'), tasks}}, 0);
	t.is(start?.kind, 'start');
	const actions = [crash('a', 0, 'y1.0', 'x1.0'), crash('b', 0, 'x1.0', 'y2.0')].flatMap((event, index) => schedule.step(event, 50 + (100 * index)));
	t.deepEqual(answers(actions), []);
	const later = schedule.step({kind: 'tick'}, 460);
	t.deepEqual(answers(later), ['failed']);
	t.is(later.filter(({kind}) => kind === 'stop').length, 2);
});

for (const [title, events, answered] of [
	['while the cause of two crashes is open', [crash('a', 20, 'y1.0', 'x1.0'), crash('b', 10, 'x1.0', 'y2.0')], ['failed']],
	['while no place is open', [crash('a', 20, 'y1.0', 'x1.0'), ...places.map((place): Event => ({kind: 'down', place}))], ['expired']],
] as Array<[string, Event[], string[]]>) {
	test(`crashing tasks: a job under which a worker crashed is not told that it has not run when it is sent again ${title}`, t => {
		const schedule = started([]);
		const actions = events.flatMap(event => schedule.step(event, 9000));
		actions.push(...schedule.step({kind: 'submit', job: job('x1', 'x')}, 9010));
		for (const at of [9040, 9200, 9400, 13_000]) {
			actions.push(...schedule.step({kind: 'tick'}, at));
		}

		t.deepEqual(answers(actions), answered);
	});
}
