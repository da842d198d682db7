import {once} from 'node:events';
import {
	createConnection, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import type {ExecutionContext} from 'ava';
import {splitAddress} from '../src/ephemeral/link.js';

export type Message = Record<string, unknown> & {kind: string};

/** A peer that says what it is told to, in lines of JSON, and keeps what it hears. */
export class Peer {
	readonly heard: Message[] = [];
	private rest = '';

	constructor(readonly socket: Socket, hello: Message) {
		socket.on('error', () => undefined);
		socket.on('data', (chunk: Uint8Array) => {
			const lines = (this.rest + String(chunk)).split('\n');
			this.rest = lines.pop()!;
			this.heard.push(...lines.flatMap(line => JSON.parse(line) as Message[]));
		});
		this.say(hello);
	}

	say(...messages: Message[]): void {
		this.socket.write(`${JSON.stringify(messages)}\n`);
	}

	/** The newest time stamp heard. */
	get stamp(): number {
		return this.heard.findLast(({kind}) => kind === 'room' || kind === 'place')!.stamp as number;
	}

	has(kind: string): boolean {
		return this.heard.some(message => message.kind === kind);
	}
}

export const hello = (role: 'entry' | 'sidecar', more: Record<string, unknown> = {}): Message => ({
	kind: 'hello', role, node: 'odd', life: 'odd-1', ...more,
});

/** Opens a link to an entry. */
export async function linkTo(t: ExecutionContext, address: string, first: Message): Promise<Peer> {
	const [host, port] = splitAddress(address);
	const socket = createConnection({host, port});
	t.teardown(() => socket.destroy());
	await once(socket, 'connect');
	return new Peer(socket, first);
}

/** Opens an address that sidecars dial, as an entry does. */
export async function openOddEntry(t: ExecutionContext, node = 'odd'): Promise<{address: string; linked: Promise<Peer>}> {
	const server: Server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => server.close());
	const linked = (async () => {
		const [socket] = await once(server, 'connection') as [Socket];
		t.teardown(() => socket.destroy());
		server.close();
		return new Peer(socket, hello('entry', {node, life: `${node}-1`}));
	})();
	return {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, linked};
}
