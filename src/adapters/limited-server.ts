import {
	createServer, IncomingMessage, type RequestListener, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Logger} from 'pino';
import {ConnectionTable, type Phase, type PhaseLimits} from '../decide/connection-table.js';
import type {Clock} from '../ports/clock.js';

/** How often connections are checked, in milliseconds. */
const checkMs = 500;
/** The most requests of one connection that wait for their answers: clients that pipeline at all send a few. */
const maxPipelined = 8;
/** The most requests of all connections that wait for their answers. A request takes some 5 KB beside its body. */
const maxRequests = 4096;
/** The listeners that a connection has beside those of its requests. */
const usualListeners = 10;
/** How long a connection stays open for a further request, in milliseconds. */
const keptMs = 60_000;

/** The limits of connections that the operator may set, in milliseconds. */
export type ConnectionTimes = {
	/** How long the header of a request may take. */
	headerMs: number;
	/** How long a connection may be open without a request, and an answer unread. */
	idleMs: number;
};

/** The times where the operator says nothing. */
export const usualTimes: ConnectionTimes = {headerMs: 3000, idleMs: 15_000};
/** How long the body of a request may take, in milliseconds: as long as a caller waits that does not say how long. */
const bodyMs = 30_000;

/** What a connection was closed for: it was overdue in a phase, gave way to another one, or had too many requests at once. */
type Closing = Phase | 'displaced' | 'pipelined' | 'refused';

export type LimitedServerOptions = {
	/** What the server is for, as it is logged. */
	name: string;
	maxConnections: number;
	clock: Clock;
	log: Logger;
	requestListener: RequestListener;
	/** The limits in force; absent for the usual ones. */
	times?(): ConnectionTimes;
};

/** What is known of a connection: the bytes read and written at the last check, its requests in hand and its newest response. */
type Known = {read: number; written: number; requests: number; response?: ServerResponse};

/**
 * Creates an HTTP server that closes the connections of clients that hold it up: those that finish neither a request nor
 * the reading of an answer in time, that send many requests before they read, and that are more than the process has
 * descriptors for. A connection whose request waits for its answer is not closed.
 */
export function createLimitedServer({
	name, maxConnections, clock, log, times = () => usualTimes, requestListener,
}: LimitedServerOptions): Server {
	const table = ConnectionTable.create<Socket>(maxConnections);
	const known = new Map<Socket, Known>();
	let closings: Partial<Record<Closing, number>> = {};
	/** The requests of all connections in hand. */
	let requests = 0;

	function count(why: Closing): void {
		closings[why] = (closings[why] ?? 0) + 1;
	}

	function close(socket: Socket, why: Closing): void {
		count(why);
		socket.destroy();
	}

	/**
	 * A request, as it is parsed. All that have arrived on a connection are parsed at once, and each takes memory until
	 * the connection is closed. One too many therefore shows itself as a CONNECT, for which there is no listener: Node.js
	 * parses no further and closes the connection.
	 */
	class CountedRequest extends IncomingMessage {
		constructor(socket: Socket) {
			super(socket);
			const pending = known.get(socket)?.requests ?? 0;
			if (pending >= maxPipelined || (pending > 0 && requests >= maxRequests)) {
				count('pipelined');
				Object.defineProperties(this, {method: fixedProperty('CONNECT'), upgrade: fixedProperty(true)});
			}
		}
	}

	const server = createServer({
		keepAliveTimeout: keptMs,
		requestTimeout: 0,
		headersTimeout: 0,
		// eslint-disable-next-line @typescript-eslint/naming-convention -- the name of an option of Node.js
		IncomingMessage: CountedRequest,
	}, (request, response) => {
		const {socket} = request;
		const connection = known.get(socket);
		if (!connection || socket.destroyed) {
			return;
		}

		if (requests >= maxRequests) {
			// Without a look at the request, a refusal could wrongly say that nothing of it has run.
			close(socket, 'refused');
			return;
		}

		connection.requests++;
		requests++;
		connection.response = response;
		if (hasBody(request)) {
			table.enter(socket, 'body', clock.mono());
			request.once('end', () => {
				if (connection.requests > 0) {
					table.enter(socket, 'answer', clock.mono());
				}
			});
		} else {
			table.enter(socket, 'answer', clock.mono());
		}

		response.once('close', () => {
			// What is left of the requests of a connection that has ended was counted when it ended.
			if (!known.has(socket)) {
				return;
			}

			connection.requests--;
			requests--;
			if (connection.requests === 0) {
				connection.read = socket.bytesRead;
				table.enter(socket, 'kept', clock.mono());
			}
		});
		requestListener(request, response);
	});
	server.on('connection', (socket: Socket) => {
		const connection: Known = {read: 0, written: 0, requests: 0};
		known.set(socket, connection);
		socket.setMaxListeners(maxPipelined + usualListeners);
		socket.once('close', () => {
			table.delete(socket);
			known.delete(socket);
			requests -= connection.requests;
		});
		const displaced = table.open(socket, clock.mono());
		if (displaced) {
			close(displaced, 'displaced');
		}
	});

	/** Notes what Node.js does not tell: that part of a header has arrived, and that an answer is not taken. */
	function notePhase(socket: Socket, connection: Known, now: number): void {
		switch (table.phaseOf(socket)) {
			case 'unused':
			case 'kept': {
				if (socket.bytesRead > connection.read) {
					table.enter(socket, 'header', now);
				}

				break;
			}

			case 'answer':
			case 'unread': {
				const isTaken = !connection.response!.writableEnded || socket.bytesWritten - socket.writableLength > connection.written;
				connection.written = socket.bytesWritten - socket.writableLength;
				table.enter(socket, isTaken ? 'answer' : 'unread', now);
				break;
			}

			case 'header':
			case 'body':
			case undefined: {
				break;
			}
		}
	}

	function check(): void {
		const now = clock.mono();
		for (const [socket, connection] of known) {
			notePhase(socket, connection, now);
		}

		const {headerMs, idleMs} = times();
		const limits: PhaseLimits = {
			unused: idleMs, header: headerMs, body: bodyMs, unread: idleMs,
		};
		for (const [socket, phase] of table.overdue(now, limits)) {
			close(socket, phase);
		}

		if (Object.keys(closings).length > 0) {
			log.warn({
				event: 'connections-closed', listener: name, ...closings, open: table.size, most: maxConnections,
			}, 'connections closed that held up the server');
			closings = {};
		}
	}

	const timer = setInterval(() => {
		// What has arrived is read first, since this process may itself have stood still.
		setImmediate(check);
	}, checkMs);
	timer.unref();
	server.once('close', () => {
		clearInterval(timer);
	});
	return server;
}

/** A property that keeps its value whatever it is set to. */
function fixedProperty(value: unknown): PropertyDescriptor {
	return {get: () => value, set: () => undefined};
}

function hasBody({headers}: IncomingMessage): boolean {
	return headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0';
}
