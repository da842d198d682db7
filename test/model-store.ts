import {Buffer} from 'node:buffer';
import type {ExecutionContext} from 'ava';
import type {TableAnswer, TableRequest, TableRow} from '../src/decide/table-copy.js';
import {serve} from './local-server.js';

type Change = TableRow & {version: number};

/** ModelStore is a table in a store that counts versions over all tables, keeps a history of changes, and answers in pages. */
export class ModelStore {
	static create(pageRows: number): ModelStore {
		return new ModelStore(pageRows);
	}

	version = 1;
	private readonly rows = new Map<string, string>();
	private changes: Change[] = [];
	/** The version up to which the history has been dropped. */
	private droppedUntil = 0;

	private constructor(private readonly pageRows: number) {}

	/** Writes a row, or removes it where there is no value. */
	write(key: string, value?: string): void {
		this.version++;
		if (value === undefined) {
			this.rows.delete(key);
		} else {
			this.rows.set(key, value);
		}

		this.changes.push({
			key, value: value ?? '', removed: value === undefined, version: this.version,
		});
	}

	/** Counts a change of another table. */
	writeElsewhere(): void {
		this.version++;
	}

	/** Leaves the changes so far out of all feeds, which go on as if there had been none. */
	hideChanges(): void {
		this.changes = [];
	}

	dropHistory(): void {
		this.droppedUntil = this.version;
		this.changes = [];
	}

	/** The rows, as text. */
	get text(): string {
		return textOf(this.rows);
	}

	answer(request: TableRequest): TableAnswer {
		const {version} = this;
		switch (request.kind) {
			case 'page': {
				const keys = [...this.rows.keys()].filter(key => key >= request.from).toSorted();
				const rows = keys.slice(0, this.pageRows).map(key => ({key, value: this.rows.get(key)!, removed: false}));
				return {
					kind: 'page', rows, version, hasMore: keys.length > this.pageRows,
				};
			}

			case 'changes': {
				return request.after < this.droppedUntil ? {kind: 'gone'} : {kind: 'changes', rows: this.changes.filter(change => change.version > request.after), version};
			}
		}
	}
}

/** Returns rows as text, in the order of their keys. */
export function textOf(rows: ReadonlyMap<string, string>): string {
	return [...rows].toSorted(([a], [b]) => (a < b ? -1 : 1)).map(([key, value]) => `${key}=${value}`).join(' ');
}

/** Answered is called with each request that the store has answered, before the answer is sent; it returns whether the answer is lost. */
type Answered = (request: TableRequest) => boolean;

const noRows = {rows: [], hasMore: false};

/** Serves a model store as the operator's table by the published protocol, until the test ends; other tables are empty. Resolves to its address. */
export async function serveStore(t: ExecutionContext, store: ModelStore, answered: Answered): Promise<string> {
	return serve(t, (_request, {pathname, searchParams}, response) => {
		const asked: TableRequest = pathname.endsWith('rows-get')
			? {kind: 'page', from: searchParams.get('from')!}
			: {kind: 'changes', after: Number(searchParams.get('after')), waits: searchParams.get('wait_ms') !== '0'};
		const isOperator = searchParams.get('table') === 'op';
		if (pathname.endsWith('rows-tx')) {
			response.end(JSON.stringify({ver: store.version}));
			return;
		}

		const until = performance.now() + Number(searchParams.get('wait_ms') ?? 0);
		const reply = (): void => {
			const answer: TableAnswer = isOperator ? store.answer(asked) : {kind: asked.kind, version: store.version, ...noRows};
			if (answer.kind === 'changes' && answer.rows.length === 0 && performance.now() < until) {
				setTimeout(reply, 5);
				return;
			}

			if (isOperator && answered(asked)) {
				response.destroy();
				return;
			}

			if (answer.kind === 'gone') {
				response.writeHead(410).end('{}');
				return;
			}

			response.end(JSON.stringify({
				ver: answer.version,
				more_pages: answer.kind === 'page' && answer.hasMore,
				rows: answer.rows.map(({key, value, removed}) => ({key, value: Buffer.from(value).toString('base64'), ...(removed && {tombstone: true})})),
			}));
		};

		reply();
	});
}
