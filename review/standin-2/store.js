/* eslint-disable camelcase -- the names on the wire and in the settings are those of the pages */
// Stand-in of the platform's metadata store: tables of rows over HTTP, as PROTOCOL.md describes it.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const answerMs = 4;

/** Store keeps rows in memory and answers rows-tx, rows-get and rows-feed. */
export class Store {
	static async create(host, port) {
		const store = new Store();
		await new Promise((resolve, reject) => {
			store.server.once('error', reject);
			store.server.listen({host, port}, resolve);
		});
		return store;
	}

	version = 1;
	rows = new Map();
	/** The changes so far, the oldest first. */
	history = [];
	/** The feeds that wait for a change, and when each is answered without one. */
	waiting = new Set();
	timers = new Map();
	server = createServer((request, response) => {
		const chunks = [];
		request.on('data', chunk => chunks.push(chunk));
		request.on('end', () => {
			setTimeout(() => {
				this.handle(request, response, Buffer.concat(chunks).toString());
			}, answerMs);
		});
	});

	/** Writes rows of the operator; `undefined` as the value removes one. Returns when the store has acknowledged it. */
	write(changes) {
		this.version++;
		for (const {table, part = '', key, value} of changes) {
			const id = JSON.stringify([table, part, key]);
			const row = {
				table, part, key, ver: this.version,
			};
			if (value === undefined) {
				this.rows.delete(id);
				this.history.push({...row, tombstone: true});
			} else {
				this.rows.set(id, {...row, value});
				this.history.push({...row, value});
			}
		}

		for (const wake of this.waiting) {
			wake();
		}

		return Date.now();
	}

	/** Writes the operator's row `op/KEY`. */
	writeOperator(key, value) {
		return this.write([{table: 'op', key, value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString('base64')}]);
	}

	close() {
		for (const timer of this.timers.values()) {
			clearTimeout(timer);
		}

		this.server.close();
		this.server.closeAllConnections();
	}

	handle(request, response, text) {
		const url = new URL(request.url, 'http://store');
		const query = url.searchParams;
		switch (`${request.method} ${url.pathname}`) {
			case 'POST /sniperidge/rows-tx': {
				this.transact(response, JSON.parse(text));
				break;
			}

			case 'GET /sniperidge/rows-get': {
				const from = query.get('from') ?? '';
				const rows = [...this.rows.values()]
					.filter(({table, part, key}) => table === query.get('table') && part === (query.get('part') ?? '') && key >= from)
					.toSorted((a, b) => (a.key < b.key ? -1 : 1));
				this.send(response, 200, {rows, more_pages: false});
				break;
			}

			case 'GET /sniperidge/rows-feed': {
				this.feed(response, query);
				break;
			}

			default: {
				this.send(response, 404, {});
			}
		}
	}

	transact(response, {expect = [], writes = [], remove = []}) {
		if ([...writes, ...remove].some(({table}) => table === 'op' || table === 'servers')) {
			this.send(response, 403, {});
			return;
		}

		const current = ({table, part, key}) => this.rows.get(JSON.stringify([table, part, key]));
		if (expect.some(row => (current(row)?.ver ?? 0) !== row.ver)) {
			this.send(response, 412, {rows: expect.map(row => current(row)).filter(Boolean)});
			return;
		}

		this.write([...writes, ...remove.map(row => ({...row, value: undefined}))]);
		this.send(response, 200, {});
	}

	feed(response, query) {
		const after = Number(query.get('after'));
		const changed = () => this.history.filter(row => row.table === query.get('table') && row.ver > after);
		const wake = () => {
			if (changed().length > 0) {
				this.waiting.delete(wake);
				clearTimeout(this.timers.get(wake));
				this.timers.delete(wake);
				this.send(response, 200, {rows: changed()});
			}
		};

		if (changed().length > 0) {
			wake();
			return;
		}

		this.waiting.add(wake);
		this.timers.set(wake, setTimeout(() => {
			this.waiting.delete(wake);
			this.timers.delete(wake);
			this.send(response, 200, {rows: []});
		}, Number(query.get('wait_ms') ?? 0)));
	}

	send(response, status, body) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify({...body, ver: this.version, now_ms: Math.round(performance.now())}));
	}
}
