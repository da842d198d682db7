import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {
	noState, relateAnnounced, relateRead, relateReceived, type StateInForce,
} from '../src/decide/desired-state.js';
import {encodeRows} from '../platform/desired.js';
import {
	createExecutor, leaseMs, room, startDriver, waitUntil,
} from './ephemeral-cluster.js';
import {startEntry} from './entry-program.js';
import {ModelStore, serveStore} from './model-store.js';
import {ModelWorker} from './model-worker.js';
import {
	hello, linkTo, openOddEntry, type Message, type Peer,
} from './odd-peer.js';

const read: StateInForce = {
	asOf: 20, number: 7, text: 'S', since: 10,
};
const claimed: StateInForce = {...read, claimedAt: 1000};
/** A read that was requested before the claim, soon after it, and long after it. */
const [before, soon, late] = [900, 1100, 9000];

for (const [title, inForce, state, askedAt, relation] of [
	['none is in force', noState, {asOf: 0, number: 0, text: 'T'}, soon, 'replaces'],
	['it is newer', read, {asOf: 30, number: 7, text: 'T'}, soon, 'replaces'],
	['it is of the same version', read, {asOf: 20, number: 7, text: 'T'}, soon, 'replaces'],
	['it is of the version that another entry claims', claimed, {asOf: 20, number: 7, text: 'T'}, soon, 'replaces'],
	['it is behind what was read', read, {asOf: 15, number: 7, text: 'T'}, late, 'older'],
	['it is behind a claim and was requested before', claimed, {asOf: 15, number: 7, text: 'T'}, before, 'older'],
	['it is behind a claim and may be a read that is late', claimed, {asOf: 15, number: 7, text: 'T'}, soon, 'older'],
	['it is behind a claim and was requested long after', claimed, {asOf: 15, number: 7, text: 'T'}, late, 'replaces'],
	['the operator gave it a higher number', claimed, {asOf: 15, number: 8, text: 'T'}, before, 'replaces'],
	['it is the same', claimed, {asOf: 15, number: 7, text: 'S'}, before, 'same'],
] as const) {
	test(`contradictions: a state read from the store, where ${title}: ${relation}`, t => {
		t.is(relateRead(state, askedAt, inForce), relation);
	});
}

for (const [title, state, relation] of [
	['is newer', {asOf: 30, number: 7, text: 'T'}, 'replaces'],
	['is of the same version', {asOf: 20, number: 8, text: 'T'}, 'older'],
	['claims a higher version for a lower number', {asOf: 30, number: 6, text: 'T'}, 'contradicts'],
	['is the same', {asOf: 30, number: 7, text: 'S'}, 'same'],
] as const) {
	test(`contradictions: a state that another entry sends ${title}: ${relation}`, t => {
		t.is(relateReceived(state, read), relation);
	});
}

for (const [title, inForce, announced, relation] of [
	['the same', read, {asOf: 15, digest: 'd'}, 'same'],
	['a later one', read, {asOf: 21, digest: 'e'}, 'replaces'],
	['another at a version that was read', read, {asOf: 15, digest: 'e'}, 'contradicts'],
	['another at a version that was only claimed', claimed, {asOf: 15, digest: 'e'}, 'older'],
	['another from before', read, {asOf: 9, digest: 'e'}, 'older'],
	['one without a digest', read, {asOf: 15}, 'older'],
] as const) {
	test(`contradictions: another entry announces ${title}: ${relation}`, t => {
		t.is(relateAnnounced(announced, inForce, 'd'), relation);
	});
}

/** The operator's rows with one route, `/NAME/`. */
function rowsWith(number: number, name: string): Map<string, string> {
	return new Map([['config', JSON.stringify({
		version: number,
		routes: [{
			name, host: 'a.example', path_prefix: `/${name}/`, service: 'pool',
		}],
	})]]);
}

function writeState(store: ModelStore, rows: ReadonlyMap<string, string>): void {
	for (const [key, value] of rows) {
		store.write(key, value);
	}
}

/** Returns the status of a look for a job on a route: 410 where the route is in force, otherwise 404, or 503 before there is any. */
async function statusOf(front: number, name: string): Promise<number> {
	try {
		const {statusCode, body} = await request(`http://127.0.0.1:${front}/${name}/0123456789abcdef`, {headers: {host: 'a.example'}});
		await body.dump();
		return statusCode;
	} catch {
		return 0;
	}
}

async function waitForStatus(front: number, name: string, status: number): Promise<void> {
	await waitUntil(async () => await statusOf(front, name) === status);
}

/** The time in which a change must be in force, in milliseconds. */
const applyMs = 2000;

type Scene = {store: ModelStore; front: number; peer: Peer; listings: () => number};

/** Starts the entry's program with a store in which route `new` is in force, and a link of another entry to it. */
async function startScene(t: ExecutionContext): Promise<Scene> {
	const store = ModelStore.create(500);
	writeState(store, rowsWith(11, 'new'));
	let listings = 0;
	const {front, links} = await startEntry(t, await serveStore(t, store, ({kind}) => {
		listings += kind === 'page' ? 1 : 0;
		return false;
	}));
	await waitForStatus(front, 'new', 410);
	return {
		store, front, peer: await linkTo(t, links, hello('entry')), listings: () => listings,
	};
}

/** Announces a state as the other entry, and sends it whenever it is requested. */
function claim({peer}: Scene, asOf: number, rows: ReadonlyMap<string, string>): void {
	const text = encodeRows(rows);
	let answered = 0;
	const timer = setInterval(() => {
		const asked = peer.heard.filter(({kind}) => kind === 'fetch').length;
		for (; answered < asked; answered++) {
			peer.say({kind: 'desired', asOf, text});
		}
	}, 10);
	peer.socket.once('close', () => {
		clearInterval(timer);
	});
	peer.say({kind: 'newest', asOf, digest: createHash('sha256').update(text).digest('base64')});
}

// Guards against entries that compare the store's versions alone: an older state under a higher version went into force everywhere.
test('contradictions: an entry keeps its state where another claims an older one to be newer', async t => {
	const scene = await startScene(t);
	claim(scene, scene.store.version + 1, rowsWith(7, 'old'));
	const statuses = new Set<number>();
	const until = performance.now() + applyMs;
	while (performance.now() < until) {
		statuses.add(await statusOf(scene.front, 'new'));
	}

	t.deepEqual([...statuses], [410]);
	t.is(await statusOf(scene.front, 'old'), 404);
});

// Guards against a wrong state that stays in force until the next change: the store, read up to the version claimed, shows another one.
test('contradictions: an entry goes back to what the store shows once it has read as far as another entry claims', async t => {
	const scene = await startScene(t);
	claim(scene, scene.store.version + 1, rowsWith(12, 'false'));
	await waitForStatus(scene.front, 'false', 410);
	scene.store.writeElsewhere();
	await waitForStatus(scene.front, 'new', 410);
	t.is(await statusOf(scene.front, 'false'), 404);
});

// Guards against a version that the store never reaches: whatever it shows would count as older for good.
for (const [title, rows] of [
	['the state in force', rowsWith(11, 'new')],
	['another state', rowsWith(12, 'false')],
] as const) {
	test(`contradictions: after another entry has claimed a version far ahead for ${title}, a change comes into force`, async t => {
		const scene = await startScene(t);
		claim(scene, 2 ** 39, rows);
		if (title === 'another state') {
			await waitForStatus(scene.front, 'false', 410);
		}

		await sleep(100);
		writeState(scene.store, rowsWith(13, 'later'));
		await waitForStatus(scene.front, 'later', 410);
		t.is(await statusOf(scene.front, 'false'), 404);
	});
}

test('contradictions: a claim that the store disproves ends without a change', async t => {
	const scene = await startScene(t);
	claim(scene, 2 ** 39, rowsWith(12, 'false'));
	await waitForStatus(scene.front, 'false', 410);
	await waitForStatus(scene.front, 'new', 410);
	t.is(await statusOf(scene.front, 'false'), 404);
	await sleep(1000);
	t.is(await statusOf(scene.front, 'new'), 410);
});

// Guards against a copy of the table that has missed a change and is taken for right until the next one.
test('contradictions: an entry reads the store anew where another holds another state at a version that it has read', async t => {
	const scene = await startScene(t);
	const {store, peer} = scene;
	writeState(store, rowsWith(12, 'later'));
	store.hideChanges();
	store.writeElsewhere();
	await sleep(1500);
	t.is(await statusOf(scene.front, 'later'), 404);
	claim(scene, store.version, rowsWith(12, 'later'));
	await waitForStatus(scene.front, 'later', 410);
	t.true(peer.has('newest'));
});

test('contradictions: an entry that is contradicted again and again reads the store anew once in 10 s', async t => {
	const scene = await startScene(t);
	const {store, peer, listings} = scene;
	for (let round = 0; round < 20; round++) {
		peer.say({kind: 'newest', asOf: store.version, digest: `other-${round}`});
		await sleep(20);
	}

	while (listings() < 2) {
		await sleep(20);
	}

	await sleep(1000);
	t.is(listings(), 2);
	t.is(await statusOf(scene.front, 'new'), 410);
});

const zones = (asOf: number, ...out: string[]): Message => ({kind: 'zones', asOf, out});
for (const [title, told, isOut] of [
	['the entry that told them takes them back', [[0, zones(900, 'z')], [0, zones(20)]], false],
	['another entry is behind', [[0, zones(900, 'z')], [1, zones(20)]], true],
	['another entry is ahead', [[0, zones(20, 'z')], [1, zones(900)]], false],
	['two entries told them, and both take them back', [[0, zones(900, 'z')], [1, zones(900, 'z')], [0, zones(20)], [1, zones(20)]], false],
] satisfies Array<[string, Array<[number, Message]>, boolean]>) {
	// Guards against zones that an entry told under a version that the store never reached: a sidecar took nothing else any more.
	test(`contradictions: a sidecar's zones out of service, where ${title}`, async t => {
		const entries = await Promise.all(['e0', 'e1'].map(async node => openOddEntry(t, node)));
		const driver = startDriver(t, 's', {
			seeds: entries.map(({address}) => address),
			executor: createExecutor(ModelWorker.create(room, leaseMs), {resources: room, durationMs: 1, ending: 'done'}),
		});
		const peers = await Promise.all(entries.map(async ({linked}) => linked));
		await waitUntil(() => driver.linkedEntries === 2 && driver.guard.startRefusal === undefined);
		for (const [index, message] of told) {
			peers[index]!.say(message);
			await sleep(100);
		}

		t.is(driver.guard.startRefusal, isOut ? 'zone-out' : undefined);
	});
}
