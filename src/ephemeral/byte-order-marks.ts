/**
 * The decoder of msgpackr reads a string of more than 64 bytes with a `TextDecoder`, which drops a U+FEFF that comes first
 * as a byte order mark, and has no option against it. Texts that would lose the character are therefore sent with one more of it.
 * Processes of earlier versions, which decode in the same way, get them whole too.
 */
import {Buffer} from 'node:buffer';

const byteOrderMark = '\uFEFF';
/** The longest string that the library decodes without a `TextDecoder`, in bytes. */
const plainBytes = 64;

/** Returns a value as it must be encoded: the value itself, or a copy in which the texts and keys that would lose a byte order mark have one more. */
export function withSpareMarks<Value>(value: Value): Value {
	return hasLostMark(value) ? copyWithSpareMarks(value) as Value : value;
}

function losesMark(text: string): boolean {
	return text.startsWith(byteOrderMark) && Buffer.byteLength(text) > plainBytes;
}

function isObject(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !ArrayBuffer.isView(value);
}

function hasLostMark(value: unknown): boolean {
	if (typeof value === 'string') {
		return losesMark(value);
	}

	if (Array.isArray(value)) {
		return value.some(element => hasLostMark(element));
	}

	if (isObject(value)) {
		// A list of the entries would be made for each message.
		for (const key in value) {
			if (losesMark(key) || hasLostMark(value[key])) {
				return true;
			}
		}
	}

	return false;
}

function copyWithSpareMarks(value: unknown): unknown {
	if (typeof value === 'string') {
		return losesMark(value) ? byteOrderMark + value : value;
	}

	if (Array.isArray(value)) {
		return value.map(element => copyWithSpareMarks(element));
	}

	return isObject(value)
		? Object.fromEntries(Object.entries(value).map(([key, inner]) => [copyWithSpareMarks(key), copyWithSpareMarks(inner)]))
		: value;
}
