import {createHash} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {seededRandom} from '../src/adapters/random.js';
import type {Claim} from '../src/decide/claim.js';
import type {AuditEntry} from '../src/entry/operator-api.js';
import type {Random} from '../src/ports/random.js';
import type {Row} from '../src/ports/table.js';
import {resultOf, results} from '../src/results.js';
import {Cluster, type MemberName, type Node} from '../test/cluster.js';
import {
	check, type AcceptedChange, type Evidence, type Removal, type Told, type Violations,
} from './check.js';

/** Outcome is what one seed came to; a line of the bench's output. */
export type SeedResult = {
	seed: number;
	faults: string[];
	jobs: number;
	starts: number;
	answers: Record<string, number>;
	/** The most milliseconds from a caller's lost connection to the answer of its resubmission. */
	recoveryMs: number;
	storeWrites: number;
	violations: Violations;
	notes: string[];
};

/** How long a seed drives load, how often a job comes, and how long its callers go on, in milliseconds. */
const loadMs = 5000;
const arrivalMs = 45;
const callerMs = 14_000;
const tryMs = 6000;
/** When a fault comes that comes alone, in milliseconds. */
const onlyAt = 2000;
/** How long a run may take to write its last outcomes, in milliseconds. */
const quietMs = 2500;

/** Sets the seeds of the load apart from those of the faults. */
const loadStream = 1_000_000;

/** A run under way: the cluster and what its witnesses see. */
type Scene = {
	cluster: Cluster;
	random: Random;
	told: Told[];
	removals: Removal[];
	accepted: AcceptedChange[];
	faults: string[];
	recovery: {ms: number};
	busy: Set<string>;
};

/** Runs one random schedule of faults from its seed, or one fault of a kind alone, and judges it. */
export async function runSeed(seed: number, only?: string): Promise<SeedResult> {
	const random = seededRandom(seed + loadStream);
	const cluster = await Cluster.create({
		entries: 2, sidecars: ['zone-0', 'zone-1', 'zone-1'], workers: seed % 3 === 0 ? ['zone-0', 'zone-1'] : [], slots: 6, drainMs: 8000,
	});
	const scene: Scene = {
		cluster, random, told: [], removals: [], accepted: [], faults: [], recovery: {ms: 0}, busy: new Set(),
	};
	try {
		const [jobs] = await Promise.all([drive(scene), harm(scene, seed, only)]);
		await Promise.all(jobs);
		await restore(scene);
		const notes: string[] = [];
		const violations = check(evidenceOf(scene), notes);
		return {
			seed,
			faults: scene.faults,
			jobs: new Set(scene.told.map(({claim}) => claim)).size,
			starts: cluster.starts.length,
			answers: tally(scene.told),
			recoveryMs: Math.round(scene.recovery.ms),
			storeWrites: cluster.platform.counts.writes,
			violations,
			notes,
		};
	} finally {
		await cluster.close();
	}
}

async function drive(scene: Scene): Promise<Array<Promise<void>>> {
	const {random} = scene;
	const jobs: Array<Promise<void>> = [];
	const end = performance.now() + loadMs;
	for (let index = 0; performance.now() < end; index++) {
		const tasks = random.next() < 0.05 ? 40 : 1 + Math.floor(random.next() * 5);
		const bodies = Array.from({length: tasks}, (_, task) => JSON.stringify({ms: 20 + Math.round(random.next() * 250), own: `${index}-${task}`}));
		const member: MemberName = index % 2 === 0 ? 'alpha' : 'beta';
		const route = (scene.cluster.shape.workers?.length ?? 0) > 0 && index % 4 === 0 ? 'render' : 'task';
		const job = {
			key: `job-${Math.floor(index / 2)}`, member, route, bodies,
		};
		jobs.push(call(scene, job));
		if (random.next() < 0.15) {
			jobs.push(call(scene, job));
		}

		await sleep(-Math.log(1 - random.next()) * arrivalMs);
	}

	return jobs;
}

type Job = {key: string; member: MemberName; route: string; bodies: string[]};

/** A caller that resubmits under its key, to any entry, until it has an answer that ends the matter or gives up. */
async function call(scene: Scene, job: Job): Promise<void> {
	const {cluster, random} = scene;
	const until = performance.now() + callerMs;
	let lostAt: number | undefined;
	while (performance.now() < until) {
		const entry = cluster.entries[Math.floor(random.next() * cluster.entries.length)]!;
		const reply = await cluster.put(entry, job.key, job.bodies.map(body => JSON.parse(body) as unknown), {route: job.route, member: job.member, deadlineMs: tryMs});
		const error = (cluster.lastError as {code?: string} | undefined)?.code;
		const refused = error === 'ECONNREFUSED';
		const told: Told = {
			claim: `${job.member}/${job.key}`,
			entry: entry.name,
			bodies: job.bodies.map(body => createHash('sha256').update(body).digest('hex')),
			repeatable: false,
			error: reply ? undefined : error,
			owed: reply === undefined && !refused && entry.fate !== 'killed',
		};
		if (reply) {
			told.answer = {result: reply.result, tasks: reply.body.tasks?.map(task => task.body) ?? []};
		}

		if (reply ?? !refused) {
			scene.told.push(told);
		}

		lostAt ??= reply ? undefined : performance.now();
		if (reply && lostAt !== undefined) {
			scene.recovery.ms = Math.max(scene.recovery.ms, performance.now() - lostAt);
		}

		if (reply && resultOf(reply.result).kind !== 'not-run' && reply.result !== results.deadlinePassed.code) {
			return;
		}

		await sleep(100 + (random.next() * 300));
	}
}

type Fault = (scene: Scene) => Promise<void>;

const faults: Record<string, Fault> = {
	killEntry: async scene => withNode(scene, 'entries', async node => {
		await scene.cluster.kill(node);
		await sleep(300 + (scene.random.next() * 1500));
		await scene.cluster.startEntry(numberOf(node));
	}),
	killSidecar: async scene => withNode(scene, 'sidecars', async node => {
		await scene.cluster.kill(node);
		await sleep(300 + (scene.random.next() * 1500));
		await scene.cluster.startSidecar(numberOf(node));
	}),
	pauseEntry: async scene => withNode(scene, 'entries', async node => scene.cluster.pause(node, 300 + (scene.random.next() * 4500))),
	pauseSidecar: async scene => withNode(scene, 'sidecars', async node => scene.cluster.pause(node, 300 + (scene.random.next() * 4500))),
	stopEntry: async scene => withNode(scene, 'entries', async node => {
		await scene.cluster.stop(node);
		await scene.cluster.startEntry(numberOf(node));
	}),
	stopSidecar: async scene => withNode(scene, 'sidecars', async node => {
		await scene.cluster.stop(node);
		await scene.cluster.startSidecar(numberOf(node));
	}),
	async storeDown({cluster, random}) {
		cluster.platform.fault({down: true});
		await sleep(300 + (random.next() * 3000));
		cluster.platform.fault({down: false});
	},
	async storeSlow({cluster, random}) {
		cluster.platform.fault({slowMs: 500});
		await sleep(500 + (random.next() * 2000));
		cluster.platform.fault({slowMs: 0});
	},
	async storeLosesReplies({cluster, random}) {
		cluster.platform.fault({loseReplies: 1 + Math.floor(random.next() * 4)});
	},
	async cutStore({cluster}) {
		for (const node of [...cluster.entries, ...cluster.sidecars]) {
			node.store.cut();
		}
	},
	cutSidecar: async scene => withProxy(scene, async node => {
		node.proxy.cut();
	}),
	loseReplies: async scene => withProxy(scene, async node => {
		node.proxy.loseReplies(1 + Math.floor(scene.random.next() * 5));
	}),
	stallUp: async scene => withProxy(scene, async node => {
		node.proxy.stall('up');
		await sleep(200 + (scene.random.next() * 3000));
		node.proxy.release();
	}),
	stallDown: async scene => withProxy(scene, async node => {
		node.proxy.stall('down');
		await sleep(200 + (scene.random.next() * 3000));
		node.proxy.release(true);
	}),
	isolate: async scene => withProxy(scene, async node => {
		node.proxy.closed = true;
		node.proxy.cut();
		await sleep(300 + (scene.random.next() * 2500));
		node.proxy.closed = false;
	}),
	async upstreamLosesReplies({cluster, random}) {
		cluster.upstreams[Math.floor(random.next() * cluster.upstreams.length)]!.fault({loseReplies: 2});
	},
	async upstreamFails({cluster, random}) {
		const upstream = cluster.upstreams[Math.floor(random.next() * cluster.upstreams.length)]!;
		upstream.fault({failAll: true});
		await sleep(500);
		upstream.fault({failAll: false});
	},
	zoneOut: async scene => take(scene, 'availability-zones', 'zone', scene.random.next() < 0.7 ? 'zone-1' : 'zone-0'),
	upstreamOut: async scene => take(scene, 'upstreams', 'upstream', `minion-${Math.floor(scene.random.next() * 3)}`),
};

/** Draws the whole schedule first, so that a seed names the same faults whatever the timing. */
async function harm(scene: Scene, seed: number, only?: string): Promise<void> {
	const random = seededRandom(seed);
	const names = Object.keys(faults);
	const count = 2 + Math.floor(random.next() * 4);
	const schedule = Array.from({length: count}, () => ({name: names[Math.floor(random.next() * names.length)]!, at: 200 + (random.next() * loadMs)}));
	if (only !== undefined) {
		schedule.splice(0, schedule.length, {name: only, at: onlyAt});
	}

	scene.faults.push(...schedule.map(({name}) => name));
	await Promise.all(schedule.map(async ({name, at}, index) => {
		await sleep(at);
		await faults[name]!({...scene, random: seededRandom((seed * 100) + index)});
	}));
}

function numberOf(node: Node): number {
	return Number(node.name.slice(node.name.lastIndexOf('-') + 1));
}

/** Does something to a random process of a kind that nothing is being done to. */
async function withNode({cluster, random, busy}: Scene, kind: 'entries' | 'sidecars', act: (node: Node) => Promise<void>): Promise<void> {
	const nodes = cluster[kind].filter(node => node.fate === 'alive' && !busy.has(node.name));
	const node = nodes[Math.floor(random.next() * nodes.length)];
	if (!node) {
		return;
	}

	busy.add(node.name);
	await act(node);
	busy.delete(node.name);
}

async function withProxy(scene: Scene, act: (node: Node) => Promise<void>): Promise<void> {
	await withNode(scene, scene.random.next() < 0.75 ? 'sidecars' : 'entries', act);
}

/** Takes a zone or an upstream out and, after more than the bound, back in. */
async function take(scene: Scene, table: 'availability-zones' | 'upstreams', kind: Removal['kind'], name: string): Promise<void> {
	if (scene.busy.has(table)) {
		return;
	}

	scene.busy.add(table);
	const out = await change(scene, table, name, 'out');
	if (out !== undefined) {
		await sleep(3000 + (scene.random.next() * 2500));
		scene.removals.push({
			kind, name, from: out, to: Date.now(),
		});
	}

	while (await change(scene, table, name, 'in') === undefined) {
		await sleep(300);
	}

	scene.busy.delete(table);
}

/** Makes a change at any entry, again under its id while it is not known; resolves to when it was accepted. */
async function change(scene: Scene, table: string, name: string, state: 'in' | 'out'): Promise<number | undefined> {
	const {cluster, random} = scene;
	const id = `change-${scene.accepted.length}-${Math.floor(random.next() * 1e9)}`;
	for (let tries = 0; tries < 6; tries++) {
		const entry = cluster.entries[Math.floor(random.next() * cluster.entries.length)]!;
		const before = await cluster.admin(entry, 'GET', `${table}/${name}`);
		const condition: Record<string, string> = before?.etag ? {'if-match': before.etag} : {'if-none-match': '*'};
		const reply = before && await cluster.admin(entry, 'PUT', `${table}/${name}`, {state}, {...condition, 'sniperidge-change-id': id});
		if (reply?.status === 200) {
			scene.accepted.push({
				change: id, row: `${table}/${name}`, version: Number(reply.body.version), value: {state},
			});
			return Date.now();
		}

		await sleep(200);
	}

	return undefined;
}

/** Ends every fault and waits until the last outcomes are written. */
async function restore({cluster}: Scene): Promise<void> {
	cluster.platform.fault({down: false, slowMs: 0, loseReplies: 0});
	for (const node of [...cluster.entries, ...cluster.sidecars]) {
		node.proxy.release();
	}

	await sleep(quietMs);
}

function evidenceOf({cluster, told, removals, accepted}: Scene): Evidence {
	const {platform} = cluster;
	return {
		starts: cluster.starts,
		told,
		removals,
		accepted,
		claims: platform.rows('claims') as Array<Row<Claim>>,
		usage: platform.rows('usage'),
		audit: platform.rows('audit') as Array<Row<AuditEntry>>,
		config: platform.rows('config'),
	};
}

function tally(told: readonly Told[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {answer} of told) {
		const name = answer ? resultOf(answer.result).name : 'none';
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}
