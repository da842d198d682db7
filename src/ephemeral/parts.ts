import {Buffer} from 'node:buffer';
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

	private parts: Uint8Array[] = [];
	private bytes = 0;

	private constructor(private readonly limitBytes: number) {}

	/** Adds a part, and returns the message that it completes. Throws if the message is too long or no JSON. */
	add({bytes, last}: Part): unknown {
		this.parts.push(bytes);
		this.bytes += bytes.length;
		if (this.bytes > this.limitBytes) {
			throw new Error(`a message of more than ${this.limitBytes} bytes in parts`);
		}

		if (!last) {
			return undefined;
		}

		const text = Buffer.concat(this.parts).toString();
		this.parts = [];
		this.bytes = 0;
		return JSON.parse(text) as unknown;
	}
}
