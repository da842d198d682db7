/** Kind classifies results by the state of the work. */
export type Kind = 'complete' | 'pending' | 'not-run' | 'failed' | 'operator';

/** Result is a numbered outcome; docs/RESULTS.md lists all of them. */
export type Result = {
	code: number;
	name: string;
	kind: Kind;
	/** The HTTP status of responses with this result. */
	status: number;
	/** Whether and how the caller should submit again. */
	resubmit: 'no' | 'later' | 'after-change' | 'same-key';
	text: string;
};

/** All results by name. Codes below 100 mean success, 1xx not run, 2xx failed; 3xx are for operators. */
export const results = {
	complete: {
		code: 0, kind: 'complete', status: 200, resubmit: 'no', text: 'The whole answer is here.',
	},
	pending: {
		code: 1, kind: 'pending', status: 202, resubmit: 'no', text: 'The job is accepted and not finished; ask again with GET.',
	},
	badInput: {
		code: 100, kind: 'not-run', status: 400, resubmit: 'after-change', text: 'The request is malformed; the detail names the field.',
	},
	noToken: {
		code: 101, kind: 'not-run', status: 401, resubmit: 'after-change', text: 'The bearer token is missing or belongs to no member.',
	},
	noRoute: {
		code: 102, kind: 'not-run', status: 404, resubmit: 'after-change', text: 'There is no route of this name.',
	},
	keyReused: {
		code: 103,
		kind: 'not-run',
		status: 409,
		resubmit: 'after-change',
		text: 'The key already names a job with another payload. Nothing of this submission was run.',
	},
	overQuota: {
		code: 104, kind: 'not-run', status: 429, resubmit: 'later', text: 'The member is over its quota.',
	},
	overloaded: {
		code: 105, kind: 'not-run', status: 503, resubmit: 'later', text: 'The queue is full.',
	},
	deadline: {
		code: 106, kind: 'not-run', status: 503, resubmit: 'later', text: 'The work could not be started in time for its deadline.',
	},
	storeUnavailable: {
		code: 107,
		kind: 'not-run',
		status: 503,
		resubmit: 'same-key',
		text: 'The platform\'s table service does not answer, so the key cannot be claimed. This submission ran nothing; an earlier one under the key is not judged.',
	},
	draining: {
		code: 108, kind: 'not-run', status: 503, resubmit: 'later', text: 'This entry is stopping; another one serves.',
	},
	noPlace: {
		code: 109, kind: 'not-run', status: 503, resubmit: 'later', text: 'No upstream or worker of the pool is in service.',
	},
	neverFits: {
		code: 110, kind: 'not-run', status: 422, resubmit: 'after-change', text: 'No worker of the pool is large enough for the declared size.',
	},
	bodyTooLarge: {
		code: 111, kind: 'not-run', status: 413, resubmit: 'after-change', text: 'The body is over the limit.',
	},
	cancelledBefore: {
		code: 112, kind: 'not-run', status: 409, resubmit: 'no', text: 'The job was cancelled before any task started.',
	},
	notAllowed: {
		code: 113, kind: 'not-run', status: 403, resubmit: 'after-change', text: 'The member may not use this route.',
	},
	noJob: {
		code: 114, kind: 'not-run', status: 404, resubmit: 'no', text: 'No job of this key is known within the claim window.',
	},
	notFound: {
		code: 115, kind: 'not-run', status: 404, resubmit: 'after-change', text: 'There is no such resource.',
	},
	orphaned: {
		code: 116, kind: 'not-run', status: 503, resubmit: 'same-key', text: 'The entry that owned the job died before any task started.',
	},
	notReady: {
		code: 117, kind: 'not-run', status: 503, resubmit: 'later', text: 'This entry has just started and does not know the configuration yet.',
	},
	full: {
		code: 150, kind: 'not-run', status: 503, resubmit: 'later', text: 'The place has no free slot (between processes).',
	},
	sidecarDraining: {
		code: 151, kind: 'not-run', status: 503, resubmit: 'later', text: 'The sidecar is stopping (between processes).',
	},
	zoneOut: {
		code: 152, kind: 'not-run', status: 503, resubmit: 'later', text: 'The availability zone is out of service (between processes).',
	},
	upstreamOut: {
		code: 153, kind: 'not-run', status: 503, resubmit: 'later', text: 'The upstream is out of service or gone (between processes).',
	},
	unconfirmed: {
		code: 154,
		kind: 'not-run',
		status: 503,
		resubmit: 'later',
		text: 'The configuration was not confirmed lately enough to start work (between processes).',
	},
	staleEpoch: {
		code: 155, kind: 'not-run', status: 409, resubmit: 'same-key', text: 'Another entry took the claim over (between processes).',
	},
	wrongSession: {
		code: 156, kind: 'not-run', status: 503, resubmit: 'later', text: 'The sidecar session asked for has ended (between processes).',
	},
	late: {
		code: 157, kind: 'not-run', status: 503, resubmit: 'later', text: 'The deadline passed while the task waited at the place (between processes).',
	},
	withdrawn: {
		code: 158, kind: 'not-run', status: 409, resubmit: 'no', text: 'The task was withdrawn before it started (between processes).',
	},
	taskFailed: {
		code: 200, kind: 'failed', status: 502, resubmit: 'after-change', text: 'A task ran and failed.',
	},
	deadlinePassed: {
		code: 201, kind: 'failed', status: 504, resubmit: 'same-key', text: 'The deadline passed after work had started.',
	},
	unknown: {
		code: 202, kind: 'failed', status: 502, resubmit: 'no', text: 'A task may or may not have run; it will not be started again.',
	},
	cancelled: {
		code: 203, kind: 'failed', status: 409, resubmit: 'no', text: 'The job was cancelled after a task had started.',
	},
	incomplete: {
		code: 204, kind: 'failed', status: 502, resubmit: 'no', text: 'Some tasks ran and the others could not be started.',
	},
	versionConflict: {
		code: 300, kind: 'operator', status: 412, resubmit: 'after-change', text: 'Somebody else changed the row; the current version is given.',
	},
	changeReused: {
		code: 301, kind: 'operator', status: 409, resubmit: 'after-change', text: 'The change id already names another change.',
	},
	noRow: {
		code: 302, kind: 'operator', status: 404, resubmit: 'after-change', text: 'There is no row of this name.',
	},
	noOperator: {
		code: 303, kind: 'operator', status: 401, resubmit: 'after-change', text: 'The operator token is missing or wrong.',
	},
	badChange: {
		code: 304, kind: 'operator', status: 400, resubmit: 'after-change', text: 'The change is malformed; the detail names the field.',
	},
	changeUnknown: {
		code: 305, kind: 'operator', status: 503, resubmit: 'same-key', text: 'The table service did not answer; send the change again under its id.',
	},
	missingVersion: {
		code: 306, kind: 'operator', status: 428, resubmit: 'after-change', text: 'If-Match or If-None-Match is required.',
	},
	rowInUse: {
		code: 307, kind: 'operator', status: 409, resubmit: 'after-change', text: 'Another row refers to this one.',
	},
	entriesUnheard: {
		code: 308, kind: 'operator', status: 503, resubmit: 'same-key', text: 'Too few of the other entries could be told of the change; nothing was changed.',
	},
} as const satisfies Record<string, Omit<Result, 'name'>>;

export type ResultName = keyof typeof results;

const byCode = new Map<number, Result>(Object.entries(results).map(([name, result]) => [result.code, {name, ...result}]));

/** Returns the result with a code. Throws `RangeError` for an unknown code. */
export function resultOf(code: number): Result {
	const result = byCode.get(code);
	if (!result) {
		throw new RangeError(`no result has the code ${code}`);
	}

	return result;
}

/** Failure is an error that carries a numbered result to the caller. */
export class Failure extends Error {
	static create(name: ResultName, detail?: string, extra?: Record<string, unknown>): Failure {
		return new Failure(resultOf(results[name].code), detail ?? results[name].text, extra);
	}

	private constructor(readonly result: Result, detail: string, readonly extra: Record<string, unknown> = {}) {
		super(detail);
		this.name = 'Failure';
	}
}
