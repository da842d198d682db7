/** Random is the source of chance, passed in so that a seed repeats a run. */
export type Random = {
	/** The next number, uniform from 0 up to but not including 1. */
	next(): number;
	/** An identifier that no other process will make: 128 random bits in hexadecimal. */
	id(): string;
};
