import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import {
	StoreError, type Listing, type Query, type Table, type Transaction, type TransactionResult,
} from '../ports/table.js';
import type {ObjectStore} from '../ports/objects.js';
import {decodeText} from '../text.js';

/** StoreOptions are the URL of the platform's service and the timeout of a request, in milliseconds. */
export type StoreOptions = {url: string; timeoutMs: number};

/** Store is an HTTP client of the platform's table service and object store. */
export type Store = Table & ObjectStore & {close(): Promise<void>};

/** The size of the connection pool to the platform's service. */
const poolSize = 4;

/**
 * Opens the platform's table service and object store, by the platform's published protocol:
 * `POST /v1/transactions`, `GET /v1/rows` and `/v1/objects/{key}` with conditional requests as in
 * RFC 9110.
 */
export function openStore(options: StoreOptions): Store {
	const pool = new Pool(options.url, {connections: poolSize, headersTimeout: options.timeoutMs, bodyTimeout: options.timeoutMs});

	async function send(method: 'GET' | 'POST' | 'PUT', path: string, body?: string | Uint8Array): Promise<{status: number; body: Uint8Array}> {
		try {
			const reply = await pool.request({
				method, path, body, headers: {'content-type': 'application/json'}, signal: AbortSignal.timeout(options.timeoutMs),
			});
			const bytes = Buffer.from(await reply.body.arrayBuffer());
			if (reply.statusCode >= 500) {
				throw StoreError.create(`the platform answered ${reply.statusCode}`, false);
			}

			return {status: reply.statusCode, body: bytes};
		} catch (error) {
			if (error instanceof StoreError) {
				throw error;
			}

			const refused = (error as {code?: string}).code === 'ECONNREFUSED';
			throw StoreError.create(`the platform does not answer: ${(error as Error).message}`, !refused, error);
		}
	}

	return {
		async write(transactions: Transaction[]): Promise<TransactionResult[]> {
			const reply = await send('POST', '/v1/transactions', JSON.stringify({transactions}));
			return (decodeAnswer(reply.body) as {results: TransactionResult[]}).results;
		},
		async list(query: Query): Promise<Listing> {
			const search = new URLSearchParams({tables: query.tables.join(',')});
			if (query.after !== undefined) {
				search.set('after', String(query.after));
			}

			if (query.prefix !== undefined) {
				search.set('prefix', query.prefix);
			}

			if (query.where) {
				search.set('field', query.where.field);
				search.set('value', query.where.value);
			}

			const reply = await send('GET', `/v1/rows?${search.toString()}`);
			return decodeAnswer(reply.body) as Listing;
		},
		async put(key, body) {
			await send('PUT', `/v1/objects/${encodeURIComponent(key)}`, body);
		},
		async get(key) {
			const reply = await send('GET', `/v1/objects/${encodeURIComponent(key)}`);
			return reply.status === 404 ? undefined : reply.body;
		},
		async close() {
			await pool.destroy();
		},
	};
}

function decodeAnswer(body: Uint8Array): unknown {
	try {
		return JSON.parse(decodeText(body)) as unknown;
	} catch (error) {
		throw StoreError.create(`the platform's answer can't be read: ${(error as Error).message}`, true, error);
	}
}
