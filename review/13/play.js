// Jobs whose spec begins with U+FEFF are submitted; no machine, link or store is disturbed.
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Deployment} from '../standin-3/deployment.js';
import {runCase} from '../standin-3/record.js';

const withTrouble = process.env.TROUBLE !== '0';

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async record => {
	const deployment = await Deployment.create({entries: 3, minions: 3, record});
	try {
		await deployment.ready();
		await sleep(3000);
		const specs = new Map();
		for (let index = 0; index < 6; index++) {
			const id = `5c0e7a21d94b37${index.toString(16).padStart(2, '0')}`;
			const spec = `${withTrouble ? '\uFEFF' : ''}{"image":"topper-${index}.png","sheet":"wafer","copies":${index + 1},"note":"${'cake '.repeat(10)}","ms":200}`;
			specs.set(id, spec);
			await deployment.submit(deployment.entries[index % 3], id, {spec});
		}

		const starts = record.events.filter(({event}) => event === 'start');
		if (starts.length < specs.size) {
			throw new Error('not all jobs were run');
		}

		const wrong = starts.filter(({task, spec}) => spec !== specs.get(task.split('.')[0]));
		return wrong.length > 0 ? `${wrong.length} of ${starts.length} starts had another spec than the client sent` : undefined;
	} finally {
		await deployment.close();
	}
});
