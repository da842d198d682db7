import type {IncomingMessage} from 'node:http';
import {GrowableBuffer} from '../growable-buffer.js';

/** BodyEnd is how the reading of a body ends. `tooLong`: it is over its limit. */
export type BodyEnd = {kind: 'whole'; bytes: Uint8Array} | {kind: 'tooLong'};

/** Reads the body of a request. Calls `end` once, unless the connection ends before. */
export function readBody(request: IncomingMessage, limitBytes: number, end: (end: BodyEnd) => void): void {
	const buffer = GrowableBuffer.create();
	let hasEnded = false;
	request.on('data', (chunk: Uint8Array) => {
		if (hasEnded) {
			return;
		}

		if (buffer.length + chunk.length > limitBytes) {
			hasEnded = true;
			buffer.take();
			end({kind: 'tooLong'});
			return;
		}

		buffer.append(chunk);
	});
	request.once('end', () => {
		if (!hasEnded) {
			hasEnded = true;
			end({kind: 'whole', bytes: buffer.take()});
		}
	});
}
