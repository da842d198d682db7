/**
 * Phase is what a connection of an HTTP server is at: `unused` has sent nothing yet, `header` has sent part of a request's
 * header, `body` part of its body. `answer` waits for the server, `unread` has not taken an answer that was written, and
 * `kept` is open for a further request.
 */
export type Phase = 'unused' | 'header' | 'body' | 'answer' | 'unread' | 'kept';

/** The longest time that a connection may spend in a phase, in milliseconds. Absent ones are not limited. */
export type PhaseLimits = Partial<Record<Phase, number>>;

/** A connection that is younger than this in its phase is closed last of those that its client holds up, in milliseconds. */
const graceMs = 1000;

type Connection = {phase: Phase; since: number};

/** ConnectionTable decides which connections of a server are closed: those that are overdue, and one for each that comes while there are as many as allowed. */
export class ConnectionTable<Key> {
	static create<Key>(maxConnections: number): ConnectionTable<Key> {
		return new ConnectionTable(maxConnections);
	}

	private readonly connections = new Map<Key, Connection>();

	private constructor(private readonly maxConnections: number) {}

	get size(): number {
		return this.connections.size;
	}

	phaseOf(key: Key): Phase | undefined {
		return this.connections.get(key)?.phase;
	}

	/** Adds a connection. Returns the one to close for it, which is itself where all others wait for the server. */
	open(key: Key, now: number): Key | undefined {
		const displaced = this.connections.size < this.maxConnections ? undefined : this.leastWanted(now) ?? key;
		if (displaced !== undefined) {
			this.connections.delete(displaced);
		}

		if (displaced !== key) {
			this.connections.set(key, {phase: 'unused', since: now});
		}

		return displaced;
	}

	enter(key: Key, phase: Phase, now: number): void {
		const connection = this.connections.get(key);
		if (connection && connection.phase !== phase) {
			connection.phase = phase;
			connection.since = now;
		}
	}

	delete(key: Key): void {
		this.connections.delete(key);
	}

	/** Returns the connections that are beyond the limit of their phase, with that phase. */
	overdue(now: number, limits: PhaseLimits): Array<[key: Key, phase: Phase]> {
		return [...this.connections].filter(([, {phase, since}]) => now - since > (limits[phase] ?? Number.POSITIVE_INFINITY)).map(([key, {phase}]) => [key, phase]);
	}

	/**
	 * The connection that is closed first: the oldest that its client holds up, then the oldest that is kept, then one that
	 * has only just come. None that waits for the server.
	 */
	private leastWanted(now: number): Key | undefined {
		let found: Key | undefined;
		let foundRank = Number.POSITIVE_INFINITY;
		let foundSince = Number.POSITIVE_INFINITY;
		for (const [key, {phase, since}] of this.connections) {
			const rank = rankOf(phase, now - since);
			if (rank !== undefined && (rank < foundRank || (rank === foundRank && since < foundSince))) {
				found = key;
				foundRank = rank;
				foundSince = since;
			}
		}

		return found;
	}
}

/** The order in which connections are closed for others, the lowest first; nothing for those that are not. */
function rankOf(phase: Phase, ageMs: number): number | undefined {
	switch (phase) {
		case 'answer': {
			return undefined;
		}

		case 'kept': {
			return 1;
		}

		case 'unused':
		case 'header':
		case 'body':
		case 'unread': {
			return ageMs > graceMs ? 0 : 2;
		}
	}
}
