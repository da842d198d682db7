/** Size is the resources of a task or a worker. */
export type Size = {cores: number; memoryMb: number; accelerators: number};

/** RunningTask is a task that runs on a worker. `startedAt` is on the same clock as the reports' `asOf`. */
export type RunningTask = {id: string; route: string; declared: Size; startedAt: number; repeatable: boolean};

/** WorkerLoad is what the owner of a worker knows: its size, the last report with its age, and what runs. */
export type WorkerLoad = {
	size: Size;
	/** What the worker last reported in use, and when that was true. */
	used: Size;
	asOf: number;
	running: readonly RunningTask[];
	/** Real size over declared size, learned by route. */
	sizeRatios: ReadonlyMap<string, number>;
};

/** The fraction of a worker that may be planned for. */
const fillLimit = 0.95;
/** How fast a route's ratio follows what is reported. */
const learnRate = 0.2;
const ratioMin = 0.25;
const ratioMax = 8;

/** Returns the size expected of a task: declared, times what its route has shown. Accelerators are whole and taken as declared. */
export function expectedSize(load: WorkerLoad, route: string, declared: Size): Size {
	const ratio = load.sizeRatios.get(route) ?? 1;
	return {cores: declared.cores * ratio, memoryMb: declared.memoryMb * ratio, accelerators: declared.accelerators};
}

/**
 * Returns what is free: the size less what is reported in use and the tasks started since the report,
 * or less the sum of what runs, whichever leaves less.
 */
export function freeCapacity(load: WorkerLoad): Size {
	const planned = {cores: 0, memoryMb: 0, accelerators: 0};
	const reportedAndNew = {cores: load.used.cores, memoryMb: load.used.memoryMb, accelerators: load.used.accelerators};
	for (const held of load.running) {
		const size = expectedSize(load, held.route, held.declared);
		addSize(planned, size);
		if (held.startedAt >= load.asOf) {
			addSize(reportedAndNew, size);
		}
	}

	return {
		cores: (load.size.cores * fillLimit) - Math.max(planned.cores, reportedAndNew.cores),
		memoryMb: (load.size.memoryMb * fillLimit) - Math.max(planned.memoryMb, reportedAndNew.memoryMb),
		accelerators: load.size.accelerators - planned.accelerators,
	};
}

/** Says whether a task fits now. A worker that runs nothing takes any task it is large enough for. */
export function fitsNow(load: WorkerLoad, route: string, declared: Size): boolean {
	if (load.running.length === 0) {
		return fitsEver(load.size, declared);
	}

	return fitsWithin(expectedSize(load, route, declared), freeCapacity(load));
}

/** Says whether a task of this declared size could ever fit a worker of this size. */
export function fitsEver(size: Size, declared: Size): boolean {
	return fitsWithin(declared, size);
}

/** Returns the load after a usage report, with the ratios of the routes that ran alone during it learned. */
export function applyReport(load: WorkerLoad, used: Size, asOf: number): WorkerLoad {
	const coveredByReport = load.running.filter(held => held.startedAt < asOf);
	const declared = coveredByReport.reduce((sum, held) => sum + held.declared.memoryMb, 0);
	const ratios = new Map(load.sizeRatios);
	if (declared > 0) {
		const observedRatio = Math.min(ratioMax, Math.max(ratioMin, used.memoryMb / declared));
		for (const route of new Set(coveredByReport.map(held => held.route))) {
			const previousRatio = ratios.get(route) ?? 1;
			ratios.set(route, previousRatio + ((observedRatio - previousRatio) * learnRate));
		}
	}

	return {
		...load, used, asOf, sizeRatios: ratios,
	};
}

/** MemoryPressureAction is what to do to one task of a worker under memory pressure. */
export type MemoryPressureAction = {kind: 'throttle' | 'checkpoint' | 'stop'; id: string};

/** Memory use at which tasks are throttled, checkpointed and stopped, as fractions of the worker's memory. */
const throttleAt = 0.9;
const checkpointAt = 0.96;
const stopAt = 1;

/** Returns the mildest step that the reported use calls for: on the youngest task, and a stop only on one that may be repeated. */
export function decidePressureAction(load: WorkerLoad): MemoryPressureAction | undefined {
	const use = load.used.memoryMb / load.size.memoryMb;
	const youngest = load.running.toSorted((a, b) => b.startedAt - a.startedAt);
	const [first] = youngest;
	if (!first || use < throttleAt) {
		return undefined;
	}

	if (use < checkpointAt) {
		return {kind: 'throttle', id: first.id};
	}

	const victim = youngest.find(held => held.repeatable);
	return use >= stopAt && victim ? {kind: 'stop', id: victim.id} : {kind: 'checkpoint', id: first.id};
}

function addSize(sum: Size, size: Size): void {
	sum.cores += size.cores;
	sum.memoryMb += size.memoryMb;
	sum.accelerators += size.accelerators;
}

function fitsWithin(size: Size, available: Size): boolean {
	return size.cores <= available.cores && size.memoryMb <= available.memoryMb && size.accelerators <= available.accelerators;
}
