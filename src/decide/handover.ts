import {results} from '../results.js';
import type {EndedTask} from './claim.js';

/** HandedTask is one started task in a sidecar's handover, as entries read it; its body is in base64. */
export type HandedTask = {claim: string; task: number; state: string; code: number; detail: string; body: string; contentType: string; ranMs: number; place: string};

/** Converts a handed-over task that has ended to the form used by takeovers. */
export function handedEndedTask({
	task, code, detail, body, contentType, ranMs, place,
}: HandedTask): EndedTask {
	const item = {
		body, contentType, ranMs, place,
	};
	return code === results.complete.code
		? {
			task, code, detail, item,
		}
		: {task, code, detail};
}
