import {Buffer} from 'node:buffer';
import type * as msgpackr from 'msgpackr';
// This part of the library loads no native add-on, so that it can be bundled. Its own types can't be resolved.
import * as msgpackrPack from 'msgpackr/pack';
import {GrowableBuffer} from '../growable-buffer.js';
import {decodeText} from '../text.js';
import {withSpareMarks} from './byte-order-marks.js';

const library = msgpackrPack as unknown as typeof msgpackr;

/** The longest line or frame that is accepted, in bytes: a desired state of thousands of routes takes under a tenth of it. */
export const blockLimitBytes = 16_000_000;
/** The length of a frame's length prefix. */
const prefixBytes = 4;
const lineFeed = 0x0A;

/** Codec turns the messages that are sent together into a block of bytes, prefix or line feed included, and the content of a block back into values. */
export type Codec = {
	encode(messages: readonly unknown[]): Uint8Array;
	/** Throws if the content can't be decoded. */
	decode(content: Uint8Array): unknown;
};

/** A list of messages as a line of JSON. */
export const jsonLines: Codec = {
	encode: messages => Buffer.from(`${JSON.stringify(messages)}\n`),
	decode: content => JSON.parse(decodeText(content)) as unknown,
};

/**
 * Returns a codec for lists of messages as frames of MessagePack. The names of an object's fields are sent the first
 * time only, so the blocks of one direction of a link must be encoded, and decoded, by one codec in their order.
 */
export function createMsgpackFrames(): Codec {
	const packr = new library.Packr({sequential: true});
	const unpackr = new library.Unpackr({sequential: true, mapsAsObjects: true, int64AsType: 'number'});
	return {
		encode(messages) {
			// The first bytes are left free for the prefix.
			const frame = packr.pack(withSpareMarks(messages), library.RESERVE_START_SPACE + prefixBytes);
			frame.writeUInt32BE(frame.length - prefixBytes, 0);
			return frame;
		},
		decode: content => unpackr.unpack(content) as unknown,
	};
}

/** BlockReader cuts the bytes of one direction of a link into blocks: lines, and frames once `isBinary` is set. */
export class BlockReader {
	static create(limitBytes = blockLimitBytes): BlockReader {
		return new BlockReader(limitBytes);
	}

	/** Whether frames follow. It may be set while a line is handled, and holds from the next byte on. */
	isBinary = false;

	/** What has arrived of a block that is not whole yet. */
	private readonly held = GrowableBuffer.create();
	/** The length of the frame whose prefix has been read. */
	private frameBytes?: number;

	/** `limitBytes` may be changed between blocks. */
	private constructor(public limitBytes: number) {}

	/** The memory that a block takes which is not whole yet, in bytes. */
	get heldBytes(): number {
		return this.held.capacity;
	}

	/** Yields the content of the blocks that a chunk completes. Throws if a block is empty or exceeds the limit. */
	* read(chunk: Uint8Array): Generator<Uint8Array, void> {
		let rest = chunk;
		while (rest.length > 0) {
			const missing = this.isBinary ? (this.frameBytes ?? prefixBytes) - this.held.length : rest.indexOf(lineFeed);
			if (missing === -1 || missing > rest.length) {
				this.hold(rest);
				return;
			}

			const block = this.complete(rest.subarray(0, missing));
			rest = rest.subarray(this.isBinary ? missing : missing + 1);
			if (!this.isBinary) {
				yield block;
			} else if (this.frameBytes === undefined) {
				this.frameBytes = this.frameLength(block);
			} else {
				this.frameBytes = undefined;
				yield block;
			}
		}
	}

	private hold(part: Uint8Array): void {
		if (this.held.length + part.length > this.limitBytes) {
			throw new Error(`a line of more than ${this.limitBytes} bytes`);
		}

		this.held.append(part);
	}

	private complete(end: Uint8Array): Uint8Array {
		if (this.held.length === 0) {
			return end;
		}

		this.held.append(end);
		return this.held.take();
	}

	private frameLength(prefix: Uint8Array): number {
		const length = new DataView(prefix.buffer, prefix.byteOffset).getUint32(0);
		if (length === 0 || length > this.limitBytes) {
			throw new Error(`a frame of ${length} bytes where 1 to ${this.limitBytes} are allowed`);
		}

		return length;
	}
}
