/** The thread with the clients of a crowd, so that they hold up neither the stand-ins nor the ordinary caller of a test. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {parentPort, workerData} from 'node:worker_threads';

/**
 * Client is what each client of a crowd sends: `head`, then `piece` as often as `times` says, then `tail`. It then leaves
 * its connection open. `{n}` in `head` and `piece` stands for the client's number in 16 hexadecimal digits.
 */
export type Client = {
	head?: string;
	piece?: string;
	times?: number;
	/** The pause after each piece, in milliseconds; absent where it is sent as fast as it is taken. */
	everyMs?: number;
	tail?: string;
	/** Whether answers are read. */
	isReading?: boolean;
	/** After what time it leaves and comes back, in milliseconds; absent where it stays. */
	leaveAfterMs?: number;
};

/** Crowd is a number of clients at an address. */
export type Crowd = {host: string; port: number; count: number; client: Client};

/** About how many bytes are written at once. */
const writeBytes = 65_536;
/** How many clients connect at the same time. */
const connecting = 50;

/** Writes bytes and waits while the other side takes none. */
async function write(socket: Socket, bytes: Uint8Array): Promise<void> {
	if (!socket.destroyed && !socket.write(bytes)) {
		await new Promise<void>(resolve => {
			const go = (): void => {
				socket.off('drain', go);
				socket.off('close', go);
				resolve();
			};

			socket.once('drain', go);
			socket.once('close', go);
		});
	}
}

async function send(socket: Socket, client: Client, number: number): Promise<void> {
	const {head = '', piece = '', times = 0, everyMs, tail = ''} = client;
	const name = number.toString(16).padStart(16, '0');
	const one = Buffer.from(piece.replaceAll('{n}', name));
	await write(socket, Buffer.from(head.replaceAll('{n}', name)));
	const together = everyMs === undefined ? Math.max(1, Math.floor(writeBytes / Math.max(1, one.length))) : 1;
	const block = Buffer.concat(Array.from({length: Math.min(together, times)}, () => one));
	for (let left = times; left > 0 && !socket.destroyed; left -= together) {
		await write(socket, left >= together ? block : block.subarray(0, left * one.length));
		if (everyMs !== undefined) {
			await sleep(everyMs);
		}
	}

	await write(socket, Buffer.from(tail));
}

/** Resolves once the client has sent all that it sends, or its connection is closed. */
async function visit({host, port, client}: Crowd, number: number): Promise<Socket> {
	const socket = connect({host, port, noDelay: true});
	socket.on('error', () => undefined);
	await once(socket, 'connect').catch(() => undefined);
	if (client.isReading) {
		socket.resume();
	} else {
		socket.pause();
	}

	await send(socket, client, number);
	return socket;
}

async function play(crowd: Crowd, number: number): Promise<void> {
	const {leaveAfterMs} = crowd.client;
	if (leaveAfterMs === undefined) {
		await visit(crowd, number);
		return;
	}

	for (;;) {
		const socket = await visit(crowd, number);
		await sleep(leaveAfterMs);
		socket.destroy();
	}
}

if (parentPort) {
	const crowd = workerData as Crowd;
	let next = 0;
	const playing: Array<Promise<void>> = [];
	const begin = async (): Promise<void> => {
		while (next < crowd.count) {
			playing.push(play(crowd, next++));
			await sleep(1);
		}
	};

	await Promise.all(Array.from({length: connecting}, async () => begin()));
	await Promise.all(playing);
	parentPort.postMessage('sent');
}
