import net from 'node:net';
import {setImmediate as turn} from 'node:timers/promises';
import type {FastifyInstance} from 'fastify';

/**
 * Stops listening without resetting connections that wait in the kernel's accept queue: these are accepted
 * first, one per turn of the event loop, until a turn accepts none or `isTimeUp` returns true. Open
 * connections stay open. Calls `close` of `net`, since that of `http` also closes idle connections.
 */
export async function closeListener(server: net.Server, isTimeUp: () => boolean): Promise<void> {
	let accepted = true;
	const noteConnection = (): void => {
		accepted = true;
	};

	server.on('connection', noteConnection);
	// The first turn may end before the listener was polled.
	await turn();
	while (accepted && !isTimeUp()) {
		accepted = false;
		await turn();
	}

	server.off('connection', noteConnection);
	net.Server.prototype.close.call(server);
}

/** Counts the open connections. Resolves to 0 if the count fails, which happens only once the server is closed. */
export async function countConnections(server: net.Server): Promise<number> {
	return new Promise(resolve => {
		server.getConnections((error, count) => {
			resolve(error ? 0 : count);
		});
	});
}

/** Sends `connection: close` with every answer while a server stops, since a kept connection would delay the stop; until then sends `keepAliveHeaders`. */
export function closeConnectionsWhenStopping(app: FastifyInstance, isStopping: () => boolean, keepAliveHeaders: Record<string, string> = {}): void {
	app.addHook('onSend', async (_request, reply) => {
		void reply.headers(isStopping() ? {connection: 'close'} : keepAliveHeaders);
	});
}
