import * as z from 'zod';
import {openWorker, type RunningTask, type WorkerClient} from '../adapters/worker.js';
import type {Size} from '../decide/packing.js';
import {highestRanked} from '../decide/rendezvous.js';
import type {Clock} from '../ports/clock.js';
import type {Row, Table} from '../ports/table.js';
import {nameSchema} from '../settings/schema.js';
import {WorkerPlace} from './place.js';

/** The request body with which a worker announces itself. */
export const workerAnnouncementSchema = z.strictObject({
	name: nameSchema,
	url: z.url(),
	zone: nameSchema,
	pools: z.array(nameSchema).min(1),
	cores: z.number().positive(),
	memoryMb: z.number().positive(),
	accelerators: z.number().int().nonnegative().default(0),
});

/** WorkerAnnouncement is the address and the capacity of a worker; memory is in megabytes. */
export type WorkerAnnouncement = z.infer<typeof workerAnnouncementSchema>;

/** Ownership is the table row that names the sidecar session that owns a worker, and its lease epoch. */
export type Ownership = {owner: string; epoch: number};

type OwnedWorker = {place: WorkerPlace; worker: WorkerClient; epoch: number; heard: number};

/** A worker without contact for this long is removed, in milliseconds. */
const contactTimeoutMs = 5000;

/** WorkerRegistry keeps the workers that announced themselves to this sidecar, and the leases of those that it owns. */
export class WorkerRegistry {
	static create(session: () => string, table: Table, clock: Clock, neighbours: () => readonly string[]): WorkerRegistry {
		return new WorkerRegistry(session, table, clock, neighbours);
	}

	private readonly announced = new Map<string, {announcement: WorkerAnnouncement; heard: number}>();
	private readonly owned = new Map<string, OwnedWorker>();
	private isReconciling = false;

	private constructor(
		private readonly session: () => string,
		private readonly table: Table,
		private readonly clock: Clock,
		private readonly neighbours: () => readonly string[],
	) {}

	/** Records a worker's announcement. */
	register(announcement: WorkerAnnouncement): void {
		this.announced.set(announcement.name, {announcement, heard: this.clock.mono()});
	}

	/** The workers that this sidecar owns. */
	get places(): WorkerPlace[] {
		return [...this.owned.values()].map(({place}) => place);
	}

	findPlace(worker: string): WorkerPlace | undefined {
		return this.owned.get(worker)?.place;
	}

	/** Renews the leases of owned workers, removes lost or silent workers, and takes over those without a live owner. */
	async reconcile(): Promise<void> {
		if (this.isReconciling) {
			return;
		}

		this.isReconciling = true;
		await Promise.all([...this.announced].map(async ([worker, {announcement, heard: lastHeardAt}]) => {
			try {
				await (this.owned.has(worker) ? this.renewLease(worker) : this.claimIfUnowned(announcement));
			} catch {
				this.removeIfSilent(worker, lastHeardAt);
			}
		}));
		this.isReconciling = false;
	}

	/** Closes the connections to the workers. */
	async close(): Promise<void> {
		await Promise.all([...this.owned.values()].map(async ({worker}) => worker.close()));
	}

	private async renewLease(worker: string): Promise<void> {
		const owned = this.owned.get(worker)!;
		const running = await owned.worker.acquireLease(this.session(), owned.epoch);
		owned.heard = this.clock.mono();
		owned.place.pruneTasks(new Set(running.map(({id}) => decodeURIComponent(id))));
		await owned.place.checkUsage();
	}

	private removeIfSilent(worker: string, lastHeardAt: number): void {
		const now = this.clock.mono();
		const owned = this.owned.get(worker);
		if (owned && now - owned.heard > contactTimeoutMs) {
			this.owned.delete(worker);
			void owned.worker.close();
		}

		if (now - lastHeardAt > contactTimeoutMs && !this.owned.has(worker)) {
			this.announced.delete(worker);
		}
	}

	private async claimIfUnowned(announcement: WorkerAnnouncement): Promise<void> {
		const liveSessions = new Set([...this.neighbours(), this.session()]);
		if (highestRanked(announcement.name, [...liveSessions]) !== this.session()) {
			return;
		}

		const row = await this.readOwnership(announcement.name);
		if (row && row.value.owner !== this.session() && liveSessions.has(row.value.owner)) {
			return;
		}

		const epoch = (row?.value.epoch ?? 0) + 1;
		const ownership: Ownership = {owner: this.session(), epoch};
		const [result] = await this.table.write([{
			checks: [{table: 'workers', key: announcement.name, version: row?.version ?? 0}],
			changes: [{
				kind: 'put', table: 'workers', key: announcement.name, value: ownership,
			}],
		}]);
		if (result?.kind === 'applied') {
			await this.takeOver(announcement, epoch);
		}
	}

	private async takeOver(announcement: WorkerAnnouncement, epoch: number): Promise<void> {
		const worker = openWorker(announcement.url);
		const running = await worker.acquireLease(this.session(), epoch);
		const runningTasks = running.map(task => toPackedTask(task));
		const size: Size = {cores: announcement.cores, memoryMb: announcement.memoryMb, accelerators: announcement.accelerators};
		const place = WorkerPlace.create({
			name: announcement.name, pools: announcement.pools, size, epoch, runningTasks,
		}, worker, this.clock);
		this.owned.set(announcement.name, {
			place, worker, epoch, heard: this.clock.mono(),
		});
	}

	private async readOwnership(worker: string): Promise<Row<Ownership> | undefined> {
		const {rows} = await this.table.list({tables: ['workers'], prefix: worker});
		return rows.find(row => row.key === worker) as Row<Ownership> | undefined;
	}
}

function toPackedTask(task: RunningTask) {
	return {
		id: decodeURIComponent(task.id), route: task.route, declared: task.size, startedAt: task.startedAt, repeatable: false,
	};
}
