/** ProcessLimits is what the machine gives a process: its memory in megabytes and its file descriptors. */
export type ProcessLimits = {memoryMb?: number; descriptors?: number};

/**
 * ClientLimits bounds what all clients together can make a process keep: connections by listener, of which `strangers`
 * are those of processes that have not said hello, and bytes of memory by what they are kept for.
 */
export type ClientLimits = {
	connections: Record<'callers' | 'control' | 'ready' | 'metrics' | 'strangers' | 'peers', number>;
	/** Requests whose bodies arrive, and bodies that have not been decoded. */
	requestBytes: number;
	/** Blocks of messages on links that are not whole. */
	receivedBytes: number;
	/** What was written to links and not yet taken. */
	unsentBytes: number;
	/** The tasks of the jobs in hand. */
	tasks: number;
};

/** What is assumed of a machine that does not say it. */
const usualMemoryMb = 512;
const usualDescriptors = 4096;
/** The descriptors that files take, and those of connections that a process opens itself. */
export const fileDescriptors = 200;
const ownConnections = 64;
/** The most connections of the checks, of the metrics, and of processes that have not said hello. */
const maxReady = 64;
const maxMetrics = 32;
const maxStrangers = 128;
/** The share of the descriptors for links: two years on a machine of 4,100 has some 1,000 sidecars and 40 entries. */
const peerShare = 0.3;
const bytesPerMb = 1_048_576;
/** The shares of the memory. A waiting task takes some 300 bytes, and more while it is under way. */
const requestShare = 1 / 8;
const linkShare = 1 / 16;
const tasksPerMb = 100;

/** Divides what the machine gives among what clients can take of it. */
export function divideLimits({memoryMb = usualMemoryMb, descriptors = usualDescriptors}: ProcessLimits): ClientLimits {
	const sockets = Math.max(0, descriptors - fileDescriptors);
	const few = (most: number): number => Math.max(1, Math.min(most, Math.floor(sockets / 16)));
	const ready = few(maxReady);
	const metrics = few(maxMetrics);
	const strangers = few(maxStrangers);
	const peers = Math.floor(sockets * peerShare);
	const left = Math.max(1, sockets - ready - metrics - few(ownConnections));
	const bytes = memoryMb * bytesPerMb;
	return {
		connections: {
			callers: Math.max(1, left - strangers - peers), control: left, ready, metrics, strangers, peers,
		},
		requestBytes: bytes * requestShare,
		receivedBytes: bytes * linkShare,
		unsentBytes: bytes * linkShare,
		tasks: Math.floor(memoryMb * tasksPerMb),
	};
}
