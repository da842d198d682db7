import {timingSafeEqual, createHash} from 'node:crypto';
import fastify, {type FastifyInstance, type FastifyReply, type FastifyRequest} from 'fastify';
import * as z from 'zod';
import type {Clock} from '../ports/clock.js';
import type {Random} from '../ports/random.js';
import {
	StoreError, type Check, type Row, type Table, type Transaction, type TransactionResult,
} from '../ports/table.js';
import {Failure} from '../results.js';
import {
	nameSchema, schemas, type ConfigTable, type Route,
} from '../settings/schema.js';
import type {TableWatcher} from './table-watcher.js';
import {closeConnectionsWhenStopping} from './listener.js';
import {operatorDocument} from './openapi.js';
import {
	bytesOf, checkValue, parseBody, sendError,
} from './problem.js';

/** In how many of the known processes a configuration version is in force. */
export type RolloutStatus = {entries: {inForce: number; known: number}; sidecars: {inForce: number; known: number}};

/** The audit record of one change. */
export type AuditEntry = {
	change: string;
	/** Wall-clock milliseconds. */
	at: number;
	who: string;
	table: ConfigTable;
	key: string;
	before?: unknown;
	after?: unknown;
};

export type Dependencies = {
	clock: Clock;
	random: Random;
	table: Table;
	watcher: TableWatcher;
	token: string | undefined;
	/** Announces to the other entries that a change may be written within `withinMs`. Resolves to whether enough of them confirmed it. */
	announceChange(withinMs: number): Promise<boolean>;
	/** Sends the newest configuration to the other entries. Resolves to where `version` is in force. */
	pushConfig(version: number): Promise<RolloutStatus>;
	status(): unknown;
	isStopping(): boolean;
};

type Change = {table: ConfigTable; key: string; after: unknown; checks: Check[]; expected: number};

const maxWaitMs = 10_000;
const pollMs = 100;
/** How long a change may take from its announcement to the other entries until its write is confirmed, in milliseconds. */
const changeWindowMs = 5000;
const tables = Object.keys(schemas) as ConfigTable[];
/** The default and the maximum number of changes in one page of the audit trail. */
const defaultAuditLimit = 200;
const maxAuditLimit = 1000;
const auditQuery = z.strictObject({
	after: z.coerce.number().int().nonnegative().optional(),
	limit: z.coerce.number().int().positive().max(maxAuditLimit).default(defaultAuditLimit),
});

/** Builds the operator API: the configuration tables, the audit trail, status and usage. */
export function buildOperatorApi(dependencies: Dependencies): FastifyInstance {
	const app = fastify({bodyLimit: 1_048_576, routerOptions: {maxParamLength: 300}, forceCloseConnections: 'idle'});
	app.removeAllContentTypeParsers();
	app.addContentTypeParser('*', {parseAs: 'buffer'}, (_request, body, done) => {
		done(null, body);
	});
	app.setErrorHandler(async (error: Error, _request, reply) => sendError(reply, error));
	app.setNotFoundHandler(async (_request, reply) => sendError(reply, Failure.create('noRow')));
	app.addHook('onRequest', async request => {
		checkToken(request, dependencies.token);
	});
	closeConnectionsWhenStopping(app, () => dependencies.isStopping());
	const operator = new OperatorHandlers(dependencies);
	for (const table of tables) {
		app.get(`/v1/admin/${table}`, async () => operator.list(table));
		app.get(`/v1/admin/${table}/:name`, async (request, reply) => operator.get(table, nameOf(request), reply));
		app.put(`/v1/admin/${table}/:name`, async (request, reply) => operator.put(table, request, reply));
		app.delete(`/v1/admin/${table}/:name`, async (request, reply) => operator.delete(table, request, reply));
	}

	app.get('/v1/admin/audit', async request => operator.audit(request.query));
	app.get('/v1/admin/usage', async () => operator.usage());
	app.get('/v1/admin/status', async () => dependencies.status());
	app.get('/openapi.json', async () => operatorDocument());
	return app;
}

class OperatorHandlers {
	constructor(private readonly dependencies: Dependencies) {}

	async list(table: ConfigTable): Promise<unknown> {
		const rows = await this.rows(`${table}/`);
		return {rows: rows.map(row => ({name: row.key.slice(table.length + 1), version: row.version, value: row.value}))};
	}

	async get(table: ConfigTable, key: string, reply: FastifyReply): Promise<FastifyReply> {
		const row = await this.lookUp(table, key);
		if (!row) {
			throw Failure.create('noRow', `${table} has no ${key}`);
		}

		return reply.header('etag', `"${row.version}"`).send({name: key, version: row.version, value: row.value});
	}

	async put(table: ConfigTable, request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
		const key = nameOf(request);
		const after: unknown = parseBody(schemas[table], bytesOf(request), 'badChange');
		const checks = table === 'routes' ? [await this.poolCheckOf(after as Route)] : [];
		return this.change(request, reply, {
			table, key, after, checks, expected: expectedVersion(request),
		});
	}

	async delete(table: ConfigTable, request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
		const key = nameOf(request);
		if (table === 'pools') {
			await this.checkUnused(key);
		}

		return this.change(request, reply, {
			table, key, after: undefined, checks: [], expected: expectedVersion(request),
		});
	}

	/** Lists the newest changes, or with `after` the ones that follow that version; `more` is true if further changes follow the page. */
	async audit(query: unknown): Promise<unknown> {
		const {after, limit} = checkValue(auditQuery, query, 'badChange');
		const {rows} = await this.dependencies.table.list({tables: ['audit'], after});
		const changes = rows.toSorted((a, b) => a.version - b.version).map(row => ({version: row.version, ...(row.value as AuditEntry)}));
		return after === undefined ? {changes: changes.slice(-limit), more: false} : {changes: changes.slice(0, limit), more: changes.length > limit};
	}

	async usage(): Promise<unknown> {
		const {rows} = await this.dependencies.table.list({tables: ['usage']});
		return {members: rows.map(row => ({member: row.key, ...(row.value as Record<string, number>)}))};
	}

	/** Applies a change once under its id; the audit row is written in the same transaction. */
	private async change(request: FastifyRequest, reply: FastifyReply, change: Change): Promise<FastifyReply> {
		const {random, clock, watcher} = this.dependencies;
		const header = request.headers['sniperidge-change-id'];
		const id = header === undefined ? random.id() : checkName(String(header), 'Sniperidge-Change-Id');
		const before = await this.lookUp(change.table, change.key);
		const entry: AuditEntry = {
			change: id, at: clock.now(), who: operatorNameOf(request), table: change.table, key: change.key, before: before?.value, after: change.after,
		};
		const until = clock.mono() + changeWindowMs;
		if (!await this.dependencies.announceChange(changeWindowMs)) {
			throw Failure.create('entriesUnheard');
		}

		const result = await this.write(transactionOf(change, entry), until);
		const version = result.kind === 'applied' ? result.version : await this.resolveConflict(result, change, entry);
		await watcher.refresh();
		const inForce = await this.waitUntilInForce(version, Number((request.query as {waitMs?: string}).waitMs ?? 0));
		return reply.header('etag', `"${version}"`).send({change: id, version, inForce});
	}

	/** Resolves a conflict: succeeds if the same change was applied before, and throws for any other cause. */
	private async resolveConflict(result: TransactionResult & {kind: 'conflict'}, change: Change, entry: AuditEntry): Promise<number> {
		const audit = await this.findAuditRow(entry.change);
		if (audit) {
			const isSame = audit.value.table === entry.table && audit.value.key === entry.key && JSON.stringify(audit.value.after) === JSON.stringify(entry.after);
			if (isSame) {
				return audit.version;
			}

			throw Failure.create('changeReused');
		}

		if (result.check.key !== `${change.table}/${change.key}`) {
			throw Failure.create('badChange', `${result.check.key} changed meanwhile`);
		}

		if (!result.row && change.expected > 0 && change.after === undefined) {
			throw Failure.create('noRow');
		}

		throw Failure.create('versionConflict', undefined, {version: result.row?.version ?? 0, current: result.row?.value});
	}

	/** Writes a change. Throws if the write is not confirmed in time, since after that the entries treat the old configuration as current again. */
	private async write(transaction: Transaction, until: number): Promise<TransactionResult> {
		const {clock, table} = this.dependencies;
		while (clock.mono() < until) {
			try {
				const [result] = await table.write([transaction]);
				if (clock.mono() < until) {
					return result!;
				}
			} catch (error) {
				if (!(error instanceof StoreError)) {
					break;
				}

				await clock.sleep(pollMs);
			}
		}

		throw Failure.create('changeUnknown');
	}

	private async waitUntilInForce(version: number, waitMs: number): Promise<RolloutStatus> {
		const {clock, pushConfig} = this.dependencies;
		const until = clock.mono() + Math.min(maxWaitMs, Math.max(0, waitMs));
		for (;;) {
			const {entries, sidecars} = await pushConfig(version);
			const isEverywhere = entries.inForce === entries.known && sidecars.inForce === sidecars.known;
			if (isEverywhere || !(clock.mono() < until)) {
				return {entries, sidecars};
			}

			await clock.sleep(pollMs);
		}
	}

	private async poolCheckOf(route: Route): Promise<Check> {
		const pool = await this.lookUp('pools', route.pool);
		if (!pool) {
			throw Failure.create('badChange', `pool: there is no pool ${route.pool}`);
		}

		return {table: 'config', key: pool.key, version: pool.version};
	}

	private async checkUnused(pool: string): Promise<void> {
		const routes = await this.rows('routes/');
		const referrer = routes.find(row => (row.value as Route).pool === pool);
		if (referrer) {
			throw Failure.create('rowInUse', `${referrer.key} refers to the pool`);
		}
	}

	private async lookUp(table: ConfigTable, key: string): Promise<Row | undefined> {
		const rowKey = `${table}/${key}`;
		const rows = await this.rows(rowKey);
		return rows.find(row => row.key === rowKey);
	}

	private async rows(prefix: string): Promise<Row[]> {
		const {rows} = await this.dependencies.table.list({tables: ['config'], prefix});
		return rows;
	}

	private async findAuditRow(change: string): Promise<Row<AuditEntry> | undefined> {
		const {rows} = await this.dependencies.table.list({tables: ['audit'], prefix: change});
		return rows.find(row => row.key === change) as Row<AuditEntry> | undefined;
	}
}

function transactionOf(change: Change, entry: AuditEntry): Transaction {
	const row = {table: 'config', key: `${change.table}/${change.key}`};
	return {
		checks: [{...row, version: change.expected}, ...change.checks, {table: 'audit', key: entry.change, version: 0}],
		changes: [
			change.after === undefined ? {kind: 'delete', ...row} : {kind: 'put', ...row, value: change.after},
			{
				kind: 'put', table: 'audit', key: entry.change, value: entry,
			},
		],
	};
}

function expectedVersion(request: FastifyRequest): number {
	if (request.headers['if-none-match'] === '*') {
		return 0;
	}

	const match = request.headers['if-match'];
	if (match === undefined) {
		throw Failure.create('missingVersion');
	}

	const version = Number(/^"?(\d+)"?$/v.exec(match)?.[1]);
	if (!(version > 0)) {
		throw Failure.create('badChange', `If-Match: a version, found ${JSON.stringify(match)}`);
	}

	return version;
}

function nameOf(request: FastifyRequest): string {
	return checkName((request.params as {name: string}).name, 'name');
}

function checkName(value: string, field: string): string {
	const parsed = nameSchema.safeParse(value);
	if (!parsed.success) {
		throw Failure.create('badChange', `${field}: ${z.prettifyError(parsed.error)}`);
	}

	return parsed.data;
}

function operatorNameOf(request: FastifyRequest): string {
	const who = request.headers['sniperidge-operator'];
	return who === undefined ? 'operator' : checkName(String(who), 'Sniperidge-Operator');
}

function checkToken(request: FastifyRequest, token: string | undefined): void {
	const digest = (text: string) => createHash('sha256').update(text).digest();
	const given = request.headers.authorization?.replace(/^Bearer /v, '') ?? '';
	if (!token || !timingSafeEqual(digest(given), digest(token))) {
		throw Failure.create('noOperator');
	}
}
