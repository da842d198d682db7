import net, {type AddressInfo, type Socket} from 'node:net';

/** Direction is the way bytes go: up from the client to the target, or down from the target. */
export type Direction = 'up' | 'down';

type Pair = {client: Socket; target: Socket};

/** Proxy stands before a TCP server on loopback and spoils what goes through it. */
export class Proxy {
	static async create(target = ''): Promise<Proxy> {
		const proxy = new Proxy(target);
		await new Promise<void>(resolve => {
			proxy.server.listen(0, '127.0.0.1', resolve);
		});
		proxy.address = `127.0.0.1:${(proxy.server.address() as AddressInfo).port}`;
		return proxy;
	}

	/** The `host:port` it listens on, also after it was closed. */
	address = '';

	/** The bytes that went through, both ways. */
	bytes = 0;
	/** Added to every chunk either way, in milliseconds. */
	delayMs = 0;
	/** The rate of all connections together in each direction, in bytes a second. Infinite: not limited. */
	bytesPerSecond = Number.POSITIVE_INFINITY;
	/** Refuses new connections and cuts those that come. */
	closed = false;
	private readonly server = net.createServer(client => {
		this.accept(client);
	});

	private readonly pairs = new Set<Pair>();
	private readonly held: Record<Direction, Array<() => void> | undefined> = {up: undefined, down: undefined};
	private losing = 0;
	/** When the limited rate has passed on all that came before, in milliseconds. */
	private readonly busyUntil: Record<Direction, number> = {up: 0, down: 0};

	private constructor(public target: string) {}

	/** Breaks every connection. */
	cut(): void {
		for (const {client, target} of this.pairs) {
			client.destroy();
			target.destroy();
		}
	}

	/** Holds back everything that goes one way until `release`. */
	stall(direction: Direction): void {
		this.held[direction] ??= [];
	}

	/** Lets go what was held back, in the opposite order of its connections where `crossed`. */
	release(crossed = false): void {
		for (const direction of ['up', 'down'] as const) {
			const sends = this.held[direction] ?? [];
			this.held[direction] = undefined;
			for (const send of crossed ? regroup(sends) : sends) {
				send();
			}
		}
	}

	/** Breaks the connection when the next `count` replies come back: their requests have gone through. */
	loseReplies(count: number): void {
		this.losing = count;
	}

	/** Stops listening and breaks what is open. */
	async close(): Promise<void> {
		this.cut();
		await new Promise(resolve => {
			this.server.close(resolve);
		});
	}

	private accept(client: Socket): void {
		if (this.closed || this.target === '') {
			client.destroy();
			return;
		}

		const [host, port] = this.target.split(':');
		const target = net.connect(Number(port), host);
		const pair = {client, target};
		this.pairs.add(pair);
		this.pipe(client, target, 'up');
		this.pipe(target, client, 'down');
		for (const socket of [client, target]) {
			socket.setNoDelay(true);
			socket.on('error', () => {
				client.destroy();
				target.destroy();
			});
			socket.on('close', () => {
				this.pairs.delete(pair);
				client.destroy();
				target.destroy();
			});
		}
	}

	private pipe(from: Socket, to: Socket, direction: Direction): void {
		from.on('data', (chunk: Uint8Array) => {
			this.bytes += chunk.length;
			if (direction === 'down' && this.losing > 0) {
				this.losing--;
				from.destroy();
				to.destroy();
				return;
			}

			const send = Object.assign(() => {
				to.write(chunk);
			}, {to});
			if (this.held[direction]) {
				this.held[direction].push(send);
			} else if (Number.isFinite(this.bytesPerSecond)) {
				this.sendThrottled(from, send, chunk.length, direction);
			} else if (this.delayMs > 0) {
				setTimeout(send, this.delayMs);
			} else {
				send();
			}
		});
	}

	/** Passes a chunk on when the limited rate allows it, and reads no more from its connection before that. */
	private sendThrottled(from: Socket, send: () => void, bytes: number, direction: Direction): void {
		const now = performance.now();
		this.busyUntil[direction] = Math.max(now, this.busyUntil[direction]) + (bytes * 1000 / this.bytesPerSecond);
		from.pause();
		setTimeout(() => {
			send();
			from.resume();
		}, this.busyUntil[direction] - now);
	}
}

/** Keeps the order within a connection and turns round that of the connections. */
function regroup(sends: Array<() => void>): Array<() => void> {
	const groups = new Map<unknown, Array<() => void>>();
	for (const send of sends) {
		const {to} = send as unknown as {to: Socket};
		groups.set(to, [...groups.get(to) ?? [], send]);
	}

	return [...groups.values()].toReversed().flat();
}
