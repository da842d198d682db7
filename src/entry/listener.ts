import net from 'node:net';
import {setImmediate as turn} from 'node:timers/promises';

/**
 * Stops listening without a reset for callers whose connection the kernel has taken and this process has
 * not: those are accepted first, one in a turn of the loop, until a turn finds none or `isOver` says so.
 * Connections that are open stay open. The method of `net` is called, since that of `http` closes idle
 * connections with the listener.
 */
export async function closeListener(server: net.Server, isOver: () => boolean): Promise<void> {
	let accepted = true;
	const note = (): void => {
		accepted = true;
	};

	server.on('connection', note);
	// The first turn may end without a look at the listener.
	await turn();
	while (accepted && !isOver()) {
		accepted = false;
		await turn();
	}

	server.off('connection', note);
	net.Server.prototype.close.call(server);
}

/** Counts the connections that are open; 0 when the count fails, which it does only once the server is closed. */
export async function connections(server: net.Server): Promise<number> {
	return new Promise(resolve => {
		server.getConnections((error, count) => {
			resolve(error ? 0 : count);
		});
	});
}
