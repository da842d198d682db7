import type {Row, Transaction} from '../ports/table.js';

/** Outcome is how a job ended, as it is stored and passed between entries. */
export type Outcome = {
	/** The code of the result, see src/results.ts. */
	code: number;
	detail?: string;
	/** One item a task, in order, when the job is complete. */
	items?: Item[];
	/** The object that holds the items when they are too large for the row. */
	object?: string;
};

/** Item is the answer of one task: its body in base64, its media type, and where and how long it ran. */
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

/** Usage is what one finished job adds to the usage of its client account. */
export type Usage = {jobs: number; tasks: number; ms: number};

/** ClaimStatus is what an existing claim row means for the entry that tried to insert its own. */
export type ClaimStatus
	= | {kind: 'own'; epoch: number}
		| {kind: 'reused'}
		| {kind: 'ended'; outcome: Outcome}
		| {kind: 'reopen'}
		| {kind: 'held'; owner: string; epoch: number};

/** Returns the key of the claim row. The prefix keeps equal job keys of different client accounts apart. */
export function claimKey(member: string, key: string): string {
	return `${member}/${key}`;
}

/** Returns the transaction that claims a job unless it has a claim already. */
export function insertClaim(key: string, claim: Claim, windowMs: number): Transaction {
	return {
		checks: [{table: 'claims', key, version: 0}],
		changes: [{
			kind: 'put', table: 'claims', key, value: claim, ttlMs: windowMs,
		}],
	};
}

/**
 * Classifies the existing row that made an insertion fail.
 *
 * A closed claim that ran nothing may be opened again; any other closed claim keeps its outcome. A
 * claim under a later epoch is held, even by the same writer: sidecars must be asked which tasks an earlier epoch has started.
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

/** OwnedClaim is a claim that this entry owns, with the version of its row. */
export type OwnedClaim = {key: string; claim: Claim; version: number};

/** Returns the transaction that closes a claim once and adds the usage in the same step. */
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

/** A session that ended at most this long before the claim may still have started its tasks, from work under way. */
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

/** SessionReport is what one sidecar session reported about a claim at a takeover, or that it could not be reached. */
export type SessionReport
	= | {kind: 'unreachable'; session: string}
		| {kind: 'answered'; session: string; running: readonly number[]; ended: readonly EndedTask[]};

/** EndedTask is a task that a sidecar had started and that has ended. */
export type EndedTask = {task: number; code: number; detail: string; item?: Item};

/** RecoveredTasks is the state of every task of a claim, as found by a takeover. */
export type RecoveredTasks = {
	ended: EndedTask[];
	/** Tasks that run now, with the session that will have their answers. */
	running: Array<{task: number; session: string}>;
	/** Tasks that no session has, when all have answered: they never started and may start now. */
	notStarted: number[];
	/** Tasks that no answering session has while some session could not be reached: they may have run. */
	unknown: number[];
};

/** Merges the reports of a takeover. A task reported both as running and as ended has ended. */
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
