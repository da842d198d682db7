/** Clock is the time as a process sees it, passed in so that tests can set it. */
export type Clock = {
	/** The wall-clock time in milliseconds since the Unix epoch. */
	now(): number;
	/** Milliseconds from an arbitrary start; never goes back, and counts time spent stopped. */
	mono(): number;
	/** Resolves after `ms` milliseconds, or at once when `signal` aborts. */
	sleep(ms: number, signal?: AbortSignal): Promise<void>;
};
