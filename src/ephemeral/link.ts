import {
	createConnection, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {ByteBudget} from '../decide/byte-budget.js';
import {divideLimits, type ClientLimits} from '../decide/client-limits.js';
import type {Clock} from '../ports/clock.js';
import {
	BlockReader, blockLimitBytes, createMsgpackFrames, jsonLines, type Codec,
} from './frames.js';
import {IncomingParts, OutgoingParts} from './parts.js';
import {
	decodeMessage, isLinkMessage, kindOf, maxNameLength, type Feature, type Hello, type LinkMessage, type Message, type ReceivedMessage,
} from './messages.js';

/** How often a side with nothing else to send sends a heartbeat while the link is needed, in milliseconds. */
const heartbeatMs = 200;
/** The silence after which a needed link is ended, in milliseconds: well under the time after which a client submits again (1300). */
const silenceMs = 700;
/** The same for links that are not needed. The cost of idle links grows with the number of entries times sidecars. */
const idleHeartbeatMs = 1000;
const idleSilenceMs = 2600;
/** How often all links are checked for silence, in milliseconds. */
const checkMs = 100;
/** The timeout for a new connection, in milliseconds. */
const connectMs = 500;
/** The unsent data above which a link counts as stuck, in bytes. */
const backlogBytes = 4_000_000;

/** How long a process that has connected may take to say hello, in milliseconds. */
const helloMs = 5000;
/** The longest block of messages of a process that has connected and not said hello, in bytes. */
const helloBytes = 2_000_000;
/** The unsent data of one link above which that of all links is added up, in bytes. */
const noticedBacklogBytes = 64_000;

/** While more than this is unsent, no further part of a long message is written, in bytes. */
const partBacklogBytes = 16_000;

/** Why a link ended: `released` if this side no longer needs it, `overdue` if its receiver found it so, `failed` if one of its messages could not be handled, `displaced` if all links together took too many connections or too much memory. */
export type LinkEndReason = 'closed' | 'released' | 'silent' | 'overdue' | 'stuck' | 'malformed' | 'failed' | 'displaced';

/** The bytes received and sent on links, by the role of the other side; before its hello it is a stranger. */
export type LinkTraffic = Record<Hello['role'] | 'stranger', {in: number; out: number}>;

/** Handles the messages and the end of links. */
export type Receiver = {
	receive(message: ReceivedMessage, link: Link): void;
	/** Called once, when the link has ended. `problem` describes the fault of a message that ended it. */
	linkEnded(link: Link, why: LinkEndReason, problem?: string): void;
	/** Called before pending messages are sent, to add one that carries a time stamp or a summary for them. */
	beforeFlush?(link: Link): void;
	/** Called with the messages that were sent together and the bytes that they took. */
	flushed?(link: Link, messages: readonly Message[], bytes: number): void;
	/** Returns whether work under way depends on the other side of the link. */
	isNeeded(link: Link): boolean;
	/** Returns whether what the other side has to confirm while it is needed was confirmed too long ago. */
	isOverdue?(link: Link): boolean;
};

export type LinkDependencies = {
	clock: Clock;
	receiver: Receiver;
	traffic: LinkTraffic;
	/** Whether the other side has opened the connection. */
	isAccepted: boolean;
	ended(link: Link): void;
	/** Called when the other side has said hello, before that is passed on. Returns whether the link may go on. */
	identified(link: Link): boolean;
	/** Called with the memory that the messages take which are not whole yet, in bytes, when that has changed. */
	held(link: Link, bytes: number): void;
	/** Called when a link has much unsent data. */
	backedUp(): void;
};

/**
 * Link is an ordered, long-lived connection between two processes of the system. The messages of one turn of the
 * event loop are sent together: as one line of JSON, and once both sides have announced `msgpack`, as one frame. A link that is silent for `silenceMs` while it is needed ends,
 * whether or not the network reports an error; one that is not needed may be silent for `idleSilenceMs`.
 *
 * Calls of the Connect protocol don't fit here: a task's few small messages are batched by turn, and must keep
 * their order with the messages that carry the time stamp for them.
 */
export class Link {
	static create(socket: Socket, dependencies: LinkDependencies): Link {
		return new Link(socket, dependencies);
	}

	/** The other side's hello, once it has arrived. No other message is accepted before it. */
	peer?: Hello;
	/** The number of messages of unknown kinds, which a later version may send. */
	unknownCount = 0;

	/** The other side's network address, as host:port. */
	readonly remoteAddress: string;

	private isHelloSent = false;
	/** The features that this side has announced. */
	private ownFeatures: readonly string[] = [];
	private readonly openedAt: number;
	private receivedAt: number;
	private sentAt: number;
	/** The memory that was last passed to `held`. */
	private heldBytes = 0;
	/** Since when this side has needed the link, and until when the other side may need it. */
	private neededSince?: number;
	private neededUntil = 0;
	private pending: Message[] = [];
	private scheduled = false;
	private hasEnded = false;
	private outgoing: Codec = jsonLines;
	private incoming: Codec = jsonLines;
	private readonly outgoingParts = OutgoingParts.create();
	private readonly incomingParts = IncomingParts.create();
	private readonly reader = BlockReader.create();

	private readonly clock: Clock;
	private readonly receiver: Receiver;
	private readonly traffic: LinkTraffic;

	private constructor(private readonly socket: Socket, private readonly dependencies: LinkDependencies) {
		({clock: this.clock, receiver: this.receiver, traffic: this.traffic} = dependencies);
		const {clock} = this;
		this.remoteAddress = `${socket.remoteAddress ?? ''}:${socket.remotePort ?? ''}`;
		this.openedAt = clock.mono();
		this.receivedAt = this.openedAt;
		if (dependencies.isAccepted) {
			this.reader.limitBytes = helloBytes;
		}

		this.sentAt = this.receivedAt;
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

	/** Whether the link has not ended. */
	get isOpen(): boolean {
		return !this.hasEnded;
	}

	/** The bytes that the socket has not yet passed to the operating system. */
	get unsentBytes(): number {
		return this.hasEnded ? 0 : this.socket.writableLength;
	}

	/** When the other side was last heard, on the local clock. */
	get heardAt(): number {
		return this.receivedAt;
	}

	/** Whether both sides have announced a feature. */
	speaks(feature: Feature): boolean {
		return this.peer?.features?.includes(feature) === true && this.ownFeatures.includes(feature);
	}

	/** Sends this side's hello, unless it was sent before. */
	sendHello(hello: Hello): void {
		if (!this.isHelloSent) {
			this.isHelloSent = true;
			this.ownFeatures = hello.features ?? [];
			this.send(hello);
		}
	}

	/** Sends a message, together with the others of this turn of the event loop. Messages keep their order, but for a desired state, whose parts let others pass, and one that goes `before` another of this turn. */
	send(message: Message, before?: Message): void {
		if (this.hasEnded) {
			return;
		}

		if (message.kind === 'desired' && this.outgoing !== jsonLines && this.speaks('parts') && this.outgoingParts.add(message)) {
			this.sendParts();
			return;
		}

		const index = before ? this.pending.indexOf(before) : -1;
		this.pending.splice(index === -1 ? this.pending.length : index, 0, message);
		if (!this.scheduled) {
			this.scheduled = true;
			setImmediate(() => {
				this.flush();
			});
		}
	}

	/** Returns whether a message of a kind waits to be sent, or, of a desired state, parts of one. */
	isAboutToSend(kind: Message['kind']): boolean {
		return this.pending.some(message => message.kind === kind) || (kind === 'desired' && this.outgoingParts.waitingBytes > 0);
	}

	/** Takes back a message that waits to be sent with the others of this turn. Returns whether it did. */
	withdraw(message: Message): boolean {
		const index = this.pending.indexOf(message);
		if (index !== -1) {
			this.pending.splice(index, 1);
		}

		return index !== -1;
	}

	/** Ends the link and passes the reason to its receiver. */
	close(why: LinkEndReason = 'closed', problem?: string): void {
		this.end(why, problem);
	}

	/** Ends the link if it has been silent for too long, or sends a heartbeat if one is due. */
	checkLiveness(): void {
		this.sendParts();
		const now = this.clock.mono();
		const isNeeded = this.receiver.isNeeded(this);
		this.neededSince = isNeeded ? this.neededSince ?? now : undefined;
		if (this.livenessProblem(now)) {
			// Data that has arrived is read first, since this process may itself have been blocked.
			setImmediate(() => {
				const problem = this.livenessProblem(this.clock.mono());
				if (problem) {
					this.end(problem);
				}
			});
		} else if (now - this.sentAt >= (isNeeded || now < this.neededUntil ? heartbeatMs : idleHeartbeatMs)) {
			this.send({kind: 'beat', needed: isNeeded});
		}
	}

	/** Sends the parts of long messages that may go now. Others follow when these were taken, or at the next check. */
	private sendParts(): void {
		if (this.outgoingParts.waitingBytes > backlogBytes) {
			this.end('stuck');
		} else if (this.socket.writableLength < partBacklogBytes) {
			for (const part of this.outgoingParts.take()) {
				this.send({kind: 'part', ...part});
			}
		}
	}

	private flush(): void {
		if (this.hasEnded) {
			return;
		}

		this.receiver.beforeFlush?.(this);
		this.scheduled = false;
		const messages = this.pending;
		this.pending = [];
		this.sentAt = this.clock.mono();
		const bytes = this.write(messages);
		this.receiver.flushed?.(this, messages, bytes);
		if (this.outgoing === jsonLines && this.speaks('msgpack')) {
			this.write([{kind: 'codec', name: 'msgpack'}]);
			this.outgoing = createMsgpackFrames();
		}

		if (this.socket.writableLength > backlogBytes) {
			this.end('stuck');
		} else if (this.socket.writableLength > noticedBacklogBytes) {
			this.dependencies.backedUp();
		}
	}

	/** Writes messages as one block and returns its length in bytes. */
	private write(messages: readonly Message[]): number {
		const block = this.outgoing.encode(messages);
		this.socket.write(block);
		this.traffic[this.peer?.role ?? 'stranger'].out += block.length;
		return block.length;
	}

	private livenessProblem(now: number): 'silent' | 'overdue' | undefined {
		if (this.isSilent(now) || (this.peer === undefined && this.dependencies.isAccepted && now - this.openedAt > helloMs)) {
			return 'silent';
		}

		return this.receiver.isOverdue?.(this) ? 'overdue' : undefined;
	}

	/** Silence before this side needed the link does not count, since the other side then sends heartbeats less often. */
	private isSilent(now: number): boolean {
		return this.neededSince === undefined ? now - this.receivedAt > idleSilenceMs : now - Math.max(this.receivedAt, this.neededSince) > silenceMs;
	}

	private read(chunk: Uint8Array): void {
		this.receivedAt = this.clock.mono();
		this.traffic[this.peer?.role ?? 'stranger'].in += chunk.length;
		try {
			for (const content of this.reader.read(chunk)) {
				this.readMessages(this.incoming.decode(content));
				if (this.hasEnded) {
					return;
				}
			}
		} catch (error) {
			this.end('malformed', (error as Error).message);
		}

		this.noteHeld();
	}

	private noteHeld(): void {
		const bytes = this.hasEnded ? 0 : this.reader.heldBytes + this.incomingParts.heldBytes;
		if (bytes !== this.heldBytes) {
			this.heldBytes = bytes;
			this.dependencies.held(this, bytes);
		}
	}

	private readMessages(values: unknown): void {
		if (!Array.isArray(values)) {
			this.end('malformed', 'expected a list of messages');
			return;
		}

		for (const value of values) {
			if (this.hasEnded) {
				return;
			}

			this.readMessage(value);
		}
	}

	private readMessage(value: unknown): void {
		const kind = this.peer ? undefined : kindOf(value);
		if (kind !== undefined && !isBeforeHello(kind)) {
			this.end('malformed', `${kind.slice(0, maxNameLength)} before hello`);
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

	private take(message: Message): void {
		if (message.kind === 'hello' && this.peer) {
			this.end('malformed', 'a second hello');
			return;
		}

		if (isLinkMessage(message)) {
			this.takeOwn(message);
			return;
		}

		if (message.kind === 'hello') {
			this.peer = message;
			this.reader.limitBytes = blockLimitBytes;
			if (!this.dependencies.identified(this)) {
				this.end('displaced');
				return;
			}
		}

		this.deliver(message);
	}

	private takeOwn(message: LinkMessage): void {
		switch (message.kind) {
			case 'beat': {
				this.neededUntil = message.needed ? this.clock.mono() + silenceMs : this.neededUntil;
				break;
			}

			case 'codec': {
				this.switchIncoming(message.name);
				break;
			}

			case 'part': {
				this.takePart(message);
				break;
			}

			case 'partTaken': {
				if (this.outgoingParts.taken()) {
					this.sendParts();
				} else {
					this.end('malformed', 'partTaken without a part');
				}

				break;
			}
		}
	}

	private takePart(part: LinkMessage & {kind: 'part'}): void {
		this.send({kind: 'partTaken'});
		let value: unknown;
		try {
			value = this.incomingParts.add(part);
		} catch (error) {
			this.end('malformed', `part: ${(error as Error).message}`);
			return;
		}

		if (part.last) {
			const reading = decodeMessage(value);
			if (reading.kind === 'message' && reading.message.kind === 'desired') {
				this.deliver(reading.message);
			} else {
				this.end('malformed', reading.kind === 'malformed' ? reading.problem : 'part: expected a desired state');
			}
		}
	}

	private deliver(message: ReceivedMessage): void {
		try {
			this.receiver.receive(message, this);
		} catch (error) {
			// A message that cannot be handled ends its link, not the process.
			this.end('failed', `${message.kind}: ${(error as Error).stack ?? String(error)}`);
		}
	}

	/** From the next block on, the other side sends frames. */
	private switchIncoming(name: string): void {
		if (name !== 'msgpack' || !this.speaks('msgpack') || this.reader.isBinary) {
			this.end('malformed', `codec ${name} that is not agreed`);
			return;
		}

		this.reader.isBinary = true;
		this.incoming = createMsgpackFrames();
	}

	private end(why: LinkEndReason, problem?: string): void {
		if (this.hasEnded) {
			return;
		}

		this.hasEnded = true;
		this.socket.destroy();
		this.noteHeld();
		this.dependencies.ended(this);
		this.receiver.linkEnded(this, why, problem);
	}
}

/** Returns whether a message may come before the hello. A side that waits for one sends heartbeats. */
function isBeforeHello(kind: string): boolean {
	return kind === 'hello' || kind === 'beat';
}

/** Links holds all links of one process, with one timer for all of them. */
export class Links {
	/** `limits` is what other processes may take of this one; absent for a usual machine. */
	static create(clock: Clock, receiver: Receiver, limits = divideLimits({})): Links {
		return new Links(clock, receiver, limits);
	}

	/** The bytes of all links since the start, ended ones included. */
	readonly traffic: LinkTraffic = {entry: {in: 0, out: 0}, sidecar: {in: 0, out: 0}, stranger: {in: 0, out: 0}};

	private readonly open = new Set<Link>();
	/** The accepted links whose other side has not said hello, the oldest first. */
	private readonly strangers = new Set<Link>();
	private readonly held: ByteBudget<Link>;
	private readonly timer: NodeJS.Timeout;
	private server?: Server;

	private constructor(private readonly clock: Clock, private readonly receiver: Receiver, private readonly limits: ClientLimits) {
		this.held = ByteBudget.create(limits.receivedBytes);
		this.timer = setInterval(() => {
			for (const link of this.open) {
				link.checkLiveness();
			}
		}, checkMs);
	}

	/** The bytes that the sockets of all links have not yet passed to the operating system. */
	get unsentBytes(): number {
		let sum = 0;
		for (const link of this.open) {
			sum += link.unsentBytes;
		}

		return sum;
	}

	/** The bytes written to all links so far, those that have ended included. */
	get writtenBytes(): number {
		return this.traffic.entry.out + this.traffic.sidecar.out + this.traffic.stranger.out;
	}

	/** Opens a link to an address, as host:port. Resolves to `undefined` if it cannot be reached within `connectMs`; `onRefused` is called first if nothing listens there. */
	async dial(address: string, onRefused?: () => void): Promise<Link | undefined> {
		const [host, port] = splitAddress(address);
		return new Promise(resolve => {
			const socket = createConnection({host, port});
			const timer = setTimeout(() => {
				socket.destroy();
				resolve(undefined);
			}, connectMs);
			socket.once('error', ({code}: NodeJS.ErrnoException) => {
				clearTimeout(timer);
				if (code === 'ECONNREFUSED') {
					onRefused?.();
				}

				resolve(undefined);
			});
			socket.once('connect', () => {
				clearTimeout(timer);
				resolve(this.add(socket, false));
			});
		});
	}

	/** Listens for links. Resolves to the address that it listens on. */
	async listen(address: string): Promise<string> {
		const [host, port] = splitAddress(address);
		const server = createServer(socket => {
			const [oldest] = this.strangers;
			if (oldest && this.strangers.size >= this.limits.connections.strangers) {
				oldest.close('displaced');
			}

			this.strangers.add(this.add(socket, true));
		});
		this.server = server;
		return new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen({host, port}, () => {
				resolve(`${host}:${(server.address() as AddressInfo).port}`);
			});
		});
	}

	/** Ends all links and accepts no more. */
	close(): void {
		clearInterval(this.timer);
		this.server?.close();
		for (const link of this.open) {
			link.close();
		}
	}

	private add(socket: Socket, isAccepted: boolean): Link {
		const link = Link.create(socket, {
			clock: this.clock,
			receiver: this.receiver,
			traffic: this.traffic,
			isAccepted,
			ended: ended => {
				this.open.delete(ended);
				this.strangers.delete(ended);
			},
			identified: identified => {
				this.strangers.delete(identified);
				return this.open.size - this.strangers.size <= this.limits.connections.peers;
			},
			held: (holder, bytes) => {
				this.held.set(holder, bytes);
				for (const displaced of this.held.takeDisplaced()) {
					displaced.close('displaced');
				}
			},
			backedUp: () => {
				this.limitBacklog();
			},
		});
		this.open.add(link);
		return link;
	}

	/** Ends the links with the most unsent data while that of all links is over its limit. */
	private limitBacklog(): void {
		while (this.unsentBytes > this.limits.unsentBytes) {
			const [most] = [...this.open].toSorted((a, b) => b.unsentBytes - a.unsentBytes);
			most!.close('stuck');
		}
	}
}

/** Returns whether a text is an address that can be dialled, as host:port. */
export function isAddress(text: string): boolean {
	const [host, port] = splitAddress(text);
	return /^[^\s:]+$/v.test(host) && /:\d+$/v.test(text) && port > 0 && port < 65_536;
}

/** Splits an address, as host:port, into host and port. */
export function splitAddress(address: string): [host: string, port: number] {
	const colon = address.lastIndexOf(':');
	return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
