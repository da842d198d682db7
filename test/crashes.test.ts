import test from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import type {Event} from '../src/decide/schedule/schedule.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';
import {policySettings} from '../src/settings/policy.js';
import {
	createJob, room, silentLog, startCluster, submit, waitUntil,
} from './ephemeral-cluster.js';

/** Returns the events of some kinds that an entry's schedule gets from now on. */
function listen<Kind extends Event['kind']>({schedule}: Dispatcher, ...kinds: Kind[]): Array<Event & {kind: Kind}> {
	const events: Array<Event & {kind: Kind}> = [];
	const step = schedule.step.bind(schedule);
	schedule.step = (event, now) => {
		if ((kinds as string[]).includes(event.kind)) {
			events.push(event as Event & {kind: Kind});
		}

		return step(event, now);
	};

	return events;
}

/** How long a worker stays away after a crash, in milliseconds. */
const awayMs = 500;

// Guards against a crashed worker that is offered tasks until three polls are unanswered: each was lost again with the next poll.
test('crashes: only what ran at a crashed worker is lost, and nothing more is sent to it until it is back', async t => {
	const {entries: [entry], drivers: [driver], driverMetrics: [metrics], workers: [worker], executors: [executor]} = await startCluster(t, 1, 1, 100);
	await waitUntil(() => entry!.schedule.placeCounts.open === 1);
	const verdict = submit(entry!, createJob('j', 4));
	await waitUntil(() => worker!.tasks.length === 2);
	worker!.restart();
	executor!.refuses = true;
	await systemClock.sleep(awayMs);
	t.is(entry!.schedule.placeCounts.open, 0);
	const counted = async () => (await metrics!.endedRuns.get()).values.find(({labels}) => labels.outcome === 'lost')?.value;
	t.is(await counted(), 2);
	executor!.refuses = false;
	driver!.workerReported({
		incarnation: 'w2', born: 2, pool: 'p', capacity: room, labels: [], draining: false,
	}, 0);
	t.deepEqual(await verdict, {kind: 'completed'});
	t.is(await counted(), 2);
	t.deepEqual(worker!.violations, []);
});

// Guards against a count of crashes that dies with the entry whose tasks ran there, and against one that misses the crash when it counts the lost run.
test('crashes: all entries hear of a crash before the lost runs, and those that link later hear of it too', async t => {
	const {entries, driverMetrics: [metrics], workers: [worker], executors: [executor]} = await startCluster(t, 2, 1, 300);
	await waitUntil(() => entries.every(({schedule}) => schedule.placeCounts.open === 1));
	const heard = entries.map(entry => listen(entry, 'crashed', 'ended'));
	void submit(entries[0]!, createJob('j'));
	await waitUntil(() => worker!.tasks.length === 2);
	worker!.restart();
	executor!.refuses = true;
	await waitUntil(() => heard[0]!.length === 3 && heard[1]!.length > 0);
	const crash = {
		kind: 'crashed', place: 's0', life: 'w-s0/1', tasks: [['j.0', 'r'], ['j.1', 'r']],
	} as const;
	t.like(heard[0]![0], crash);
	t.deepEqual(heard[0]!.map(event => event.kind === 'ended' ? event.outcome : event.kind), ['crashed', 'lost', 'lost']);
	t.like(heard[1]![0], crash);
	t.deepEqual((await metrics!.workerCrashes.get()).values.map(({labels, value}) => [labels.sign, value]), [['connection', 1]]);

	await systemClock.sleep(awayMs);
	for (const [links, count] of [['auto', 1], ['off', 0]] as const) {
		const late = await Dispatcher.create({
			node: `late-${links}`, incarnation: links, address: '127.0.0.1:0', seeds: [entries[0]!.address], policy: policySettings.parse({links: {enabled: links}}),
		}, systemClock, silentLog, DispatcherMetrics.create());
		t.teardown(() => {
			late.close();
		});
		const lateHeard = listen(late, 'crashed');
		await waitUntil(() => late.schedule.placeCounts.linked === 1);
		t.is(lateHeard.length, count);
		t.true(lateHeard.every(({ageMs}) => ageMs >= awayMs && ageMs < awayMs + 3000));
	}
});

// Guards against a worker that stays closed, or is told to leave, because the incarnation of its name before was draining.
test('crashes: a worker that starts again under its name while it drains is open to work, and does not leave', async t => {
	const {entries: [entry], drivers: [driver], workers: [worker]} = await startCluster(t, 1, 1, 3000);
	await waitUntil(() => entry!.schedule.placeCounts.open === 1);
	const report = (born: number, fields: {draining: boolean; remainingMs?: number}): void => {
		driver!.workerReported({
			incarnation: 'w-s0', born, pool: 'p', capacity: room, labels: [], ...fields,
		}, 0);
	};

	void submit(entry!, createJob('j', 1, 3000));
	await waitUntil(() => worker!.tasks.length === 1);
	const told = listen(entry!, 'told');
	report(1, {draining: true, remainingMs: 60_000});
	worker!.restart();
	await waitUntil(() => told.some(({report: {hindrance}}) => hindrance === 'absent'));
	report(2, {draining: false});
	await waitUntil(() => entry!.schedule.placeCounts.open === 1);
	t.is(told.at(-1)!.report.remainingMs, undefined);
});
