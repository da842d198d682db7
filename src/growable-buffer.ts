import {Buffer} from 'node:buffer';

/** The least capacity of a buffer that joins chunks, in bytes. */
const leastCapacity = 1024;
const empty: Uint8Array = new Uint8Array();

/** GrowableBuffer joins chunks of bytes as they arrive. What it takes depends on the number of bytes, not on the number of chunks. */
export class GrowableBuffer {
	static create(): GrowableBuffer {
		return new GrowableBuffer();
	}

	/** The number of bytes held. */
	length = 0;
	private bytes = empty;

	private constructor() {
		// Created by `create`.
	}

	/** The memory that it takes, in bytes. */
	get capacity(): number {
		return this.bytes.length;
	}

	/** Adds a chunk. A single one is kept as it is, and must not be changed, unless it is a small part of what it would keep in memory. */
	append(chunk: Uint8Array): void {
		const length = this.length + chunk.length;
		if (this.length === 0) {
			this.bytes = chunk.length < chunk.buffer.byteLength / 2 ? Uint8Array.from(chunk) : chunk;
		} else {
			if (length > this.capacity) {
				const larger = Buffer.allocUnsafeSlow(Math.max(leastCapacity, 2 ** Math.ceil(Math.log2(length))));
				larger.set(this.bytes.subarray(0, this.length));
				this.bytes = larger;
			}

			this.bytes.set(chunk, this.length);
		}

		this.length = length;
	}

	/** Returns what it holds and starts anew. */
	take(): Uint8Array {
		const content = this.bytes.subarray(0, this.length);
		this.bytes = empty;
		this.length = 0;
		return content;
	}
}
