import {Buffer, isUtf8} from 'node:buffer';

/** An escape of a surrogate, whose backslash is not itself escaped. */
const surrogateEscape = /(?<!\\)(?:\\\\)*\\u[Dd][89A-Fa-f]/v;

/** Returns the text that bytes hold. Throws if they are not valid UTF-8: a decoder would put U+FFFD for what it can't read, and nobody sent that. */
export function decodeText(bytes: Uint8Array): string {
	if (!isUtf8(bytes)) {
		throw new Error('expected text in UTF-8, found other bytes');
	}

	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString();
}

/** Returns the value of a JSON document in UTF-8 (RFC 8259, section 8.1). Throws if it is not valid, or if it has an unpaired surrogate. */
export function decodeJson(bytes: Uint8Array): unknown {
	return parseJson(decodeText(bytes));
}

/** Returns the value of a JSON text. Throws if it is not valid, or if it has an unpaired surrogate (RFC 7493, section 2.1): UTF-8 has no form for one, so that another process would get U+FFFD. */
export function parseJson(text: string): unknown {
	const value = JSON.parse(text) as unknown;
	// Of all surrogates, `JSON.stringify` escapes only the unpaired ones. Where the text has no such escape, there are none.
	if (surrogateEscape.test(text) && surrogateEscape.test(JSON.stringify(value))) {
		throw new Error('expected text in Unicode, found an unpaired surrogate');
	}

	return value;
}
