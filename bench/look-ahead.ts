import type {EndedJob, Kind, Load} from './plan.js';

/** Workers of 16 and 32 cores in turn, with the speeds given in turn. */
const unevenWorkers = (count: number, speeds: readonly number[]) => Array.from({length: count}, (_, index) => ({
	speed: speeds[Math.floor(index / 2) % speeds.length]!, cpu: index % 2 === 0 ? 16_000 : 32_000,
}));

/** Tasks of 0.5 to 4 cores, 2 to 32 to a job; at a share of 1 they use 0.85 of 288 cores at speed 1. */
const unevenKinds = (share: number): Kind[] => [
	{
		route: 'half', perSecond: 85 * share, width: 16, widest: 32, meanMs: 90, longestMs: 360, attempts: 4, priority: 0, worth: 0.01, taskCpu: 500,
	},
	{
		route: 'one', perSecond: 147 * share, width: 2, widest: 8, meanMs: 250, longestMs: 1000, attempts: 2, priority: 1, worth: 0.01, taskCpu: 1000,
	},
	{
		route: 'two', perSecond: 15 * share, width: 4, widest: 16, meanMs: 400, longestMs: 1600, attempts: 2, priority: 1, worth: 0.05, taskCpu: 2000,
	},
	{
		route: 'four', perSecond: 6.4 * share, width: 4, widest: 16, meanMs: 600, longestMs: 2400, attempts: 2, priority: 2, worth: 0.1, taskCpu: 4000,
	},
];

const uneven = {
	entries: 4, workers: unevenWorkers(12, [1]), taskCpu: 1000, gone: () => 0, slow: () => 1, seconds: 20,
};

/** Loads with tasks of unequal size. */
export const unevenLoads: Readonly<Record<string, Load>> = {
	uneven: {...uneven, kinds: unevenKinds(1), traffic: () => 1},
	unevenBurst: {...uneven, kinds: unevenKinds(0.9), traffic: second => second % 10 >= 4 && second % 10 < 7 ? 1.5 : 1},
	/** Demand of 1.1 times the capacity, 0.9 of it by small tasks. */
	unevenFull: {
		...uneven, kinds: unevenKinds(1).map(kind => ({...kind, perSecond: kind.perSecond * (kind.taskCpu! > 2000 ? 0.5 : 1.5)})), traffic: () => 1,
	},
	unevenSpeeds: {
		...uneven, workers: unevenWorkers(12, [0.6, 1, 1.6]), kinds: unevenKinds(1), traffic: () => 1,
	},
};

/** Of all jobs by work, the largest tenth and the fifth below it. */
const largestShare = 0.1;
const nextShare = 0.2;

/** SizeReport collects waits by the size of tasks, and the shares served by the size of jobs. */
export class SizeReport {
	static create(): SizeReport {
		return new SizeReport();
	}

	private readonly waits = new Map<number, number[]>();
	private readonly jobs: Array<{work: number; isServed: boolean; isInAim: boolean}> = [];

	/** Counts jobs that have ended. `taskCpu` is the size of the tasks of kinds that have none of their own. */
	add(ended: readonly EndedJob[], taskCpu: number): void {
		for (const {job, kind, workMs, objective, at, startedAt, verdict, tookMs} of ended) {
			const cores = (kind.taskCpu ?? taskCpu) / 1000;
			const waits = this.waits.get(cores) ?? [];
			this.waits.set(cores, waits);
			const work = workMs.reduce((sum, ms, index) => sum + (ms * job.tasks[index]!.resources.cpu), 0);
			const isCompleted = verdict.kind === 'completed';
			this.jobs.push({work, isServed: isCompleted && tookMs <= objective * 3, isInAim: isCompleted && tookMs <= objective});
			// A job's last start counts: it cannot end before.
			if (isCompleted) {
				waits.push(Math.max(...startedAt) - at);
			}
		}
	}

	/** Returns the median and the 99th percentile of the wait for a job's last start by size of task, and the shares served at all and in aim. */
	summary(): Record<string, unknown> {
		const sorted = this.jobs.toSorted((a, b) => b.work - a.work);
		const largest = Math.round(sorted.length * largestShare);
		const next = largest + Math.round(sorted.length * nextShare);
		return {
			waitMs: Object.fromEntries([...this.waits].toSorted(([a], [b]) => a - b).map(([cores, waits]) => [cores, [quantile(waits, 0.5), quantile(waits, 0.99)]])),
			served: {
				all: served(sorted), largest: served(sorted.slice(0, largest)), next: served(sorted.slice(largest, next)), rest: served(sorted.slice(next)),
			},
		};
	}
}

function served(jobs: ReadonlyArray<{isServed: boolean; isInAim: boolean}>): [inTime: number, inAim: number] {
	const share = (count: number) => Number((count / Math.max(1, jobs.length)).toFixed(3));
	return [share(jobs.filter(({isServed}) => isServed).length), share(jobs.filter(({isInAim}) => isInAim).length)];
}

function quantile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
}
