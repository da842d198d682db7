import test from 'ava';
import {
	Shortage, type Applicant, type ShortageSettings,
} from '../src/decide/shortage.js';

const settings: ShortageSettings = {
	always: false, raiseAboveMs: 40, lowerBelowMs: 15, raiseMs: 100, lowerMs: 400,
};
const urgent: Applicant = {route: 'urgent', priority: 0, work: 100};
const later: Applicant = {route: 'later', priority: 2, work: 1000};
const long = 100;
const between = 30;
const short = 0;
/** The time between two arrivals, in milliseconds. */
const gapMs = 10;

/** Load is some arrivals of one job of each route: how many, and the queueing time meanwhile. */
type Load = {count: number; queueMs: number};
type Seen = Record<'urgent' | 'later', {share: number; large: number}>;

/** Plays loads one after the other, and returns the admitted share of the last by route, and that of its largest tenth. */
function play(shortage: Shortage, loads: readonly Load[], routes: readonly Applicant[]): Seen {
	const seen = {urgent: {share: 0, large: 0}, later: {share: 0, large: 0}};
	let now = 0;
	for (const {count, queueMs} of loads) {
		const admitted = new Map(routes.map(({route}) => [route, {all: 0, large: 0}]));
		for (let index = 0; index < count; index++) {
			now += gapMs;
			for (const one of routes) {
				const isLarge = index % 10 === 5;
				const applicant = {...one, work: one.work * (isLarge ? 8 : 1 + ((index * 7 % 10) / 10))};
				const isAdmitted = !shortage.holdsBack(applicant, queueMs, now);
				shortage.record(applicant, isAdmitted, now);
				admitted.get(one.route)!.all += Number(isAdmitted);
				admitted.get(one.route)!.large += Number(isAdmitted && isLarge);
			}
		}

		for (const [route, {all, large}] of admitted) {
			seen[route as keyof Seen] = {share: all / count, large: large / count * 10};
		}
	}

	return seen;
}

const calm: Load = {count: 400, queueMs: short};

/** Guards against refusals of small urgent jobs for the room of large ones, starvation of a class, and admission that flaps. */
for (const [title, loads, routes, check] of [
	['nothing is held back while the queue is short', [calm], [urgent, later], seen => seen.urgent.share === 1 && seen.later.share === 1],
	['nothing is held back where all have the same priority', [calm, {count: 400, queueMs: long}], [urgent, {...later, priority: 0}], seen => seen.later.share === 1],
	['the least urgent are held back first', [calm, {count: 25, queueMs: long}], [urgent, later], seen => seen.urgent.share === 1 && seen.later.share < 1],
	[
		'every class keeps its floor however long the shortage lasts',
		[calm, {count: 4000, queueMs: long}],
		[urgent, later],
		({urgent, later}) => [urgent, later].every(({share, large}) => share >= (urgent.share + later.share) / 4 && large >= share / 2),
	],
	['a short pause of the shortage changes nothing', [calm, {count: 100, queueMs: long}, {count: 3, queueMs: short}, {count: 20, queueMs: between}], [urgent, later], seen => seen.later.share < 0.8],
	['all are admitted again after the shortage', [calm, {count: 200, queueMs: long}, {count: 300, queueMs: short}, calm], [urgent, later], seen => seen.later.share === 1],
] as Array<[string, Load[], Applicant[], (seen: Seen) => boolean]>) {
	test(`shortage: ${title}`, t => {
		const seen = play(Shortage.create(settings), loads, routes);
		t.log(seen);
		t.true(check(seen));
	});
}

for (const [title, refusals, below] of [
	['a route is below its floor once less than half as much of it is admitted as of all', {urgent: 0, later: 10}, true],
	['a route is not below its floor while more is admitted', {urgent: 0, later: 2}, false],
	['no route is below its floor while all are refused alike', {urgent: 8, later: 8}, false],
] as Array<[string, Record<string, number>, boolean]>) {
	test(`shortage: ${title}`, t => {
		const shortage = Shortage.create(settings);
		for (let index = 0; index < 10; index++) {
			for (const one of [urgent, later]) {
				shortage.record(one, index >= refusals[one.route]!, index);
			}
		}

		t.is(shortage.isBelowFloor(later), below);
	});
}
