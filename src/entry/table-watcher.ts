import {Config} from '../decide/config.js';
import type {Session} from '../decide/claim.js';
import type {Clock} from '../ports/clock.js';
import type {Row, Table} from '../ports/table.js';

/** The interval between reads of the tables, in milliseconds. */
const pollMs = 500;

/** A read that fails more than this long after its timeout shows that this process was suspended meanwhile, in milliseconds. */
const stallSlackMs = 500;

/** `timeoutMs` limits a read of the table; `onConfigChange` is called with each newer configuration. */
export type Dependencies = {table: Table; clock: Clock; timeoutMs: number; onConfigChange: (config: Config) => void};

type Live = Readonly<Record<Session['kind'], ReadonlyArray<Row<Session>>>>;

/** Follows the configuration and the sessions in the platform's table by polling. */
export class TableWatcher {
	static create(dependencies: Dependencies): TableWatcher {
		return new TableWatcher(dependencies);
	}

	config = Config.empty;
	/** Every session whose row is known, ended ones included. */
	readonly sessions = new Map<string, Row<Session>>();
	/** Whether the last read succeeded. */
	readable = false;
	/** The number of consecutive failed reads, without those during which this process was suspended. */
	failedReads = 0;
	/** The version of the newest change to the sessions. */
	sessionsVersion = 0;
	/** The sessions that have not ended, by kind. Computed when sessions change, since every placement reads it. */
	private live: Live = {entry: [], sidecar: []};
	/** Until when an announced change may still be written, in monotonic milliseconds. */
	private changingUntil = Number.NEGATIVE_INFINITY;
	private readAt = Number.NEGATIVE_INFINITY;
	private after = 0;
	private reading: Promise<void> | undefined;

	private constructor(private readonly dependencies: Dependencies) {}

	/** Age of the configuration: milliseconds since the start of the last successful read. */
	get ageMs(): number {
		return this.dependencies.clock.mono() - this.readAt;
	}

	/** Age of the configuration at a moment of the monotonic clock; negative if it was read later. */
	ageAt(moment: number): number {
		return moment - this.readAt;
	}

	/** Whether a change that was announced to this entry may have been written since the last read of the table. */
	get isChangePending(): boolean {
		return this.readAt < this.changingUntil;
	}

	/** Records that a change may be written within `withinMs` from now. */
	expectChange(withinMs: number): void {
		this.changingUntil = Math.max(this.changingUntil, this.dependencies.clock.mono() + withinMs);
	}

	/** Polls the tables until `signal` aborts. */
	async watch(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const due = this.dependencies.clock.mono() + pollMs;
			await this.refresh();
			await this.dependencies.clock.sleep(Math.max(50, due - this.dependencies.clock.mono()), signal);
		}
	}

	/** Reads the rows that changed since the last read. Never rejects; `readable` holds whether it succeeded. */
	async refresh(): Promise<void> {
		this.reading ??= this.read();
		await this.reading;
		this.reading = undefined;
	}

	/** Puts a configuration into force if it is newer, as one that another entry pushed may be. */
	acceptPushed(config: Config): void {
		if (config.version > this.config.version) {
			this.config = config;
			this.dependencies.onConfigChange(config);
		}
	}

	/** The entries whose sessions have not ended. */
	liveEntries(): ReadonlyArray<Row<Session>> {
		return this.live.entry;
	}

	/** The number of live entries that share the load. At least 1, since this entry counts before its row is read. */
	get entryCount(): number {
		return Math.max(1, this.live.entry.length);
	}

	/** The sidecars whose sessions have not ended. */
	liveSidecars(): ReadonlyArray<Row<Session>> {
		return this.live.sidecar;
	}

	/** The ids of the live sidecar sessions of a zone. */
	neighbours(zone: string): string[] {
		return this.liveSidecars().filter(row => row.value.zone === zone).map(row => row.key);
	}

	private liveOf(kind: Session['kind']): Array<Row<Session>> {
		return [...this.sessions.values()].filter(({value}) => value.kind === kind && !value.ended);
	}

	private async read(): Promise<void> {
		const at = this.dependencies.clock.mono();
		try {
			const listing = await this.dependencies.table.list({tables: ['config', 'sessions'], after: this.after});
			this.after = listing.version;
			this.readAt = at;
			this.readable = true;
			this.failedReads = 0;
			this.applyRows(listing.rows);
		} catch {
			this.readable = false;
			const wasStalled = this.dependencies.clock.mono() - at > this.dependencies.timeoutMs + stallSlackMs;
			this.failedReads += wasStalled ? 0 : 1;
		}
	}

	private applyRows(rows: readonly Row[]): void {
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
