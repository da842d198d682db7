import {
	createConnection, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {Buffer} from 'node:buffer';
import {StringDecoder} from 'node:string_decoder';
import type {Clock} from '../ports/clock.js';
import {decodeMessage, type Hello, type Message} from './messages.js';

/** How often a side that has nothing else to send says that it is alive while something depends on the link, in milliseconds. */
const beatMs = 200;
/** The silence after which such a link is given up, in milliseconds: well under the time after which a client submits again (1300). */
const silenceMs = 700;
/** The same while nothing depends on it. What links cost at rest grows with entries times sidecars. */
const idleBeatMs = 1000;
const idleSilenceMs = 2600;
/** How often all links are looked at, in milliseconds. */
const checkMs = 100;
/** How long a new connection may take, in milliseconds. */
const connectMs = 500;
/** What may wait to be sent before a link counts as stuck, in bytes. */
const backlogBytes = 4_000_000;
/** The longest line that is read, in characters: a desired state of thousands of routes takes under a tenth. */
const lineLimit = 16_000_000;

/** Why a link ended: `released` when this side has no more use for it, `failed` when a message of it could not be handled. */
export type LinkEndReason = 'closed' | 'released' | 'silent' | 'stuck' | 'malformed' | 'failed';

/** Receiver takes what arrives on a link. */
export type Receiver = {
	receive(message: Message, link: Link): void;
	/** Called once, when the link is over. `problem` says what was wrong with a message that ended it. */
	linkEnded(link: Link, why: LinkEndReason, problem?: string): void;
	/** Called before messages are sent, to add one that dates or sums up the others. */
	beforeFlush?(link: Link): void;
	/** Says whether something is under way that the other side's silence would put in doubt. */
	isNeeded(link: Link): boolean;
};

/**
 * Link is an ordered, kept connection between two of our processes. Messages of one turn of the loop
 * travel together, as one line of JSON. A link that is silent for `silenceMs` while something depends on it is
 * over, whether or not the network said so; one at rest may be silent for `idleSilenceMs`.
 *
 * Not connect calls: a task's few small messages are batched by turn and must be ordered with the beats
 * that date them.
 */
export class Link {
	static create(socket: Socket, clock: Clock, receiver: Receiver, ended: (link: Link) => void): Link {
		return new Link(socket, clock, receiver, ended);
	}

	/** What the other side said of itself, once it has. Nothing else is taken from it before. */
	peer?: Hello;
	/** Messages of kinds that are not known here, as a later version may send. */
	unknownCount = 0;

	/** The other side's network address, as host:port. */
	readonly remoteAddress: string;

	private greeted = false;
	private heardAt: number;
	private sentAt: number;
	/** Since when something here depends on the link, and until when something at the other side may. */
	private stakeSince?: number;
	private neededUntil = 0;
	private pending: Message[] = [];
	private scheduled = false;
	private over = false;
	private rest = '';
	private readonly decoder = new StringDecoder('utf8');

	private constructor(
		private readonly socket: Socket,
		private readonly clock: Clock,
		private readonly receiver: Receiver,
		private readonly onEnd: (link: Link) => void,
	) {
		this.remoteAddress = `${socket.remoteAddress ?? ''}:${socket.remotePort ?? ''}`;
		this.heardAt = clock.mono();
		this.sentAt = this.heardAt;
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this.read(chunk);
		});
		socket.on('error', () => {
			this.end('closed');
		});
		socket.on('close', () => {
			this.end('closed');
		});
	}

	/** Says whether the link is up. */
	get isOpen(): boolean {
		return !this.over;
	}

	/** Says who this side is, unless it has. */
	sendHello(hello: Hello): void {
		if (!this.greeted) {
			this.greeted = true;
			this.send(hello);
		}
	}

	/** Sends a message with the others of this turn. */
	send(message: Message): void {
		if (this.over) {
			return;
		}

		this.pending.push(message);
		if (!this.scheduled) {
			this.scheduled = true;
			setImmediate(() => {
				this.flush();
			});
		}
	}

	/** Ends the link, for a reason that its receiver is told. */
	close(why: LinkEndReason = 'closed', problem?: string): void {
		this.end(why, problem);
	}

	/** Gives the link up where it has been silent for too long, and says that this side is alive where that is due. */
	checkLiveness(): void {
		const now = this.clock.mono();
		const isAtStake = this.receiver.isNeeded(this);
		this.stakeSince = isAtStake ? this.stakeSince ?? now : undefined;
		if (this.isSilent(now)) {
			// What has arrived meanwhile is read first: this process may have been held up itself.
			setImmediate(() => {
				if (this.isSilent(this.clock.mono())) {
					this.end('silent');
				}
			});
		} else if (now - this.sentAt >= (isAtStake || now < this.neededUntil ? beatMs : idleBeatMs)) {
			this.send({kind: 'beat', needed: isAtStake});
		}
	}

	private flush(): void {
		if (this.over) {
			return;
		}

		this.receiver.beforeFlush?.(this);
		this.scheduled = false;
		const line = `${JSON.stringify(this.pending)}\n`;
		this.pending = [];
		this.sentAt = this.clock.mono();
		this.socket.write(line);
		if (this.socket.writableLength > backlogBytes) {
			this.end('stuck');
		}
	}

	/** The time at rest before something came to depend on the link does not count, since the other side said nothing then with reason. */
	private isSilent(now: number): boolean {
		return this.stakeSince === undefined ? now - this.heardAt > idleSilenceMs : now - Math.max(this.heardAt, this.stakeSince) > silenceMs;
	}

	private read(chunk: Uint8Array): void {
		this.heardAt = this.clock.mono();
		const lines = (this.rest + this.decoder.write(Buffer.from(chunk))).split('\n');
		this.rest = lines.pop()!;
		if (this.rest.length > lineLimit) {
			this.end('malformed', `a line of over ${lineLimit} characters`);
			return;
		}

		for (const line of lines) {
			this.readLine(line);
		}
	}

	private readLine(line: string): void {
		let values: unknown;
		try {
			values = JSON.parse(line);
		} catch (error) {
			this.end('malformed', (error as Error).message);
			return;
		}

		if (!Array.isArray(values)) {
			this.end('malformed', 'expected a list of messages');
			return;
		}

		for (const value of values) {
			if (this.over) {
				return;
			}

			const reading = decodeMessage(value);
			switch (reading.kind) {
				case 'message': {
					this.take(reading.message);
					break;
				}

				case 'unknown': {
					this.unknownCount++;
					break;
				}

				case 'malformed': {
					this.end('malformed', reading.problem);
					break;
				}
			}
		}
	}

	private take(message: Message): void {
		if (message.kind === 'beat') {
			this.neededUntil = message.needed ? this.clock.mono() + silenceMs : this.neededUntil;
			return;
		}

		if ((message.kind === 'hello') !== (this.peer === undefined)) {
			this.end('malformed', this.peer ? 'a second hello' : `${message.kind} before hello`);
			return;
		}

		if (message.kind === 'hello') {
			this.peer = message;
		}

		try {
			this.receiver.receive(message, this);
		} catch (error) {
			// One message that cannot be handled costs its link, not the process.
			this.end('failed', `${message.kind}: ${(error as Error).stack ?? String(error)}`);
		}
	}

	private end(why: LinkEndReason, problem?: string): void {
		if (this.over) {
			return;
		}

		this.over = true;
		this.socket.destroy();
		this.onEnd(this);
		this.receiver.linkEnded(this, why, problem);
	}
}

/** Links are those of one process, with one timer for all of them. */
export class Links {
	static create(clock: Clock, receiver: Receiver): Links {
		return new Links(clock, receiver);
	}

	private readonly open = new Set<Link>();
	private readonly timer: NodeJS.Timeout;
	private server?: Server;

	private constructor(private readonly clock: Clock, private readonly receiver: Receiver) {
		this.timer = setInterval(() => {
			for (const link of this.open) {
				link.checkLiveness();
			}
		}, checkMs);
	}

	/** Opens a link to an address, host:port. Resolves to nothing when it cannot be reached in time. */
	async dial(address: string): Promise<Link | undefined> {
		const [host, port] = splitAddress(address);
		return new Promise(resolve => {
			const socket = createConnection({host, port});
			const timer = setTimeout(() => {
				socket.destroy();
				resolve(undefined);
			}, connectMs);
			socket.once('error', () => {
				clearTimeout(timer);
				resolve(undefined);
			});
			socket.once('connect', () => {
				clearTimeout(timer);
				resolve(this.add(socket));
			});
		});
	}

	/** Listens for links. Resolves to where it does, once it does. */
	async listen(address: string): Promise<string> {
		const [host, port] = splitAddress(address);
		const server = createServer(socket => {
			this.add(socket);
		});
		this.server = server;
		return new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen({host, port}, () => {
				resolve(`${host}:${(server.address() as AddressInfo).port}`);
			});
		});
	}

	/** Ends all links, and takes none from now on. */
	close(): void {
		clearInterval(this.timer);
		this.server?.close();
		for (const link of this.open) {
			link.close();
		}
	}

	private add(socket: Socket): Link {
		const link = Link.create(socket, this.clock, this.receiver, ended => {
			this.open.delete(ended);
		});
		this.open.add(link);
		return link;
	}
}

/** Says whether a text is an address that can be dialled, as host:port. */
export function isAddress(text: string): boolean {
	const [host, port] = splitAddress(text);
	return /^[^\s:]+$/v.test(host) && /:\d+$/v.test(text) && port > 0 && port < 65_536;
}

/** Splits host:port. */
export function splitAddress(address: string): [host: string, port: number] {
	const colon = address.lastIndexOf(':');
	return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
