import {Config} from '../decide/config.js';
import type {Session} from '../decide/claim.js';
import type {Clock} from '../ports/clock.js';
import type {Row, Table} from '../ports/table.js';

/** How often the tables are read, in milliseconds. */
const pollMs = 500;

/** How much later than its timeout a read may fail before this process counts as stopped meanwhile, in milliseconds. */
const slackMs = 500;

/** Parts is what a feed is made of: `timeoutMs` is how long a read of the table may take, and `changed` is told of each newer configuration. */
export type Dependencies = {table: Table; clock: Clock; timeoutMs: number; onConfigChange: (config: Config) => void};

type Live = Readonly<Record<Session['kind'], ReadonlyArray<Row<Session>>>>;

/** Feed follows the configuration and the sessions in the platform's table. */
export class TableWatcher {
	static create(parts: Dependencies): TableWatcher {
		return new TableWatcher(parts);
	}

	config = Config.empty;
	/** Every session whose row is known, ended ones included. */
	readonly sessions = new Map<string, Row<Session>>();
	/** Whether the last read brought an answer. */
	readable = false;
	/** The reads in a row that brought no answer, but for those during which this process was stopped. */
	failedReads = 0;
	/** The version of the newest change to the sessions. */
	sessionsVersion = 0;
	/** The sessions that have not ended, by kind; worked out when sessions change, since every placement asks. */
	private live: Live = {entry: [], sidecar: []};
	/** Monotonic milliseconds until which a change may be written that this entry was told of. */
	private changingUntil = Number.NEGATIVE_INFINITY;
	private readAt = Number.NEGATIVE_INFINITY;
	private after = 0;
	private reading: Promise<void> | undefined;

	private constructor(private readonly parts: Dependencies) {}

	/** Milliseconds since the moment as of which the configuration was read. */
	get ageMs(): number {
		return this.parts.clock.mono() - this.readAt;
	}

	/** How long before a moment of this process's monotonic clock the configuration was read; below zero if after. */
	ageAt(moment: number): number {
		return moment - this.readAt;
	}

	/** Whether a change that this entry was told of may have been written since it last read the table. */
	get isChangePending(): boolean {
		return this.readAt < this.changingUntil;
	}

	/** Notes that a change may be written within so many milliseconds from now. */
	expectChange(withinMs: number): void {
		this.changingUntil = Math.max(this.changingUntil, this.parts.clock.mono() + withinMs);
	}

	/** Reads again and again until `signal` aborts. */
	async watch(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const due = this.parts.clock.mono() + pollMs;
			await this.refresh();
			await this.parts.clock.sleep(Math.max(50, due - this.parts.clock.mono()), signal);
		}
	}

	/** Reads what changed since the last read. Never rejects: `readable` tells. */
	async refresh(): Promise<void> {
		this.reading ??= this.read();
		await this.reading;
		this.reading = undefined;
	}

	/** Takes a configuration that another entry pushed, if it is newer. */
	acceptPushed(config: Config): void {
		if (config.version > this.config.version) {
			this.config = config;
			this.parts.onConfigChange(config);
		}
	}

	/** The entries whose sessions have not ended. */
	liveEntries(): ReadonlyArray<Row<Session>> {
		return this.live.entry;
	}

	/** The number of live entries that share the load; this one counts also before its row is read. */
	get entryCount(): number {
		return Math.max(1, this.live.entry.length);
	}

	/** The sidecars whose sessions have not ended. */
	liveSidecars(): ReadonlyArray<Row<Session>> {
		return this.live.sidecar;
	}

	/** The live sidecar sessions of a zone. */
	neighbours(zone: string): string[] {
		return this.liveSidecars().filter(row => row.value.zone === zone).map(row => row.key);
	}

	private liveOf(kind: Session['kind']): Array<Row<Session>> {
		return [...this.sessions.values()].filter(({value}) => value.kind === kind && !value.ended);
	}

	private async read(): Promise<void> {
		const at = this.parts.clock.mono();
		try {
			const listing = await this.parts.table.list({tables: ['config', 'sessions'], after: this.after});
			this.after = listing.version;
			this.readAt = at;
			this.readable = true;
			this.failedReads = 0;
			this.takeRows(listing.rows);
		} catch {
			this.readable = false;
			const stopped = this.parts.clock.mono() - at > this.parts.timeoutMs + slackMs;
			this.failedReads += stopped ? 0 : 1;
		}
	}

	private takeRows(rows: readonly Row[]): void {
		const sessions = rows.filter(row => row.table === 'sessions') as Array<Row<Session>>;
		for (const row of sessions) {
			this.sessions.set(row.key, row);
			this.sessionsVersion = Math.max(this.sessionsVersion, row.version);
		}

		if (sessions.length > 0) {
			this.live = {entry: this.liveOf('entry'), sidecar: this.liveOf('sidecar')};
		}

		const changes = rows.filter(row => row.table === 'config');
		if (changes.length > 0) {
			this.acceptPushed(this.config.apply(changes, Math.max(...changes.map(row => row.version))));
		}
	}
}
