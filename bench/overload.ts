import {readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Proxy} from '../test/proxy.js';
import type {EntryLimits} from '../src/decide/overload.js';
import {round} from './account.js';
import {Scene} from './entry-load.js';

/** What bounds the entry: its share of a core, or the rate of its links in each direction. */
const bounds: Readonly<Record<string, EntryLimits>> = {cpu: {cpuShare: 0.3}, link: {linkBytesPerSecond: 800_000}};
const factors = [0.5, 1, 2, 4];
/** The rate at which the cost of a job is measured first, in jobs a second. */
const calibrationRate = 40;
const warmUpMs = 4000;
const settlingMs = 2000;
const measuredMs = 6000;
const connections = 1000;
/** The period over which a share of a core is granted, and how often its use is looked at, in milliseconds. */
const periodMs = 100;
const quotaPollMs = 4;

/** Holds a process to a share of a core, as a quota of the kernel would: once the share of a period is used, the process is stopped until the next. Returns a function that ends this. */
function limitCpu(pid: number, share: number): () => void {
	const usedMs = (): number => Number(readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(' ')[0]) / 1e6;
	let from = performance.now();
	let usedBefore = usedMs();
	let isStopped = false;
	const timer = setInterval(() => {
		const now = performance.now();
		if (now - from >= periodMs) {
			// What was used beyond the quota counts for the periods that follow.
			usedBefore = Math.min(usedMs(), usedBefore + (share * (now - from)));
			from = now;
		}

		const isOver = usedMs() - usedBefore >= share * periodMs;
		if (isOver !== isStopped) {
			isStopped = isOver;
			process.kill(pid, isOver ? 'SIGSTOP' : 'SIGCONT');
		}
	}, quotaPollMs);
	return () => {
		clearInterval(timer);
		process.kill(pid, 'SIGCONT');
	};
}

/** Measures one bound with the part on or off, and prints a line for each load. */
async function measureBound(bound: string, overload: 'auto' | 'off'): Promise<void> {
	const limits = bounds[bound]!;
	let proxy: Proxy | undefined;
	const scene = await Scene.create([fileURLToPath(new URL('..', import.meta.url))], {
		connections,
		options: {overload, limits},
		async addressFor(links) {
			proxy = await Proxy.create(links);
			return proxy.address;
		},
	});
	await scene.askCallers({kind: 'rate', perSecond: calibrationRate * 3});
	await sleep(warmUpMs);
	const {cpuMs: jobMs, bytes: jobBytes} = await stage(scene, calibrationRate);
	const {cpuShare, linkBytesPerSecond} = limits;
	const release = cpuShare === undefined ? undefined : limitCpu(scene.entries[0]!.pid!, cpuShare);
	proxy!.bytesPerSecond = linkBytesPerSecond ?? Number.POSITIVE_INFINITY;
	const capacity = cpuShare === undefined ? linkBytesPerSecond! / jobBytes : cpuShare * 1000 / jobMs;
	const served: number[] = [];
	for (const factor of factors) {
		const {cpuMs, bytes, seconds, ...seen} = await stage(scene, capacity * factor);
		served.push(seen.inTarget / seconds);
		print({
			bound,
			overload,
			load: factor,
			perSecond: round(seen.sent / seconds),
			inTargetPerSecond: round(seen.inTarget / seconds),
			shareOfMost: round(served.at(-1)! / Math.max(...served)),
			refused: seen.refused,
			answered: seen.answered,
			failed: seen.failed,
			refusalMs: {p50: seen.refusalP50, p99: seen.refusalP99},
			answerMs: {p50: seen.answerP50, p99: seen.answerP99},
			refusalCpuMs: seen.refused > 0 ? round(((cpuMs * seen.sent) - (seen.answered * jobMs)) / seen.refused) : undefined,
		});
	}

	print({
		bound, overload, jobCpuMs: round(jobMs), jobBytes: Math.round(jobBytes), capacity: round(capacity), shareOfMost: served.map(one => round(one / Math.max(...served))),
	});
	release?.();
	scene.close();
	await proxy!.close();
}

/** Plays a load and returns what callers saw, with the processor time and the bytes on links of a job sent. */
async function stage(scene: Scene, perSecond: number) {
	await scene.askCallers({kind: 'rate', perSecond});
	await sleep(settlingMs);
	await scene.askCallers({kind: 'seen'});
	const [before] = await scene.askEntries('usage');
	const from = performance.now();
	await sleep(measuredMs);
	const [seen] = await scene.askCallers({kind: 'seen'});
	const [after] = await scene.askEntries('usage');
	return {
		...seen!,
		seconds: (performance.now() - from) / 1000,
		cpuMs: (after!.cpuMs - before!.cpuMs) / seen!.sent,
		bytes: (after!.load.writtenBytes! - before!.load.writtenBytes!) / seen!.sent,
	};
}

/** Measures what an entry serves at loads up to four times what it can, with the part off and on side by side. */
export async function measureOverload(only?: string): Promise<void> {
	for (const bound of Object.keys(bounds).filter(name => only === undefined || name === only)) {
		await Promise.all([measureBound(bound, 'off'), measureBound(bound, 'auto')]);
	}
}

function print(value: unknown): void {
	process.stdout.write(`${JSON.stringify(value)}\n`);
}
