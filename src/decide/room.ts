/** Room is what tasks take and workers have. Processor in thousandths of a core, memory in MB. */
export type Resources = {cpu: number; memoryMb: number; accelerators: number};

/** Says whether a size fits in a room. */
export function fits(size: Resources, room: Resources): boolean {
	return size.cpu <= room.cpu && size.memoryMb <= room.memoryMb && size.accelerators <= room.accelerators;
}

/** Adds a size to a sum, or takes it off. */
export function addResources(sum: Resources, size: Resources, sign: 1 | -1): void {
	sum.cpu += sign * size.cpu;
	sum.memoryMb += sign * size.memoryMb;
	sum.accelerators += sign * size.accelerators;
}
