import test from 'ava';
import {
	Schedule, type Action, type Event, type Job, type PlaceReport, type Policy,
} from '../src/decide/schedule/schedule.js';

const cpuOnly = (cpu: number) => ({cpu, memoryMb: 1, accelerators: 0});
const told = (place: string, fields: Partial<PlaceReport> = {}): Event => ({
	kind: 'told',
	place,
	report: {
		zone: 'z', pool: 'p', room: {cpu: 10, memoryMb: 100, accelerators: 0}, others: cpuOnly(0), isFailing: false, ...fields,
	},
});
const labelled = (place: string, labels: string[], used = 0): Event => told(place, {labels, others: cpuOnly(used)});
const job = (fields: Partial<Job> = {}, estimateMs = 1000): Job => ({
	id: 'j', route: 'r', pool: 'p', spec: '', tasks: [{name: `${fields.id ?? 'j'}.0`, resources: cpuOnly(4), estimateMs}], aimMs: 60, stretch: 1.6, attempts: 2, priority: 0, leftMs: 60_000, ...fields,
});
const submit = (fields: Partial<Job> = {}, estimateMs = 1000): Event => ({kind: 'submit', job: job(fields, estimateMs)});
const tick: Event = {kind: 'tick'};

/** Formats an action for comparison. */
function short(action: Action): string {
	switch (action.kind) {
		case 'start': {
			return `start ${action.task.name} at ${action.place}`;
		}

		case 'stop': {
			return `stop ${action.ref} at ${action.place}${action.hung ? ' as hung' : ''}`;
		}

		case 'want': {
			return `want ${action.resources.cpu} at ${action.place}`;
		}

		case 'answer': {
			return `answer ${action.job} ${action.verdict.kind}`;
		}

		case 'notice': {
			return action.kind;
		}
	}
}

/** Plays events at their times, and returns the last actions. */
function play(schedule: Schedule, events: ReadonlyArray<readonly [number, Event]>): string[] {
	let actions: Action[] = [];
	for (const [at, event] of events) {
		actions = schedule.step(event, at);
	}

	return actions.map(action => short(action));
}

/** Learns from runs of tasks declared at 1 s at the places, which take so many milliseconds. */
function learn(schedule: Schedule, places: Readonly<Record<string, number>>, runs = 300): void {
	for (let run = 0; run < runs; run++) {
		for (const [place, ranMs] of Object.entries(places)) {
			schedule.estimator.observe({
				route: 'r', place, ranMs: ranMs * (0.7 + (0.3 * (run % 3))), declaredMs: 1000,
			});
		}
	}
}

const twoKinds = [[0, labelled('a', ['slow'])], [0, labelled('b', ['fast'])]] as const;
/** Two new places, of which the slow one has more room. */
const newPlaces = [[0, labelled('c', ['slow'])], [0, labelled('d', ['fast'], 4)], [0, labelled('a', ['slow'], 10)], [0, labelled('b', ['fast'], 10)]] as const;

for (const [title, workers, expected] of [
	['goes to a new worker of a fast kind', 'on', 'start j.0 at d'],
	['goes there also by default, as the pool has two kinds', 'auto', 'start j.0 at d'],
	['goes to the worker with the most room where kinds are not taken into account', 'off', 'start j.0 at c'],
] as const) {
	test(`kinds: a task with little time ${title}`, t => {
		const schedule = Schedule.create({workers});
		play(schedule, twoKinds);
		learn(schedule, {a: 2700, b: 1000});
		play(schedule, newPlaces);
		// The target is about 4.8 s. Twice the run at a fast place (1 s) is in time, and at a slow one (2.7 s) it is not.
		t.deepEqual(play(schedule, [[0, submit({aimMs: 500})]]), [expected]);
	});
}

test('kinds: a pool whose workers are all of one kind is scheduled as before by default', t => {
	const schedules = (['auto', 'off'] as const).map(workers => Schedule.create({workers}));
	const [auto, off] = schedules.map(schedule => {
		play(schedule, [[0, labelled('a', ['slow'])], [0, labelled('b', ['slow'])]]);
		learn(schedule, {a: 2700, b: 2700});
		return [schedule.estimator.slowness('a'), schedule.estimator.slowness('new'), ...play(schedule, [[0, labelled('c', ['slow'])], [0, submit()], [4000, tick]])];
	});
	t.deepEqual(auto, off);
});

/** 3% of the runs take 7 times as long. */
function learnLongRuns(schedule: Schedule): void {
	for (let run = 0; run < 1000; run++) {
		schedule.estimator.observe({
			route: 'r', place: run % 2 === 0 ? 'a' : 'b', ranMs: run % 33 === 0 ? 7000 : 1000, declaredMs: 1000,
		});
	}
}

for (const [title, policy, places, at, expected] of [
	['a task that takes 7 times as long, as 3% do, is left alone', {workers: 'on'}, [told('a')], 8000, []],
	['it is left alone by default where a pool has several kinds', {workers: 'auto'}, [labelled('a', ['x']), labelled('b', ['y'], 10)], 8000, []],
	['it is stopped as before by default where a pool has one kind', {workers: 'auto'}, [told('a')], 8000, ['stop 1 at a as hung']],
	['it is stopped as before where the switch is off', {workers: 'off'}, [labelled('a', ['x']), labelled('b', ['y'], 10)], 8000, ['stop 1 at a as hung']],
	['a task that stands still is stopped', {workers: 'on'}, [told('a')], 13_000, ['stop 1 at a as hung']],
] as Array<[string, Partial<Policy>, Event[], number, string[]]>) {
	test(`hang limit: ${title}`, t => {
		const schedule = Schedule.create(policy);
		play(schedule, places.map(event => [0, event] as const));
		learnLongRuns(schedule);
		t.deepEqual(play(schedule, [[0, submit()], [at, tick]]), expected);
	});
}

test('hang limit: long tasks that the first limit stops raise it until they can end', t => {
	const schedule = Schedule.create({workers: 'on'});
	play(schedule, [[0, told('a')], [0, told('b')]]);
	let now = 0;
	let ref = 0;
	const stopped: number[] = [];
	const observe = (ranMs: number, index: number): void => {
		schedule.step(submit({id: `j${index}`}), now);
		const place = ['a', 'b'].find(id => schedule.outstandingAt(id) > 0)!;
		ref++;
		const end = now + ranMs;
		let hung = false;
		while (now < end && !hung) {
			now += 100;
			hung = schedule.step(tick, now).some(({kind}) => kind === 'stop');
		}

		if (hung) {
			stopped.push(index);
			schedule.step({kind: 'cancel', job: `j${index}`}, now);
		}

		schedule.step({
			kind: 'ended', place, ref, outcome: hung ? 'lost' : 'done', ranMs,
		}, now);
	};

	for (let index = 0; index < 1000; index++) {
		observe(index % 33 === 32 ? 7000 : 1000, index);
	}

	t.true(stopped.length > 0 && Math.max(...stopped) < 500, `stopped: ${stopped.join(' ')}`);
});

test('hang limit: a worker that stands still does not raise it beyond one step', t => {
	const schedule = Schedule.create({workers: 'on'});
	play(schedule, [[0, told('a')], [0, told('b', {others: cpuOnly(10)})]]);
	learn(schedule, {b: 1000}, 100);
	play(schedule, [[0, submit({id: 'j1'})], [0, submit({id: 'j2'})]]);
	// Both runs at the place hang.
	t.deepEqual(play(schedule, [[20_000, tick]]), ['stop 1 at a as hung', 'stop 2 at a as hung']);
	// The limit was 3 times the expected second plus 600 ms, and quantiles are rounded up by a tenth.
	const quantile = schedule.estimator.quantileMs('r', 1000, 0.99)!;
	t.true(quantile < 3600 * 1.1, `${quantile}`);
});

const near = {
	tasks: [{
		name: 'j.0', resources: cpuOnly(4), estimateMs: 1000, dataRack: 'k1',
	}],
};
/** The first of its tasks starts at once. */
const twoRacks = {tasks: [{...near.tasks[0]!, name: 'j.1', dataRack: 'k2'}, ...near.tasks]};
/** A place in the rack of the data and one elsewhere, with so much in use. */
const racks = (nearUsed: number, farUsed: number, nearFields: Partial<PlaceReport> = {}): Array<[number, Event]> => [
	[0, told('near', {labels: ['x', 'k1'], others: cpuOnly(nearUsed), ...nearFields})],
	[0, labelled('far', ['x', 'k2'], farUsed)],
];
const roomAt = (place: string, used: number): Event => ({kind: 'room', place, others: cpuOnly(used)});

// Off the rack the task takes 3 s, on it 1 s. It would wait for 2 s at most. A job with `aimMs` of 9 s is in time everywhere.
for (const [title, places, events, expected] of [
	['goes to the rack of its data', racks(4, 0), [[0, submit(near)]], ['start j.0 at near']],
	['goes to the rack of its data also where it is in time elsewhere', racks(4, 0), [[0, submit({...near, aimMs: 9000})]], ['start j.0 at near']],
	['goes elsewhere where it is in time, if there is no room on the rack', racks(8, 0), [[0, submit({...near, aimMs: 9000})]], ['start j.0 at far']],
	['waits for room on the rack where it would be late elsewhere, and asks for it', racks(8, 0), [[0, submit({...near, aimMs: 3000})]], ['want 4 at near']],
	['starts on the rack once there is room', racks(8, 0), [[0, submit({...near, aimMs: 3000})], [300, roomAt('near', 6)]], ['start j.0 at near']],
	['is not started elsewhere while it waits for the rack', racks(8, 0), [[0, submit({...near, aimMs: 3000})], [300, roomAt('far', 1)]], []],
	['does not wait longer than its job may', racks(8, 0), [[0, submit({...near, aimMs: 3000})], [830, tick]], ['start j.0 at far']],
	['of a job that has begun waits longer than that', racks(8, 0), [[0, submit({...twoRacks, aimMs: 3000})], [1990, tick]], []],
	['does not wait longer than the run elsewhere takes longer', racks(8, 0), [[0, submit({...twoRacks, aimMs: 3000})], [1990, tick], [2000, tick]], ['start j.0 at far']],
	['does not wait for a rack without open places', racks(8, 0, {hindrance: 'draining'}), [[0, submit({...near, aimMs: 3000})]], ['start j.0 at far']],
	['does not wait where its job would then be worth nothing', racks(8, 0), [[0, submit({...near, aimMs: 0, leftMs: 3000})]], ['start j.0 at far']],
	['waits no longer once it is refused', racks(8, 8), [[0, submit({...near, aimMs: 3000})], [900, tick]], ['answer j refused']],
] as Array<[string, Array<[number, Event]>, Array<[number, Event]>, string[]]>) {
	test(`data rack: a task ${title}`, t => {
		const schedule = Schedule.create({workers: 'on', farFactor: 3});
		schedule.step(told('old', {hindrance: 'absent'}), -60_000);
		t.deepEqual(play(schedule, [...places, ...events]), expected);
	});
}

test('data rack: where the switch is off the place with the most room is taken', t => {
	const schedule = Schedule.create({workers: 'off', farFactor: 3});
	t.deepEqual(play(schedule, [...racks(4, 0), [0, submit(near)]]), ['start j.0 at far']);
});

test('data rack: runs far from their data do not make a place look slow', t => {
	const schedule = Schedule.create({workers: 'on', farFactor: 3});
	play(schedule, racks(0, 0));
	for (let ref = 1; ref <= 100; ref++) {
		const isNear = ref % 2 === 0;
		play(schedule, [
			[0, labelled('near', ['x', 'k1'], isNear ? 0 : 10)],
			[0, labelled('far', ['x', 'k2'], isNear ? 10 : 0)],
			[0, submit({...near, id: `j${ref}`, aimMs: 9000})],
			[0, {
				kind: 'ended', place: isNear ? 'near' : 'far', ref, outcome: 'done', ranMs: isNear ? 1000 : 3000,
			}],
		]);
	}

	const ratio = schedule.estimator.slowness('far') / schedule.estimator.slowness('near');
	t.true(Math.abs(ratio - 1) < 0.05, `${ratio}`);
});

const leaving = (remainingMs: number): Event => told('a', {hindrance: 'draining', remainingMs});
const lost: Event = {
	kind: 'ended', place: 'a', ref: 1, outcome: 'lost', ranMs: 500,
};

for (const [title, policy, events, expected] of [
	['a run that can\'t end before its worker leaves is stopped', {}, [[500, leaving(300)], [520, tick]], ['stop 1 at a']],
	['it is not started elsewhere before its end is known', {}, [[500, leaving(300)], [520, tick], [2000, tick]], []],
	['it is started elsewhere once its end is known', {}, [[500, leaving(300)], [520, tick], [570, lost]], ['start j.0 at b']],
	['a run that ends by itself meanwhile is not started again', {}, [[500, leaving(300)], [520, tick], [530, {...lost, outcome: 'done'}]], ['answer j completed']],
	['a run that should end in time is left', {}, [[500, leaving(600)], [520, tick]], []],
	['a run at a worker that says nothing of leaving is left', {}, [[500, told('a', {hindrance: 'draining'})], [520, tick]], []],
	['a run whose worker takes its notice back is left', {}, [[500, leaving(300)], [510, told('a')], [520, tick]], []],
	['a run is left where the other places are full', {}, [[400, told('b', {others: cpuOnly(10)})], [500, leaving(300)], [520, tick]], []],
	['a run of a job that could not end elsewhere is left', {leftMs: 1400}, [[500, leaving(300)], [520, tick]], []],
	['a run is left where the switch is off', {workers: 'off'}, [[500, leaving(300)], [520, tick]], []],
] as Array<[string, {leftMs?: number; workers?: Policy['workers']}, Array<[number, Event]>, string[]]>) {
	test(`departure: ${title}`, t => {
		const schedule = Schedule.create({workers: policy.workers ?? 'on'});
		play(schedule, [[0, told('a')], [0, submit({leftMs: policy.leftMs ?? 60_000})], [0, told('b')]]);
		t.deepEqual(play(schedule, events), expected);
	});
}
