import {readFileSync} from 'node:fs';

/** Processor time of a process so far, in milliseconds, from the kernel's account; 0 when it is gone. */
export function cpuMs(pid: number): number {
	try {
		const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
		return (Number(fields[11]) + Number(fields[12])) * tickMs;
	} catch {
		return 0;
	}
}

/** Resident memory of a process in megabytes; 0 when it is gone. */
export function rssMb(pid: number): number {
	try {
		return Number(/VmRSS:\s+(\d+)/v.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / 1024;
	} catch {
		return 0;
	}
}

/** Rounds to three places. */
export function round(value: number): number {
	return Number(value.toFixed(3));
}

/** The kernel's tick, in milliseconds. */
const tickMs = 10;
