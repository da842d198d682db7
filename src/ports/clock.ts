/** Clock is the source of time of a process, passed in so that tests can control it. */
export type Clock = {
	/** The wall-clock time in milliseconds since the Unix epoch. */
	now(): number;
	/** Monotonic milliseconds from an arbitrary start; they include time in which the process was suspended. */
	mono(): number;
	/** Resolves after `ms` milliseconds, or at once when `signal` aborts. */
	sleep(ms: number, signal?: AbortSignal): Promise<void>;
};
