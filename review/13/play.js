// A job is cancelled and the cancelling is acknowledged; all entries are killed and start again; then the submission arrives once more.
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Deployment} from '../standin-3/deployment.js';
import {runCase} from '../standin-3/record.js';

const cancelMs = 3000;
/** From the answer to the submission until it arrives once more: over `cancel_ms`, and over `contact_ms` after the entries are back. */
const repeatMs = 8000;
const downMs = 1200;
const withTrouble = process.env.TROUBLE !== '0';

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async record => {
	const deployment = await Deployment.create({entries: 3, minions: 3, record});
	try {
		await deployment.ready();
		await sleep(3000);
		const {entries} = deployment;
		const ids = ['5c0e7a21d94b36f8', '5c0e7a21d94b36f9', '5c0e7a21d94b36fa', '5c0e7a21d94b36fb', '5c0e7a21d94b36fc', '5c0e7a21d94b36fd'];
		const submissions = ids.map(async (id, index) => deployment.submit(entries[index % 3], id, {spec: `{"job":"${id}","ms":3000}`, estimateMs: 3000}));
		await sleep(500);
		const cancels = await Promise.all(ids.map(async (id, index) => deployment.cancel(entries[index % 3], id)));
		const cancelledAt = record.now;
		const answers = await Promise.all(submissions);
		if (![...cancels, ...answers].every(({status}) => status === 200)) {
			throw new Error('a submission or a cancelling was not acknowledged');
		}

		if (withTrouble) {
			await sleep(500);
			await Promise.all(entries.map(async entry => deployment.kill(entry)));
			await sleep(downMs);
			for (const entry of entries) {
				deployment.start(entry);
			}

			await deployment.ready();
		}

		await sleep(cancelledAt + repeatMs - record.now);
		await Promise.all(ids.map(async (id, index) => deployment.submit(entries[(index + 1) % 3], id, {spec: `{"job":"${id}","ms":3000}`, estimateMs: 3000, note: 'submission repeated'})));
		const late = record.events.filter(({event, at}) => event === 'start' && at > cancelledAt + cancelMs);
		return late.length > 0 ? `${late.length} tasks of cancelled jobs were started ${late[0].at - cancelledAt} ms or more after the acks of their cancelling` : undefined;
	} finally {
		await deployment.close();
	}
});
