import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {build, type Histogram} from 'hdr-histogram-js';
import {request} from 'undici';
import {seededRandom} from '../src/adapters/random.js';
import type {Random} from '../src/ports/random.js';
import {resultOf} from '../src/results.js';
import {readExample} from '../src/cli/demo.js';
import {
	Cluster, type MemberName, type Node, type Reply,
} from '../test/cluster.js';
import {cpuMs, round, rssMb} from './account.js';
import {idealEnds, type IdealPlace} from './ideal.js';

/** Options of a measurement, from the command line. */
export type Options = {seed: string; policy: string; deployment: string};

/** Arrival is one job or request of the schedule. Times in milliseconds. */
type Arrival = {
	at: number;
	ms: number[];
	declared?: number[];
	/** How the real size of its tasks compares with the declared one. */
	real: number;
	route: 'bench' | 'bench-job' | 'bench-work' | 'bench-never';
	member: MemberName;
	kind: 'request' | 'job';
	index: number;
	deadlineMs: number;
};

type Answered = {arrival: Arrival; endedAt: number; reply: Reply | undefined; cancelled?: boolean};

type Bench = {cluster: Cluster; random: Random; outs: Map<string, {from: number; to: number}>; began: number; zones: string[]; cancelled: Set<number>};

type Scenario = {
	expectMs?: number;
	/** Declared times are off by up to this factor either way; without it none are declared. */
	off?: number;
	deadlineMs?: number;
	flood?: boolean;
	/** The jobs go to workers, and declared sizes are off by up to this factor either way. */
	sizesOff?: number;
	/** This part of the jobs asks for more than any worker has. */
	never?: number;
	/** How long the load lasts where it is not the usual time, in milliseconds. */
	runMs?: number;
	/** The load as a part of what the places can do, as a function of the time. */
	load(at: number): number;
	/** What happens meanwhile. */
	act?(bench: Bench): Promise<void>;
};

const ordinaryRunMs = 20_000;
/** The tasks of one core that a stand-in worker can hold. */
const workerSlots = 8;
/** Half of the tasks take longer than the geometric mean of these; a few take several seconds. */
const shortestMs = 50;
const longestMs = 1000;
const longShare = 0.02;
const longMs = [2000, 5000] as const;
/** Declared times are off by up to so much either way unless a scenario says otherwise. */
const ordinaryOff = 2;
const meanMs = ((longestMs - shortestMs) / Math.log(longestMs / shortestMs) * (1 - longShare)) + (longShare * (longMs[0] + longMs[1]) / 2);

const scenarios: Record<string, Scenario> = {
	steady50: {load: () => 0.5},
	steady70: {load: () => 0.7},
	steady90: {load: () => 0.9},
	burst: {load: at => at > 6000 && at < 11_000 ? 2 : 0.5, deadlineMs: 4000},
	zone: {
		load: () => 0.6,
		async act({cluster, outs, began, zones}) {
			const zone = zones.at(-1)!;
			await sleep(5000);
			await cluster.switch(cluster.entries[0]!, 'availability-zones', zone, 'out');
			const from = performance.now() - began;
			await sleep(8000);
			await cluster.switch(cluster.entries[0]!, 'availability-zones', zone, 'in');
			outs.set(zone, {from, to: performance.now() - began});
		},
	},
	blackhole: {
		load: () => 0.6,
		async act({cluster}) {
			await sleep(5000);
			cluster.upstreams[1]!.fault({failAll: true});
		},
	},
	straggler: {
		load: () => 0.5,
		async act({cluster}) {
			await sleep(5000);
			cluster.upstreams[0]!.fault({slower: 10});
		},
	},
	undeclared: {load: () => 0.7, off: 0},
	exact: {load: () => 0.7, off: 1},
	off4: {load: () => 0.7, off: 4},
	flood: {load: () => 0.6, flood: true},
	cancel: {
		load: () => 0.7,
		async act({cluster, cancelled, random}) {
			await sleep(8000);
			for (let index = 0; index < 4000; index++) {
				if (random.next() < 0.5) {
					cancelled.add(index);
				}
			}

			const entryOf = (index: number) => cluster.entries[index % cluster.entries.length]!;
			await Promise.all([...cancelled].map(async index => cluster.ask(entryOf(index).urls.callers!, {
				method: 'DELETE', path: `/v1/jobs/bench-${index}`, member: memberOf(index),
			})));
		},
	},
	rolling: {
		load: () => 0.5,
		async act({cluster}) {
			await sleep(2000);
			for (const index of cluster.sidecars.keys()) {
				await cluster.stop(cluster.sidecars[index]!);
				await cluster.startSidecar(index);
			}

			for (const index of cluster.entries.keys()) {
				await cluster.stop(cluster.entries[index]!);
				await cluster.startEntry(index);
				await sleep(1500);
			}
		},
	},
	workers: {load: () => 0.7, sizesOff: 1},
	sizes: {load: () => 0.5, sizesOff: 4},
	never: {load: () => 0.7, never: 0.1},
	outage: {
		load: () => 0.4,
		runMs: 68_000,
		async act({cluster}) {
			await sleep(3000);
			cluster.platform.fault({down: true});
			await sleep(60_000);
			cluster.platform.fault({down: false});
		},
	},
	storeslow: {
		load: () => 0.6,
		async act({cluster}) {
			await sleep(5000);
			cluster.platform.fault({slowMs: 500});
		},
	},
	storedown: {
		load: () => 0.5,
		async act({cluster}) {
			await sleep(3000);
			cluster.platform.fault({down: true});
			await sleep(14_000);
			cluster.platform.fault({down: false});
		},
	},
};

/** Measures one scenario, or all, and prints one JSON line each. */
export async function measure(name: string, options: Options): Promise<void> {
	const names = name === 'all' ? Object.keys(scenarios).filter(one => one !== 'outage') : [name];
	for (const one of names) {
		const scenario = scenarios[one];
		if (!scenario) {
			throw new RangeError(`scenario: one of faults, all, ${Object.keys(scenarios).join(', ')}, found ${one}`);
		}

		const line = await runScenario(one, scenario, options);
		process.stdout.write(`${JSON.stringify(line)}\n`);
	}
}

async function runScenario(name: string, scenario: Scenario, {seed, policy, deployment}: Options): Promise<Record<string, unknown>> {
	const {
		minions, workers, zoneDelayMs, tables,
	} = readExample(deployment);
	const zones = Object.keys(tables['availability-zones']);
	const slowness = Array.from({length: minions.count}, (_, index) => minions.slowness[index % minions.slowness.length]!);
	const sidecars = slowness.map((_, index) => zones[index % zones.length]!);
	const expectMs = scenario.expectMs ?? meanMs;
	const onWorkers = scenario.sizesOff !== undefined || scenario.never !== undefined;
	const workerSlowness = Array.from({length: workers.count}, (_, index) => workers.slowness[index % workers.slowness.length]!);
	const cluster = await Cluster.create({
		entries: zones.length, entryZones: zones, sidecars, slowness, slots: minions.slots, policy, delayMs: zoneDelayMs, hedge: policy === 'finish', rows: [
			['routes/bench', {pool: 'main', repeatable: true, expectMs}],
			['routes/bench-job', {pool: 'main', repeatable: false, expectMs}],
			['routes/bench-work', {
				pool: 'heavy', repeatable: false, expectMs, cores: 1, memoryMb: 1024,
			}],
			['routes/bench-never', {
				pool: 'heavy', repeatable: false, expectMs, cores: 512, memoryMb: 1024,
			}],
		],
		workers: onWorkers ? workerSlowness.map((_, index) => zones[index % zones.length]!) : [],
		workerSlowness,
	});
	const random = seededRandom(Number(seed));
	try {
		const upstreams = slowness.map(slow => ({slots: minions.slots, slowness: slow}));
		const served = scenario.sizesOff === undefined ? upstreams : workerSlowness.map(slow => ({slots: workerSlots, slowness: slow}));
		const rate = served.map(place => place.slots / place.slowness).reduce((a, b) => a + b, 0);
		const arrivals = schedule(scenario, random, rate);
		const rttMs = await bareRoundTrip(cluster) + (2 * zoneDelayMs);
		const before = {cpu: [...cluster.entries, ...cluster.sidecars].map(node => cpuMs(node.child.pid!)), counts: await countsOf(cluster), writes: cluster.platform.counts.writes};
		const bench: Bench = {
			cluster, random, outs: new Map(), began: performance.now(), zones, cancelled: new Set(),
		};
		const [answers] = await Promise.all([drive(cluster, arrivals, bench), scenario.act?.(bench)]);
		const tookMs = performance.now() - bench.began;
		const places = served.map((place, index): IdealPlace => ({...place, out: bench.outs.get(sidecars[index]!)}));
		const figures = compare(answers, places, {rttMs, runMs: scenario.runMs ?? ordinaryRunMs});
		const waste = wasted(before.counts, await countsOf(cluster), answers);
		return {
			scenario: name,
			deployment,
			seed: Number(seed),
			policy,
			...figures,
			...waste,
			...work(cluster, bench, places),
			...resources(cluster, before.cpu, tookMs),
			workerPeak: round(Math.max(0, ...cluster.workers.map(worker => worker.peak))),
			storeWrites: cluster.platform.counts.writes - before.writes,
		};
	} finally {
		await cluster.close();
	}
}

function schedule(scenario: Scenario, random: Random, rate: number): Arrival[] {
	const arrivals: Arrival[] = [];
	const off = scenario.off ?? ordinaryOff;
	for (let at = 0, index = 0; at < (scenario.runMs ?? ordinaryRunMs); index++) {
		const kind = random.next() < 0.75 ? 'request' : 'job';
		const count = kind === 'request' ? 1 : 1 + Math.floor(random.next() * 8);
		const ms = Array.from({length: count}, () => taskMs(random));
		const real = (scenario.sizesOff ?? 1) ** ((2 * random.next()) - 1);
		const never = scenario.never !== undefined && random.next() < scenario.never;
		const flooding = scenario.flood && random.next() < 0.8;
		arrivals.push({
			at,
			ms,
			declared: off > 0 ? ms.map(one => Math.round(one * (off ** ((2 * random.next()) - 1)))) : undefined,
			real,
			route: routeOf(kind, scenario, never),
			kind: never || scenario.sizesOff !== undefined ? 'job' : kind,
			index,
			member: flooding ? 'alpha' : memberOf(index),
			deadlineMs: scenario.deadlineMs ?? 30_000,
		});
		const work = meanMs * ((0.75 * 1) + (0.25 * 4.5));
		at += -Math.log(1 - random.next()) * work / (rate * scenario.load(at));
	}

	return arrivals;
}

function routeOf(kind: Arrival['kind'], {sizesOff}: Scenario, never: boolean): Arrival['route'] {
	if (never) {
		return 'bench-never';
	}

	if (sizesOff !== undefined) {
		return 'bench-work';
	}

	return kind === 'job' ? 'bench-job' : 'bench';
}

function memberOf(index: number): MemberName {
	return index % 2 === 0 ? 'alpha' : 'beta';
}

function taskMs(random: Random): number {
	if (random.next() < longShare) {
		return longMs[0] + ((longMs[1] - longMs[0]) * random.next());
	}

	return Math.round(shortestMs * ((longestMs / shortestMs) ** random.next()));
}

async function drive(cluster: Cluster, arrivals: readonly Arrival[], bench: Bench): Promise<Answered[]> {
	return Promise.all(arrivals.map(async arrival => {
		await sleep(Math.max(0, bench.began + arrival.at - performance.now()));
		const ready = cluster.entries.filter(entry => entry.ready && entry.fate === 'alive');
		const entry = ready[arrival.index % ready.length]!;
		const bodies = arrival.ms.map((ms, task) => ({ms, real: arrival.real, own: `${arrival.index}-${task}`}));
		const expect: Record<string, string> = arrival.declared ? {'sniperidge-expect-ms': String(arrival.declared[0])} : {};
		const {member, deadlineMs} = arrival;
		const reply = arrival.kind === 'request'
			? await cluster.post(entry, 'bench', bodies[0], {member, headers: {'sniperidge-deadline-ms': String(deadlineMs), ...expect}})
			: await cluster.put(entry, `bench-${arrival.index}`, bodies, {
				route: arrival.route, member, deadlineMs, declared: arrival.declared,
			});
		return {arrival, endedAt: performance.now() - bench.began, reply};
	}));
}

/** The median of bare exchanges with an entry, in milliseconds. */
async function bareRoundTrip(cluster: Cluster): Promise<number> {
	const times: number[] = [];
	for (let index = 0; index < 100; index++) {
		const began = performance.now();
		const reply = await request(`${cluster.entries[0]!.urls.callers!}/livez`, {dispatcher: cluster.agent});
		await reply.body.dump();
		times.push(performance.now() - began);
	}

	return times.toSorted((a, b) => a - b)[50]!;
}

function compare(answers: readonly Answered[], places: readonly IdealPlace[], {rttMs, runMs}: {rttMs: number; runMs: number}) {
	const complete = answers.filter(({reply}) => reply?.status === 200);
	const needs = complete.flatMap(({arrival}) => arrival.ms.map(ms => ({at: arrival.at, ms})));
	const ends = idealEnds(needs, places);
	const real = build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000});
	const ideal = build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000});
	const members = new Map<string, Histogram>();
	let realSum = 0;
	let idealSum = 0;
	let next = 0;
	let realWork = 0;
	let idealWork = 0;
	for (const {arrival, endedAt} of complete) {
		const end = Math.max(...ends.slice(next, next + arrival.ms.length));
		next += arrival.ms.length;
		const own = endedAt - arrival.at;
		const work = arrival.ms.reduce((a, b) => a + b, 0);
		realWork += endedAt <= runMs ? work : 0;
		idealWork += end + rttMs <= runMs ? work : 0;
		const best = end - arrival.at + rttMs;
		real.recordValue(Math.max(1, Math.round(own)));
		ideal.recordValue(Math.max(1, Math.round(best)));
		realSum += own;
		idealSum += best;
		const histogram = members.get(arrival.member) ?? build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000});
		histogram.recordValue(Math.max(1, Math.round(own)));
		members.set(arrival.member, histogram);
	}

	const notRun = answers.filter(({reply}) => reply && resultOf(reply.result).kind === 'not-run');
	const keyless = answers.filter(({arrival}) => arrival.route === 'bench');
	const refusedMs = notRun.map(({arrival, endedAt}) => endedAt - arrival.at).toSorted((a, b) => a - b);
	const results: Record<string, number> = {};
	for (const {reply} of answers) {
		const name = reply ? resultOf(reply.result).name : 'none';
		results[name] = (results[name] ?? 0) + 1;
	}

	return {
		submitted: answers.length,
		results,
		meanMs: round(realSum / complete.length),
		idealMeanMs: round(idealSum / complete.length),
		meanRatio: round(realSum / idealSum),
		workShare: round(realWork / idealWork),
		p50: real.getValueAtPercentile(50),
		p99: real.getValueAtPercentile(99),
		p99Ratio: round(real.getValueAtPercentile(99) / ideal.getValueAtPercentile(99)),
		keylessCompleteShare: round(keyless.filter(({reply}) => reply?.status === 200).length / Math.max(1, keyless.length)),
		notRunShare: round(notRun.length / answers.length),
		notRunP99Ms: round(refusedMs[Math.floor(refusedMs.length * 0.99)] ?? 0),
		inTimeShare: round(complete.filter(({arrival, endedAt}) => endedAt - arrival.at <= arrival.deadlineMs).length / Math.max(1, answers.length - notRun.length)),
		memberP50: Object.fromEntries([...members].map(([member, histogram]) => [member, histogram.getValueAtPercentile(50)])),
	};
}

/** What the dispatchers of the entries counted, together. */
async function countsOf(cluster: Cluster): Promise<Map<string, number>> {
	const counts = new Map<string, number>();
	for (const entry of cluster.entries.filter(({fate}) => fate === 'alive')) {
		const reply = await request(`${entry.urls.callers!}/metrics`, {dispatcher: cluster.agent});
		const text = await reply.body.text();
		for (const [, event, value] of text.matchAll(/sniperidge_dispatch_total\{event="(\w+)"\} (\d+)/gv)) {
			counts.set(event!, (counts.get(event!) ?? 0) + Number(value));
		}
	}

	return counts;
}

/** Messages beyond one dispatch and one answer a task, as a share of those. */
function wasted(before: ReadonlyMap<string, number>, after: ReadonlyMap<string, number>, answers: readonly Answered[]) {
	const count = (event: string) => (after.get(event) ?? 0) - (before.get(event) ?? 0);
	let tasks = 0;
	for (const {arrival, reply} of answers) {
		tasks += reply?.status === 200 ? arrival.ms.length : 0;
	}

	const extra = Math.max(0, count('sent') - tasks) + count('askedAgain') + count('cancels') + count('beats') + count('pings');
	return {tasks, wastedShare: round(extra / tasks), messages: Object.fromEntries([...after.keys()].map(event => [event, count(event)]))};
}

function work(cluster: Cluster, {began, outs}: Bench, places: readonly IdealPlace[]) {
	const {starts} = cluster;
	const offset = Date.now() - performance.now() + began;
	let late = 0;
	for (const [zone, {from, to}] of outs) {
		late += starts.filter(start => start.zone === zone && start.at - offset > from + 3000 && start.at - offset < to).length;
	}

	const jobs = starts.filter(({route}) => route !== 'bench').map(({claim, task}) => `${claim}#${task}`);
	const shares = places.map((_, index) => round((cluster.upstreams[index] ?? cluster.workers[index])!.starts.length / starts.length));
	const failing = starts.filter(start => start.place === 'minion-1' && start.at - offset > 6000).length;
	return {
		starts: starts.length,
		doubleStarts: jobs.length - new Set(jobs).size,
		startsInZoneOut: late,
		shares,
		minion1LateShare: round(failing / starts.filter(start => start.at - offset > 6000).length),
	};
}

function resources(cluster: Cluster, before: readonly number[], tookMs: number) {
	const nodes = [...cluster.entries, ...cluster.sidecars];
	const rows = nodes.map((node, index) => ({kind: node.kind, cpu: (cpuMs(node.child.pid!) - before[index]!) / tookMs, rss: rssMb(node.child.pid!)}));
	const worst = (kind: Node['kind'], pick: (row: {cpu: number; rss: number}) => number) => round(Math.max(...rows.filter(row => row.kind === kind).map(row => pick(row))));
	return {
		entryCpu: worst('entry', row => row.cpu),
		entryRssMb: worst('entry', row => row.rss),
		sidecarCpu: worst('sidecar', row => row.cpu),
		sidecarRssMb: worst('sidecar', row => row.rss),
	};
}
