/** Returns a promise together with the function that resolves it. */
export function deferred<Value>(): {promise: Promise<Value>; resolve(value: Value): void} {
	let resolve!: (value: Value) => void;
	const promise = new Promise<Value>(resolvePromise => {
		resolve = resolvePromise;
	});
	return {promise, resolve};
}
