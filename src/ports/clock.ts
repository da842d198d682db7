/** Clock is the source of time of a process, passed in so that tests can control it. */
export type Clock = {
	/** The wall-clock time in milliseconds since the Unix epoch. */
	now(): number;
	/** Monotonic milliseconds from an arbitrary start. They include time in which the process was stopped, but not time in which its machine was suspended: see docs/design/suspended-machines.md. */
	mono(): number;
	/** Resolves after `ms` milliseconds, or at once when `signal` aborts. */
	sleep(ms: number, signal?: AbortSignal): Promise<void>;
};
