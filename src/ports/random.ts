/** Random is the source of randomness, passed in so that a seed reproduces a run. */
export type Random = {
	/** The next number, uniform from 0 up to but not including 1. */
	next(): number;
	/** A unique identifier: 128 random bits in hexadecimal. */
	id(): string;
};
