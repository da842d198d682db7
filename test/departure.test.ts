import test from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';
import {policySettings} from '../src/settings/policy.js';
import {decideMove, moveOverheadMs, type Departure} from '../src/decide/departure.js';
import {
	createExecutor, createJob, leaseMs, room, silentLog, startDriver, submit, waitUntil,
} from './ephemeral-cluster.js';
import {ModelWorker} from './model-worker.js';

/** A run that needs 3 s at a worker that stays 1.9 s, of a job that can still end elsewhere. */
const departure: Departure = {
	remainingMs: 1900, ageMs: 0, expectedMs: 3000, elsewhereMs: 1000, worthMs: 5000,
};

for (const [title, fields, expected] of [
	['a run that can\'t end before its worker is gone is moved', {}, 'move'],
	['a run that should end just in time is left', {expectedMs: 1900}, 'leave'],
	['a run that has done most of its work is left', {ageMs: 1200}, 'leave'],
	['a run that takes longer than expected is left, since it may end at any time', {expectedMs: 3000, ageMs: 3500, remainingMs: 10}, 'leave'],
	['a run whose worker is gone at once is moved', {remainingMs: 0, expectedMs: 100, ageMs: 50}, 'move'],
	['a run that could end elsewhere only when it is worth nothing is left', {worthMs: 1000}, 'leave'],
	['a run that could end elsewhere just in time is moved', {worthMs: 1000 + moveOverheadMs}, 'move'],
	['a run for which there is no room elsewhere is left', {elsewhereMs: Number.POSITIVE_INFINITY}, 'leave'],
] as const) {
	test(`departure: ${title}`, t => {
		t.is(decideMove({...departure, ...fields}), expected);
	});
}

/**
 * Long enough that none of the runs can end before it is moved, in milliseconds. The tasks have to be at two workers, so the part that puts
 * the tasks of a job at one place is off.
 */
const runMs = 3000;

for (const [title, isApplied] of [
	['the answer to the stop is lost', true],
	['the stop itself is lost', false],
] as const) {
	test(`departure: a moved run has ended before it is started elsewhere, also when ${title}`, async t => {
		const meters = DispatcherMetrics.create();
		const entry = await Dispatcher.create({
			node: 'e', incarnation: 'e-1', address: '127.0.0.1:0', seeds: [], policy: policySettings.parse({workers: {enabled: 'on'}, links: {enabled: 'off'}}),
		}, systemClock, silentLog, meters);
		t.teardown(() => {
			entry.close();
		});
		const workers = [0, 1].map(() => ModelWorker.create(room, leaseMs));
		const executors = workers.map(worker => createExecutor(worker, {resources: {...room, cpu: 4}, durationMs: runMs, ending: 'done'}));
		let lostStops = 0;
		let overlaps = 0;
		const [first] = workers.map((_, index) => startDriver(t, `s${index}`, {
			seeds: [entry.address],
			executor: {
				...executors[index]!,
				async start(order, life) {
					executors[1 - index]!.advance();
					overlaps += workers[1 - index]!.tasks.includes(order.task) ? 1 : 0;
					return executors[index]!.start(order, life);
				},
				async stop(run, fence, life) {
					if (lostStops < 3) {
						lostStops++;
						if (isApplied) {
							await executors[index]!.stop(run, fence, life);
						}

						return {kind: 'unknown', cause: 'lost', absent: false};
					}

					return executors[index]!.stop(run, fence, life);
				},
			},
		}));
		await waitUntil(() => entry.schedule.placeCounts.open === 2);
		const answer = submit(entry, createJob('j', 2, runMs));
		await waitUntil(() => workers.every(({tasks}) => tasks.length === 1));
		first!.workerReported({
			incarnation: 'w-s0', born: 1, pool: 'p', capacity: room, labels: [], draining: true, remainingMs: 100,
		}, 0);
		t.deepEqual(await answer, {kind: 'completed'});
		t.is(overlaps, 0);
		// Where only the answer is lost the next poll may show the end before the stop is sent again.
		t.true(lostStops >= (isApplied ? 1 : 3), `${lostStops}`);
		t.is(workers[1]!.startedRuns.size, 2);
		const {values: [moved]} = await meters.movedRuns.get();
		t.is(moved!.value, 1);
	});
}
