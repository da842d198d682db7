/** The jobs of the entry benches: the kinds of deployment V in docs/design/hard-load.md, "The load". */
import type {Random} from '../src/ports/random.js';

/** Kind is one kind of job: `perSecond` is its rate in the whole deployment, `cpu` is in thousandths of a core. */
type Kind = {name: string; priority: number; tasks: number; runMs: number; cpu: number; perSecond: number};

const kinds: readonly Kind[] = [
	{
		name: 'short', priority: 0, tasks: 8, runMs: 73, cpu: 2700, perSecond: 127,
	},
	{
		name: 'middle', priority: 2, tasks: 4, runMs: 1086, cpu: 2700, perSecond: 23,
	},
	{
		name: 'two', priority: 1, tasks: 2, runMs: 243, cpu: 2700, perSecond: 370,
	},
];

/** The deployment's entries and workers, and the jobs a second of all kinds that arrive there. */
export const entries = 9;
export const workers = 57;
export const jobsPerSecond = 520;
/** The capacity of a worker: 32 cores, of every third 48. */
export const capacityOf = (index: number) => ({cpu: index % 3 === 0 ? 48_000 : 32_000, memoryMb: 64_000, accelerators: 0});

/** The target of a job: `aimMs` plus `stretch` times the time of its longest task. */
const aimMs = 60;
const stretch = 1.6;
export const host = 'bench.example';
/** The length of a job's text, with which a body is about 2,400 bytes. */
const textLength = 2280;
/** How long a caller waits, in milliseconds. */
export const deadlineMs = 1500;
/** Declared run times are off by up to this share. */
const declaredError = 0.4;

export const routes = kinds.map(({name, priority}) => ({
	name, host, path_prefix: `/${name}/`, service: 'pool', target_latency_ms: aimMs, stretch, priority, max_attempts: 3, // eslint-disable-line @typescript-eslint/naming-convention
}));

/** Submission is one job as a caller sends it. It is of full value when answered within `targetMs`. */
export type Submission = {path: string; body: string; targetMs: number};

/** Draws a job. Its text begins with the time that its tasks run, in milliseconds, which the model workers read. */
export function drawJob(random: Random, number: number): Submission {
	let left = random.next() * jobsPerSecond;
	const kind = kinds.find(({perSecond}) => {
		left -= perSecond;
		return left < 0;
	}) ?? kinds[0]!;
	const declared = kind.runMs * (1 - declaredError + (2 * declaredError * random.next()));
	return {
		path: `/${kind.name}/${number.toString(16).padStart(16, '0')}`,
		body: JSON.stringify({
			spec: `${kind.runMs} `.padEnd(textLength, 'x'),
			best_effort: true, // eslint-disable-line @typescript-eslint/naming-convention
			steps: [{
				count: kind.tasks, cpu: kind.cpu, mem_mb: 64, estimate_ms: Math.round(declared), // eslint-disable-line @typescript-eslint/naming-convention
			}],
		}),
		targetMs: aimMs + (stretch * kind.runMs),
	};
}
