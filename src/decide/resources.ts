/** Resources are what tasks need and workers have: `cpu` in thousandths of a core, memory in MB, and the number of accelerators. */
export type Resources = {cpu: number; memoryMb: number; accelerators: number};

/** The largest amount of a resource that a peer may state, in the unit of the resource: a million cores. */
const maxAmount = 1e9;

/** Whether the amounts are within the range that a machine can have. */
export function areAmounts({cpu, memoryMb, accelerators}: Resources): boolean {
	return [cpu, memoryMb, accelerators].every(amount => amount >= 0 && amount <= maxAmount);
}

/** Whether resources of this size fit in the capacity. */
export function fits(size: Resources, capacity: Resources): boolean {
	return size.cpu <= capacity.cpu && size.memoryMb <= capacity.memoryMb && size.accelerators <= capacity.accelerators;
}

/** Whether two sizes are the same. */
export function isSameSize(one: Resources, other: Resources): boolean {
	return fits(one, other) && fits(other, one);
}

/** Adds resources to a sum in place, or subtracts them. */
export function addResources(sum: Resources, size: Resources, sign: 1 | -1): void {
	sum.cpu += sign * size.cpu;
	sum.memoryMb += sign * size.memoryMb;
	sum.accelerators += sign * size.accelerators;
}
