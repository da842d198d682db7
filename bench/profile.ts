import type {Profiler} from 'node:inspector';

/**
 * The parts of the cost of a job, each with the pattern of the modules and functions that belong to it. The first
 * that matches counts. What V8 does within a function, as JSON and strings, counts for that function.
 */
const parts: ReadonlyArray<readonly [part: string, pattern: RegExp]> = [
	// The inspector's own work is not the entry's.
	['idle', /^ (?:\(idle\)|dispatch)$/v],
	['garbage collection', /^ \(garbage collector\)$/v],
	['system calls of writes', /^ (?:write\w*|shutdown|close)$/v],
	['native: reads and event loop', /^ [\(\w\)]*$/v],
	['logs', /node_modules\/(?:pino|sonic-boom|quick-format|safe-stable)|adapters\/log/v],
	['metrics', /node_modules\/prom-client|ephemeral\/metrics/v],
	['checks by schemas', /node_modules\/zod/v],
	['fastify', /node_modules\//v],
	['HTTP of Node', /node:_?(?:internal\/)?(?:_?http|querystring|url)/v],
	['sockets and streams of Node', /node:(?:net|internal\/(?:streams|stream_base|dgram)|stream|events|buffer|internal\/(?:buffer|util|validators))|string_decoder/v],
	['timers and turns of Node', /node:/v],
	['front', /platform\//v],
	['link', /ephemeral\/(?:link|messages|frames)/v],
	['schedule', /src\/decide\//v],
	['dispatcher', /src\/ephemeral\//v],
];

/** Shares are the self time by part and of the most costly functions, as shares of the time that was not idle. */
export type Shares = {parts: Record<string, number>; top: Array<[name: string, share: number]>};

/** How many functions are named. */
const topCount = 40;

/** Groups the self time of a profile by part. */
export function sharesOf({nodes, samples = [], timeDeltas = []}: Profiler.Profile): Shares {
	const selfUs = new Map<number, number>();
	for (const [index, id] of samples.entries()) {
		selfUs.set(id, (selfUs.get(id) ?? 0) + timeDeltas[index]!);
	}

	const byPart = new Map<string, number>();
	const byFunction = new Map<string, number>();
	let busyUs = 0;
	for (const {id, callFrame: {url, functionName, lineNumber}} of nodes) {
		const us = selfUs.get(id) ?? 0;
		const name = `${url} ${functionName}`;
		const part = parts.find(([, pattern]) => pattern.test(name))?.[0] ?? 'other';
		if (part === 'idle') {
			continue;
		}

		busyUs += us;
		byPart.set(part, (byPart.get(part) ?? 0) + us);
		const shown = `${functionName} ${url.split('/').slice(-3).join('/')}:${lineNumber + 1}`;
		byFunction.set(shown, (byFunction.get(shown) ?? 0) + us);
	}

	const inOrder = (times: ReadonlyMap<string, number>): Array<[string, number]> => [...times]
		.toSorted(([, a], [, b]) => b - a)
		.map(([name, us]): [string, number] => [name, Number((us / busyUs).toFixed(4))]);
	return {parts: Object.fromEntries(inOrder(byPart)), top: inOrder(byFunction).slice(0, topCount)};
}
