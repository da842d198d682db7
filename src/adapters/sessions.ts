import {Buffer} from 'node:buffer';
import type {Session} from '../decide/claim.js';
import type {HandedTask} from '../decide/handover.js';
import type {Clock} from '../ports/clock.js';
import type {ObjectStore} from '../ports/objects.js';
import type {Row, Table} from '../ports/table.js';
import {decodeText} from '../text.js';

/** The delay before a failed write is retried, in milliseconds. */
const retryMs = 500;

/** NewSession is the row of a session that starts, with its identifier. */
export type NewSession = {id: string; session: Session};

/**
 * Writes the row of a new session, and ends all earlier sessions of the same name and kind in the same
 * transaction. Retries until the write succeeds or `signal` aborts.
 */
export async function createSession(table: Table, clock: Clock, newSession: NewSession, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		try {
			if (await tryCreate(table, clock, newSession)) {
				return;
			}
		} catch {}

		await clock.sleep(retryMs, signal);
	}
}

/** Writes a session as ended. Resolves to false when its row has changed since it was read. Rejects with `StoreError`. */
export async function endSession(table: Table, clock: Clock, row: Row<Session>, ended: NonNullable<Session['ended']>): Promise<boolean> {
	const [result] = await table.write([{
		checks: [{table: 'sessions', key: row.key, version: row.version}],
		changes: [{
			kind: 'put', table: 'sessions', key: row.key, value: {...row.value, ended, endedAt: clock.now()}, ttlMs: endedRetentionMs,
		}],
	}]);
	return result?.kind === 'applied';
}

/** Reads one session's row. Rejects with `StoreError`. */
export async function readSession(table: Table, id: string): Promise<Row<Session> | undefined> {
	const {rows} = await table.list({tables: ['sessions'], prefix: id});
	return rows[0] as Row<Session> | undefined;
}

/** Returns the addresses of the entries whose sessions have not ended. Rejects with `StoreError`. */
export async function findEntryAddresses(table: Table): Promise<string[]> {
	const {rows} = await table.list({tables: ['sessions'], where: {field: 'kind', value: 'entry'}});
	return (rows as Array<Row<Session>>).filter(row => !row.value.ended).map(row => row.value.address);
}

/** How long the row of an ended session is kept, in milliseconds: longer than any claim lives. */
const endedRetentionMs = 3_600_000;

async function tryCreate(table: Table, clock: Clock, {id, session}: NewSession): Promise<boolean> {
	const {rows} = await table.list({tables: ['sessions'], where: {field: 'name', value: session.name}});
	const earlierSessions = (rows as Array<Row<Session>>).filter(row => !row.value.ended && row.key !== id && row.value.kind === session.kind);
	const [result] = await table.write([{
		checks: earlierSessions.map(row => ({table: row.table, key: row.key, version: row.version})),
		changes: [
			...earlierSessions.map(row => ({
				kind: 'put' as const, table: 'sessions', key: row.key, value: {...row.value, ended: 'replaced', endedAt: clock.now()}, ttlMs: endedRetentionMs,
			})),
			{
				kind: 'put', table: 'sessions', key: id, value: session,
			},
		],
	}]);
	return result?.kind === 'applied';
}

/** Writes the handover of a session that stops. Rejects with `StoreError`. */
export async function writeHandover(objects: ObjectStore, session: string, tasks: readonly HandedTask[]): Promise<void> {
	await objects.put(handoverKey(session), Buffer.from(JSON.stringify(tasks)));
}

/** Reads the handover of a session; undefined when it left none. Rejects with `StoreError`. */
export async function readHandover(objects: ObjectStore, session: string): Promise<HandedTask[] | undefined> {
	const object = await objects.get(handoverKey(session));
	return object && JSON.parse(decodeText(object)) as HandedTask[];
}

function handoverKey(session: string): string {
	return `handover-${session}`;
}
