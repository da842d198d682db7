import {readFileSync} from 'node:fs';

/** Returns how many file descriptors the kernel lets this process open, or nothing where it does not say or sets no limit. Node.js raises the soft limit to the hard one as it starts. */
export function kernelDescriptorLimit(): number | undefined {
	try {
		const found = /^Max open files\s+(\d+)/mv.exec(readFileSync('/proc/self/limits', 'utf8'));
		return found ? Number(found[1]) : undefined;
	} catch {
		// Only Linux tells it so.
		return undefined;
	}
}
