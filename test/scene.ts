import {Cluster, type Reply, type Shape} from './cluster.js';

/** Returns the bodies of so many tasks that take so many milliseconds each. */
export const bodies = (count: number, ms = 60) => Array.from({length: count}, (_, index) => ({ms, index}));

/** Says whether a reply is the whole answer of a job of so many tasks. */
export const whole = (reply: Reply | undefined, tasks: number) => reply?.result === 0 && reply.body.tasks?.length === tasks;

/** Runs a case on a cluster of its own, of two entries and three sidecars unless `shape` says otherwise. */
export async function withCluster(body: (cluster: Cluster) => Promise<void>, shape: Partial<Shape> = {}): Promise<void> {
	const cluster = await Cluster.create({entries: 2, sidecars: ['zone-0', 'zone-1', 'zone-0'], ...shape});
	try {
		await body(cluster);
	} finally {
		await cluster.close();
	}
}

/** The most starts that any task had. */
export function mostStarts({starts}: Cluster): number {
	const counts = new Map<string, number>();
	for (const {claim, task} of starts) {
		const id = `${claim}#${task}`;
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	return Math.max(0, ...counts.values());
}
