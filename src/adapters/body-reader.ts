import type {IncomingMessage} from 'node:http';
import {ByteBudget} from '../decide/byte-budget.js';
import {GrowableBuffer} from '../growable-buffer.js';

/** About how many bytes a request takes beside its body, and each field of its header. */
const requestBytes = 4096;
const headerFieldBytes = 64;
/** What a chunk counts beside its bytes: one of a single byte takes as much processor time as one of some hundred. */
const chunkBytes = 64;

/** BodyEnd is how the reading of a body ends. `tooLong`: it is over its limit. `displaced`: all bodies together took too much memory, and this one the most. */
export type BodyEnd = {kind: 'whole'; bytes: Uint8Array} | {kind: 'tooLong'} | {kind: 'displaced'};

/** BodyReader reads the bodies of requests, within a limit for each and one for all. A body counts until it is released. */
export class BodyReader {
	static create(limitBytes: number): BodyReader {
		return new BodyReader(limitBytes);
	}

	private readonly budget: ByteBudget<IncomingMessage>;
	/** What ends the reading of the bodies that arrive, by request. */
	private readonly ends = new Map<IncomingMessage, (end: BodyEnd) => void>();

	private constructor(limitBytes: number) {
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

			buffer.append(chunk);
			chunks++;
			this.hold(request, ownBytes + buffer.capacity + (chunks * chunkBytes));
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

	/** The body of a request has been read, so that only those that arrive can give way. */
	private hold(request: IncomingMessage, bytes: number): void {
		this.budget.set(request, bytes);
		for (const displaced of this.budget.takeDisplaced()) {
			this.ends.get(displaced)?.({kind: 'displaced'});
		}
	}
}
