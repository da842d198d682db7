/** Run is one task as it is handed to an upstream or a worker. */
export type Run = {
	claim: string;
	task: number;
	epoch: number;
	member: string;
	route: string;
	body: Uint8Array;
	contentType: string;
	/** Declared size; a worker's owner packs by it. */
	cores: number;
	memoryMb: number;
	accelerators: number;
};

/**
 * Answer is how a run ended.
 *
 * `refused` means that the back end certainly did not start it; `unknown` that it may have.
 */
export type Answer
	= | {kind: 'done'; body: Uint8Array; contentType: string}
		| {kind: 'failed'; detail: string}
		| {kind: 'refused'; detail: string}
		| {kind: 'unknown'; detail: string};

/** Permit is the leave to start a run: `allowed` is asked at the last moment, and an abort of `signal` stops the run. */
export type RunControl = {signal: AbortSignal; mayStart(): boolean};

/** Backend starts runs on one upstream or one worker. It never rejects. */
export type Backend = {
	run(run: Run, permit: RunControl): Promise<Answer>;
	close(): Promise<void>;
};
