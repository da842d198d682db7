import {readFileSync} from 'node:fs';
import process from 'node:process';
import {
	Command, Option, UsageError, type CommandClass,
} from 'clipanion';
import {ask, type Answer} from './ask.js';
import {operatorTokenVariable} from './daemons.js';
import {exitOf, exits} from './exits.js';
import {tableText} from './text.js';

type RowView = {name: string; version: number; value: Record<string, unknown>};

/** How long a change waits to be in force everywhere, in milliseconds. */
const waitMs = 5000;

abstract class OperatorCommand extends Command {
	url = Option.String('--url', process.env.SNIPERIDGE_OPERATORS_URL ?? 'http://127.0.0.1:8081', {description: 'the operators\' port of an entry'});
	tokenFile = Option.String('--token-file', {description: `a file with the operators' token; otherwise ${operatorTokenVariable}`});
	json = Option.Boolean('--json', false, {description: 'one line of JSON'});

	protected async ask(method: 'GET' | 'PUT' | 'DELETE', path: string, headers?: Record<string, string>, body?: string): Promise<Answer | undefined> {
		const token = this.tokenFile === undefined ? process.env[operatorTokenVariable] : readFileSync(this.tokenFile, 'utf8').trim();
		return ask({
			method, url: `${this.url}/v1/admin/${path}`, token, headers, body,
		});
	}

	protected finish(answer: Answer | undefined, text: (body: never) => string): number {
		if (!answer) {
			this.context.stderr.write('no answer: the outcome is not known\n');
			return exits.unknown;
		}

		const ok = answer.status < 300;
		if (this.json) {
			this.context.stdout.write(`${JSON.stringify(answer.body)}\n`);
		} else if (ok) {
			this.context.stdout.write(`${text(answer.body as never)}\n`);
		} else {
			const {result, detail, current, version} = answer.body as {result: number; detail: string; current?: unknown; version?: number};
			this.context.stderr.write(`refused (${result}): ${detail}${version === undefined ? '' : `; version ${version} is ${JSON.stringify(current)}`}\n`);
		}

		return ok ? exits.done : exitOf(answer.result);
	}

	/** Changes a row at the version read just before, or at the one named. */
	protected async change(path: string, version: string | undefined, changeId: string | undefined, value: unknown): Promise<number> {
		const before = version === undefined ? await this.ask('GET', path) : undefined;
		const etag = version ?? before?.etag;
		const condition: Record<string, string> = etag === undefined ? {'if-none-match': '*'} : {'if-match': etag};
		const headers = {...condition, ...(changeId === undefined ? {} : {'sniperidge-change-id': changeId}), 'sniperidge-operator': process.env.USER ?? 'operator'};
		const answer = value === undefined
			? await this.ask('DELETE', `${path}?waitMs=${waitMs}`, headers)
			: await this.ask('PUT', `${path}?waitMs=${waitMs}`, headers, JSON.stringify(value));
		return this.finish(answer, ({change, version, inForce}: {change: string; version: number; inForce: {entries: Counted; sidecars: Counted}}) =>
			`change ${change}, version ${version}: in force in ${inForce.entries.inForce} of ${inForce.entries.known} entries and ${inForce.sidecars.inForce} of ${inForce.sidecars.known} sidecars`);
	}
}

type Counted = {inForce: number; known: number};

abstract class ChangeCommand extends OperatorCommand {
	name = Option.String({required: true, name: 'name'});
	version = Option.String('--version', {description: 'the version that the row must still have; otherwise the present one'});
	changeId = Option.String('--change-id', {description: 'a name that makes the change apply once however often it is sent'});
}

/** The commands of the five configuration tables. */
export const tableCommands: CommandClass[] = (['routes', 'pools', 'availability-zones', 'upstreams', 'members'] as const).flatMap(table => {
	class ListCommand extends OperatorCommand {
		static override paths = [[table, 'list']];
		static override usage = Command.Usage({category: 'Operators', description: `list ${table}`});

		async execute(): Promise<number> {
			return this.finish(await this.ask('GET', table), ({rows}: {rows: RowView[]}) =>
				tableText(['name', 'version', 'value'], rows.map(row => [row.name, row.version, JSON.stringify(row.value)])));
		}
	}

	class SetCommand extends ChangeCommand {
		static override paths = [[table, 'set']];
		static override usage = Command.Usage({category: 'Operators', description: `write one of ${table}, as JSON`});

		value = Option.String({required: true, name: 'json'});

		async execute(): Promise<number> {
			return this.change(`${table}/${encodeURIComponent(this.name)}`, this.version, this.changeId, parse(this.value));
		}
	}

	class DeleteCommand extends ChangeCommand {
		static override paths = [[table, 'delete']];
		static override usage = Command.Usage({category: 'Operators', description: `delete one of ${table}`});

		async execute(): Promise<number> {
			return this.change(`${table}/${encodeURIComponent(this.name)}`, this.version, this.changeId, undefined);
		}
	}

	if (table !== 'availability-zones' && table !== 'upstreams') {
		return [ListCommand, SetCommand, DeleteCommand];
	}

	const switches = (['in', 'out'] as const).map(state => class extends ChangeCommand {
		static override paths = [[table, state]];
		static override usage = Command.Usage({category: 'Operators', description: state === 'out' ? `take one of ${table} out of service` : `bring one of ${table} back`});

		async execute(): Promise<number> {
			return this.change(`${table}/${encodeURIComponent(this.name)}`, this.version, this.changeId, {state});
		}
	});
	return [ListCommand, SetCommand, DeleteCommand, ...switches];
});

/** Lists the changes that operators made. */
export class AuditCommand extends OperatorCommand {
	static override paths = [['audit']];
	static override usage = Command.Usage({category: 'Operators', description: 'list the changes, newest last'});

	after = Option.String('--after', {description: 'only changes that follow this version, oldest first; otherwise the newest'});
	limit = Option.String('--limit', '200', {description: 'how many changes at most'});

	async execute(): Promise<number> {
		const query = new URLSearchParams({limit: this.limit, ...(this.after === undefined ? {} : {after: this.after})});
		return this.finish(await this.ask('GET', `audit?${query.toString()}`), ({changes}: {changes: Array<Record<string, unknown>>}) =>
			tableText(['version', 'at', 'who', 'row', 'before', 'after'], changes.map(change => [
				String(change.version),
				new Date(Number(change.at)).toISOString(),
				String(change.who),
				`${String(change.table)}/${String(change.key)}`,
				JSON.stringify(change.before) ?? '-',
				JSON.stringify(change.after) ?? '-',
			])));
	}
}

/** Shows an entry's view of the processes. */
export class StatusCommand extends OperatorCommand {
	static override paths = [['status']];
	static override usage = Command.Usage({category: 'Operators', description: 'show the processes and the configuration in force'});

	async execute(): Promise<number> {
		return this.finish(await this.ask('GET', 'status'), (status: {version: number; ageMs: number; entries: Row[]; sidecars: Row[]; places: Row[]}) => [
			`configuration ${status.version}, read ${status.ageMs} ms ago`,
			rowsText(status.entries),
			rowsText(status.sidecars),
			rowsText(status.places),
		].join('\n\n'));
	}
}

/** Shows what members have used. */
export class UsageCommand extends OperatorCommand {
	static override paths = [['usage']];
	static override usage = Command.Usage({category: 'Operators', description: 'show the usage of each member'});

	async execute(): Promise<number> {
		return this.finish(await this.ask('GET', 'usage'), ({members}: {members: Row[]}) => rowsText(members));
	}
}

type Row = Record<string, unknown>;

function rowsText(rows: Row[]): string {
	const columns = Object.keys(rows[0] ?? {});
	return tableText(columns, rows.map(row => columns.map(column => String(row[column]))));
}

function parse(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch (error) {
		throw new UsageError(`json: ${(error as Error).message}`);
	}
}
