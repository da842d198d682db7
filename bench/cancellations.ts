import process from 'node:process';
import {pino} from 'pino';
import {systemClock} from '../src/adapters/clock.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';

const cancellings = 200;
/** How long the entries have to link to each other, in milliseconds. */
const linkMs = 60_000;
/** The pause before the messages are counted, in which the last of the links' own are sent, in milliseconds. */
const settleMs = 3000;

/** Cancels jobs that no entry holds, one after the other, and prints the messages, bytes and time of each at this number of entries. */
export async function measureCancellations(count: number): Promise<void> {
	const log = pino({level: 'silent'});
	const entries: Dispatcher[] = [];
	for (let index = 0; index < count; index++) {
		entries.push(await Dispatcher.create({
			node: `e${index}`, incarnation: `e${index}-1`, address: '127.0.0.1:0', seeds: entries.map(({address}) => address),
		}, systemClock, log, DispatcherMetrics.create()));
	}

	const until = systemClock.mono() + linkMs;
	while (entries.some(({linkedEntries}) => linkedEntries < count - 1)) {
		if (systemClock.mono() > until) {
			throw new Error(`the entries did not link within ${linkMs} ms`);
		}

		await systemClock.sleep(100);
	}

	await systemClock.sleep(settleMs);
	const sent = {messages: 0, bytes: 0};
	const note: Dispatcher['onFlush'] = (list, size) => {
		const own = list.filter(({kind}) => kind.startsWith('cancel')).length;
		sent.messages += own;
		sent.bytes += own > 0 ? size : 0;
	};

	for (const entry of entries) {
		entry.onFlush = note;
	}

	const from = systemClock.mono();
	const outcomes = new Map<string, number>();
	for (let index = 0; index < cancellings; index++) {
		const outcome = await new Promise<string>(resolve => {
			entries[index % count]!.cancel(`route/${index.toString(16).padStart(16, '0')}`, resolve);
		});
		outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
	}

	process.stdout.write(`${JSON.stringify({
		entries: count, messages: sent.messages / cancellings, bytes: Math.round(sent.bytes / cancellings), ms: (systemClock.mono() - from) / cancellings, outcomes: Object.fromEntries(outcomes),
	})}\n`);
	for (const entry of entries) {
		entry.close();
	}
}
