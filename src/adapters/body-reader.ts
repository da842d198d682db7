import type {IncomingMessage} from 'node:http';
import {ByteBudget} from '../decide/byte-budget.js';
import {TokenBucket} from '../decide/token-bucket.js';
import {GrowableBuffer} from '../growable-buffer.js';
import type {Clock} from '../ports/clock.js';

/** About how many bytes a request takes beside its body, and each field of its header. */
const requestBytes = 4096;
const headerFieldBytes = 64;
/** The chunks of a body that are always read. An ordinary body has one or two. */
const freeChunks = 16;
/** The further chunks of all bodies that are read at once and in a second. The first suffice for one body of one-byte chunks; a chunk takes a microsecond or two whatever its size. */
const burstChunks = 300_000;
const chunksPerSecond = 50_000;

/** BodyEnd is how the reading of a body ends. `tooLong`: it is over its limit. `displaced`: all bodies together took too much memory, and this one the most. `tooManyChunks`: all bodies together had too many chunks. */
export type BodyEnd = {kind: 'whole'; bytes: Uint8Array} | {kind: 'tooLong'} | {kind: 'displaced'} | {kind: 'tooManyChunks'};

/** BodyReader reads the bodies of requests, within a limit for each and one for all. A body counts until it is released. */
export class BodyReader {
	static create(limitBytes: number, clock: Clock): BodyReader {
		return new BodyReader(limitBytes, clock);
	}

	private readonly budget: ByteBudget<IncomingMessage>;
	/** What ends the reading of the bodies that arrive, by request. */
	private readonly ends = new Map<IncomingMessage, (end: BodyEnd) => void>();
	private readonly chunks = TokenBucket.create(burstChunks, chunksPerSecond);

	private constructor(limitBytes: number, private readonly clock: Clock) {
		this.budget = ByteBudget.create(limitBytes);
	}

	/** Reads the body of a request. Calls `end` once, unless the connection ends before. */
	read(request: IncomingMessage, limitBytes: number, end: (end: BodyEnd) => void): void {
		const buffer = GrowableBuffer.create();
		let chunks = 0;
		const ownBytes = requestBytes + (request.rawHeaders.length * headerFieldBytes / 2);
		const finish = (how: BodyEnd): void => {
			this.ends.delete(request);
			if (how.kind !== 'whole') {
				buffer.take();
				this.budget.set(request, 0);
			}

			end(how);
		};

		this.ends.set(request, finish);
		request.on('data', (chunk: Uint8Array) => {
			if (!this.ends.has(request)) {
				return;
			}

			if (buffer.length + chunk.length > limitBytes) {
				finish({kind: 'tooLong'});
				return;
			}

			chunks++;
			if (chunks > freeChunks && !this.chunks.take(this.clock.mono())) {
				finish({kind: 'tooManyChunks'});
				return;
			}

			buffer.append(chunk);
			this.hold(request, ownBytes + buffer.capacity);
		});
		request.once('end', () => {
			if (this.ends.has(request)) {
				finish({kind: 'whole', bytes: buffer.take()});
			}
		});
		request.once('close', () => {
			if (this.ends.delete(request)) {
				buffer.take();
				this.budget.set(request, 0);
			}
		});
		this.hold(request, ownBytes);
	}

	/** The body of a request is needed no more. */
	release(request: IncomingMessage): void {
		this.budget.set(request, 0);
	}

	/** Records what a request takes. Of those that have to give way, one whose body is whole is decoded all the same. */
	private hold(request: IncomingMessage, bytes: number): void {
		this.budget.set(request, bytes);
		for (const displaced of this.budget.takeDisplaced()) {
			this.ends.get(displaced)?.({kind: 'displaced'});
		}
	}
}
