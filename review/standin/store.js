/* eslint-disable camelcase -- The names are the platform's: fields of its messages and settings. */
/** A stand-in for the platform's metadata store and for its operator, by the published protocol. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** The most rows of one answer, by the protocol. */
const pageRows = 500;
/** How long the store takes for an answer, in milliseconds. */
const answerMs = 5;

export class Store {
	/** How many times as long as usual an answer takes. */
	slowness = 1;
	/** Called with the query of each page of a table that is read, when its rows have been taken. */
	onPage = undefined;
	#version = 1;
	#rows = new Map();
	#history = [];
	#server = undefined;
	#sockets = new Set();
	#bornAt = performance.now();

	/** Writes a row as the operator does, and returns its version: the acknowledgement. */
	write(table, key, value) {
		return this.#apply([{table, key, value: Buffer.from(JSON.stringify(value)).toString('base64')}], []);
	}

	async listen(host, port) {
		this.#server = createServer((request, response) => {
			const chunks = [];
			request.on('data', chunk => chunks.push(chunk));
			request.on('end', () => {
				this.#answer(request, response, Buffer.concat(chunks).toString());
			});
		});
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('error', () => {});
			socket.on('close', () => this.#sockets.delete(socket));
		});
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host, port}, resolve);
		});
	}

	close() {
		this.#server?.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#apply(writes, removals) {
		this.#version++;
		const ver = this.#version;
		for (const {table, part = '', key, value} of writes) {
			this.#rows.set(`${table}\0${key}`, {
				table, part, key, value, ver,
			});
			this.#history.push({
				table, part, key, value, ver,
			});
		}

		for (const {table, part = '', key} of removals) {
			this.#rows.delete(`${table}\0${key}`);
			this.#history.push({
				table, part, key, value: '', ver, tombstone: true,
			});
		}

		return ver;
	}

	/** Answers after the usual time. A function gives what is found or done at the end of that time. */
	#send(response, status, value) {
		setTimeout(() => {
			const body = typeof value === 'function' ? value() : value;
			response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify({...body, now_ms: Math.round(performance.now() - this.#bornAt)}));
		}, answerMs * this.slowness);
	}

	#answer(request, response, text) {
		const url = new URL(request.url, 'http://store');
		const query = url.searchParams;
		switch (url.pathname) {
			case '/sniperidge/rows-tx': {
				const {writes = [], remove = []} = JSON.parse(text);
				this.#send(response, 200, () => ({ver: this.#apply(writes, remove)}));
				break;
			}

			case '/sniperidge/rows-get': {
				this.#list(query, response);
				break;
			}

			case '/sniperidge/rows-feed': {
				this.#feed(query, response, performance.now() + Number(query.get('wait_ms') ?? 0));
				break;
			}

			default: {
				this.#send(response, 404, {});
			}
		}
	}

	/** Answers with one page: the rows and the version are of one moment. */
	#list(query, response) {
		const from = query.get('from') ?? '';
		const rows = [...this.#rows.values()]
			.filter(({table, key}) => table === query.get('table') && key >= from)
			.toSorted((a, b) => (a.key < b.key ? -1 : 1));
		const limit = Math.min(pageRows, Number(query.get('limit') ?? pageRows));
		this.#send(response, 200, {rows: rows.slice(0, limit), more_pages: rows.length > limit, ver: this.#version});
		this.onPage?.({table: query.get('table'), from, more: rows.length > limit});
	}

	#feed(query, response, until) {
		const after = Number(query.get('after'));
		const rows = this.#history.filter(({table, ver}) => table === query.get('table') && ver > after);
		if (rows.length > 0 || performance.now() >= until) {
			this.#send(response, 200, {rows, ver: this.#version});
		} else if (!response.destroyed) {
			setTimeout(() => {
				this.#feed(query, response, until);
			}, 2);
		}
	}
}
