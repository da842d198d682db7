import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {ExecutionContext} from 'ava';

type Handler = (request: IncomingMessage, url: URL, response: ServerResponse) => void;

/** Serves a stand-in on a free port. Resolves to its address. */
export async function serve(t: ExecutionContext, handler: Handler): Promise<string> {
	const server = createServer((request, response) => {
		request.resume();
		handler(request, new URL(request.url!, 'http://x'), response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
