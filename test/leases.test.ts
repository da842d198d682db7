import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {Guard, type Event} from '../src/decide/guard.js';
import {defaultLeaseBounds, Leases} from '../src/decide/leases.js';
import type {Driver} from '../src/ephemeral/driver.js';
import {features} from '../src/ephemeral/messages.js';
import type {RunId} from '../src/ports/executor.js';
import {startDriver, waitUntil} from './ephemeral-cluster.js';

/** When a caller whose connection broke submits again, and how long the worker takes to stop a run, in milliseconds. */
const {resubmitMs, stopMs} = defaultLeaseBounds;
/** The rate of the slowest clock of a worker. */
const rate = 0.98;
const heartbeatMs = 150;
const sizes = {worker: {cpu: 10, memoryMb: 100, accelerators: 0}, task: {cpu: 1, memoryMb: 1, accelerators: 0}};

const reported: Event & {kind: 'reported'} = {
	kind: 'reported', worker: {
		incarnation: 'w', born: 1, pool: 'p', capacity: sizes.worker, labels: [], draining: false,
	},
};
const polled = (clock: number, running: RunId[] = []): Event => ({
	kind: 'polled', sentAt: clock, result: {
		kind: 'seen', clock, born: 1, running, ended: [],
	},
});
const requested = (owner: string, clock: number, sentAt = clock): Event => ({
	kind: 'request', clock, request: {
		owner, ref: 1, task: `${owner}-${clock}`, resources: sizes.task, spec: '', sentAt,
	},
});
const stopRequested = (owner: string): Event => ({
	kind: 'cancel', owner, ref: 1, hung: false,
});
const confirmed = (owner: string, clock: number, date = clock): Event => ({
	kind: 'confirmed', owner, date, clock,
});
/** The worker's clock at which the rows below ask for a lease, in milliseconds. */
const at = 1000;
const fresh = Math.floor(at + Leases.create(defaultLeaseBounds).renewalMs);
const until = (date: number) => date + Leases.create(defaultLeaseBounds).callerLeaseMs;

// Guards against a run that goes on when its caller has submitted its job again.
for (const [title, events, expectedUntil] of [
	['is as long as a renewal while its owner is heard', [reported, polled(0), requested('e', 900)], fresh],
	['ends a fixed time after the date of the oldest owner', [reported, polled(0), requested('e', 500), requested('f', 900), confirmed('f', 950)], until(500)],
	['follows the dates that heartbeats carry', [reported, polled(0), requested('e', 500), confirmed('e', 950)], fresh],
	['does not follow a date from the future, by the clock of an earlier incarnation', [reported, polled(0), requested('e', 500), confirmed('e', 950, 480_000)], until(500)],
	['does not follow a date from before all times', [reported, polled(0), requested('e', 500), confirmed('e', 950, -1e308)], until(500)],
	['is bound by a run that is being stopped, whatever its entry confirms', [reported, polled(0), requested('e', 500), stopRequested('e'), confirmed('e', 950)], until(500)],
	['is bound by a run of a lost owner that links again', [reported, polled(0), requested('e', 500), {kind: 'ownerLost', owner: 'e'}, confirmed('e', 950), requested('e', 960)], until(500)],
	['is bound by an owner that is lost until its runs have ended', [reported, polled(0), requested('e', 500), {kind: 'ownerLost', owner: 'e'}, requested('f', 900)], until(500)],
	[
		'is bound by no owner whose runs have ended',
		[reported, polled(0), requested('e', 500), {kind: 'started', run: {task: 'e-500', number: 1}, reply: {kind: 'refused', reason: 'late'}}, requested('f', 900)],
		fresh,
	],
	['is not extended before it is known what an earlier sidecar left', [reported], 0],
	['is not extended while a run of an earlier sidecar goes on', [reported, polled(900, [{task: 't', number: 1}])], 0],
	['is not extended after a restart of the worker before its owners are heard', [reported, polled(0), requested('e', 900), {
		kind: 'polled', sentAt: 950, result: {
			kind: 'seen', clock: 5, born: 2, running: [{task: 'e-900', number: 1}], ended: [],
		},
	}], 0],
] as Array<[string, Event[], number]>) {
	test(`leases: a lease ${title}`, t => {
		const guard = Guard.create();
		for (const event of events) {
			guard.step(event, 0);
		}

		t.is(guard.grantLease(at), expectedUntil);
	});
}

test('leases: a start is refused where a lease that was granted outlives it', t => {
	const guard = Guard.create();
	guard.step(reported, 0);
	guard.grantLease(0);
	for (const event of [polled(0), requested('e', 1000)]) {
		guard.step(event, 0);
	}

	const end = guard.grantLease(1000);
	const oldest = end - Leases.create(defaultLeaseBounds).callerLeaseMs;
	t.deepEqual([oldest - 1, oldest].map(date => guard.step(requested(`f${date}`, 1000, date), 0)[0]?.kind), ['refuse', 'start']);
});

test('leases: a reading of the worker\'s clock that was too high does not keep starts away for long', t => {
	const guard = Guard.create();
	for (const event of [reported, polled(0), requested('e', 1e9)]) {
		guard.step(event, 0);
	}

	guard.grantLease(1e9);
	t.is(guard.step(requested('f', 2000), 0)[0]?.kind, 'start');
});

test('leases: a worker without runs is granted no lease that would keep late starts away', t => {
	const guard = Guard.create();
	for (const event of [reported, polled(0)]) {
		guard.step(event, 0);
	}

	guard.grantLease(1000);
	t.is(guard.step(requested('e', 1000, 450), 0)[0]?.kind, 'start');
});

test('leases: a run of a worker that had started again under its name when it got the order is not over while its lease lasts', t => {
	const guard = Guard.create();
	const run = {task: 'e-1700', number: 1};
	for (const event of [reported, polled(1690), requested('e', 1700)]) {
		guard.step(event, 0);
	}

	// The worker's clock shows less than 10: it shortens the lease that this order names to the longest that it grants.
	guard.grantLease(1700);
	const events: Event[] = [
		{kind: 'started', run, reply: {kind: 'unknown', cause: 'lost', absent: false}},
		{kind: 'reported', worker: {...reported.worker, born: 2}},
		{
			kind: 'polled', sentAt: 290, result: {
				kind: 'seen', clock: 290, born: 2, running: [run], ended: [],
			},
		},
	];
	for (const event of events) {
		guard.step(event, 0);
	}

	guard.grantLease(300);
	guard.step({
		kind: 'polled', sentAt: 300, clock: 500, result: {kind: 'unknown', cause: 'lost', absent: false},
	}, 0);
	t.is(guard.runCount, 1);
});

test('leases: the terms of the bound fit into the time after which a caller submits again', t => {
	const {callerLeaseMs, renewalMs, maxDateAgeMs} = Leases.create(defaultLeaseBounds);
	/** An entry that is on time doesn't count its input as old for two ticks of 20 ms; the end of a connection is on its way for 10; the worker's clock was read within 2 s. */
	const dateErrorMs = 40 + 10 + (2000 * (1 - rate));
	t.true((callerLeaseMs / rate) + dateErrorMs + stopMs <= resubmitMs);
	// Heartbeats each 200 ms, looked for each 100, and one more that is lost keep a date fresh.
	t.true(maxDateAgeMs >= 600);
	// An owner is found overdue within a check of 100 ms, and an order and a poll take up to 60 ms each.
	t.true(maxDateAgeMs + 100 + stopMs + (2 * 60) + 20 <= callerLeaseMs);
	t.true(renewalMs + 300 <= callerLeaseMs);
});

/** A worker that notes the end of its lease, and an entry that sends what a test tells it to. */
type Setup = {
	driver: Driver;
	runs: RunId[];
	/** How many links the sidecar has opened. */
	links(): number;
	leaseUntil(): number;
	/** By how much the last start extended the lease, in milliseconds. */
	extensionMs(): number;
	hasLapsed(): boolean;
	clock(): number;
	send(message: unknown): void;
	/** Starts a task, again where the sidecar refuses it, as on a busy machine. Resolves once it runs. */
	startTask(): Promise<void>;
	startBeating(): () => void;
	/** From now on the worker's clock is behind by this much, in milliseconds. */
	setBack(ms: number): void;
	/** From now on polls wait as they are asked to, and this many are lost on their way. */
	losePolls(count: number): void;
};

async function openSidecar(t: ExecutionContext, announced: readonly string[]): Promise<Setup> {
	const from = systemClock.mono();
	const clock = () => Math.floor(systemClock.mono() - from);
	let leaseUntil = 0;
	let extensionMs = 0;
	let lostPolls = 0;
	let hasLapsed = false;
	let isPrompt = true;
	let behindMs = 0;
	let runs: RunId[] = [];
	let socket: Socket | undefined;
	let links = 0;
	const send = (message: unknown): void => {
		socket!.write(`${JSON.stringify([message])}\n`);
	};

	const entry = createServer(accepted => {
		socket = accepted;
		links++;
		accepted.on('error', () => undefined);
		accepted.resume();
		send({
			kind: 'hello', role: 'entry', node: 'e', life: 'e-1', address: '127.0.0.1:1', features: announced,
		});
	}).listen(0, '127.0.0.1');
	t.teardown(() => {
		socket?.destroy();
		entry.close();
	});
	await new Promise(resolve => {
		entry.once('listening', resolve);
	});
	const driver = startDriver(t, 's', {
		seeds: [`127.0.0.1:${(entry.address() as AddressInfo).port}`],
		executor: {
			async start({task, number, leaseUntil: granted}) {
				extensionMs = granted - clock();
				leaseUntil = Math.max(leaseUntil, Math.min(granted, clock() + defaultLeaseBounds.longestMs));
				runs.push({task, number});
				return {kind: 'done', clock: clock() - behindMs};
			},
			// The sidecar is taken to be lost before its stop goes out.
			async stop() {
				return {kind: 'unknown', cause: 'lost', absent: false};
			},
			async poll({leaseUntil: granted, waitMs, marginMs}) {
				if (lostPolls > 0) {
					lostPolls--;
					await systemClock.sleep(waitMs + marginMs);
					return {kind: 'unknown', cause: 'lost', absent: false};
				}

				hasLapsed ||= runs.length > 0 && clock() > leaseUntil;
				leaseUntil = Math.max(leaseUntil, Math.min(granted ?? 0, clock() + defaultLeaseBounds.longestMs));
				await systemClock.sleep(isPrompt ? Math.min(10, waitMs) : waitMs);
				return {
					kind: 'seen', clock: clock() - behindMs, born: 1, running: [...runs], ended: [],
				};
			},
			async close() {
				runs = [];
			},
		},
	});
	await waitUntil(() => driver.linkedEntries === 1 && driver.guard.startRefusal === undefined);
	return {
		driver, clock, send, runs, links: () => links, leaseUntil: () => leaseUntil, extensionMs: () => extensionMs, hasLapsed: () => hasLapsed, losePolls(count) {
			isPrompt = false;
			lostPolls = count;
		}, setBack(ms) {
			behindMs = ms;
		}, async startTask() {
			let ref = 0;
			let sentAt = Number.NEGATIVE_INFINITY;
			await waitUntil(() => {
				if (runs.length === 0 && clock() - sentAt > heartbeatMs) {
					sentAt = clock();
					ref++;
					send({
						kind: 'start', ref, task: 't', room: sizes.task, spec: 'x', stamp: sentAt, age: 0,
					});
				}

				return runs.length === 1;
			});
		}, startBeating() {
			const timer = setInterval(() => {
				send({kind: 'beat', needed: true});
				if (announced.includes('callers')) {
					send({kind: 'callers', stamp: clock(), age: 0});
				}
			}, heartbeatMs);
			const end = () => {
				clearInterval(timer);
			};

			t.teardown(end);
			return end;
		},
	};
}

for (const [title, announced] of [
	['that dates its heartbeats', features.filter(feature => feature !== 'msgpack')],
	['that dates its starts only', []],
] as Array<[string, string[]]>) {
	test(`leases: no lease outlives an entry ${title} by more than its callers' pause`, async t => {
		const setup = await openSidecar(t, announced);
		const stopBeating = setup.startBeating();
		await setup.startTask();
		await systemClock.sleep(1500);
		t.deepEqual([setup.links(), setup.driver.guard.runCount], [1, 1]);
		stopBeating();
		const silentFrom = setup.clock();
		await waitUntil(() => setup.driver.linkedEntries === 0);
		await systemClock.sleep(500);
		t.true(((setup.leaseUntil() - silentFrom) / rate) + stopMs <= resubmitMs, `${setup.leaseUntil() - silentFrom} ms`);
	});
}

test('leases: an order to an idle worker whose clock is slow is dated by its last report', async t => {
	const setup = await openSidecar(t, features.filter(feature => feature !== 'msgpack'));
	await systemClock.sleep(500);
	const driftMs = 30;
	setup.driver.workerReported({
		incarnation: 'w-s', born: 1, pool: 'p', capacity: sizes.worker, labels: [], draining: false,
	}, setup.clock() - driftMs);
	setup.setBack(driftMs);
	await setup.startTask();
	t.true(setup.extensionMs() <= Leases.create(defaultLeaseBounds).renewalMs - driftMs, `${setup.extensionMs()} ms`);
});

test('leases: starts that are refused keep their entry\'s other runs', async t => {
	const setup = await openSidecar(t, features.filter(feature => feature !== 'msgpack'));
	await setup.startTask();
	let ref = 1;
	const from = setup.clock();
	while (setup.clock() - from < 1500) {
		ref++;
		setup.send({
			kind: 'start', ref, task: `u${ref}`, room: {...sizes.task, cpu: 1000}, spec: 'x', stamp: setup.clock(), age: 0,
		});
		await systemClock.sleep(heartbeatMs);
	}

	t.deepEqual([setup.links(), setup.driver.guard.runCount], [1, 1]);
});

for (const count of [1, 2]) {
	test(`leases: a lease survives ${count} polls that are lost on their way`, async t => {
		const setup = await openSidecar(t, features.filter(feature => feature !== 'msgpack'));
		const stopBeating = setup.startBeating();
		await setup.startTask();
		setup.losePolls(0);
		await systemClock.sleep(500);
		setup.losePolls(count);
		await systemClock.sleep(1500);
		stopBeating();
		t.false(setup.hasLapsed());
	});
}

test('leases: messages that a sidecar reads late do not make their entry look alive', async t => {
	const setup = await openSidecar(t, features.filter(feature => feature !== 'msgpack'));
	const stopBeating = setup.startBeating();
	await setup.startTask();
	stopBeating();
	const silentFrom = setup.clock();
	const late = setInterval(() => {
		setup.send({kind: 'beat', needed: true});
		setup.send({kind: 'callers', stamp: silentFrom, age: 0});
	}, heartbeatMs);
	t.teardown(() => {
		clearInterval(late);
	});
	await waitUntil(() => setup.driver.linkedEntries === 0);
	clearInterval(late);
	t.true(setup.clock() - silentFrom + stopMs <= resubmitMs);
	t.true(((setup.leaseUntil() - silentFrom) / rate) + stopMs <= resubmitMs, `${setup.leaseUntil() - silentFrom} ms`);
});
