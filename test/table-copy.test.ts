import test from 'ava';
import fc from 'fast-check';
import {pino} from 'pino';
import {systemClock} from '../src/adapters/clock.js';
import {TableCopy, type Snapshot} from '../src/decide/table-copy.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';
import {Store} from '../platform/store.js';
import {ModelStore, serveStore, textOf} from './model-store.js';

const quiet = pino({level: 'silent'});
const keys = ['config', 'evacuate/z', ...Array.from({length: 6}, (_, index) => `wave/${index}`)];

/** Returns a store of pages of three rows: the configuration and an evacuation are on the first of three pages. */
function storeOfPages(): ModelStore {
	const store = ModelStore.create(3);
	for (const key of keys) {
		store.write(key, 'old');
	}

	return store;
}

// Guards against a listing in several pages that claims its last page's version for the rows of its first: the changes
// between the two are never read, and every entry takes the old rows for the newest.
for (const [title, event] of [
	['a row of a page that was read changes', store => {
		store.write('config', 'new');
	}],
	['a row of a page that was read is removed', store => {
		store.write('evacuate/z');
	}],
	['a row comes on a page that was read', store => {
		store.write('evacuate/y', 'new');
	}],
	['rows of a page that was read and of one that was not change', store => {
		store.write('wave/5', 'new');
		store.write('config', 'new');
	}],
	['a row of a page that was not read is removed and comes back', store => {
		store.write('wave/4');
		store.write('wave/4', 'new');
	}],
	['all rows of the pages that were not read are removed', store => {
		for (const key of keys.slice(3)) {
			store.write(key);
		}
	}],
	['another table changes', store => {
		store.writeElsewhere();
	}],
	['a row changes and the history is dropped', store => {
		store.write('config', 'new');
		store.dropHistory();
	}],
] satisfies Array<[string, (store: ModelStore) => void]>) {
	for (const afterPage of [1, 2]) {
		for (const lost of [[], [2], [1, 2, 3]]) {
			const losses = lost.length === 0 ? '' : `, and the answers ${lost.join(', ')} are lost`;
			test(`table copy: the first rows that are shown are those of one moment where, after page ${afterPage}, ${title}${losses}`, async t => {
				const model = storeOfPages();
				let pages = 0;
				let answers = 0;
				const address = await serveStore(t, model, request => {
					answers++;
					if (lost.includes(answers)) {
						return true;
					}

					pages += request.kind === 'page' ? 1 : 0;
					if (pages === afterPage && request.kind === 'page') {
						event(model);
					}

					return false;
				});
				const store = Store.create(address, systemClock, quiet, DispatcherMetrics.create());
				const first = await new Promise<{version: number; text: string}>(resolve => {
					void store.follow('op', ({version, rows}) => {
						resolve({version, text: textOf(rows)});
					});
				});
				await store.close();
				t.deepEqual(first, {version: model.version, text: model.text});
			});
		}
	}
}

test('table copy: entries that all start at once, while the table changes at each answer, show only moments of it, and all the last one', async t => {
	const model = storeOfPages();
	const moments = new Set([model.text]);
	let left = 40;
	const address = await serveStore(t, model, () => {
		if (left-- > 0) {
			model.write(keys[left % keys.length]!, left % 3 === 0 ? undefined : `${left}`);
			moments.add(model.text);
		}

		return false;
	});
	const stores = Array.from({length: 4}, () => Store.create(address, systemClock, quiet, DispatcherMetrics.create()));
	const shown: string[] = [];
	await Promise.all(stores.map(async store => new Promise<void>(resolve => {
		void store.follow('op', ({rows}) => {
			shown.push(textOf(rows));
			if (left <= 0 && shown.at(-1) === model.text) {
				resolve();
			}
		});
	})));
	await Promise.all(stores.map(async store => store.close()));
	t.deepEqual(shown.filter(text => !moments.has(text)), []);
});

test('table copy: in random histories a snapshot is the table at its version, and the copy gets there', t => {
	const event = fc.oneof(
		{weight: 4, arbitrary: fc.record({kind: fc.constant('write' as const), key: fc.constantFrom(...keys, 'a', 'm', 'z'), value: fc.option(fc.nat(9).map(String), {nil: undefined})})},
		{weight: 6, arbitrary: fc.constant({kind: 'read' as const})},
		{weight: 1, arbitrary: fc.constant({kind: 'lost' as const})},
		{weight: 1, arbitrary: fc.constant({kind: 'elsewhere' as const})},
		{weight: 1, arbitrary: fc.constant({kind: 'drop' as const})},
	);
	fc.assert(fc.property(fc.integer({min: 1, max: 4}), fc.array(event, {maxLength: 60}), (pageRows, events) => {
		const model = ModelStore.create(pageRows);
		const moments = new Map([[model.version, model.text]]);
		const wrong: Snapshot[] = [];
		let copy = TableCopy.empty;
		const read = (): void => {
			copy = copy.apply(model.answer(copy.request));
			const {snapshot} = copy;
			if (snapshot && textOf(snapshot.rows) !== moments.get(snapshot.version)) {
				wrong.push(snapshot);
			}
		};

		for (const one of events) {
			switch (one.kind) {
				case 'write': {
					model.write(one.key, one.value);
					break;
				}

				case 'read': {
					read();
					break;
				}

				case 'lost': {
					model.answer(copy.request);
					break;
				}

				case 'elsewhere': {
					model.writeElsewhere();
					break;
				}

				case 'drop': {
					model.dropHistory();
					break;
				}
			}

			moments.set(model.version, model.text);
		}

		for (let round = 0; round < 30 && copy.snapshot?.version !== model.version; round++) {
			read();
		}

		t.deepEqual(wrong, []);
		t.is(textOf(copy.snapshot!.rows), model.text);
	}), {numRuns: 2000});
});
