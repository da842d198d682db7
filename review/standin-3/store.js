/* eslint camelcase: off, @stylistic/max-len: off -- the names are the platform's, and its settings are long */
// A stand-in of the platform's metadata store: tables of rows with one version counter, read in pages and by a feed of changes.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const answerMs = 4;

/** Store keeps rows by table and key; the `part` of every row is empty. */
export class Store {
	static async create(host, port) {
		const store = new Store();
		await new Promise((resolve, reject) => {
			store.server.once('error', reject);
			store.server.listen(port, host, resolve);
		});
		return store;
	}

	version = 0;
	startedAt = performance.now();
	tables = new Map();
	changes = [];
	waiting = new Set();
	server = createServer((request, response) => {
		const chunks = [];
		request.on('data', chunk => chunks.push(chunk));
		request.on('end', () => {
			setTimeout(() => {
				this.answer(request, response, Buffer.concat(chunks).toString());
			}, answerMs);
		});
	});

	/** Writes a row of the operator, whose value is JSON, or removes it where there is no value. */
	operate(key, value) {
		this.apply([{table: 'op', key, value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString('base64')}]);
	}

	close() {
		this.server.close();
		this.server.closeAllConnections();
	}

	apply(writes) {
		this.version++;
		for (const {table, key, value} of writes) {
			const rows = this.tables.get(table) ?? new Map();
			this.tables.set(table, rows);
			const row = {
				table, part: '', key, ver: this.version, ...(value === undefined ? {tombstone: true} : {value}),
			};
			if (value === undefined) {
				rows.delete(key);
			} else {
				rows.set(key, row);
			}

			this.changes.push(row);
		}

		for (const look of this.waiting) {
			look();
		}
	}

	answer(request, response, text) {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		switch (pathname) {
			case '/sniperidge/rows-tx': {
				this.transact(JSON.parse(text), response);
				break;
			}

			case '/sniperidge/rows-get': {
				const from = searchParams.get('from') ?? '';
				const rows = [...this.tables.get(searchParams.get('table'))?.values() ?? []].filter(({key}) => key >= from).toSorted((a, b) => (a.key < b.key ? -1 : 1));
				this.send(response, 200, {rows, more_pages: false});
				break;
			}

			case '/sniperidge/rows-feed': {
				this.feed(searchParams, response);
				break;
			}

			default: {
				this.send(response, 404, {});
			}
		}
	}

	transact({expect = [], writes = [], remove = []}, response) {
		const met = expect.every(({table, key, ver}) => (this.tables.get(table)?.get(key)?.ver ?? 0) === ver);
		if ([...writes, ...remove].some(({table}) => table === 'op' || table === 'servers')) {
			this.send(response, 403, {});
			return;
		}

		if (!met) {
			this.send(response, 412, {rows: expect.map(({table, key}) => this.tables.get(table)?.get(key)).filter(Boolean)});
			return;
		}

		this.apply([...writes, ...remove.map(({table, key}) => ({table, key}))]);
		this.send(response, 200, {});
	}

	feed(parameters, response) {
		const table = parameters.get('table');
		const after = Number(parameters.get('after'));
		const until = performance.now() + Math.min(30_000, Number(parameters.get('wait_ms') ?? 0));
		const look = () => {
			const rows = this.changes.filter(row => row.table === table && row.ver > after);
			if (rows.length === 0 && performance.now() < until && !response.destroyed) {
				return;
			}

			clearTimeout(timer);
			this.waiting.delete(look);
			this.send(response, 200, {rows});
		};

		const timer = setTimeout(look, Math.max(0, until - performance.now()) + 1);
		this.waiting.add(look);
		look();
	}

	send(response, status, value) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify({ver: this.version, now_ms: Math.round(performance.now() - this.startedAt), ...value}));
	}
}
