import test from 'ava';
import {unevenLoads} from '../bench/look-ahead.js';
import {Plan} from '../bench/plan.js';
import {
	areReleases, chooseReservation, expectedFreeMs, isExpectedTime, mayStartBeside, reportedHold, TaskSizes, type Hold, type Outlook,
} from '../src/decide/look-ahead.js';
import {reservationMs, type Release} from '../src/decide/reservation.js';
import {
	Schedule, type Action, type Event, type Policy,
} from '../src/decide/schedule/schedule.js';

const outlook: Outlook = {releases: [[50, 2], [100, 6]], reserved: [100, 6], at: 1000};

for (const [title, free, cpu, now, expected] of [
	['what fits is free now', 4, 4, 1000, 0],
	['the first release that suffices counts', 1, 5, 1000, 100],
	['the age of the outlook is taken off', 1, 3, 1030, 20],
	['a release that is overdue counts as now', 1, 3, 1080, 0],
	['without a release that suffices it is unknown', 1, 8, 1000, undefined],
	['an old outlook is not used', 1, 3, 2001, undefined],
] as const) {
	test(`look-ahead: ${title}`, t => {
		t.is(expectedFreeMs(free, cpu, outlook, now), expected);
	});
}

const hold: Hold = {cpu: 7, startsAt: 1100, until: 1300};
for (const [title, task, free, now, expected] of [
	['what ends before the reserved start', {cpu: 2, runMs: 90}, 2, 1010, true],
	['what ends after it', {cpu: 2, runMs: 91}, 2, 1010, false],
	['what leaves the reserved capacity free', {cpu: 1, runMs: 999}, 2, 1010, true],
	['anything once the reservation has expired', {cpu: 2, runMs: 999}, 2, 1300, true],
] as const) {
	test(`look-ahead: beside a reservation may start: ${title}: ${expected}`, t => {
		t.is(mayStartBeside(hold, task, {freeCpu: free, outlook}, now), expected);
	});
}

test('look-ahead: a reported reservation of another entry counts until it must have expired', t => {
	t.deepEqual(reportedHold(outlook, 1010), {cpu: 6, startsAt: 1100, until: 1000 + reservationMs});
	t.is(reportedHold(outlook, 1000 + reservationMs), undefined);
});

test('look-ahead: a reservation is asked for where the task ends first, and not where it would expire before', t => {
	const options = [{place: 'a', startInMs: 0, runMs: 200}, {place: 'b', startInMs: 50, runMs: 100}, {place: 'c', startInMs: reservationMs, runMs: 1}];
	t.is(chooseReservation(options)?.place, 'b');
	t.is(chooseReservation(options.slice(2)), undefined);
});

test('look-ahead: sizes differ by more than a factor of 2, and sizes seen long ago do not count', t => {
	const sizes = TaskSizes.create();
	sizes.observe('p', 2, 0);
	sizes.observe('p', 4, 0);
	t.false(sizes.isUneven('p'));
	sizes.observe('p', 5, 0);
	t.true(sizes.isUneven('p') && sizes.isLarge('p', 5) && !sizes.isLarge('p', 4));
	sizes.observe('p', 4, 30_000);
	t.false(sizes.isUneven('p'));
});

for (const [title, releases, expected] of [
	['in order', [[0, 0], [5, 2]], true],
	['a negative time', [[-1, 2]], false],
	['a negative capacity', [[1, -2]], false],
	['times out of order', [[5, 2], [4, 3]], false],
	['a total that shrinks', [[5, 2], [6, 1]], false],
	['a time beyond all reason', [[1e12, 2]], false],
] as Array<[string, Release[], boolean]>) {
	test(`look-ahead: releases of a peer are ${expected ? 'used' : 'ignored'}: ${title}`, t => {
		t.is(areReleases(releases), expected);
		t.true(isExpectedTime(0) && !isExpectedTime(-1));
	});
}

const cpuOnly = (cpu: number) => ({cpu, memoryMb: 0, accelerators: 0});
const told: Event = {
	kind: 'told', place: 'a', report: {
		zone: 'z', pool: 'p', room: cpuOnly(10), others: cpuOnly(8), isFailing: false,
	},
};
const submit = (id: string, cpu: number, estimateMs = 100): Event => ({
	kind: 'submit', job: {
		id, route: 'r', pool: 'p', spec: '', tasks: [{name: `${id}.0`, resources: cpuOnly(cpu), estimateMs}], aimMs: 3000, stretch: 1.6, attempts: 2, priority: 0, leftMs: 9000,
	},
});
const room = (others: number): Event => ({
	kind: 'room', place: 'a', others: cpuOnly(others), releases: [[100, 8]],
});
const short = (action: Action): string => {
	switch (action.kind) {
		case 'start': {
			return `start ${action.task.name}${action.expectedMs === undefined ? '' : ` for ${action.expectedMs}`}`;
		}

		case 'want': {
			return `want ${action.resources.cpu}${action.reserve ? ' reserved' : ''}`;
		}

		case 'stop':
		case 'answer':
		case 'notice': {
			return action.kind;
		}
	}
};

/** A large task has a reservation for 100 ms from now, and 2 are free until then. */
const reserved: Event[] = [told, room(8), submit('s', 1), submit('large', 9)];
for (const [title, policy, events, last] of [
	['a large task that fits nowhere asks for a reservation', {}, reserved, ['want 9 reserved']],
	['off, it asks for capacity alone', {lookAhead: 'off'}, reserved, ['want 9']],
	['where sizes do not differ it asks for capacity alone', {lookAhead: 'auto'}, [told, room(8), submit('large', 9)], ['want 9']],
	['where sizes differ it asks for a reservation', {lookAhead: 'auto'}, reserved, ['want 9 reserved']],
	['a start tells the expected time', {}, [told, submit('s', 1)], ['start s.0 for 100']],
	['off, a start tells none', {lookAhead: 'off'}, [told, submit('s', 1)], ['start s.0']],
	['an own task that ends before the reserved start is placed there', {}, [...reserved, submit('t', 1, 90)], ['start t.0 for 90']],
	['an own task that would delay it is not', {}, [...reserved, submit('t', 1, 200)], []],
	['a reservation whose job is cancelled is withdrawn', {}, [...reserved, {kind: 'cancel', job: 'large'}, {kind: 'tick'}], ['want 9']],
	['offered capacity goes to the task for which it was reserved', {}, [...reserved, submit('t', 1, 200), {kind: 'offered', place: 'a'}, room(0)], ['start large.0 for 100', 'want 1']],
] as Array<[string, Partial<Policy>, Event[], string[]]>) {
	test(`look-ahead: ${title}`, t => {
		const schedule = Schedule.create({lookAhead: 'on', ...policy});
		let actions: Action[] = [];
		for (const event of events) {
			actions = schedule.step(event, 0);
		}

		t.deepEqual(actions.map(action => short(action)), last);
	});
}

test('look-ahead: in a load of unequal tasks no guard exceeds its capacity, and every job gets its answer', t => {
	const plan = Plan.create({...unevenLoads.unevenFull!, seconds: 2}, {lookAhead: 'on'}, 1).play();
	const asked = [...plan.tallies.values()].reduce((sum, tally) => sum + tally.asked, 0);
	t.is(plan.ended.length, asked);
	t.true(plan.mostUsed <= 1, `${plan.mostUsed} of a worker in use`);
});
