import {readFileSync} from 'node:fs';
import test from 'ava';
import fc from 'fast-check';
import {decideAdmission, type PoolLoad} from '../src/decide/admission.js';
import {
	couldHaveStartedTasks, classifyClaim, mergeReports, type Claim, type Session,
} from '../src/decide/claim.js';
import {Config} from '../src/decide/config.js';
import {
	entriesDue, entrySubset, subsetSize, type EntryContact,
} from '../src/decide/announce.js';
import {acksNeeded, isConfirmed, type Confirmation} from '../src/decide/confirm.js';
import {
	notEjected, recordResult, startProbe, availabilityOf,
} from '../src/decide/outlier-ejection.js';
import {DurationEstimator} from '../src/decide/duration-estimator.js';
import {fitsNow, applyReport, type WorkerLoad} from '../src/decide/packing.js';
import {choosePlace, slotShare, type Candidate} from '../src/decide/placement.js';
import {decideRetry} from '../src/decide/retry.js';
import {FairQueue, type QueuedTask} from '../src/decide/fair-queue.js';
import type {Row} from '../src/ports/table.js';
import {resultOf, results} from '../src/results.js';

const claim = (fields: Partial<Claim> = {}): Claim => ({
	hash: 'h', nonce: 'n', owner: 'a', epoch: 1, state: 'open', route: 'r', pool: 'p', tasks: 3, at: 100_000, ...fields,
});
const row = <Value>(value: Value, version = 1): Row<Value> => ({
	table: 't', key: 'k', value, version, created: 1,
});
const notRun = (code: number) => resultOf(code).kind === 'not-run';

for (const [title, found, standing] of [
	['an own insertion whose reply was lost is recognised', claim(), {kind: 'own', epoch: 1}],
	['an own claim under a later epoch is held', claim({epoch: 2}), {kind: 'held', owner: 'a', epoch: 2}],
	['another payload is refused', claim({hash: 'x'}), {kind: 'reused'}],
	['another owner holds it', claim({nonce: 'x', owner: 'b'}), {kind: 'held', owner: 'b', epoch: 1}],
	['a job that was not run may be opened again', claim({state: 'closed', outcome: {code: 106}}), {kind: 'reopen'}],
	['a finished job keeps its outcome', claim({state: 'closed', outcome: {code: 200}}), {kind: 'ended', outcome: {code: 200}}],
] as const) {
	test(`claim: ${title}`, t => {
		t.deepEqual(classifyClaim(row(found), claim(), notRun), standing);
	});
}

const session = (fields: Partial<Session>): Row<Session> => row({
	kind: 'sidecar', name: 's', zone: 'z', address: 'a', pools: [], at: 0, ...fields,
});

for (const [title, found, expected] of [
	['a live sidecar', session({}), true],
	['an entry', session({kind: 'entry'}), false],
	['one lost long before the claim', session({ended: 'lost', endedAt: 1000}), false],
	['one lost just before the claim', session({ended: 'lost', endedAt: 99_000}), true],
	['one that left after the claim', session({ended: 'graceful', endedAt: 200_000}), true],
] as const) {
	test(`takeover: ${title} ${expected ? 'could' : 'could not'} have started tasks`, t => {
		t.is(couldHaveStartedTasks(found, claim()), expected);
	});
}

const heard = (running: number[], ended: number[]) => ({
	kind: 'answered' as const, session: 's', running, ended: ended.map(task => ({task, code: 0, detail: ''})),
});

test('takeover: a task that no session has may start, unless a session was unreachable', t => {
	t.deepEqual(mergeReports(3, [heard([], [0]), heard([1], [])]).notStarted, [2]);
	const partly = mergeReports(3, [heard([], [0]), {kind: 'unreachable', session: 'x'}]);
	t.deepEqual([partly.notStarted, partly.unknown], [[], [1, 2]]);
});

const told = (fields: Partial<Confirmation>): Confirmation => ({
	asOf: 10_000, requestSentAt: 10_000, readable: true, pending: false, version: 5, ...fields,
});
const unreadable = told({readable: false, asOf: 0});

for (const [title, confirmations, known, now, expected] of [
	['one fresh entry suffices', [told({})], 3, 11_000, true],
	['an old confirmation does not', [told({})], 1, 13_001, false],
	['a newer version elsewhere does not', [told({version: 6})], 1, 11_000, false],
	['a majority that cannot read does', [unreadable, unreadable], 3, 11_000, true],
	['a minority that cannot read does not', [unreadable], 3, 11_000, false],
	['a majority with one entry that has an unread change pending does not', [unreadable, told({readable: false, asOf: 0, pending: true})], 3, 11_000, false],
	['a majority with old confirmations does not', [unreadable, unreadable], 3, 14_000, false],
	['no confirmation does not', [], 3, 0, false],
] as const) {
	test(`confirmation: ${title}`, t => {
		t.is(isConfirmed(new Map(confirmations.map((value, index) => [String(index), value])), known, 5, now), expected);
	});
}

test('a change is acknowledged by so many entries that no majority of any subset missed it', t => {
	for (let entries = 1; entries <= 60; entries++) {
		const missed = entries - acksNeeded(entries, subsetSize);
		t.true(missed <= Math.min(entries, subsetSize) / 2, `${entries} entries`);
	}
});

const hearing = (entry: string, heard: number, tried = 0): EntryContact => ({entry, lastHeardAt: heard, lastTriedAt: tried});

for (const [title, hearings, need, expected] of [
	['no entry while all had recent contact', [hearing('a', 97_000), hearing('b', 90_000)], 'presence', []],
	['the entry with the oldest contact when all are silent', [hearing('a', 95_000), hearing('b', 94_000)], 'presence', ['b']],
	['each entry that was silent for too long', [hearing('a', 99_000), hearing('b', 87_000)], 'presence', ['b']],
	['no entry twice in a short time', [hearing('b', 87_000, 99_500)], 'presence', []],
	['all entries without a fresh confirmation when one is needed', [hearing('a', 98_000), hearing('b', 99_000)], 'fresh', ['a']],
] as const) {
	test(`announcing goes to ${title}`, t => {
		t.deepEqual(entriesDue(hearings, need, 100_000), expected);
	});
}

test('a subset is stable: an entry that leaves moves only its own sidecars', t => {
	const entries = Array.from({length: 50}, (_, index) => `entry-${index}`);
	const rest = entries.slice(1);
	for (let index = 0; index < 100; index++) {
		const before = entrySubset(`s-${index}`, entries);
		const after = entrySubset(`s-${index}`, rest);
		t.is(after.length, subsetSize);
		t.deepEqual(before.filter(entry => entry !== 'entry-0'), after.slice(0, before.includes('entry-0') ? subsetSize - 1 : subsetSize));
	}
});

function keepsNewest(some: Array<{table: string; key: string; value: unknown; version: number; created: number}>): boolean {
	let config = Config.empty;
	for (const one of some) {
		config = config.apply([one], one.version);
	}

	const newest = Math.max(...some.map(({version}) => version));
	return config.version === newest && config.isZoneInService('z') === (newest % 2 !== 0);
}

test('configuration: the newest row wins in whatever order rows arrive', t => {
	const rows = [1, 2, 3, 4].map(version => ({
		table: 'config', key: 'availability-zones/z', value: {state: version % 2 === 0 ? 'out' : 'in'}, version, created: 1,
	}));
	t.notThrows(() => {
		fc.assert(fc.property(fc.shuffledSubarray(rows, {minLength: 1}), keepsNewest), {seed: 7});
	});
});

for (const [slots, entries] of [[8, 3], [2, 5], [8, 1], [64, 16]] as const) {
	test(`shares: ${entries} entries divide the ${slots} slots of a place, and no two shares differ by more than one`, t => {
		const names = Array.from({length: entries}, (_, index) => `entry-${index}`);
		const shares = names.map(name => slotShare('minion', slots, names, name));
		t.is(shares.reduce((a, b) => a + b, 0), slots);
		t.true(Math.max(...shares) - Math.min(...shares) <= 1);
	});
}

const waiting = (member: string, deadline: number, costMs = 100): QueuedTask => ({member, deadline, costMs});

test('sharing: no member gets more than its weight while another waits', t => {
	let queue = FairQueue.create<QueuedTask>();
	for (let index = 0; index < 400; index++) {
		queue = queue.enqueue(waiting('flood', index)).enqueue(waiting('heavy', index));
	}

	const served = {flood: 0, heavy: 0};
	for (let index = 0; index < 400; index++) {
		const {member} = queue.peek()!;
		served[member as 'flood' | 'heavy']++;
		queue = queue.dequeue(member, member === 'heavy' ? 3 : 1);
	}

	t.deepEqual(served, {flood: 100, heavy: 300});
});

test('sharing: within a member the earliest deadline goes first', t => {
	let queue = FairQueue.create<QueuedTask>();
	for (const deadline of [5, 1, 3, 2, 4]) {
		queue = queue.enqueue(waiting('m', deadline));
	}

	const order: number[] = [];
	while (queue.size > 0) {
		order.push(queue.peek()!.deadline);
		queue = queue.dequeue('m', 1);
	}

	t.deepEqual(order, [1, 2, 3, 4, 5]);
});

const candidate = (id: string, fields: Partial<Candidate>): Candidate => ({
	id, zone: 'z', slots: 8, running: 0, reserved: 0, slowness: 1, availability: 'open', blockedUntil: 0, ...fields,
});

for (const [title, candidates, choice] of [
	['a free fast place is taken', [candidate('slow', {slowness: 3}), candidate('fast', {})], {kind: 'go', id: 'fast'}],
	['a busy fast place is waited for', [candidate('slow', {slowness: 3}), candidate('fast', {running: 8})], {kind: 'wait', id: 'fast'}],
	['a slow free place beats a long wait', [candidate('slow', {slowness: 3}), candidate('fast', {running: 8, reserved: 20})], {kind: 'go', id: 'slow'}],
	['an ejected place is skipped', [candidate('slow', {slowness: 3}), candidate('fast', {availability: 'closed'})], {kind: 'go', id: 'slow'}],
	['without places there is no choice', [], {kind: 'none'}],
] as const) {
	test(`placement: ${title}`, t => {
		t.deepEqual(choosePlace(candidates, {taskMs: 100, usualMs: 100, zone: 'z'}, 0, 0.9), choice);
	});
}

test('estimate: slowness is learned in spite of times that differ ten to one, and a change is followed', t => {
	let estimate = DurationEstimator.create();
	const times = [50, 900, 120, 300, 70, 600, 200, 1000, 90, 400];
	for (let round = 0; round < 200; round++) {
		const ms = times[round % times.length]!;
		estimate = estimate.observe({
			route: 'r', place: 'even', ranMs: ms, declaredMs: 300,
		}).observe({
			route: 'r', place: 'slow', ranMs: ms * 3, declaredMs: 300,
		});
	}

	const ratio = estimate.slowness('slow') / estimate.slowness('even');
	t.true(ratio > 2.4 && ratio < 3.6, `${ratio}`);
	for (let round = 0; round < 12; round++) {
		estimate = estimate.observe({
			route: 'r', place: 'even', ranMs: times[round % times.length]! * 10, declaredMs: 300,
		});
	}

	t.true(estimate.slowness('even') > 4, `${estimate.slowness('even')}`);
});

test('ejection: three failures eject, one task probes the place, and half of a pool stays', t => {
	let health = notEjected;
	for (let failure = 0; failure < 3; failure++) {
		health = recordResult(health, false, 0, true);
	}

	t.is(availabilityOf(health, 500), 'closed');
	t.is(availabilityOf(health, 1500), 'probe');
	t.is(availabilityOf(startProbe(health), 1500), 'closed');
	t.is(availabilityOf(recordResult(startProbe(health), true, 1600, true), 1600), 'open');
	t.is(availabilityOf(recordResult({...notEjected, consecutiveFailures: 9}, false, 0, false), 0), 'open');
});

for (const [loss, repeatable, mayRepeat, gone, fate] of [
	['refused', false, false, false, 'place-again'],
	['no-reply', false, true, false, 'ask-again'],
	['no-reply', false, true, true, 'fail'],
	['no-reply', true, true, true, 'place-again'],
	['unknown', false, true, false, 'fail'],
	['unknown', true, true, false, 'place-again'],
	['unknown', true, false, false, 'fail'],
	['failed', true, true, false, 'place-again'],
] as const) {
	test(`retry: ${loss}, ${repeatable ? '' : 'not '}repeatable, ${mayRepeat ? '' : 'no '}budget, ${gone ? 'session ended' : 'session live'}: ${fate}`, t => {
		t.is(decideRetry(loss, repeatable, mayRepeat, gone), fate);
	});
}

const load: PoolLoad = {
	queued: 0, queueLimit: 100, workMs: 0, rate: 8, slots: 8, running: 0,
};
const demand = {
	tasks: 1, workMs: 100, longestMs: 100, leftMs: 1000,
};
const quota = {
	concurrent: 10, perSecond: 10, running: 0, started: 0,
};

for (const [title, found, asked, part, code] of [
	['a job that fits is admitted', load, demand, quota, undefined],
	['a deadline that cannot be met is refused', {...load, queued: 90, workMs: 9000}, demand, quota, results.deadline.code],
	['a full queue is refused', {...load, queued: 100}, demand, quota, results.overloaded.code],
	['a job over its quota is refused', load, {...demand, tasks: 11}, quota, results.overQuota.code],
	['a pool without places is refused', {...load, slots: 0, rate: 0}, demand, quota, results.noPlace.code],
] as const) {
	test(`admission: ${title}`, t => {
		const admission = decideAdmission(found, asked, part);
		t.is(admission.kind === 'refuse' ? admission.code : undefined, code);
	});
}

const size = (cores: number, memoryMb: number) => ({cores, memoryMb, accelerators: 0});
const worker: WorkerLoad = {
	size: size(8, 8000), used: size(0, 0), asOf: 1000, running: [], sizeRatios: new Map(),
};
const held = (startedAt: number) => ({
	id: 'x', route: 'r', declared: size(1, 3000), startedAt, repeatable: false,
});

test('packing: what was started since the last report counts on top of it', t => {
	t.true(fitsNow({...worker, used: size(1, 3000), running: [held(500)]}, 'r', size(1, 3000)));
	t.false(fitsNow({...worker, used: size(1, 3000), running: [held(500), held(1500)]}, 'r', size(1, 3000)));
});

test('packing: a route that uses more than it declares is packed by what it uses', t => {
	let now = {...worker, running: [held(500)]};
	for (let round = 0; round < 20; round++) {
		now = applyReport(now, size(1, 6000), 2000 + round) as typeof now;
	}

	t.false(fitsNow(now, 'r', size(1, 3000)));
	t.false(fitsNow(now, 'r', size(1, 1500)));
});

test('docs/RESULTS.md lists every result with its status', t => {
	const lines = readFileSync('docs/RESULTS.md', 'utf8').split('\n');
	for (const [name, {code, status}] of Object.entries(results)) {
		t.true(lines.some(line => line.startsWith(`| ${code} | ${name} | `) && line.includes(` | ${status} | `)), `${name}`);
	}
});
