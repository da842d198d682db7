import {Buffer} from 'node:buffer';
import type {AddressInfo} from 'node:net';
import fastify from 'fastify';
import * as z from 'zod';
import type {
	Check, Change, Row, Transaction, TransactionResult,
} from '../ports/table.js';
import type {PlatformSettings} from '../settings/schema.js';

/** Faults is what is wrong with the stand-in now. */
export type Faults = {
	/** Answers nothing: every request ends in 503 and has no effect. */
	down: boolean;
	/** Added to every request, in milliseconds. */
	slowMs: number;
	/** So many of the next writes take effect and then break the connection. */
	loseReplies: number;
};

const faultsSchema = z.strictObject({down: z.boolean(), slowMs: z.number().nonnegative(), loseReplies: z.number().int().nonnegative()}).partial();

/** Counts is how much the stand-in was asked. */
export type Counts = {writes: number; transactions: number; reads: number};

/** Platform is the stand-in for the platform's table service and object store. It keeps all in memory. */
export class Platform {
	static async create(settings: PlatformSettings): Promise<Platform> {
		const platform = new Platform(settings);
		await platform.app.listen({host: settings.host, port: settings.port});
		return platform;
	}

	readonly counts: Counts = {writes: 0, transactions: 0, reads: 0};
	private readonly app = fastify({bodyLimit: 64_000_000, forceCloseConnections: true});
	private readonly tables = new Map<string, Map<string, Row>>();
	private readonly objects = new Map<string, Uint8Array>();
	private readonly expiries: Array<{table: string; key: string; version: number; at: number}> = [];
	private faults: Faults = {down: false, slowMs: 0, loseReplies: 0};
	private version = 0;

	private constructor(private readonly settings: PlatformSettings) {
		this.app.addContentTypeParser('*', {parseAs: 'buffer'}, (_request, body, done) => {
			done(null, body);
		});
		this.routes();
	}

	/** The URL it listens on. */
	get url(): string {
		return `http://${this.settings.host}:${(this.app.server.address() as AddressInfo).port}`;
	}

	/** Changes what is wrong with it. */
	fault(faults: Partial<Faults>): void {
		this.faults = {...this.faults, ...faults};
	}

	/** Every row of a table, for checkers. */
	rows(table: string): Row[] {
		return [...(this.tables.get(table)?.values() ?? [])].filter(row => !row.deleted);
	}

	/** Stops listening. */
	async close(): Promise<void> {
		await this.app.close();
	}

	/** Applies a batch; each transaction alone applies or conflicts. */
	write(transactions: readonly Transaction[]): TransactionResult[] {
		this.expire();
		this.counts.writes++;
		this.counts.transactions += transactions.length;
		return transactions.map(transaction => this.apply(transaction));
	}

	private routes(): void {
		this.app.post('/v1/transactions', async (request, reply) => {
			await this.wait(this.settings.writeMs);
			if (this.faults.down) {
				return reply.code(503).send();
			}

			const results = this.write((request.body as {transactions: Transaction[]}).transactions);
			if (this.faults.loseReplies > 0) {
				this.faults.loseReplies--;
				request.raw.socket.destroy();
				return reply.hijack();
			}

			return {results};
		});
		this.app.get('/v1/rows', async (request, reply) => {
			await this.wait(this.settings.readMs);
			if (this.faults.down) {
				return reply.code(503).send();
			}

			return this.list(request.query as Record<string, string>);
		});
		this.app.put('/v1/objects/:key', async (request, reply) => {
			await this.wait(this.settings.writeMs);
			if (this.faults.down) {
				return reply.code(503).send();
			}

			const {body} = request;
			this.objects.set((request.params as {key: string}).key, body instanceof Uint8Array ? body : Buffer.from(JSON.stringify(body)));
			return reply.code(204).send();
		});
		this.app.get('/v1/objects/:key', async (request, reply) => {
			await this.wait(this.settings.readMs);
			const body = this.objects.get((request.params as {key: string}).key);
			if (this.faults.down || !body) {
				return reply.code(this.faults.down ? 503 : 404).send();
			}

			return reply.type('application/octet-stream').send(body);
		});
		this.app.post('/v1/faults', async request => {
			this.fault(faultsSchema.parse(request.body));
			return this.faults;
		});
		this.app.get('/v1/counts', async () => this.counts);
	}

	private async wait(ms: number): Promise<void> {
		const total = ms + this.faults.slowMs;
		if (total > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, total);
			});
		}
	}

	private list(query: Record<string, string>): {rows: Row[]; version: number} {
		this.expire();
		this.counts.reads++;
		const after = query.after === undefined ? undefined : Number(query.after);
		const rows: Row[] = [];
		for (const table of (query.tables ?? '').split(',')) {
			for (const row of this.tables.get(table)?.values() ?? []) {
				const fits = (after === undefined ? !row.deleted : row.version > after)
					&& (query.prefix === undefined || row.key.startsWith(query.prefix))
					&& (query.field === undefined || (row.value as Record<string, unknown>)?.[query.field] === query.value);
				if (fits) {
					rows.push(row);
				}
			}
		}

		return {rows, version: this.version};
	}

	private apply(transaction: Transaction): TransactionResult {
		for (const check of transaction.checks) {
			const row = this.find(check);
			if ((row?.version ?? 0) !== check.version) {
				return {kind: 'conflict', check, row};
			}
		}

		if (transaction.changes.length > 0) {
			this.version++;
		}

		for (const change of transaction.changes) {
			this.change(change);
		}

		return {kind: 'applied', version: this.version};
	}

	private find({table, key}: Check | Change): Row | undefined {
		const row = this.tables.get(table)?.get(key);
		return row?.deleted ? undefined : row;
	}

	private change(change: Change): void {
		const {table, key} = change;
		const old = this.find(change);
		const base = {
			table, key, version: this.version, created: old?.created ?? this.version,
		};
		const rows = this.tables.get(table) ?? new Map<string, Row>();
		this.tables.set(table, rows);
		switch (change.kind) {
			case 'put': {
				rows.set(key, {...base, value: change.value});
				if (change.ttlMs) {
					this.expiries.push({
						table, key, version: this.version, at: Date.now() + change.ttlMs,
					});
				}

				break;
			}

			case 'delete': {
				rows.set(key, {...base, value: old?.value, deleted: true});
				break;
			}

			case 'add': {
				const value = {...(old?.value as Record<string, number> | undefined)};
				for (const [field, by] of Object.entries(change.fields)) {
					value[field] = (value[field] ?? 0) + by;
				}

				rows.set(key, {...base, value});
				break;
			}
		}
	}

	private expire(): void {
		const now = Date.now();
		while (this.expiries.length > 0 && this.expiries[0]!.at <= now) {
			const {table, key, version} = this.expiries.shift()!;
			const rows = this.tables.get(table);
			if (rows?.get(key)?.version === version) {
				rows.delete(key);
			}
		}
	}
}
