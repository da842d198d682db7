/** Identifies one run of a task at a worker. Of two runs of a task, the later one has the higher number. */
export type RunId = {task: string; number: number};

/** What a worker needs to begin a run. */
export type StartOrder = RunId & {
	spec: string;
	/** Worker-clock milliseconds until which the run may go on without a renewal. A worker refuses an order that arrives later. */
	leaseUntil: number;
	/** The worker refuses orders with a lower fence than the highest it has seen. */
	fence: number;
};

/** Why a worker did not begin a run. */
export type WorkerRefusal
	/** The worker has seen a higher fence. */
	= 'fence'
	/** This run or a later one was stopped or has ended. */
		| 'old'
	/** The lease that the order asks for has expired. */
		| 'late'
		| 'room'
	/** The worker is unhealthy and accepts no runs now. */
		| 'unwell'
	/** The addressed incarnation has ended; another one answers at its address. */
		| 'other-life'
		| 'invalid';

/** The result of an order. An `unknown` one may still be carried out, unless it is `absent`: no connection was made, so the worker never gets it. */
export type Reply
	= | {kind: 'done'; clock?: number}
		| {kind: 'refused'; reason: WorkerRefusal; clock?: number}
		| {kind: 'unknown'; cause: string; absent: boolean};

/** How a run ended. */
export type Ending = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** A run that ended. The ends are numbered from 1 in each incarnation of a worker. */
export type EndedRun = RunId & {sequence: number; ending: Ending};

/** Extends the lease of all runs and lets the worker forget the ends up to `seen`. */
export type PollRequest = {
	fence: number;
	/** Worker-clock milliseconds. Absent if the leases should expire. */
	leaseUntil?: number;
	seen: number;
	/** How long the reply may wait for an end, in milliseconds. */
	waitMs: number;
	/** The time for transport, on top of `waitMs`, after which the reply counts as lost, in milliseconds. */
	marginMs: number;
};

/** A worker's report of its running and ended runs. */
export type PollResult
	= | {kind: 'seen'; clock: number; born: number; running: readonly RunId[]; ended: readonly EndedRun[]}
		| {kind: 'refused'; reason: WorkerRefusal; clock?: number}
	/** `absent`: nothing listens at the address. */
		| {kind: 'unknown'; cause: string; absent: boolean};

/**
 * Executor is a worker that runs tasks under a lease on its own steady clock and kills each run whose lease
 * is not renewed in time. The platform's adapter implements it. No method rejects: a call without a reply
 * resolves to `unknown`.
 */
export type Executor = {
	start(order: StartOrder, life: string): Promise<Reply>;
	stop(run: RunId, fence: number, life: string): Promise<Reply>;
	poll(renewal: PollRequest, life: string): Promise<PollResult>;
	close(): Promise<void>;
};
