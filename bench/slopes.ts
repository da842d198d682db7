import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {pino} from 'pino';
import {systemClock} from '../src/adapters/clock.js';
import {sidecarSettings} from '../src/settings/schema.js';
import {ClaimRecords} from '../src/sidecar/claim-records.js';
import {Sidecar} from '../src/sidecar/sidecar.js';
import {tokenHash} from '../src/standin/tables.js';
import {Cluster} from '../test/cluster.js';
import {cpuMs, round, rssMb} from './account.js';

const silent = pino({level: 'silent'});
/** Long enough for two rounds of announcements. */
const idleMs = 24_000;
const loadMs = 6000;

/** The sidecars and entries of the idle points, and the jobs a second and their tasks of the others. */
const idlePoints = [[10, 1], [30, 1], [100, 1], [200, 1], [10, 4], [50, 4], [10, 16], [50, 16]] as const;
const jobPoints = [[100, 1], [500, 1], [40, 10], [8, 50], [2, 270]] as const;

/** Measures how the cost of each role grows, at several points each or of one kind only, and prints one JSON line a point. */
export async function measureSlopes(only?: string): Promise<void> {
	const wanted = (point: string) => only === undefined || only === point;
	for (const [sidecars, entries] of wanted('sidecars') ? idlePoints : []) {
		print(await idle(sidecars, entries));
	}

	for (const perSecond of wanted('requests') ? [100, 200, 400] : []) {
		print(await requests(perSecond));
	}

	for (const [perSecond, tasks] of wanted('jobs') ? jobPoints : []) {
		print(await jobs(perSecond, tasks));
	}

	for (const claims of wanted('released') ? [2000, 22_000, 44_000] : []) {
		print(released(claims));
	}

	for (const members of wanted('changes') ? [2, 10, 38] : []) {
		print(await changes(members));
	}
}

/** What a sidecar keeps of so many claims that are closed and released. */
function released(claims: number): Record<string, unknown> {
	setFlagsFromString('--expose_gc');
	const collect = runInNewContext('gc') as () => void;
	const records = ClaimRecords.create(600_000, systemClock);
	collect();
	const before = process.memoryUsage().heapUsed;
	for (let index = 0; index < claims; index++) {
		// Through a buffer, as a message brings it: a string put together here would keep its parts.
		const claim = Buffer.from(`member-${index % 38}/${randomUUID()}`).toString();
		records.getOrCreate(claim, true);
		records.release(claim);
	}

	collect();
	return {
		point: 'released', claims, heldMb: round((process.memoryUsage().heapUsed - before) / 1e6), held: records.getOrCreate('none', true).record.released,
	};
}

function print(line: Record<string, unknown>): void {
	process.stdout.write(`${JSON.stringify(line)}\n`);
}

/** The cost to so many entries, together and to the first, of sidecars that have nothing to do. */
async function idle(count: number, entries: number): Promise<Record<string, unknown>> {
	const cluster = await Cluster.create({entries, sidecars: ['zone-0']});
	const entry = cluster.entries[0]!;
	const bytesOf = () => cluster.entries.map(({proxy}) => proxy.bytes).reduce((a, b) => a + b, 0);
	const sidecars = await Promise.all(Array.from({length: count - 1}, async (_, index) => Sidecar.create(sidecarSettings.parse({
		name: `idle-${index}`,
		zone: 'zone-0',
		entries: [entry.proxy.address],
		store: {url: cluster.platform.url},
		upstreams: [{name: `idle-${index}`, url: 'http://127.0.0.1:9', pools: ['main']}],
	}), silent)));
	await sleep(4000);
	const pid = entry.child.pid!;
	const before = {cpu: cpuMs(pid), bytes: bytesOf(), reads: cluster.platform.counts.reads};
	await sleep(idleMs);
	const line = {
		point: 'sidecars',
		sidecars: count,
		entries,
		entryCpuPct: round((cpuMs(pid) - before.cpu) / idleMs * 100),
		entryRssMb: round(rssMb(pid)),
		controlBytesPerSecond: round((bytesOf() - before.bytes) / idleMs * 1000),
		storeReadsPerSecond: round((cluster.platform.counts.reads - before.reads) / idleMs * 1000),
	};
	await Promise.all(sidecars.map(async sidecar => sidecar.stop()));
	await cluster.close();
	return line;
}

/** The cost of requests without a key. */
async function requests(perSecond: number): Promise<Record<string, unknown>> {
	return load('requests', perSecond, 1, async (cluster, index) => {
		const reply = await cluster.post(cluster.entries[0]!, 'again', {ms: 20, index});
		return reply?.status === 200;
	});
}

/** The cost of jobs with a key. */
async function jobs(perSecond: number, tasks: number): Promise<Record<string, unknown>> {
	return load('jobs', perSecond, tasks, async (cluster, index) => {
		const reply = await cluster.put(cluster.entries[0]!, `slope-${index}`, Array.from({length: tasks}, () => ({ms: 20})));
		return reply?.status === 200;
	});
}

async function load(point: string, perSecond: number, tasks: number, send: (cluster: Cluster, index: number) => Promise<boolean>): Promise<Record<string, unknown>> {
	const cluster = await Cluster.create({entries: 1, sidecars: ['zone-0', 'zone-0', 'zone-0', 'zone-0'], slots: 64});
	const pids = [cluster.entries[0]!, ...cluster.sidecars].map(node => node.child.pid!);
	const before = {cpu: pids.map(pid => cpuMs(pid)), writes: cluster.platform.counts.writes};
	const began = performance.now();
	const sent: Array<Promise<boolean>> = [];
	for (let index = 0; index < perSecond * loadMs / 1000; index++) {
		await sleep(Math.max(0, began + (index * 1000 / perSecond) - performance.now()));
		sent.push(send(cluster, index));
	}

	const answers = await Promise.all(sent);
	const good = answers.filter(Boolean).length;
	const [entryCpu = 0, ...sidecarCpu] = pids.map((pid, index) => cpuMs(pid) - before.cpu[index]!);
	const line = {
		point,
		perSecond,
		tasks,
		complete: good,
		of: answers.length,
		entryMsPerTask: round(entryCpu / (good * tasks)),
		sidecarMsPerTask: round(sidecarCpu.reduce((a, b) => a + b, 0) / (good * tasks)),
		entryRssMb: round(rssMb(pids[0]!)),
		sidecarRssMb: round(rssMb(pids[1]!)),
		writesPerJob: round((cluster.platform.counts.writes - before.writes) / good),
	};
	await cluster.close();
	return line;
}

/** The cost of a change with so many members in the tables. */
async function changes(members: number): Promise<Record<string, unknown>> {
	const rows = Array.from({length: members}, (_, index): [string, unknown] => [`members/member-${index}`, {
		tokenHash: tokenHash(`token-of-${index}`), weight: 1, concurrent: 1000, startsPerSecond: 1000,
	}]);
	const cluster = await Cluster.create({entries: 2, sidecars: ['zone-0', 'zone-1'], rows});
	const [entry] = cluster.entries;
	const bytes = () => cluster.entries.map(node => node.proxy.bytes).reduce((a, b) => a + b, 0);
	const before = bytes();
	const idleFrom = performance.now();
	await sleep(5000);
	const idle = (bytes() - before) / (performance.now() - idleFrom);
	const took: number[] = [];
	const from = {bytes: bytes(), at: performance.now()};
	for (let index = 0; index < 10; index++) {
		const began = performance.now();
		const row = await cluster.admin(entry!, 'GET', 'availability-zones/zone-1');
		await cluster.admin(entry!, 'PUT', 'availability-zones/zone-1?waitMs=8000', {state: index % 2 === 0 ? 'out' : 'in'}, {'if-match': row!.etag});
		took.push(performance.now() - began);
	}

	const extra = bytes() - from.bytes - (idle * (performance.now() - from.at));
	await cluster.close();
	return {
		point: 'changes',
		members,
		inForceP50Ms: round(took.toSorted((a, b) => a - b)[5]!),
		inForceMaxMs: round(Math.max(...took)),
		bytesPerChangeAndSidecar: round(extra / 10 / 2),
	};
}
