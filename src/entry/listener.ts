import net from 'node:net';
import {setImmediate as turn} from 'node:timers/promises';
import type {FastifyInstance} from 'fastify';

/**
 * Stops listening without a reset for callers whose connection the kernel has taken and this process has
 * not: those are accepted first, one in a turn of the loop, until a turn finds none or `isOver` says so.
 * Connections that are open stay open. The method of `net` is called, since that of `http` closes idle
 * connections with the listener.
 */
export async function closeListener(server: net.Server, isTimeUp: () => boolean): Promise<void> {
	let accepted = true;
	const noteConnection = (): void => {
		accepted = true;
	};

	server.on('connection', noteConnection);
	// The first turn may end without a look at the listener.
	await turn();
	while (accepted && !isTimeUp()) {
		accepted = false;
		await turn();
	}

	server.off('connection', noteConnection);
	net.Server.prototype.close.call(server);
}

/** Counts the connections that are open; 0 when the count fails, which it does only once the server is closed. */
export async function countConnections(server: net.Server): Promise<number> {
	return new Promise(resolve => {
		server.getConnections((error, count) => {
			resolve(error ? 0 : count);
		});
	});
}

/** Has answers say that their connection is closed with them once a server stops, since one that is kept would hold the stop up; `kept` are the headers before that. */
export function closeConnectionsWhenStopping(app: FastifyInstance, isStopping: () => boolean, keepAliveHeaders: Record<string, string> = {}): void {
	app.addHook('onSend', async (_request, reply) => {
		void reply.headers(isStopping() ? {connection: 'close'} : keepAliveHeaders);
	});
}
