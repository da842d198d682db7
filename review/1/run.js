/* eslint-disable camelcase -- The names are the platform's: fields of its messages and settings. */
/** An entry restarts and reads the operator's rows in two pages; the desired state changes between them. */
import {runCase, sleep} from '../standin/deployment.js';

const configApplyMs = 2000;
const contactMs = 3000;
/** Waves of upkeep that the operator has requested so far. */
const waves = 600;
/** How many times as long the store's answers take while it is slow. */
const slowness = 60;
/** How long after the first page was read the change is written, in milliseconds. */
const changeMs = 180;
const body = {
	spec: 'render plate 17', best_effort: true, steps: [{
		count: 2, cpu: 1000, mem_mb: 64, estimate_ms: 100,
	}],
};

await runCase(import.meta.dirname, async (deployment, trouble) => {
	const {store} = deployment;
	for (let wave = 1; wave <= waves; wave++) {
		store.write('op', `wave/${wave}`, {
			wave, machines: ['m-0a3f1'], finish_by_s: 20, max_count: 1,
		});
	}

	await deployment.start({
		entries: 2, sides: 2, capacity: {cpu: 16_000, mem_mb: 65_536, gpu: 0}, routes: [['plates', '/jobs/'], ['old', '/old/']],
	});
	const changed = deployment.config(11, [['plates', '/jobs/'], ['new', '/new/']]);
	const [first] = deployment.entries;
	let ackedAt;
	const change = () => {
		store.write('op', 'config', changed);
		ackedAt = deployment.now;
		deployment.record({event: 'acked', version: changed.version});
	};

	if (trouble) {
		store.slowness = slowness;
		deployment.record({event: 'store', slowness});
	}

	await deployment.kill(first);
	await sleep(500);
	await new Promise(resolve => {
		store.onPage = ({table, from, more}) => {
			deployment.record({
				event: 'page', table, from, more,
			});
			if (table === 'op' && (trouble ? from === '' && more : !more)) {
				store.onPage = undefined;
				setTimeout(() => {
					change();
					resolve();
				}, changeMs);
			}
		};

		deployment.spawn(first);
	});
	await sleep(1500);
	store.slowness = 1;
	deployment.record({event: 'store', slowness: 1});
	// Everything has been calm for longer than the contact time, and the change has been acknowledged for longer than it may take to apply.
	await sleep(contactMs + configApplyMs + 1000);
	const wrong = [];
	let count = 0;
	for (const [index, entry] of deployment.entries.entries()) {
		for (const [prefix, expected] of [['/new/', 200], ['/old/', 404]]) {
			const id = `5c0e7a21d94b36f${++count}`;
			deployment.expectJob(id, 100, 1000);
			const {status} = await deployment.call(deployment.frontOf(entry), {
				method: 'POST', path: `${prefix}${id}`, body, label: `${deployment.now - ackedAt} ms after the ack`,
			});
			if (status !== expected) {
				wrong.push(`edge-${index + 1} answered ${status} on ${prefix} instead of ${expected}`);
			}
		}
	}

	return wrong.length > 0 && wrong.join('; ');
});
