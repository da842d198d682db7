import test from 'ava';
import {Schedule, type Job, type Policy} from '../src/decide/schedule/schedule.js';

const room = (cpu: number) => ({cpu, memoryMb: 100, accelerators: 0});
type PlaceFields = {cpu?: number; others?: number; zone?: string; slowness?: number};

/** Returns the places of a job's tasks in order of the orders, with tasks of 4 cpu that take `ms`, at places of 10 cpu unless the fields say otherwise. */
function placesOf(policy: Partial<Policy>, places: Readonly<Record<string, PlaceFields>>, {tasks = 2, ms = 100}: {tasks?: number; ms?: number}): string {
	const schedule = Schedule.create(policy);
	for (const [id, {cpu = 10, others = 0, zone = 'z1', slowness = 1}] of Object.entries(places)) {
		schedule.step({
			kind: 'told', place: id, report: {
				zone, pool: 'p', room: room(cpu), others: {...room(others), memoryMb: 0}, isFailing: false,
			},
		}, 0);
		for (let run = 0; run < 40; run++) {
			schedule.estimator.observe({
				route: 'r', place: id, ranMs: ms * slowness, declaredMs: ms,
			});
		}
	}

	const job: Job = {
		id: 'j',
		route: 'r',
		pool: 'p',
		spec: '',
		tasks: Array.from({length: tasks}, (_, index) => ({name: `j.${index}`, resources: {cpu: 4, memoryMb: 1, accelerators: 0}, estimateMs: ms})),
		aimMs: 60,
		stretch: 1.6,
		attempts: 2,
		priority: 0,
		leftMs: 3000,
	};
	return schedule.step({kind: 'submit', job}, 60_000).flatMap(action => action.kind === 'start' ? [action.place] : []).join('');
}

for (const [title, policy, places, job, expected] of [
	['tasks of a job are spread without the parameter', {}, {a: {cpu: 20}, b: {cpu: 20}}, {}, 'ab'],
	['tasks of a job go to one place', {colocate: true}, {a: {cpu: 20}, b: {cpu: 20}}, {tasks: 4}, 'aaaa'],
	['what does not fit beside the others goes elsewhere, together', {colocate: true}, {a: {}, b: {}}, {tasks: 4}, 'aabb'],
	['the first task goes where most is free', {colocate: true}, {a: {cpu: 20, others: 8}, b: {cpu: 20}}, {tasks: 3}, 'bbb'],
	['tasks that end in time nowhere by the margin go to one place of equal speed', {colocate: true}, {a: {cpu: 20}, b: {cpu: 20}}, {ms: 1000}, 'aa'],
	['a task does not follow another to a slower place when a faster has room', {colocate: true}, {a: {cpu: 4}, b: {cpu: 4}, c: {cpu: 20, slowness: 2}}, {tasks: 4, ms: 1000}, 'abcc'],
	['a place of the entry\'s zone goes before an equal one', {zone: 'z2'}, {a: {}, b: {zone: 'z2'}}, {tasks: 1}, 'b'],
	['all zones count the same where the entry\'s zone is not known', {}, {a: {}, b: {zone: 'z2'}}, {tasks: 1}, 'a'],
	['a place of another zone with more free capacity goes first', {zone: 'z2'}, {a: {}, b: {zone: 'z2', others: 1}}, {tasks: 1}, 'a'],
	['a faster place of another zone goes first', {zone: 'z2'}, {a: {}, b: {zone: 'z2', slowness: 2}}, {tasks: 1, ms: 1000}, 'a'],
] as const) {
	// Guards against copies of a job's text at more places than needed, and against tasks that end later for the sake of fewer copies.
	test(`colocation: ${title}`, t => {
		t.is(placesOf(policy, places, job), expected);
	});
}
