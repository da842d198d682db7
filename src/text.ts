import {Buffer, isUtf8} from 'node:buffer';

/** Returns the text that bytes hold. Throws if they are not valid UTF-8: a decoder would put U+FFFD for what it can't read, and nobody sent that. */
export function decodeText(bytes: Uint8Array): string {
	if (!isUtf8(bytes)) {
		throw new Error('expected text in UTF-8, found other bytes');
	}

	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString();
}

/** Returns the value of a JSON document in UTF-8 (RFC 8259, section 8.1). Throws if it is not valid. */
export function decodeJson(bytes: Uint8Array): unknown {
	return JSON.parse(decodeText(bytes)) as unknown;
}
