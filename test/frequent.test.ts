// Guards against a message that the short check takes although its schema would refuse or trim it: the fields of a
// malformed message would reach the schedule unchecked.
import test from 'ava';
import {decodeMessage} from '../src/ephemeral/messages.js';

const others = {cpu: 1, memoryMb: 2, accelerators: 0};
const right = [
	{
		kind: 'room', others, stamp: 5, clear: true,
	},
	{
		kind: 'ended', ref: 3, outcome: 'lost', ranMs: 1.5,
	},
	{kind: 'offer'},
	{kind: 'beat', needed: false},
] as const;
const wrong: unknown[] = [undefined, null, '1', Number.NaN, Number.POSITIVE_INFINITY, {}, [], -1.5e300];

for (const message of right) {
	test(`frequent: ${message.kind} is taken as it is, trimmed of unknown fields, and refused with a field of another type`, t => {
		t.deepEqual(decodeMessage(message), {kind: 'message', message});
		t.deepEqual(decodeMessage({...message, more: 1}), {kind: 'message', message});
		for (const key of Object.keys(message).filter(name => name !== 'kind')) {
			for (const value of wrong) {
				const isNumber = typeof value === 'number' && Number.isFinite(value) && (key === 'stamp' || key === 'ranMs');
				t.is(decodeMessage({...message, [key]: value}).kind, isNumber ? 'message' : 'malformed', `${message.kind}.${key}: ${String(value)}`);
			}
		}
	});
}

test('frequent: the figures of a room are checked each, and trimmed of unknown fields', t => {
	const [room] = right;
	t.deepEqual(decodeMessage({...room, others: {...others, more: 1}}), {kind: 'message', message: room});
	for (const key of Object.keys(others)) {
		t.is(decodeMessage({...room, others: {...others, [key]: '1'}}).kind, 'malformed');
	}
});
