import test from 'ava';
import {WorkerClock} from '../src/decide/worker-clock.js';

for (const [title, readings, now, value, latest] of [
	['goes on from the newest reading', [[1000, 0]], 500, 1500, 1500],
	['of a request is not set back by a reply that was handled late', [[1000, 0], [1100, 900]], 918, 1118, 1900],
	['follows a clock that is 2% slow', [[1000, 0], [1980, 1020], [2980, 2040]], 2040, 2980, 2980],
	['follows a clock that is fast', [[1000, 0], [2100, 1000]], 1100, 2200, 2200],
] as Array<[string, Array<[clock: number, at: number]>, number, number, number]>) {
	test(`worker clock: the clock ${title}`, t => {
		const clock = WorkerClock.create();
		for (const [reading, at] of readings) {
			clock.read(reading, at);
		}

		t.deepEqual([clock.valueAt(now), Math.round(clock.latestAt(now))], [value, latest]);
	});
}

test('worker clock: the clock begins anew with another incarnation', t => {
	const clock = WorkerClock.create();
	clock.read(480_000, 0);
	clock.restart(100, 50);
	t.deepEqual([clock.valueAt(60), clock.latestAt(60)], [110, 110]);
});

for (const [title, reading, value] of [
	['corrects the drift of a clock that is 2% slow', 2955, 2955],
	['that was late changes nothing', 2000, 3000],
	['that is ahead changes nothing', 9000, 3000],
] as const) {
	// Guards against leases dated ahead of the clock of a worker that was idle, and so not polled.
	test(`worker clock: the clock of a report ${title}`, t => {
		const clock = WorkerClock.create();
		clock.read(1000, 0);
		clock.readDelayed(reading, 2000);
		t.is(clock.valueAt(2000), value);
	});
}
