import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {resultOf, results} from '../src/results.js';
import {tokenHash} from '../src/standin/tables.js';
import type {Cluster, Node, Reply} from './cluster.js';
import {
	bodies, mostStarts, whole, withCluster,
} from './scene.js';

const codeOf = (reply: Reply | undefined) => reply?.result;

/** Cuts what leads to a process off, or a process off from the platform. */
function cutOff({proxy, store}: Node, side: 'peers' | 'store'): void {
	const link = side === 'peers' ? proxy : store;
	link.closed = true;
	link.cut();
}

function mend({proxy, store}: Node): void {
	proxy.closed = false;
	store.closed = false;
}

async function until(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await sleep(10);
	}
}

/** Sends repeatable requests to the entries by turns until the signal aborts. */
async function flow(cluster: Cluster, entries: readonly Node[], signal: AbortSignal): Promise<Array<Reply | undefined>> {
	const asked: Array<Promise<Reply | undefined>> = [];
	for (let index = 0; !signal.aborted; index++) {
		asked.push(cluster.post(entries[index % entries.length]!, 'again', {ms: 60, index}, {headers: {'sniperidge-deadline-ms': '3000'}}));
		await sleep(25);
	}

	return Promise.all(asked);
}

const zoneOutCases: ReadonlyArray<[string, (cluster: Cluster) => void]> = [
	['the other entries are cut off from the store', ({entries}) => {
		cutOff(entries[1]!, 'store');
		cutOff(entries[2]!, 'store');
	}],
	['the others are cut off from the store and nobody reaches the one that takes the change', ({entries}) => {
		cutOff(entries[0]!, 'peers');
		cutOff(entries[1]!, 'store');
		cutOff(entries[2]!, 'store');
	}],
	['one of the other entries is cut off from its peers and the sidecars', ({entries}) => {
		cutOff(entries[1]!, 'peers');
	}],
	['the sidecars of the zone are cut off from the store', ({sidecars}) => {
		cutOff(sidecars[1]!, 'store');
	}],
];

for (const [title, act] of zoneOutCases) {
	test.serial(`a zone that is out starts nothing after three seconds when ${title}`, async t => {
		await withCluster(async cluster => {
			const going = new AbortController();
			const load = flow(cluster, cluster.entries.slice(1), going.signal);
			await sleep(300);
			act(cluster);
			await sleep(2500);
			t.true(await cluster.switch(cluster.entries[0]!, 'availability-zones', 'zone-1', 'out'));
			const at = Date.now();
			await sleep(5000);
			going.abort();
			t.true((await load).every(reply => reply !== undefined));
			t.deepEqual(cluster.starts.filter(start => start.zone === 'zone-1' && start.at > at + 3000), []);
		}, {entries: 3});
	});
}

test.serial('a change is refused, and not made, by an entry that cannot tell enough of the others', async t => {
	await withCluster(async cluster => {
		const [first, ...others] = cluster.entries;
		const before = await cluster.admin(first!, 'GET', 'availability-zones/zone-1');
		for (const entry of others) {
			cutOff(entry, 'peers');
		}

		const reply = await cluster.admin(first!, 'PUT', 'availability-zones/zone-1', {state: 'out'}, {'if-match': before!.etag});
		t.is(reply?.body.result, results.entriesUnheard.code, `${JSON.stringify(reply)}`);
		const after = await cluster.admin(first!, 'GET', 'availability-zones/zone-1');
		t.is(after!.etag, before!.etag);
		for (const entry of others) {
			mend(entry);
		}

		t.true(await cluster.switch(first!, 'availability-zones', 'zone-1', 'out'));
	}, {entries: 3});
});

test.serial('an entry that was stopped while a zone went out starts nothing there when it returns, and its stale change loses', async t => {
	await withCluster(async cluster => {
		const [stale, fresh] = cluster.entries;
		const before = await cluster.admin(stale!, 'GET', 'availability-zones/zone-1');
		stale!.child.kill('SIGSTOP');
		t.true(await cluster.switch(fresh!, 'availability-zones', 'zone-1', 'out'));
		const at = Date.now();
		await sleep(4000);
		stale!.child.kill('SIGCONT');
		const asked = Array.from({length: 40}, async (_, index) => cluster.post(stale!, 'again', {ms: 30, index}));
		const change = await cluster.admin(stale!, 'PUT', 'availability-zones/zone-1', {state: 'in'}, {'if-match': before!.etag});
		t.is(change?.status, 412);
		t.true((await Promise.all(asked)).every(reply => reply?.status === 200));
		t.deepEqual(cluster.starts.filter(start => start.zone === 'zone-1' && start.at > at + 3000), []);
	});
});

/** How long the store is away from the owner before it is stopped: as long as its tasks run. */
for (const [title, ms] of [['at once', 1500], ['after a read of the table has failed too', 2400]] as const) {
	test.serial(`an owner stopped before it wrote its outcome tells what was written by the one that took over, ${title}`, async t => {
		await withCluster(async cluster => {
			const [owner, other] = cluster.entries;
			const asked = cluster.put(owner!, 'stopped', bodies(4, ms), {deadlineMs: 30_000});
			await until(() => cluster.starts.length === 4);
			owner!.store.stall('up');
			await until(() => cluster.starts.every(({ended}) => ended === 'done'));
			await sleep(100);
			owner!.child.kill('SIGSTOP');
			for (const sidecar of cluster.sidecars) {
				await cluster.kill(sidecar);
			}

			const taken = await cluster.put(other!, 'stopped', bodies(4, ms), {deadlineMs: 20_000});
			await sleep(2500);
			owner!.store.release();
			owner!.child.kill('SIGCONT');
			t.is(codeOf(taken), results.unknown.code);
			t.is(codeOf(await asked), results.unknown.code);
			t.deepEqual(cluster.platform.rows('usage'), []);
			t.is(mostStarts(cluster), 1);
		});
	});
}

test.serial('a job whose owner dies, and then the one that is taking it over, is finished by a third without a second start', async t => {
	await withCluster(async cluster => {
		const [first, second, third] = cluster.entries;
		void cluster.put(first!, 'twice', bodies(12, 250), {deadlineMs: 20_000});
		await sleep(250);
		await cluster.kill(first!);
		second!.store.stall('down');
		void cluster.put(second!, 'twice', bodies(12, 250), {deadlineMs: 20_000});
		await sleep(900);
		await cluster.kill(second!);
		const reply = await cluster.put(third!, 'twice', bodies(12, 250), {deadlineMs: 20_000});
		t.true(whole(reply, 12), `${JSON.stringify(reply)}`);
		t.is(mostStarts(cluster), 1);
	}, {entries: 3});
});

test.serial('a stop while the store is away answers every caller and ends by itself', async t => {
	await withCluster(async cluster => {
		const [entry] = cluster.entries;
		const asked = Array.from({length: 20}, async (_, index) => {
			await sleep(index * 20);
			return cluster.put(entry!, `stop-${index}`, bodies(3, 400), {deadlineMs: 15_000});
		});
		await sleep(450);
		cluster.platform.fault({down: true});
		const code = await cluster.stop(entry!);
		t.is(code, 0);
		const got = await Promise.all(asked);
		t.true(got.every(reply => reply !== undefined), `${JSON.stringify(got.map(reply => codeOf(reply)))}`);
		cluster.platform.fault({down: false});
		const notRun = new Set(got.flatMap((reply, index) => reply && resultOf(reply.result).kind === 'not-run' ? [`alpha/stop-${index}`] : []));
		t.deepEqual(cluster.starts.filter(({claim}) => notRun.has(claim)), []);
		t.is(mostStarts(cluster), 1);
	}, {drainMs: 6000});
});

test.serial('a request that came on a kept connection while its entry was stopped is answered when it wakes', async t => {
	await withCluster(async cluster => {
		const [entry] = cluster.entries;
		t.is((await cluster.post(entry!, 'again', {ms: 10}))?.status, 200);
		entry!.child.kill('SIGSTOP');
		await sleep(500);
		const asked = cluster.post(entry!, 'again', {ms: 10}, {headers: {'sniperidge-deadline-ms': '30000'}});
		await sleep(6500);
		entry!.child.kill('SIGCONT');
		t.is((await asked)?.status, 200, `${String(cluster.lastError)}`);
	});
});

/** The refusals that a loaded cluster gives, each with what provokes it. */
const refusals = ['badInput', 'noToken', 'noRoute', 'keyReused', 'overQuota', 'overloaded', 'deadline', 'storeUnavailable', 'draining', 'noPlace', 'neverFits', 'cancelledBefore'] as const;

test.serial('every refusal under load is true by the start records of the back ends', async t => {
	await withCluster(async cluster => {
		const [first, second] = cluster.entries;
		const told: Array<{claim: string; reply: Reply | undefined}> = [];
		const put = async (entry: Node, key: string, count: number, options: Parameters<Cluster['put']>[3] = {}) => {
			const reply = await cluster.put(entry, key, bodies(count, 200), options);
			told.push({claim: `${options.member ?? 'alpha'}/${key}`, reply});
		};

		const load = Array.from({length: 60}, async (_, index) => put(index % 2 === 0 ? first! : second!, `load-${index}`, 4, {deadlineMs: 4000}));
		const provoked = [
			put(first!, 'bad', 0),
			put(first!, 'token', 1, {headers: {authorization: 'Bearer nobody'}}),
			put(first!, 'route', 1, {route: 'nowhere'}),
			put(first!, 'load-0', 1),
			...Array.from({length: 10}, async (_, index) => put(second!, `quota-${index}`, 4, {member: 'beta'})),
			...Array.from({length: 30}, async (_, index) => put(second!, `queue-${index}`, 4, {route: 'small'})),
			...Array.from({length: 20}, async (_, index) => put(first!, `late-${index}`, 40, {deadlineMs: 250})),
			put(first!, 'empty', 1, {route: 'deserted'}),
			put(second!, 'huge', 1, {route: 'huge'}),
			...Array.from({length: 20}, async (_, index) => {
				const key = `cancel-${index}`;
				const asked = put(first!, key, 30, {deadlineMs: 8000});
				await sleep(5 + (index * 4));
				await cluster.ask(first!.urls.callers!, {method: 'DELETE', path: `/v1/jobs/${key}`});
				await asked;
			}),
		];
		await Promise.all([...load, ...provoked]);
		cluster.platform.fault({down: true});
		await sleep(2500);
		await Promise.all(Array.from({length: 10}, async (_, index) => put(second!, `store-${index}`, 2)));
		cluster.platform.fault({down: false});
		await sleep(1000);
		const left = cluster.stop(first!);
		await Promise.all(Array.from({length: 5}, async (_, index) => put(first!, `drain-${index}`, 2)));
		await left;
		const seen = new Set(told.flatMap(({reply}) => reply ? [resultOf(reply.result).name] : []));
		t.deepEqual(refusals.filter(name => !seen.has(name)), [], `${[...seen].join(', ')}`);
		const ran = new Set(cluster.starts.map(({claim}) => claim));
		const keys = new Set(told.map(({claim}) => claim));
		for (const key of keys) {
			const tries = told.filter(({claim}) => claim === key);
			const notRun = tries.every(({reply}) => reply && resultOf(reply.result).kind === 'not-run');
			t.false(notRun && ran.has(key), `${key}: ${tries.map(({reply}) => codeOf(reply)).join(', ')}`);
		}

		t.is(mostStarts(cluster), 1);
	}, {
		workers: ['zone-0'],
		pools: ['main', 'few'],
		rows: [
			['members/beta', {tokenHash: tokenHash('token-beta-22'), weight: 1, concurrent: 8}],
			['pools/few', {kind: 'upstream', queue: 5}],
			['pools/nobody', {kind: 'upstream', queue: 5}],
			['routes/small', {pool: 'few', repeatable: false, expectMs: 200}],
			['routes/deserted', {pool: 'nobody', repeatable: false, expectMs: 60}],
			['routes/huge', {
				pool: 'heavy', repeatable: false, expectMs: 60, cores: 512, memoryMb: 1024,
			}],
		],
	});
});
