import type {MessageToEntry, Message} from './messages.js';

/** The messages that make up nearly all of an entry's traffic. */
type Frequent = Extract<MessageToEntry, {kind: 'room' | 'offer' | 'ended'}> | Extract<Message, {kind: 'beat'}>;

/**
 * Returns a value as a frequent message if its schema would take it as it is, with no other field. Any other value
 * may still be valid: the schema judges it. A check by the schema takes longer than the rest of the handling of a
 * frequent message.
 */
export function asFrequent(value: Record<string, unknown>): Frequent | undefined {
	return isFrequent(value) ? value as Frequent : undefined;
}

function isFrequent(value: Record<string, unknown>): boolean {
	switch (value.kind) {
		case 'room': {
			return hasCount(value, 4) && isAmount(value.stamp) && typeof value.clear === 'boolean' && isResources(value.others);
		}

		case 'ended': {
			return hasCount(value, 4) && Number.isSafeInteger(value.ref) && isAmount(value.ranMs) && (value.outcome === 'done' || value.outcome === 'failed' || value.outcome === 'lost');
		}

		case 'offer': {
			return hasCount(value, 1);
		}

		case 'beat': {
			return hasCount(value, 2) && typeof value.needed === 'boolean';
		}

		default: {
			return false;
		}
	}
}

function isResources(value: unknown): boolean {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const resources = value as Record<string, unknown>;
	return isAmount(resources.cpu) && isAmount(resources.memoryMb) && isAmount(resources.accelerators) && hasCount(resources, 3);
}

function isAmount(value: unknown): boolean {
	return typeof value === 'number' && Number.isFinite(value);
}

function hasCount(value: Record<string, unknown>, count: number): boolean {
	let left = count;
	// eslint-disable-next-line guard-for-in -- A list of the keys would be made for each message.
	for (const _ in value) {
		left--;
	}

	return left === 0;
}
