import process from 'node:process';
import {parseArgs} from 'node:util';
import {runSeed, type SeedResult} from './faults.js';

/** Runs a bench from the words of its command line and prints one JSON line a run. */
export async function main(words: readonly string[]): Promise<void> {
	const {positionals, values} = parseArgs({
		args: [...words], allowPositionals: true, options: {
			seeds: {type: 'string', default: '1..3'},
			jobs: {type: 'string', default: '3'},
			only: {type: 'string'},
			seed: {type: 'string', default: '1'},
			policy: {type: 'string', default: 'finish'},
			deployment: {type: 'string', default: 'zajednica'},
			json: {type: 'boolean', default: false},
			weigh: {type: 'string', default: '{}'},
			rate: {type: 'string'},
			before: {type: 'string'},
			rounds: {type: 'string', default: '1'},
		},
	});
	const [scenario = 'faults'] = positionals;
	if (scenario === 'slopes') {
		const {measureSlopes} = await import('./slopes.js');
		await measureSlopes(positionals[1]);
		return;
	}

	if (scenario === 'links') {
		const {measureLinks} = await import('./links.js');
		await measureLinks(positionals[1] ?? 'auto', Number(values.seed));
		return;
	}

	if (scenario === 'cancellations') {
		const {measureCancellations} = await import('./cancellations.js');
		for (const count of [3, 16, 64]) {
			await measureCancellations(count);
		}

		return;
	}

	if (scenario === 'entry') {
		const {measureEntry} = await import('./entry-load.js');
		await measureEntry(values);
		return;
	}

	if (scenario === 'overload') {
		const {measureOverload} = await import('./overload.js');
		await measureOverload(positionals[1]);
		return;
	}

	if (scenario === 'decide') {
		const {timeDecisions} = await import('./decide.js');
		timeDecisions([[11, 20], [160, 20], [160, 100], [160, 300], [314, 300]]);
		return;
	}

	if (scenario === 'plan') {
		const {comparePlans} = await import('./plan.js');
		const [first = 1, last = first] = values.seeds.split('..').map(Number);
		comparePlans(positionals.slice(1), JSON.parse(values.weigh) as Record<string, never>, Array.from({length: last - first + 1}, (_, index) => first + index));
		return;
	}

	if (scenario !== 'faults') {
		const {measure} = await import('./scenarios.js');
		await measure(scenario, values);
		return;
	}

	const [from = 1, to = from] = values.seeds.split('..').map(Number);
	const seeds = Array.from({length: to - from + 1}, (_, index) => from + index);
	const done: SeedResult[] = [];
	await Promise.all(Array.from({length: Number(values.jobs)}, async () => {
		for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
			const result = await runSeed(seed, values.only);
			done.push(result);
			process.stdout.write(`${JSON.stringify(result)}\n`);
		}
	}));
	const sum = (pick: (result: SeedResult) => number) => {
		let total = 0;
		for (const result of done) {
			total += pick(result);
		}

		return total;
	};

	process.stdout.write(`${JSON.stringify({
		seeds: done.length,
		faults: sum(({faults}) => faults.length),
		jobs: sum(({jobs}) => jobs),
		starts: sum(({starts}) => starts),
		recoveryMs: done.map(({recoveryMs}) => recoveryMs).toSorted((a, b) => a - b),
		violations: sum(({violations}) => Object.values(violations).reduce((a, b) => a + b, 0)),
	})}\n`);
}

if (process.argv[1]?.endsWith('bench/main.js')) {
	await main(process.argv.slice(2));
	process.exit(); // eslint-disable-line unicorn/no-process-exit
}
