/** Run is the request to run one task on an upstream or a worker. */
export type Run = {
	claim: string;
	task: number;
	epoch: number;
	member: string;
	route: string;
	body: Uint8Array;
	contentType: string;
	/** Declared resources, by which the sidecar that owns a worker packs its tasks. */
	cores: number;
	memoryMb: number;
	accelerators: number;
};

/**
 * Answer is the outcome of a run.
 *
 * `refused` means that the back end certainly did not start the run; `unknown`, that it may have.
 */
export type Answer
	= | {kind: 'done'; body: Uint8Array; contentType: string}
		| {kind: 'failed'; detail: string}
		| {kind: 'refused'; detail: string}
		| {kind: 'unknown'; detail: string};

/** RunControl can prevent or stop a run: `mayStart` is checked just before the request is sent, and an abort of `signal` withdraws or stops the run. */
export type RunControl = {signal: AbortSignal; mayStart(): boolean};

/** Backend starts runs on one upstream or one worker. It never rejects. */
export type Backend = {
	run(run: Run, permit: RunControl): Promise<Answer>;
	close(): Promise<void>;
};
