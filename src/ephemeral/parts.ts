import {Buffer} from 'node:buffer';
import {GrowableBuffer} from '../growable-buffer.js';
import {decodeText} from '../text.js';
import {blockLimitBytes} from './frames.js';

/** The longest part of a long message, in bytes. */
const partBytes = 8000;
/** How many parts may be under way that the other side has not taken: what short messages wait for on a slow link, beside which the buffers of the operating system hold far more. */
const maxPartsUnderWay = 2;

export type Part = {bytes: Uint8Array; last: boolean};

/** OutgoingParts divides long messages into parts, and releases the next ones as the other side takes those before. */
export class OutgoingParts {
	static create(): OutgoingParts {
		return new OutgoingParts();
	}

	/** The bytes that wait. */
	waitingBytes = 0;

	private readonly waiting: Part[] = [];
	private underWay = 0;

	/** Adds a message, unless it is short enough to be sent whole. Returns whether it was added. */
	add(message: unknown): boolean {
		const bytes = Buffer.from(JSON.stringify(message));
		if (bytes.length <= partBytes) {
			return false;
		}

		for (let from = 0; from < bytes.length; from += partBytes) {
			this.waiting.push({bytes: bytes.subarray(from, from + partBytes), last: from + partBytes >= bytes.length});
		}

		this.waitingBytes += bytes.length;
		return true;
	}

	/** Returns the parts to send now. */
	take(): Part[] {
		const parts = this.waiting.splice(0, maxPartsUnderWay - this.underWay);
		this.underWay += parts.length;
		for (const {bytes} of parts) {
			this.waitingBytes -= bytes.length;
		}

		return parts;
	}

	/** Records that the other side has taken a part. Returns whether one was under way. */
	taken(): boolean {
		this.underWay--;
		return this.underWay >= 0;
	}
}

/** IncomingParts joins the parts of a message. */
export class IncomingParts {
	static create(limitBytes = blockLimitBytes): IncomingParts {
		return new IncomingParts(limitBytes);
	}

	private readonly held = GrowableBuffer.create();

	private constructor(private readonly limitBytes: number) {}

	/** The memory that the parts take, in bytes. */
	get heldBytes(): number {
		return this.held.capacity;
	}

	/** Adds a part, and returns the message that it completes. Throws if the message is too long or no JSON. */
	add({bytes, last}: Part): unknown {
		if (this.held.length + bytes.length > this.limitBytes) {
			throw new Error(`a message of more than ${this.limitBytes} bytes in parts`);
		}

		this.held.append(bytes);
		if (!last) {
			return undefined;
		}

		return JSON.parse(decodeText(this.held.take())) as unknown;
	}
}
