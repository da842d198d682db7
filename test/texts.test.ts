import {Buffer} from 'node:buffer';
import {isDeepStrictEqual} from 'node:util';
import test from 'ava';
import fc from 'fast-check';
import {createMsgpackFrames} from '../src/ephemeral/frames.js';
import {WholeWay} from './whole-way.js';

/** The length of the prefix of a frame, in bytes. */
const prefixBytes = 4;
/** The byte order mark, a character of a text as any other. */
const mark = '\uFEFF';
/** The lengths at which the codec writes or reads a text in another way. */
const thresholds = [0, 4, 8, 16, 32, 64, 128, 256, 4096, 65_536];
const units = [mark, 'a', 'š', '票', '🎂', '\uFFFE', '\u0000'];

/** Texts of about a threshold's length in bytes, and any others. Some begin with marks. */
const anyText = fc.oneof(
	fc.record({
		marks: fc.nat(2), threshold: fc.constantFrom(...thresholds), off: fc.integer({min: -4, max: 4}), unit: fc.constantFrom(...units),
	}).map(({
		marks, threshold, off, unit,
	}) => mark.repeat(marks) + unit.repeat(Math.max(0, Math.round((threshold + off) / Buffer.byteLength(unit)) - marks))),
	fc.record({marks: fc.nat(2), rest: fc.string({unit: 'binary', maxLength: 200})}).map(({marks, rest}) => mark.repeat(marks) + rest),
);
/** Keys of objects. The codec renames `__proto__`, which no message has. */
const anyKey = anyText.filter(key => key !== '__proto__' && key.length < 1000);
const {tree: anyMessage} = fc.letrec(tie => ({
	tree: fc.oneof({maxDepth: 3}, anyText, fc.array(tie('tree'), {maxLength: 3}), fc.dictionary(anyKey, tie('tree'), {maxKeys: 3, noNullPrototype: true})),
}));

/** Returns what one side of a link decodes of lists of messages that the other side encodes. */
function transfer(lists: readonly unknown[][]): unknown[] {
	const outgoing = createMsgpackFrames();
	const incoming = createMsgpackFrames();
	return lists.map(list => incoming.decode(outgoing.encode(list).subarray(prefixBytes)));
}

// Guards against a text that another process gets without its first character: a decoder of UTF-8 drops a leading U+FEFF unless it is told not to.
test('texts: frames hold the texts of their messages whole, as fields, keys and in lists, whatever they begin with and however long they are', t => {
	const anyLists = fc.array(fc.array(anyMessage, {minLength: 1, maxLength: 3}), {minLength: 1, maxLength: 3});
	t.notThrows(() => {
		fc.assert(fc.property(anyLists, lists => {
			const before = structuredClone(lists);
			return isDeepStrictEqual(transfer(lists), before) && isDeepStrictEqual(lists, before);
		}), {seed: 51, numRuns: 1000});
	});
});

// Guards against a task that is started with another spec than its caller sent, and is told as completed.
test('texts: a worker is told the spec that the caller sent, whatever its characters and length', async t => {
	const way = await WholeWay.create(t);
	await t.notThrowsAsync(async () => fc.assert(fc.asyncProperty(anyText.filter(text => text.length <= 4000), async text => {
		const status = await way.submit(Buffer.from(JSON.stringify(text)));
		return status === 200 && way.specs.at(-1) === text;
	}), {seed: 51, numRuns: 100}));
});
