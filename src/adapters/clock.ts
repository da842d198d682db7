import {setTimeout as sleep} from 'node:timers/promises';
import {setMaxListeners} from 'node:events';
import {performance} from 'node:perf_hooks';
import type {Clock} from '../ports/clock.js';

/** The system clock. */
export const systemClock: Clock = {
	now: () => Date.now(),
	mono: () => performance.now(),
	async sleep(ms, signal) {
		try {
			await sleep(ms, undefined, {signal, ref: true});
		} catch {}
	},
};

/** Removes the limit on listeners of the controller's signal, and returns the controller. */
export function withUnlimitedListeners(controller: AbortController): AbortController {
	setMaxListeners(0, controller.signal);
	return controller;
}
