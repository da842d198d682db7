import type {Row, Transaction} from '../ports/table.js';

/** Outcome is how a job ended, as it is stored and passed between entries. */
export type Outcome = {
	/** The number of the result. */
	code: number;
	detail?: string;
	/** One item a task, in order, when the job is complete. */
	items?: Item[];
	/** The object that holds the items when they are too large for the row. */
	object?: string;
};

/** Item is one task's answer: a body in base64 and its media type. */
export type Item = {body: string; contentType: string; place: string; ranMs: number};

/** Claim is the row that makes one entry the only one to start a job's tasks. */
export type Claim = {
	/** SHA-256 of the route and the payload. */
	hash: string;
	/** Chosen by the writer, so that a lost reply can be settled by reading the row back. */
	nonce: string;
	/** The session of the entry that owns it. */
	owner: string;
	epoch: number;
	state: 'open' | 'closed';
	route: string;
	pool: string;
	tasks: number;
	/** Wall-clock milliseconds when the claim was first made. */
	at: number;
	outcome?: Outcome;
};

/** Usage is what one job adds to its member's account. */
export type Usage = {jobs: number; tasks: number; ms: number};

/** Standing is what a claim row means to the one who meets it. */
export type ClaimStatus
	= | {kind: 'own'; epoch: number}
		| {kind: 'reused'}
		| {kind: 'ended'; outcome: Outcome}
		| {kind: 'reopen'}
		| {kind: 'held'; owner: string; epoch: number};

/** ClaimKey is the row's key: keys of different members never meet. */
export function claimKey(member: string, key: string): string {
	return `${member}/${key}`;
}

/** Returns the transaction that claims a job if nobody has. */
export function insertClaim(key: string, claim: Claim, windowMs: number): Transaction {
	return {
		checks: [{table: 'claims', key, version: 0}],
		changes: [{
			kind: 'put', table: 'claims', key, value: claim, ttlMs: windowMs,
		}],
	};
}

/**
 * Judges the row that stood against an insertion.
 *
 * A closed claim that ran nothing may be opened again; any other closed claim keeps its outcome. A
 * claim under a later epoch is held, even by the same writer: what was started before must be asked.
 */
export function classifyClaim(row: Row<Claim>, attempted: Pick<Claim, 'hash' | 'nonce' | 'epoch'>, ranNothing: (code: number) => boolean): ClaimStatus {
	const claim = row.value;
	if (claim.hash !== attempted.hash) {
		return {kind: 'reused'};
	}

	if (claim.state === 'open') {
		const own = claim.nonce === attempted.nonce && claim.epoch === attempted.epoch;
		return own ? {kind: 'own', epoch: claim.epoch} : {kind: 'held', owner: claim.owner, epoch: claim.epoch};
	}

	const outcome = claim.outcome ?? {code: 202};
	return ranNothing(outcome.code) ? {kind: 'reopen'} : {kind: 'ended', outcome};
}

/**
 * Returns the transaction that makes `owner` the owner under the next epoch. The row in `raised`
 * tells sidecars that join later which epoch to refuse below.
 */
export function takeOverClaim(row: Row<Claim>, owner: string, nonce: string, windowMs: number): {transaction: Transaction; claim: Claim} {
	const {outcome: _, ...rest} = row.value;
	const claim: Claim = {
		...rest, owner, nonce, epoch: row.value.epoch + 1, state: 'open',
	};
	return {
		claim,
		transaction: {
			checks: [{table: 'claims', key: row.key, version: row.version}],
			changes: [
				{
					kind: 'put', table: 'claims', key: row.key, value: claim, ttlMs: windowMs,
				},
				{
					kind: 'put', table: 'raised', key: row.key, value: {epoch: claim.epoch}, ttlMs: windowMs,
				},
			],
		},
	};
}

/** Owned is a claim that this entry owns, with the version of its row. */
export type OwnedClaim = {key: string; claim: Claim; version: number};

/** Returns the transaction that closes a claim once and writes its usage with it. */
export function closeClaim({key, claim, version}: OwnedClaim, outcome: Outcome, usage: Usage | undefined, windowMs: number): Transaction {
	const member = key.slice(0, key.indexOf('/'));
	return {
		checks: [{table: 'claims', key, version}],
		changes: [
			{
				kind: 'put', table: 'claims', key, value: {...claim, state: 'closed', outcome} satisfies Claim, ttlMs: windowMs,
			},
			...(usage
				? [{
					kind: 'add', table: 'usage', key: member, fields: {...usage},
				} as const]
				: []),
		],
	};
}

/** Session is the row of a process: who it is, where it listens, and how it ended. */
export type Session = {
	kind: 'entry' | 'sidecar';
	name: string;
	zone: string;
	address: string;
	pools: string[];
	/** Wall-clock milliseconds when it joined. */
	at: number;
	ended?: 'graceful' | 'lost' | 'replaced';
	/** Wall-clock milliseconds when it was written as ended. */
	endedAt?: number;
};

/** How long before a claim a session's end still counts as during it, for work that was under way. */
const endMarginMs = 15_000;

/**
 * Says whether a sidecar session could have started tasks of the claim: it serves the pool and had
 * not ended well before the claim was made.
 */
export function couldHaveStartedTasks(session: Row<Session>, claim: Claim): boolean {
	const {kind, ended, endedAt} = session.value;
	if (kind !== 'sidecar') {
		return false;
	}

	return !ended || (endedAt ?? Number.POSITIVE_INFINITY) > claim.at - endMarginMs;
}

/** Report is what one session said of a claim at a takeover; `unheard` when it could not be asked. */
export type SessionReport
	= | {kind: 'unreachable'; session: string}
		| {kind: 'answered'; session: string; running: readonly number[]; ended: readonly EndedTask[]};

/** EndedTask is a task that a sidecar had started and that has ended. */
export type EndedTask = {task: number; code: number; detail: string; item?: Item};

/** Recovery is what a takeover knows of each task. */
export type RecoveredTasks = {
	ended: EndedTask[];
	/** Tasks that run now, with the session to ask for their answers. */
	running: Array<{task: number; session: string}>;
	/** Tasks that every session denied: they never started and may start now. */
	notStarted: number[];
	/** Tasks that no heard session holds while some session could not be heard. */
	unknown: number[];
};

/** Puts the reports of a takeover together. Ended beats running where both are told. */
export function mergeReports(tasks: number, reports: readonly SessionReport[]): RecoveredTasks {
	const ended = new Map<number, EndedTask>();
	const running = new Map<number, string>();
	for (const report of reports) {
		if (report.kind === 'answered') {
			for (const task of report.ended) {
				ended.set(task.task, task);
			}

			for (const task of report.running) {
				running.set(task, report.session);
			}
		}
	}

	const someUnreachable = reports.some(report => report.kind === 'unreachable');
	const unaccounted = Array.from({length: tasks}, (_, task) => task).filter(task => !ended.has(task) && !running.has(task));
	return {
		ended: [...ended.values()],
		running: [...running].filter(([task]) => !ended.has(task)).map(([task, session]) => ({task, session})),
		notStarted: someUnreachable ? [] : unaccounted,
		unknown: someUnreachable ? unaccounted : [],
	};
}
