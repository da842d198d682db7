import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {request} from 'undici';
import {results} from '../src/results.js';
import type {Cluster, Reply} from './cluster.js';
import {
	bodies, mostStarts, whole, withCluster,
} from './scene.js';

/** Submits jobs to the entries that a balancer would choose until the signal aborts; resolves to all replies. */
async function keepSubmitting(cluster: Cluster, signal: AbortSignal): Promise<Array<Reply | undefined>> {
	const pending: Array<Promise<Reply | undefined>> = [];
	for (let index = 0; !signal.aborted; index++) {
		const ready = cluster.entries.filter(entry => entry.fate === 'alive' && entry.ready);
		const entry = ready[index % ready.length];
		if (entry) {
			pending.push(cluster.put(entry, `stop-${index}`, bodies(3, 120)));
		}

		await sleep(25);
	}

	return Promise.all(pending);
}

test.serial('a job resubmitted to two entries at the same instant runs once and both get the whole answer', async t => {
	await withCluster(async cluster => {
		const replies = await Promise.all([...cluster.entries, ...cluster.entries].map(async entry => cluster.put(entry, 'twin', bodies(20))));
		t.true(replies.every(reply => whole(reply, 20)), `${JSON.stringify(replies.map(reply => reply?.result))}`);
		t.is(cluster.starts.length, 20);
	});
});

test.serial('a job whose owner is killed is finished by another entry, without a second start', async t => {
	await withCluster(async cluster => {
		const [first, second] = cluster.entries;
		const lost = cluster.put(first!, 'orphan', bodies(60, 150));
		await sleep(250);
		await cluster.kill(first!);
		const reply = await cluster.put(second!, 'orphan', bodies(60, 150));
		t.is(await lost, undefined);
		t.true(whole(reply, 60), `${JSON.stringify(reply)}`);
		t.is(mostStarts(cluster), 1);
		t.is(cluster.starts.length, 60);
	});
});

test.serial('a paused owner that wakes after a takeover starts nothing twice', async t => {
	await withCluster(async cluster => {
		const [first, second] = cluster.entries;
		const woken = cluster.put(first!, 'paused', bodies(100, 150), {deadlineMs: 20_000});
		await sleep(200);
		const pause = cluster.pause(first!, 5000);
		const reply = await cluster.put(second!, 'paused', bodies(100, 150));
		await pause;
		const late = await woken;
		t.true(whole(reply, 100), `${JSON.stringify(reply)}`);
		t.true(whole(late, 100), `${JSON.stringify(late)}`);
		t.is(cluster.starts.length, 100);
	});
});

test.serial('lost replies to claims and outcomes change nothing', async t => {
	await withCluster(async cluster => {
		cluster.platform.fault({loseReplies: 3});
		const reply = await cluster.put(cluster.entries[0]!, 'lost', bodies(5));
		t.true(whole(reply, 5), `${JSON.stringify(reply)}`);
		t.is(cluster.starts.length, 5);
		await sleep(1500);
		t.deepEqual(cluster.platform.rows('usage').map(row => (row.value as {jobs: number}).jobs), [1]);
	});
});

test.serial('a lost reply to a start is asked for again at the same sidecar', async t => {
	await withCluster(async cluster => {
		const replies = Array.from({length: 10}, async (_, index) => cluster.put(cluster.entries[0]!, `start-${index}`, bodies(6, 200)));
		await sleep(120);
		for (const node of cluster.sidecars) {
			node.proxy.loseReplies(1);
		}

		t.true((await Promise.all(replies)).every(reply => whole(reply, 6)));
		t.is(cluster.starts.length, 60);
	});
});

test.serial('a sidecar killed while tasks run fails their jobs as unknown and runs nothing twice', async t => {
	await withCluster(async cluster => {
		const replies = Array.from({length: 8}, async (_, index) => cluster.put(cluster.entries[0]!, `dead-${index}`, bodies(6, 400)));
		await sleep(250);
		await cluster.kill(cluster.sidecars[0]!);
		const got = await Promise.all(replies);
		t.true(got.every(reply => whole(reply, 6) || reply?.result === results.unknown.code), `${JSON.stringify(got.map(reply => reply?.result))}`);
		t.true(got.some(reply => reply?.result === results.unknown.code));
		t.is(mostStarts(cluster), 1);
	});
});

test.serial('a zone that is out starts nothing after three seconds, also on a sidecar that was paused across the change', async t => {
	await withCluster(async cluster => {
		const [entry] = cluster.entries;
		const load = Array.from({length: 120}, async (_, index) => {
			await sleep(index * 70);
			return cluster.put(entry!, `zone-${index}`, bodies(3, 100));
		});
		await sleep(500);
		const paused = cluster.sidecars[1]!;
		paused.child.kill('SIGSTOP');
		t.true(await cluster.switch(entry!, 'availability-zones', 'zone-1', 'out'));
		const at = Date.now();
		await sleep(5000);
		paused.child.kill('SIGCONT');
		const got = await Promise.all(load);
		t.is(cluster.starts.filter(start => start.zone === 'zone-1' && start.at > at + 3000).length, 0);
		t.true(cluster.starts.some(start => start.zone === 'zone-0' && start.at > at + 3000));
		t.true(got.every(reply => reply !== undefined));
		t.is(mostStarts(cluster), 1);
	});
});

test.serial('every caller gets its own whole answer when answers come late and crossed', async t => {
	await withCluster(async cluster => {
		const asked = Array.from({length: 200}, async (_, index) => {
			const member = index % 2 === 0 ? 'alpha' : 'beta';
			const own = [{ms: 40, own: `${member}-${index}`}, {ms: 10, own: `${member}-${index}-b`}];
			return {own, reply: await cluster.put(cluster.entries[index % 4 < 2 ? 0 : 1]!, `same-${Math.floor(index / 2)}`, own, {member})};
		});
		for (let round = 0; round < 5; round++) {
			await sleep(60);
			for (const node of cluster.sidecars) {
				node.proxy.stall('down');
			}

			await sleep(60);
			for (const node of cluster.sidecars) {
				node.proxy.release(true);
			}
		}

		for (const {own, reply} of await Promise.all(asked)) {
			const sizes = reply?.body.tasks?.map(task => (JSON.parse(task.body) as {size: number}).size);
			t.deepEqual(sizes, own.map(value => JSON.stringify(value).length));
		}
	});
});

test.serial('"not run" is true during a store outage, and repeatable requests keep flowing', async t => {
	await withCluster(async cluster => {
		cluster.platform.fault({down: true});
		await sleep(4500);
		const jobs = await Promise.all(Array.from({length: 10}, async (_, index) => cluster.put(cluster.entries[0]!, `down-${index}`, bodies(2))));
		t.true(jobs.every(reply => reply?.result === results.storeUnavailable.code), `${JSON.stringify(jobs)}`);
		t.is(cluster.starts.length, 0);
		const flowing = await Promise.all(Array.from({length: 20}, async (_, index) => cluster.post(cluster.entries[index % 2]!, 'again', {ms: 20, index})));
		t.true(flowing.every(reply => reply?.status === 200));
		cluster.platform.fault({down: false});
		await sleep(1500);
		t.true(whole(await cluster.put(cluster.entries[1]!, 'down-0', bodies(2)), 2));
	});
});

test.serial('a request that may not be repeated runs at most once when its connection is cut at any stage', async t => {
	await withCluster(async cluster => {
		const asked = Array.from({length: 60}, async (_, index) => {
			await sleep(index * 15);
			return cluster.post(cluster.entries[0]!, 'task', {ms: 80, once: index}, {headers: {'idempotency-key': `once-${index}`}});
		});
		for (let round = 0; round < 6; round++) {
			await sleep(130);
			for (const node of cluster.sidecars) {
				node.proxy.cut();
			}
		}

		const got = await Promise.all(asked);
		t.true(got.every(reply => reply !== undefined));
		t.is(mostStarts(cluster), 1);
		t.is(got.filter(reply => reply?.status === 200).length, 60, `${JSON.stringify(got.filter(reply => reply?.status !== 200))}`);
	});
});

test.serial('an upstream that is taken out under full load gets nothing new', async t => {
	await withCluster(async cluster => {
		const [entry] = cluster.entries;
		const load = Array.from({length: 60}, async (_, index) => {
			await sleep(index * 80);
			return cluster.put(entry!, `leave-${index}`, bodies(6, 150), {deadlineMs: 20_000});
		});
		await sleep(700);
		t.true(await cluster.switch(entry!, 'upstreams', 'minion-2', 'out'));
		const at = Date.now();
		t.true((await Promise.all(load)).every(reply => whole(reply, 6)));
		t.is(cluster.starts.filter(start => start.place === 'minion-2' && start.at > at + 3000).length, 0);
	});
});

test.serial('a graceful stop of each program in turn cuts no request', async t => {
	await withCluster(async cluster => {
		const going = new AbortController();
		const load = keepSubmitting(cluster, going.signal);
		try {
			await sleep(400);
			for (const number of cluster.sidecars.keys()) {
				t.is(await cluster.stop(cluster.sidecars[number]!), 0);
				await cluster.startSidecar(number);
				await sleep(1500);
			}

			for (const number of cluster.entries.keys()) {
				t.is(await cluster.stop(cluster.entries[number]!), 0);
				await cluster.startEntry(number);
				await cluster.settle();
			}
		} finally {
			going.abort();
		}

		const got = await load;
		const draining = got.filter(reply => reply?.result === results.draining.code).length;
		t.is(got.filter(reply => whole(reply, 3)).length + draining, got.length, `${JSON.stringify(got.filter(reply => !whole(reply, 3)).slice(0, 5))}`);
		t.is(mostStarts(cluster), 1);
	});
});

test.serial('a job that outlasts the drain time is answered plainly before its entry leaves', async t => {
	await withCluster(async cluster => {
		const [entry] = cluster.entries;
		const asked = [cluster.put(entry!, 'outlast', bodies(3, 15_000), {deadlineMs: 60_000}), cluster.post(entry!, 'again', {ms: 15_000})];
		await sleep(300);
		const left = cluster.stop(entry!);
		await sleep(400);
		const refused = await request(`${entry!.urls.callers!}/readyz`, {dispatcher: cluster.agent});
		await refused.body.dump();
		t.is(refused.statusCode, 503);
		t.is(refused.headers.connection, 'close');
		t.is(await left, 0);
		const [job, sent] = await Promise.all(asked);
		t.is(job?.result, results.deadlinePassed.code);
		t.is(sent?.result, results.deadlinePassed.code);
	}, {drainMs: 5000});
});

test.serial('of two operators who race one wins and the other is told the current version; a change retried applies once', async t => {
	await withCluster(async cluster => {
		const [first, second] = cluster.entries;
		const before = await cluster.admin(first!, 'GET', 'availability-zones/zone-1');
		const race = await Promise.all([first!, second!].map(async entry => cluster.admin(entry, 'PUT', 'availability-zones/zone-1', {state: 'out'}, {'if-match': before!.etag})));
		t.deepEqual(race.map(reply => reply!.status).toSorted((a, b) => a - b), [200, 412]);
		const winner = race.find(reply => reply!.status === 200)!;
		const loser = race.find(reply => reply!.status === 412)!;
		t.is(`"${String(loser.body.version)}"`, winner.etag);
		cluster.platform.fault({loseReplies: 1});
		const change = {'if-match': winner.etag, 'sniperidge-change-id': 'change-1'};
		const retried = await cluster.admin(first!, 'PUT', 'availability-zones/zone-1', {state: 'in'}, change);
		const again = await cluster.admin(second!, 'PUT', 'availability-zones/zone-1', {state: 'in'}, change);
		t.is(retried!.status, 200);
		t.is(again!.status, 200);
		t.is(retried!.etag, again!.etag);
		const audit = await cluster.admin(first!, 'GET', 'audit');
		t.is((audit!.body.changes as Array<{change: string}>).filter(entry => entry.change === 'change-1').length, 1);
	});
});

test.serial('a worker is packed by one owner at a time and taken over when its owner dies', async t => {
	await withCluster(async cluster => {
		const first = await cluster.put(cluster.entries[0]!, 'pack', bodies(30, 60), {route: 'render'});
		t.true(whole(first, 30), `${JSON.stringify(first)}`);
		t.true(cluster.workers.every(worker => worker.peak <= 1));
		const owner = cluster.platform.rows('workers').find(row => row.key === 'worker-0')!.value as {owner: string};
		const session = cluster.platform.rows('sessions').find(row => row.key === owner.owner)!.value as {name: string};
		const number = cluster.sidecars.findIndex(node => node.name === session.name);
		await cluster.kill(cluster.sidecars[number]!);
		await cluster.startSidecar(number);
		let reply: Reply | undefined;
		for (let round = 0; round < 12 && !whole(reply, 10); round++) {
			await sleep(1000);
			reply = await cluster.put(cluster.entries[1]!, `pack-${round}`, bodies(10, 40), {route: 'render', deadlineMs: 3000});
		}

		t.true(whole(reply, 10), `${JSON.stringify(reply)}`);
		t.is(mostStarts(cluster), 1);
	}, {workers: ['zone-0', 'zone-1']});
});

test.serial('a job answered complete is still found complete when its entry dies before the outcome is written', async t => {
	await withCluster(async cluster => {
		const [first, second] = cluster.entries;
		const asked = cluster.put(first!, 'unwritten', bodies(6, 300));
		await sleep(150);
		cluster.platform.fault({slowMs: 1400});
		t.true(whole(await asked, 6));
		await Promise.all(Array.from({length: 20}, async (_, index) => cluster.post(first!, 'again', {ms: 10, index})));
		await cluster.kill(first!);
		cluster.platform.fault({slowMs: 0});
		const reply = await cluster.put(second!, 'unwritten', bodies(6, 300));
		t.true(whole(reply, 6), `${JSON.stringify(reply)}`);
		t.is(mostStarts(cluster), 1);
	});
});

test.serial('sidecars find the entries again when all of them were replaced at once', async t => {
	await withCluster(async cluster => {
		await Promise.all(cluster.entries.map(async entry => cluster.kill(entry)));
		await Promise.all(cluster.entries.map(async (_, index) => cluster.startEntry(index)));
		await cluster.settle();
		t.true(whole(await cluster.put(cluster.entries[0]!, 'new-entries', bodies(6)), 6));
	});
});

test.serial('an owner that its peers cannot reach and the one that took its job over tell one outcome, billed once', async t => {
	await withCluster(async cluster => {
		const [first, second] = cluster.entries;
		const asked = cluster.put(first!, 'split', bodies(6, 4000), {deadlineMs: 20_000});
		await sleep(250);
		first!.proxy.closed = true;
		first!.proxy.cut();
		const reply = await cluster.put(second!, 'split', bodies(6, 4000), {deadlineMs: 20_000});
		t.true(whole(reply, 6), `${JSON.stringify(reply)}`);
		t.true(whole(await asked, 6));
		t.is(mostStarts(cluster), 1);
		await sleep(500);
		t.deepEqual(cluster.platform.rows('usage').map(row => (row.value as {jobs: number}).jobs), [1]);
	});
});
