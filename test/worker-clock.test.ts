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

for (const [title, clock] of [['starts from 0', 0], ['is about the same', 4900], ['is far higher', 480_000]] as const) {
	// Guards against a start or date by the clock of an earlier incarnation that seems to be a young one.
	test(`worker clock: a stamp is older than any start may be where the clock of the next incarnation ${title}`, t => {
		const workerClock = WorkerClock.create();
		workerClock.restart(0, 0);
		const stamp = workerClock.stampAt(5000);
		workerClock.restart(clock, 5100);
		t.true(workerClock.valueAt(5100) - workerClock.clockOf(stamp + 100) > 600);
		t.is(workerClock.clockOf(workerClock.stampAt(5200)), clock + 100);
	});
}

for (const clock of [0, 186, 9000, 480_000]) {
	// Guards against a start that was ordered before its sidecar had found a worker, held up by a cut, and seems young by the clock of a worker that has just come up.
	test(`worker clock: a stamp from before any worker is known is older than any start may be where the first one's clock shows ${clock}`, t => {
		const workerClock = WorkerClock.create();
		const stamp = workerClock.stampAt(0);
		workerClock.restart(clock, 500);
		t.true(workerClock.valueAt(1200) - workerClock.clockOf(stamp + 500) > 600);
		t.is(workerClock.clockOf(workerClock.stampAt(1200)), clock + 700);
	});
}
