import {Buffer} from 'node:buffer';
import type {BatchWriter} from '../adapters/batch-writer.js';
import type {Store} from '../adapters/table.js';
import {
	closeClaim, insertClaim, classifyClaim, takeOverClaim, type Claim, type Item, type Outcome, type OwnedClaim, type Usage,
} from '../decide/claim.js';
import type {Clock} from '../ports/clock.js';
import type {Peers} from '../ports/peer.js';
import type {Row, Transaction, TransactionResult} from '../ports/table.js';
import {resultOf, results} from '../results.js';
import {decodeText} from '../text.js';
import type {TableWatcher} from './table-watcher.js';
import {collectClaim, type TakeoverResult} from './takeover.js';

/** ClaimResult is the result of claiming a job. */
export type ClaimResult
	/** The job is not claimed, and only a check was requested. */
	= | {kind: 'absent'}
	/** The table gave no answer. The claim may or may not have been written. */
		| {kind: 'unavailable'}
		| {kind: 'reused'}
		| {kind: 'ended'; outcome: Outcome}
	/** This entry owns it; `found` is set when it was taken over and tasks may have started. */
		| {kind: 'owned'; owned: OwnedClaim; found?: TakeoverResult}
		| {kind: 'held'; owner: string};

/** ClaimOptions: `checkOnly` writes no claim, claims of `lostOwners` are taken over, and `deadline` is in monotonic milliseconds. */
export type ClaimOptions = {checkOnly: boolean; lostOwners: ReadonlySet<string>; deadline: number};

/** CloseResult is the result of writing an outcome. */
export type CloseResult = 'closed' | 'superseded' | 'unavailable';

/** Dependencies of the claim store. */
export type Dependencies = {
	session: string;
	clock: Clock;
	store: Store;
	batch: BatchWriter;
	peers: Peers;
	watcher: TableWatcher;
	/** How long a claim and its outcome are kept, in milliseconds. */
	windowMs: number;
	/** Aborts when the process ends. */
	signal: AbortSignal;
};

/** Outcomes up to this size, in bytes of base64, are stored in the claim's row; larger ones in the object store. */
const maxInlineBytes = 65_536;
/** The pause before a failed write is retried, in milliseconds. */
const retryPauseMs = 250;
/** How long claiming a job may take at most, even when its deadline is later, in milliseconds. */
const claimTimeoutMs = 5000;

/** ClaimStore claims jobs in the platform's table, takes over claims and closes them. */
export class ClaimStore {
	static create(dependencies: Dependencies): ClaimStore {
		return new ClaimStore(dependencies);
	}

	private constructor(private readonly dependencies: Dependencies) {}

	/**
	 * Claims a job, or returns its owner. With `checkOnly` an absent claim is not written, which
	 * proves that a refusal is true. A claim whose owner is among `lostOwners`, or has ended, is taken over.
	 */
	async claim(key: string, claim: Claim, {checkOnly, lostOwners, deadline}: ClaimOptions): Promise<ClaimResult> {
		const insert = insertClaim(key, claim, this.dependencies.windowMs);
		const result = await this.write(checkOnly ? {...insert, changes: []} : insert, deadline);
		if (!result) {
			return {kind: 'unavailable'};
		}

		if (result.kind === 'applied') {
			return checkOnly ? {kind: 'absent'} : {kind: 'owned', owned: {key, claim, version: result.version}};
		}

		const row = result.row as Row<Claim>;
		const classification = classifyClaim(row, claim, code => resultOf(code).kind === 'not-run');
		switch (classification.kind) {
			case 'own': {
				return {kind: 'owned', owned: {key, claim: row.value, version: row.version}};
			}

			case 'reopen': {
				return checkOnly ? {kind: 'absent'} : this.takeOver(row, claim.nonce, false);
			}

			case 'held': {
				const {owner} = classification;
				const ownerHasEnded = lostOwners.has(owner) || owner === this.dependencies.session || this.dependencies.watcher.sessions.get(owner)?.value.ended !== undefined;
				return ownerHasEnded ? this.takeOver(row, claim.nonce, true) : {kind: 'held', owner};
			}

			case 'reused':
			case 'ended': {
				return classification;
			}
		}
	}

	/**
	 * Raises a claim's epoch and makes this entry its owner; with `collect`, then collects what was started
	 * under it. The order matters: see docs/DESIGN.md, "Takeover".
	 */
	async takeOver(row: Row<Claim>, nonce: string, collect: boolean): Promise<ClaimResult> {
		const {dependencies} = this;
		const {transaction, claim} = takeOverClaim(row, dependencies.session, nonce, dependencies.windowMs);
		const result = await this.write(transaction, dependencies.clock.mono() + claimTimeoutMs);
		if (!result) {
			return {kind: 'unavailable'};
		}

		const currentRow = result.kind === 'conflict' ? result.row as Row<Claim> | undefined : undefined;
		if (result.kind === 'conflict' && currentRow?.value.nonce !== nonce) {
			return {kind: 'held', owner: currentRow?.value.owner ?? row.value.owner};
		}

		const owned = {key: row.key, claim, version: currentRow?.version ?? (result as {version: number}).version};
		try {
			return {kind: 'owned', owned, found: collect ? await collectClaim(row.key, claim, dependencies) : undefined};
		} catch {
			return {kind: 'unavailable'};
		}
	}

	/** Closes a claim with its outcome and usage; retries until the table answers or the process ends. */
	async close(owned: OwnedClaim, fullOutcome: Outcome, usage?: Usage): Promise<CloseResult> {
		const {dependencies} = this;
		while (!dependencies.signal.aborted) {
			try {
				const outcome = await this.storeLargeItems(owned, fullOutcome);
				const transaction = closeClaim(owned, outcome, usage, dependencies.windowMs);
				const result = await dependencies.batch.write(transaction);
				const row = result.kind === 'conflict' ? result.row as Row<Claim> | undefined : undefined;
				return result.kind === 'applied' || (row?.value.nonce === owned.claim.nonce && row.value.state === 'closed') ? 'closed' : 'superseded';
			} catch {
				await dependencies.clock.sleep(retryPauseMs, dependencies.signal);
			}
		}

		return 'unavailable';
	}

	/**
	 * Closes a claim as not run if its insertion got no answer but took effect. A claim that was
	 * taken over is left as it is, since its earlier owner may have started tasks.
	 */
	async abandon(key: string, nonce: string): Promise<void> {
		while (!this.dependencies.signal.aborted) {
			try {
				const row = await this.read(key);
				if (row?.value.nonce === nonce && row.value.state === 'open' && row.value.epoch === 1) {
					await this.close({key, claim: row.value, version: row.version}, {code: results.storeUnavailable.code});
				}

				return;
			} catch {
				await this.dependencies.clock.sleep(retryPauseMs, this.dependencies.signal);
			}
		}
	}

	/** Reads one claim. Rejects with `StoreError`. */
	async read(key: string): Promise<Row<Claim> | undefined> {
		const {rows} = await this.dependencies.store.list({tables: ['claims'], prefix: key});
		return rows.find(row => row.key === key) as Row<Claim> | undefined;
	}

	/** Lists the open claims of a session. Rejects with `StoreError`. */
	async openClaims(owner: string): Promise<Array<Row<Claim>>> {
		const {rows} = await this.dependencies.store.list({tables: ['claims'], where: {field: 'owner', value: owner}});
		return (rows as Array<Row<Claim>>).filter(row => row.value.state === 'open');
	}

	/** Returns an outcome with its items, read from the object store if they are stored there. */
	async loadOutcome(outcome: Outcome): Promise<Outcome> {
		if (outcome.object === undefined) {
			return outcome;
		}

		try {
			const object = await this.dependencies.store.get(outcome.object);
			return object ? {...outcome, items: JSON.parse(decodeText(object)) as Item[]} : {code: results.unknown.code, detail: 'the answer is no longer stored'};
		} catch {
			return {code: results.unknown.code, detail: 'the job has ended and its answer cannot be read now'};
		}
	}

	/** Writes the items of a large outcome to the object store and returns the outcome for the row. */
	private async storeLargeItems(owned: OwnedClaim, outcome: Outcome): Promise<Outcome> {
		const size = (outcome.items ?? []).reduce((sum, item) => sum + item.body.length, 0);
		if (size <= maxInlineBytes) {
			return outcome;
		}

		const object = `answer-${owned.claim.nonce}`;
		await this.dependencies.store.put(object, Buffer.from(JSON.stringify(outcome.items)));
		return {code: outcome.code, detail: outcome.detail, object};
	}

	/**
	 * Writes one transaction, and retries it while the table does not answer but was read recently. If an
	 * unanswered write took effect, its retry conflicts with a row that has its own nonce.
	 */
	private async write(transaction: Transaction, deadline: number): Promise<TransactionResult | undefined> {
		const {clock, batch, watcher} = this.dependencies;
		const giveUpAt = Math.min(deadline, clock.mono() + claimTimeoutMs);
		while (watcher.readable && clock.mono() < giveUpAt) {
			const waiting = new AbortController();
			const result = await Promise.race([writeOnce(batch, transaction), clock.sleep(giveUpAt - clock.mono(), waiting.signal)]);
			waiting.abort();
			if (result) {
				return result;
			}

			await clock.sleep(retryPauseMs);
		}

		return undefined;
	}
}

async function writeOnce(batch: BatchWriter, transaction: Transaction): Promise<TransactionResult | undefined> {
	try {
		return await batch.write(transaction);
	} catch {
		return undefined;
	}
}
