/**
 * Heap is an immutable leftist heap with the smallest key first. Push and pop take logarithmic time and share the
 * unchanged nodes with the old heap.
 */
export type Heap<Value> = {
	key: number;
	value: Value;
	/** The length of the shortest path down to a missing child. */
	nullPathLength: number;
	left?: Heap<Value>;
	right?: Heap<Value>;
} | undefined;

/** Returns the heap with a value added. */
export function push<Value>(heap: Heap<Value>, key: number, value: Value): Heap<Value> {
	return merge(heap, {key, value, nullPathLength: 1});
}

/** Returns the heap without the value of the smallest key. */
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
