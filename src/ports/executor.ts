/** Run names one start of a task at a worker: of two runs of a task, the later one has the higher number. */
export type RunId = {task: string; number: number};

/** Order is what a worker needs to begin a run. */
export type StartOrder = RunId & {
	spec: string;
	/** Worker-clock milliseconds until which the run may go on without a renewal, and after which the order is void. */
	leaseUntil: number;
	/** Orders under a lower number than the worker has seen are refused. */
	fence: number;
};

/** Refusal says why a worker began nothing. */
export type WorkerRefusal
	/** A higher fence was seen. */
	= 'fence'
	/** This run or a later one was stopped or has ended. */
		| 'old'
	/** The lease that the order asks for is over. */
		| 'late'
		| 'room'
	/** The worker is unwell and takes nothing now. */
		| 'unwell'
	/** The worker meant is gone; another life answers at its address. */
		| 'other-life'
		| 'invalid';

/** Reply is what became of an order. Of an `unknown` one nothing may be assumed: it may still be carried out. */
export type Reply
	= | {kind: 'done'; clock?: number}
		| {kind: 'refused'; reason: WorkerRefusal; clock?: number}
		| {kind: 'unknown'; cause: string; absent: boolean};

/** Ending says how a run ended. */
export type Ending = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** End is one run's end; ends are numbered from 1 in each life of a worker. */
export type EndedRun = RunId & {sequence: number; ending: Ending};

/** Renewal extends the lease of all runs and forgets the ends up to `seen`. */
export type PollRequest = {
	fence: number;
	/** Left out where the runs are to lapse. Worker-clock milliseconds. */
	leaseUntil?: number;
	seen: number;
	/** How long the reply may wait for an end, in milliseconds. */
	waitMs: number;
	/** How much longer it may be on its way before it counts as lost, in milliseconds. */
	marginMs: number;
};

/** Look is what a worker says of its runs. */
export type PollResult
	= | {kind: 'seen'; clock: number; born: number; running: readonly RunId[]; ended: readonly EndedRun[]}
		| {kind: 'refused'; reason: WorkerRefusal; clock?: number}
	/** `absent` says that nothing listens at the address. */
		| {kind: 'unknown'; cause: string; absent: boolean};

/**
 * Executor is a worker that runs tasks under a lease on its own steady clock: what is not renewed in
 * time is killed there. The platform's adapter implements it. Nothing here rejects: a call without a
 * reply resolves to `unknown`.
 */
export type Executor = {
	start(order: StartOrder, life: string): Promise<Reply>;
	stop(run: RunId, fence: number, life: string): Promise<Reply>;
	poll(renewal: PollRequest, life: string): Promise<PollResult>;
	close(): Promise<void>;
};
