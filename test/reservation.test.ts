import test from 'ava';
import fc from 'fast-check';
import {Guard, type Action, type Event} from '../src/decide/guard.js';
import {
	expectedReleases, maxReleases, reservationMs, type Release,
} from '../src/decide/reservation.js';

const capacity = 10;
const cpuOnly = (cpu: number) => ({cpu, memoryMb: 0, accelerators: 0});
const ready: Event[] = [
	{
		kind: 'reported', worker: {
			incarnation: 'w', born: 1, pool: 'p', capacity: cpuOnly(capacity), labels: [], draining: false,
		},
	},
	{
		kind: 'polled', sentAt: 0, result: {
			kind: 'seen', clock: 0, born: 1, running: [], ended: [],
		},
	},
];
const request = (task: string, cpu: number, expectedMs?: number, owner = 'small'): Event => ({
	kind: 'request', clock: 0, request: {
		owner, ref: Number(task.slice(1)), task, resources: cpuOnly(cpu), spec: '', sentAt: 0, expectedMs,
	},
});
const reserve = (owner: string, cpu: number, isReserving = true): Event => ({
	kind: 'want', owner, resources: cpuOnly(cpu), dueMs: 0, reserve: isReserving,
});
const end = (task: string, sequence: number): Event => ({
	kind: 'polled', sentAt: 0, result: {
		kind: 'seen', clock: 0, born: 1, running: [], ended: [{
			sequence, task, number: 1, ending: 'done',
		}],
	},
});
const resized = (cpu: number): Event => ({
	kind: 'reported', worker: {
		incarnation: 'w', born: 1, pool: 'p', capacity: cpuOnly(cpu), labels: [], draining: false,
	},
});
const short = (action: Action): string => {
	switch (action.kind) {
		case 'start': {
			return `start ${action.run.task}`;
		}

		case 'refuse': {
			return `refuse ${action.ref} ${action.why}`;
		}

		case 'offer': {
			return `offer ${action.owner}`;
		}

		case 'stop':
		case 'end':
		case 'crashed': {
			return action.kind;
		}
	}
};

/** Two runs hold 8 of 10, and end at 100 and 200; `large` reserves 6, which should be free at 100. */
const reserved: Array<[number, Event]> = [[0, request('t1', 4, 100)], [0, request('t2', 4, 200)], [0, reserve('large', 6)]];
for (const [title, events, last] of [
	['a reservation over a capacity that shrank holds nothing back', [...reserved, [0, resized(5)], [0, end('t1', 1)], [0, request('t3', 1, 999)]], ['start t3']],
	['a task that ends before the reserved start is backfilled', [...reserved, [10, request('t3', 2, 90)]], ['start t3']],
	['a task that would delay the reserved start is refused', [...reserved, [10, request('t3', 2, 91)]], ['refuse 3 room']],
	['a task of unknown run time is refused where it could delay the reserved start', [...reserved, [10, request('t3', 2)]], ['refuse 3 room']],
	['another task of the owner is held back as any other', [...reserved, [10, request('t3', 2, 91, 'large')]], ['refuse 3 room']],
	['a task that fits beside the reservation starts', [[0, request('t1', 4, 100)], [0, request('t2', 4, 100)], [0, reserve('large', 8)], [10, request('t3', 2, 999)]], ['start t3']],
	['an expired reservation holds nothing back', [...reserved, [reservationMs, request('t3', 2, 999)]], ['start t3']],
	['the loss of the owner drops its reservation', [...reserved, [10, {kind: 'ownerLost', owner: 'large'}], [10, request('t3', 2, 999)]], ['start t3']],
	['an ordinary capacity request of the owner withdraws its reservation', [...reserved, [10, reserve('large', 6, false)], [10, request('t3', 2, 999)]], ['start t3']],
	['a second owner cannot replace a reservation', [...reserved, [10, reserve('other', 9)], [10, request('t3', 2, 91)]], ['refuse 3 room']],
	['reserved capacity that becomes free is offered to its owner first', [...reserved, [10, {...reserve('other', 6, false), dueMs: -1000}], [100, end('t1', 1)]], ['end', 'offer large']],
	['a reservation is not granted where the ends are unknown', [[0, request('t1', 8)], [0, reserve('large', 6)], [10, request('t3', 2, 999)]], ['start t3']],
	['a reservation is not granted where the capacity is free too late', [[0, request('t1', 8, reservationMs + 1)], [0, reserve('large', 6)], [10, request('t3', 2, 999)]], ['start t3']],
	[
		'after a reservation the worker takes none for as long as it stood',
		[[0, request('t1', 8, 500)], [250, reserve('large', 6)], [550, reserve('large', 6)], [560, request('t3', 2, 999)]],
		['start t3'],
	],
] as Array<[string, Array<[number, Event]>, string[]]>) {
	test(`reservation: ${title}`, t => {
		const guard = Guard.create({lookAhead: true});
		let actions: Action[] = [];
		for (const [at, event] of [...ready.map((one): [number, Event] => [0, one]), ...events]) {
			actions = guard.step(event, at);
		}

		t.deepEqual(actions.map(action => short(action)), last);
	});
}

test('reservation: with the switch off a request for one is an ordinary capacity request', t => {
	const guard = Guard.create();
	const actions = [...ready, ...reserved.map(([, event]) => event), request('t3', 2, 999)].flatMap(event => guard.step(event, 0));
	t.deepEqual(actions.map(action => short(action)), ['start t1', 'start t2', 'start t3']);
	t.deepEqual(guard.releases(0), []);
});

for (const [title, ends, releases] of [
	['none are reported where nothing is known', [], []],
	['totals are in order of time', [[50, 2], [20, 1]], [[20, 1], [50, 3]]],
	['an overdue run is released now', [[-5, 2]], [[0, 2]]],
	['many ends are reported in groups with the time of the last', [[1, 1], [2, 1], [3, 1], [4, 1], [5, 1], [6, 1], [7, 1], [8, 1]], [[2, 2], [4, 4], [6, 6], [8, 8]]],
] as Array<[string, Array<[number, number]>, Release[]]>) {
	test(`releases: ${title}`, t => {
		t.deepEqual(expectedReleases(ends.map(([endsAt, cpu]) => ({endsAt, resources: cpuOnly(cpu)})), 0), releases);
		t.true(releases.length <= maxReleases);
	});
}

const task = fc.record({cpu: fc.integer({min: 1, max: capacity}), ms: fc.integer({min: 1, max: 400}), at: fc.integer({min: 0, max: 800})});

/** Plays small tasks against an owner that asks for a reservation at `askAt`, with exact estimates. Returns when each small task was refused although it fitted, and when the owner was offered its capacity. */
function play(tasks: ReadonlyArray<{cpu: number; ms: number; at: number}>, cpu: number, askAt: number) {
	const guard = Guard.create({lookAhead: true});
	for (const event of ready) {
		guard.step(event, 0);
	}

	const running = new Map<string, {cpu: number; until: number}>();
	const heldBackAt: number[] = [];
	let sequence = 0;
	let offeredAt: number | undefined;
	let promisedAt: number | undefined;
	let most = 0;
	for (let now = 0; now <= 1200; now++) {
		for (const [name, {until}] of running) {
			if (until <= now) {
				running.delete(name);
				const offers = guard.step({
					kind: 'polled', sentAt: now - 1, result: {
						kind: 'seen', clock: 0, born: 1, running: [...running.keys()].map(one => ({task: one, number: 1})), ended: [{
							sequence: ++sequence, task: name, number: 1, ending: 'done',
						}],
					},
				}, now);
				offeredAt ??= offers.some(({kind}) => kind === 'offer') ? now : undefined;
			}
		}

		if (now === askAt) {
			const offers = guard.step(reserve('large', cpu), now);
			offeredAt ??= offers.some(({kind}) => kind === 'offer') ? now : undefined;
			const promised = guard.reservedByOthers('small', now);
			promisedAt = promised && now + promised[0];
		}

		for (const [index, {cpu: size, ms}] of tasks.entries()) {
			const used = [...running.values()].reduce((sum, {cpu: one}) => sum + one, 0);
			if (tasks[index]!.at === now) {
				const [action] = guard.step(request(`t${index}`, size, ms), now);
				if (action?.kind === 'start') {
					running.set(`t${index}`, {cpu: size, until: now + ms});
				} else if (used + size <= capacity) {
					heldBackAt.push(now);
				}
			}
		}

		most = Math.max(most, [...running.values()].reduce((sum, {cpu: one}) => sum + one, 0));
	}

	return {
		heldBackAt, offeredAt, promisedAt, most,
	};
}

test('reservation: nothing exceeds capacity, a reserved task is not delayed by a backfilled one when estimates hold, and nothing is held back beyond the expiry', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(task, {maxLength: 40}), fc.integer({min: 1, max: capacity}), fc.integer({min: 0, max: 800}), (tasks, cpu, askAt) => {
			const {heldBackAt, offeredAt, promisedAt, most} = play(tasks, cpu, askAt);
			// An offer holds its capacity for another 20 ms.
			return most <= capacity
				&& (promisedAt === undefined || (offeredAt !== undefined && offeredAt <= promisedAt))
				&& heldBackAt.every(at => at >= askAt && at < askAt + reservationMs + 20);
		}), {numRuns: 300});
	});
});

test('reservation: however often owners ask, a worker is reserved for at most half of any long time, each time for the expiry at most', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.record({at: fc.integer({min: 0, max: 5000}), owner: fc.constantFrom('a', 'b', 'c')}), {maxLength: 60}), asks => {
			const guard = Guard.create({lookAhead: true});
			for (const event of [...ready, request('t1', 8, 1)]) {
				guard.step(event, 0);
			}

			let held = 0;
			let run = 0;
			let longest = 0;
			for (let now = 1; now <= 5000; now++) {
				for (const {owner} of asks.filter(({at}) => at === now)) {
					guard.step(reserve(owner, 6), now);
				}

				run = guard.reservedByOthers('small', now) ? run + 1 : 0;
				held += run > 0 ? 1 : 0;
				longest = Math.max(longest, run);
			}

			return longest <= reservationMs && held <= (5000 + reservationMs) / 2;
		}), {numRuns: 100});
	});
});
