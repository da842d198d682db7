import {resultOf} from '../results.js';

/** The exit codes of every command; docs/OPERATIONS.md lists them. */
export const exits = {
	done: 0,
	/** The command line or the settings are wrong. */
	usage: 2,
	/** Refused: nothing was run or changed. */
	refused: 3,
	/** It ran, or may have, and failed. */
	failed: 4,
	/** No answer came, so what became of it is not known. */
	unknown: 5,
	/** Accepted and not finished. */
	pending: 6,
} as const;

/** Returns the exit code for a numbered result, or for no result at all. */
export function exitOf(code: number | undefined): number {
	if (code === undefined) {
		return exits.unknown;
	}

	const {kind, name} = resultOf(code);
	switch (kind) {
		case 'complete': {
			return exits.done;
		}

		case 'pending': {
			return exits.pending;
		}

		case 'not-run': {
			return exits.refused;
		}

		case 'failed': {
			return name === 'unknown' ? exits.unknown : exits.failed;
		}

		case 'operator': {
			return name === 'changeUnknown' ? exits.unknown : exits.refused;
		}
	}
}
