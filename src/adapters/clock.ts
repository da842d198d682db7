import {setTimeout as sleep} from 'node:timers/promises';
import {setMaxListeners} from 'node:events';
import {performance} from 'node:perf_hooks';
import type {Clock} from '../ports/clock.js';

/** The clock of the machine. */
export const systemClock: Clock = {
	now: () => Date.now(),
	mono: () => performance.now(),
	async sleep(ms, signal) {
		try {
			await sleep(ms, undefined, {signal, ref: true});
		} catch {}
	},
};

/** Lifts the limit on how many may wait for one signal, and returns its controller. */
export function withUnlimitedListeners(controller: AbortController): AbortController {
	setMaxListeners(0, controller.signal);
	return controller;
}
