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

/** Place is an upstream of this sidecar, or a worker that it owns, on which it starts tasks. */
export type Place = {
	readonly name: string;
	readonly pools: readonly string[];
	/** The number of running tasks. */
	readonly running: number;
	/** Returns whether the place has the capacity to start the run now. */
	canStart(run: Run): boolean;
	/** Starts the run and resolves to its outcome. Never rejects. A `repeatable` run may be stopped under resource pressure. */
	run(run: Run, repeatable: boolean, control: RunControl): Promise<Answer>;
	/** Describes the current state of the place, for entries. */
	describe(): PlaceReport;
	close(): Promise<void>;
};

/** UpstreamPlace is an upstream that runs a fixed number of tasks at a time. */
export class UpstreamPlace implements Place {
	static create(name: string, pools: readonly string[], slots: number, backend: Backend): UpstreamPlace {
		return new UpstreamPlace(name, pools, slots, backend);
	}

	running = 0;

	private constructor(readonly name: string, readonly pools: readonly string[], private readonly slots: number, private readonly backend: Backend) {}

	canStart(): boolean {
		return this.running < this.slots;
	}

	async run(run: Run, _repeatable: boolean, control: RunControl): Promise<Answer> {
		this.running++;
		const answer = await this.backend.run(run, control);
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

/** WorkerPlaceOptions describe a worker when a sidecar takes it over: the lease epoch and the tasks that already run there. */
export type WorkerPlaceOptions = {name: string; pools: readonly string[]; size: Size; epoch: number; runningTasks: readonly RunningTask[]};

/** WorkerPlace is a worker that this sidecar owns under a lease epoch. Tasks are packed onto it by their resources. */
export class WorkerPlace implements Place {
	static create(options: WorkerPlaceOptions, worker: WorkerClient, clock: Clock): WorkerPlace {
		return new WorkerPlace(options, worker, clock);
	}

	readonly name: string;
	readonly pools: readonly string[];
	private readonly epoch: number;
	private load: WorkerLoad;
	private readonly stopControllers = new Map<string, AbortController>();

	private constructor(options: WorkerPlaceOptions, private readonly worker: WorkerClient, private readonly clock: Clock) {
		const {size, runningTasks} = options;
		this.name = options.name;
		this.pools = options.pools;
		this.epoch = options.epoch;
		this.load = {
			size, used: {cores: 0, memoryMb: 0, accelerators: 0}, asOf: 0, running: runningTasks, sizeRatios: new Map(),
		};
	}

	get running(): number {
		return this.load.running.length;
	}

	canStart(run: Run): boolean {
		return fitsNow(this.load, run.route, run);
	}

	async run(run: Run, repeatable: boolean, {signal, mayStart}: RunControl): Promise<Answer> {
		const id = `${run.claim}#${run.task}`;
		const stopController = new AbortController();
		const task: RunningTask = {
			id,
			route: run.route,
			declared: {cores: run.cores, memoryMb: run.memoryMb, accelerators: run.accelerators},
			startedAt: this.clock.now(),
			repeatable,
		};
		this.stopControllers.set(id, stopController);
		this.load = {...this.load, running: [...this.load.running, task]};
		const answer = await this.worker.run(run, this.epoch, {signal: AbortSignal.any([signal, stopController.signal]), mayStart});
		this.load = {...this.load, running: this.load.running.filter(other => other !== task)};
		this.stopControllers.delete(id);
		return answer;
	}

	/** Reads the worker's resource usage and, under pressure, throttles, checkpoints or stops one task. */
	async checkUsage(): Promise<void> {
		const {at, used} = await this.worker.readUsage();
		this.load = applyReport(this.load, used, at);
		const action = decidePressureAction(this.load);
		if (action) {
			await this.worker.step(action.id, action.kind);
		}

		if (action?.kind === 'stop') {
			this.stopControllers.get(action.id)?.abort();
		}
	}

	/** Removes the tasks of an earlier owner that the worker no longer runs; `runningIds` are those that it does. */
	pruneTasks(runningIds: ReadonlySet<string>): void {
		this.load = {...this.load, running: this.load.running.filter(({id}) => this.stopControllers.has(id) || runningIds.has(id))};
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
