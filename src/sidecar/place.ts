import {create} from '@bufbuild/protobuf';
import {PlaceSchema, type Place as PlaceReport} from '../../gen/sniperidge/v1/peer_pb.js';
import type {WorkerClient} from '../adapters/worker.js';
import {
	fitsNow, freeCapacity, decidePressureAction, applyReport, type RunningTask, type Size, type WorkerLoad,
} from '../decide/packing.js';
import type {Clock} from '../ports/clock.js';
import type {
	Answer, Backend, RunControl, Run,
} from '../ports/upstream.js';

/** Place is what a sidecar starts tasks on: its upstream, or a worker that it owns. */
export type Place = {
	readonly name: string;
	readonly pools: readonly string[];
	/** The tasks that run there now. */
	readonly running: number;
	/** Says whether the place could begin the run now. */
	canStart(run: Run): boolean;
	/** Starts the run. Never rejects. `repeatable` says whether it may be stopped under pressure. */
	run(run: Run, repeatable: boolean, permit: RunControl): Promise<Answer>;
	/** Describes the place as it stands, for entries. */
	describe(): PlaceReport;
	close(): Promise<void>;
};

/** UpstreamPlace is an upstream with a number of slots. */
export class UpstreamPlace implements Place {
	static create(name: string, pools: readonly string[], slots: number, backend: Backend): UpstreamPlace {
		return new UpstreamPlace(name, pools, slots, backend);
	}

	running = 0;

	private constructor(readonly name: string, readonly pools: readonly string[], private readonly slots: number, private readonly backend: Backend) {}

	canStart(): boolean {
		return this.running < this.slots;
	}

	async run(run: Run, _repeatable: boolean, permit: RunControl): Promise<Answer> {
		this.running++;
		const answer = await this.backend.run(run, permit);
		this.running--;
		return answer;
	}

	describe(): PlaceReport {
		return create(PlaceSchema, {
			name: this.name, kind: 'upstream', pools: [...this.pools], slots: this.slots, running: this.running,
		});
	}

	async close(): Promise<void> {
		await this.backend.close();
	}
}

/** Identity is a worker as its owner takes it over: under which epoch, and with what running. */
export type WorkerPlaceOptions = {name: string; pools: readonly string[]; size: Size; epoch: number; runningTasks: readonly RunningTask[]};

/** WorkerPlace is a worker that this sidecar owns under an epoch and packs by size. */
export class WorkerPlace implements Place {
	static create(identity: WorkerPlaceOptions, worker: WorkerClient, clock: Clock): WorkerPlace {
		return new WorkerPlace(identity, worker, clock);
	}

	readonly name: string;
	readonly pools: readonly string[];
	private readonly epoch: number;
	private load: WorkerLoad;
	private readonly stops = new Map<string, AbortController>();

	private constructor(identity: WorkerPlaceOptions, private readonly worker: WorkerClient, private readonly clock: Clock) {
		const {size, runningTasks: held} = identity;
		this.name = identity.name;
		this.pools = identity.pools;
		this.epoch = identity.epoch;
		this.load = {
			size, used: {cores: 0, memoryMb: 0, accelerators: 0}, asOf: 0, running: held, sizeRatios: new Map(),
		};
	}

	get running(): number {
		return this.load.running.length;
	}

	canStart(run: Run): boolean {
		return fitsNow(this.load, run.route, run);
	}

	async run(run: Run, repeatable: boolean, {signal, mayStart: allowed}: RunControl): Promise<Answer> {
		const id = `${run.claim}#${run.task}`;
		const stop = new AbortController();
		const held: RunningTask = {
			id,
			route: run.route,
			declared: {cores: run.cores, memoryMb: run.memoryMb, accelerators: run.accelerators},
			startedAt: this.clock.now(),
			repeatable,
		};
		this.stops.set(id, stop);
		this.load = {...this.load, running: [...this.load.running, held]};
		const answer = await this.worker.run(run, this.epoch, {signal: AbortSignal.any([signal, stop.signal]), mayStart: allowed});
		this.load = {...this.load, running: this.load.running.filter(other => other !== held)};
		this.stops.delete(id);
		return answer;
	}

	/** Takes a usage report and, under pressure, throttles, checkpoints or stops one task. */
	async checkUsage(): Promise<void> {
		const {at, used} = await this.worker.readUsage();
		this.load = applyReport(this.load, used, at);
		const relief = decidePressureAction(this.load);
		if (relief) {
			await this.worker.step(relief.id, relief.kind);
		}

		if (relief?.kind === 'stop') {
			this.stops.get(relief.id)?.abort();
		}
	}

	/** Forgets tasks of an earlier owner that the worker no longer runs. */
	pruneTasks(ids: ReadonlySet<string>): void {
		this.load = {...this.load, running: this.load.running.filter(({id}) => this.stops.has(id) || ids.has(id))};
	}

	describe(): PlaceReport {
		const free = freeCapacity(this.load);
		const {size} = this.load;
		return create(PlaceSchema, {
			name: this.name,
			kind: 'worker',
			pools: [...this.pools],
			running: this.running,
			cores: size.cores,
			memoryMb: size.memoryMb,
			accelerators: size.accelerators,
			freeCores: free.cores,
			freeMemoryMb: free.memoryMb,
			freeAccelerators: free.accelerators,
		});
	}

	async close(): Promise<void> {
		await this.worker.close();
	}
}
