/** TableRow is a row of a followed table; `removed` marks one that was removed. */
export type TableRow = {key: string; value: string; removed: boolean};

/** TableRequest is what a copy of a table needs next: a page of rows from a key on, or the changes after a version of the store; `waits`: once there are any. */
export type TableRequest
	= | {kind: 'page'; from: string}
		| {kind: 'changes'; after: number; waits: boolean};

/**
 * TableAnswer is an answer of the store. `version` is that of the store at the moment of the answer: it counts the
 * changes of all tables. `gone`: the store no longer has the changes that were requested.
 */
export type TableAnswer
	= | {kind: 'page'; rows: readonly TableRow[]; version: number; hasMore: boolean}
		| {kind: 'changes'; rows: readonly TableRow[]; version: number}
		| {kind: 'gone'};

/** Snapshot is the whole table as it was at a version of the store. The rows are the same object for as long as no row changes. */
export type Snapshot = {version: number; rows: ReadonlyMap<string, string>};

type Rows = ReadonlyMap<string, string>;

/**
 * State is how far a copy is. Its rows are those of the table only in state `current`: the pages of a listing may be
 * of different moments, and then the changes after the earliest have to be applied up to the latest.
 */
type State
	= | {kind: 'listing'; from: string; pages: ReadonlyArray<readonly TableRow[]>; pageVersions: readonly number[]}
		| {kind: 'catching-up'; version: number; until: number; rows: Rows}
		| {kind: 'current'; version: number; rows: Rows};

/**
 * TableCopy is a copy of a table of the platform's store that is made from pages and kept up to date by changes. It is
 * immutable and does no input or output: `request` is what to request next, `apply` returns the next copy. A request
 * that failed can be repeated.
 */
export class TableCopy {
	static readonly empty = TableCopy.create({
		kind: 'listing', from: '', pages: [], pageVersions: [],
	});

	static create(state: State): TableCopy {
		return new TableCopy(state);
	}

	private constructor(readonly state: State) {}

	/** What to request next. */
	get request(): TableRequest {
		return requestOf(this.state);
	}

	/** The table as of one moment, if the copy is that. */
	get snapshot(): Snapshot | undefined {
		const {state} = this;
		return state.kind === 'current' ? {version: state.version, rows: state.rows} : undefined;
	}

	/** Returns the copy after the answer to its request, or the same copy if the answer is of an earlier moment than the copy needs. A copy whose changes are gone begins anew. */
	apply(answer: TableAnswer): TableCopy {
		switch (answer.kind) {
			case 'page': {
				return this.applyPage(answer);
			}

			case 'changes': {
				return this.applyChanges(answer);
			}

			case 'gone': {
				return TableCopy.empty;
			}
		}
	}

	private applyPage({rows: page, version, hasMore}: TableAnswer & {kind: 'page'}): TableCopy {
		const {state} = this;
		if (state.kind !== 'listing') {
			return this;
		}

		const pages = [...state.pages, page];
		const pageVersions = [...state.pageVersions, version];
		const last = page.at(-1);
		if (hasMore && last) {
			// A range includes its start; the next key after `last` is it and a zero byte.
			return TableCopy.create({
				kind: 'listing', from: `${last.key}\0`, pages, pageVersions,
			});
		}

		return reached(Math.min(...pageVersions), Math.max(...pageVersions), new Map(pages.flat().map(({key, value}) => [key, value])));
	}

	private applyChanges({rows: changes, version}: TableAnswer & {kind: 'changes'}): TableCopy {
		const {state} = this;
		if (state.kind === 'listing') {
			return this;
		}

		if (state.kind === 'catching-up' && version <= state.version) {
			return this;
		}

		const until = state.kind === 'catching-up' ? state.until : state.version;
		return reached(Math.max(state.version, version), until, changes.length === 0 ? state.rows : changedRows(state.rows, changes));
	}
}

/** Returns the copy whose rows show every change up to `version`, and some of those up to `until`. */
function reached(version: number, until: number, rows: Rows): TableCopy {
	return TableCopy.create(version < until
		? {
			kind: 'catching-up', version, until, rows,
		}
		: {kind: 'current', version, rows});
}

function requestOf(state: State): TableRequest {
	switch (state.kind) {
		case 'listing': {
			return {kind: 'page', from: state.from};
		}

		case 'catching-up': {
			return {kind: 'changes', after: state.version, waits: false};
		}

		case 'current': {
			return {kind: 'changes', after: state.version, waits: true};
		}
	}
}

function changedRows(rows: Rows, changes: readonly TableRow[]): Rows {
	const changed = new Map(rows);
	for (const {key, value, removed} of changes) {
		if (removed) {
			changed.delete(key);
		} else {
			changed.set(key, value);
		}
	}

	return changed;
}
