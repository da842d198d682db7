import type {Row} from '../ports/table.js';
import {schemas, type ConfigTable, type ConfigValues} from '../settings/schema.js';

/** Versioned is a validated value of a configuration table with the version of its row. */
export type Versioned<Value> = {value: Value; version: number};

/**
 * Config is the tables that operators edit, as of one version. It is immutable: `apply` returns
 * the next one.
 */
export class Config {
	static readonly empty = new Config(0, {
		routes: new Map(), pools: new Map(), 'availability-zones': new Map(), upstreams: new Map(), members: new Map(),
	});

	private constructor(
		readonly version: number,
		readonly tables: {readonly [Name in ConfigTable]: ReadonlyMap<string, Versioned<ConfigValues[Name]>>},
	) {}

	/**
	 * Returns the configuration at `version` with these rows applied to this one. A row is taken only
	 * when it is newer than the one it replaces, so that nothing reverts whatever order rows come in.
	 * Rows that do not satisfy their schema are ignored.
	 */
	apply(rows: readonly Row[], version: number): Config {
		if (rows.length === 0) {
			return version > this.version ? new Config(version, this.tables) : this;
		}

		const tables = {...this.tables};
		for (const row of rows) {
			replaceRow(tables, row);
		}

		return new Config(Math.max(version, this.version), tables);
	}

	/** Says whether tasks may start in the zone. A zone that no operator has named is in service. */
	isZoneInService(zone: string): boolean {
		return this.tables['availability-zones'].get(zone)?.value.state !== 'out';
	}

	/** Says whether tasks may start on the upstream or worker of this name. */
	isUpstreamInService(name: string): boolean {
		return this.tables.upstreams.get(name)?.value.state !== 'out';
	}

	/** Returns the name of the member whose bearer token has this SHA-256 in hexadecimal. */
	memberByTokenHash(tokenHash: string): string | undefined {
		for (const [name, {value}] of this.tables.members) {
			if (value.tokenHash === tokenHash) {
				return name;
			}
		}

		return undefined;
	}

	/** Returns the rows, as they are sent to other processes. */
	toRows(): Row[] {
		const rows: Row[] = [];
		for (const [table, entries] of Object.entries(this.tables)) {
			for (const [key, {value, version}] of entries) {
				rows.push({
					table: 'config', key: `${table}/${key}`, value, version, created: version,
				});
			}
		}

		return rows;
	}
}

type Tables = {[Name in ConfigTable]: ReadonlyMap<string, Versioned<ConfigValues[Name]>>};

function replaceRow(tables: Tables, row: Row): void {
	const slash = row.key.indexOf('/');
	const table = row.key.slice(0, slash) as ConfigTable;
	const key = row.key.slice(slash + 1);
	const schema = schemas[table];
	const known = tables[table]?.get(key);
	if (!schema || (known && known.version >= row.version)) {
		return;
	}

	const entries = new Map<string, Versioned<unknown>>(tables[table]);
	const parsed = schema.safeParse(row.value);
	if (row.deleted) {
		entries.delete(key);
	} else if (parsed.success) {
		entries.set(key, {value: parsed.data, version: row.version});
	}

	Object.assign(tables, {[table]: entries});
}
