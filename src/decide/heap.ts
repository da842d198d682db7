/**
 * Heap is an immutable leftist heap: the smallest rank comes out first. Adding and removing take
 * logarithmic time and share what did not change.
 */
export type Heap<Value> = {
	key: number;
	value: Value;
	nullPathLength: number;
	left?: Heap<Value>;
	right?: Heap<Value>;
} | undefined;

/** Returns the heap with one more value. */
export function push<Value>(heap: Heap<Value>, rank: number, value: Value): Heap<Value> {
	return merge(heap, {key: rank, value, nullPathLength: 1});
}

/** Returns the heap without its first value. */
export function pop<Value>(heap: Heap<Value>): Heap<Value> {
	return heap && merge(heap.left, heap.right);
}

function merge<Value>(a: Heap<Value>, b: Heap<Value>): Heap<Value> {
	if (!a || !b) {
		return a ?? b;
	}

	const [first, second] = a.key <= b.key ? [a, b] : [b, a];
	const right = merge(first.right, second);
	const {left} = first;
	const [high, low] = (left?.nullPathLength ?? 0) >= (right?.nullPathLength ?? 0) ? [left, right] : [right, left];
	return {
		key: first.key, value: first.value, nullPathLength: (low?.nullPathLength ?? 0) + 1, left: high, right: low,
	};
}
