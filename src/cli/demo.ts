import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import {Command, Option} from 'clipanion';
import {Agent, request} from 'undici';
import {seededRandom} from '../adapters/random.js';
import type {Random} from '../ports/random.js';
import {resultOf} from '../results.js';
import {operatorToken, System} from '../standin/system.js';
import {deploymentSchema, type Deployment} from '../standin/tables.js';
import {exits} from './exits.js';
import {stopped} from './run.js';
import {tableText} from './text.js';

/** Figures are what a demonstration run came to; times in milliseconds. */
export type Figures = {
	deployment: string;
	done: number;
	failed: number;
	notRun: number;
	starts: number;
	doubleStarts: number;
	startsInZoneOut: number;
	p50: number;
	p99: number;
	zones: Record<string, number>;
	usage: Record<string, {jobs: number; tasks: number; ms: number}>;
};

type Tally = {results: Record<'complete' | 'failed' | 'not-run', number>; times: ReturnType<typeof build>};

/** How long one deployment is driven, how often a job comes, and when the zone is out, in milliseconds. */
const runMs = 7000;
const arrivalMs = 40;
const outAt = 2000;
const backAt = 5500;
/** How long after its removal a zone may still start tasks, in milliseconds. */
const outGraceMs = 3000;
const exampleFiles = ['zajednica', 'blue-mahoe'];

/** Reads one of the example deployments that come with the package. */
export function readExample(name: string): Deployment {
	const url = [new URL(`../../examples/${name}.json`, import.meta.url), new URL(`../../../examples/${name}.json`, import.meta.url)];
	for (const place of url) {
		try {
			return deploymentSchema.parse(JSON.parse(readFileSync(place, 'utf8')));
		} catch (error) {
			if ((error as {code?: string}).code !== 'ENOENT') {
				throw error;
			}
		}
	}

	throw new Error(`there is no example ${name}`);
}

/** Drives both example deployments in one process, with a zone taken out and back, and prints what came of it. */
export class DemoCommand extends Command {
	static override paths = [['demo']];
	static override usage = Command.Usage({description: 'run both example deployments in one process, with a zone taken out and back'});

	json = Option.Boolean('--json', false, {description: 'one line of JSON'});
	seed = Option.String('--seed', '1', {description: 'the seed of the load'});

	async execute(): Promise<number> {
		const all: Figures[] = [];
		for (const name of exampleFiles) {
			all.push(await this.drive(readExample(name)));
		}

		const sum = (pick: (figures: Figures) => number) => all.map(figures => pick(figures)).reduce((a, b) => a + b, 0);
		const totals = {
			done: sum(({done}) => done),
			failed: sum(({failed}) => failed),
			notRun: sum(({notRun}) => notRun),
			doubleStarts: sum(({doubleStarts}) => doubleStarts),
			startsInZoneOut: sum(({startsInZoneOut}) => startsInZoneOut),
		};
		this.context.stdout.write(this.json ? `${JSON.stringify({seed: Number(this.seed), ...totals, deployments: all})}\n` : describe(all));
		return totals.doubleStarts === 0 && totals.startsInZoneOut === 0 ? exits.done : exits.failed;
	}

	private async drive(deployment: Deployment): Promise<Figures> {
		this.say(`${deployment.name}: starting ${deployment.minions.count} minions and ${deployment.workers.count} workers in ${Object.keys(deployment.tables['availability-zones']).length} zones`);
		const system = await System.create(deployment);
		const agent = new Agent();
		const tally: Tally = {results: {complete: 0, failed: 0, 'not-run': 0}, times: build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000})};
		const zone = system.zones.at(-1)!;
		const [outFrom, jobs] = await Promise.all([this.switchZone(system, zone), this.load(system, agent, tally)]);
		await Promise.all(jobs);
		await agent.close();
		await system.close();
		const {starts} = system;
		return {
			deployment: deployment.name,
			done: tally.results.complete,
			failed: tally.results.failed,
			notRun: tally.results['not-run'],
			starts: starts.length,
			doubleStarts: starts.length - new Set(starts.map(({claim, task}) => `${claim}#${task}`)).size,
			startsInZoneOut: starts.filter(start => start.zone === zone && start.at > outFrom.from + outGraceMs && start.at < outFrom.to).length,
			p50: tally.times.getValueAtPercentile(50),
			p99: tally.times.getValueAtPercentile(99),
			zones: Object.fromEntries(system.zones.map(name => [name, starts.filter(start => start.zone === name).length])),
			usage: Object.fromEntries(system.platform.rows('usage').map(row => [row.key, row.value as Figures['usage'][string]])),
		};
	}

	private async switchZone(system: System, zone: string): Promise<{from: number; to: number}> {
		await sleep(outAt);
		await setZone(system, zone, 'out');
		const from = Date.now();
		this.say(`${zone} is out`);
		await sleep(backAt - outAt);
		const to = Date.now();
		await setZone(system, zone, 'in');
		this.say(`${zone} is back`);
		return {from, to};
	}

	private async load(system: System, agent: Agent, tally: Tally): Promise<Array<Promise<void>>> {
		const random = seededRandom(Number(this.seed));
		const jobs: Array<Promise<void>> = [];
		const end = performance.now() + runMs;
		for (let index = 0; performance.now() < end; index++) {
			jobs.push(submit(system, agent, tally, plan(system.deployment, random, index)));
			await sleep(-Math.log(1 - random.next()) * arrivalMs);
			if (index % 50 === 49) {
				this.say(`${index + 1} submitted, ${tally.results.complete} done`, true);
			}
		}

		return jobs;
	}

	/** Prints progress: in place on a terminal, as lines otherwise, and never with --json. */
	private say(text: string, passing = false): void {
		if (this.json) {
			return;
		}

		const {stderr} = this.context;
		if ((stderr as {isTTY?: boolean}).isTTY) {
			stderr.write(`\r\u001B[K${text}${passing ? '' : '\n'}`);
		} else {
			stderr.write(`${text}\n`);
		}
	}
}

type Planned = {key: string; token: string; route: string; tasks: Array<{body: string}>; entry: number};

function plan({tables}: Deployment, random: Random, index: number): Planned {
	const pick = <Value>(values: readonly Value[]): Value => values[Math.floor(random.next() * values.length)]!;
	const {token} = pick(Object.values(tables.members));
	const [route, {expectMs}] = pick(Object.entries(tables.routes));
	const count = random.next() < 0.1 ? 20 : 1 + Math.floor(random.next() * 4);
	const tasks = Array.from({length: count}, () => ({
		body: JSON.stringify({ms: Math.round(expectMs * (0.4 + (1.2 * random.next()))), pixels: Array.from({length: 100}, () => Math.floor(random.next() * 256))}),
	}));
	return {
		key: `demo-${index}`, token, route, tasks, entry: index,
	};
}

async function submit(system: System, agent: Agent, tally: Tally, planned: Planned): Promise<void> {
	const entry = system.entries[planned.entry % system.entries.length]!;
	const began = performance.now();
	const reply = await request(`${entry.callersUrl}/v1/jobs/${planned.key}`, {
		dispatcher: agent,
		method: 'PUT',
		headers: {authorization: `Bearer ${planned.token}`, 'content-type': 'application/json'},
		body: JSON.stringify({route: planned.route, tasks: planned.tasks}),
	});
	const {result} = await reply.body.json() as {result: number};
	const {kind} = resultOf(result);
	tally.results[kind === 'complete' || kind === 'failed' ? kind : 'not-run']++;
	if (kind === 'complete') {
		tally.times.recordValue(Math.round(performance.now() - began));
	}
}

async function setZone(system: System, zone: string, state: 'in' | 'out'): Promise<void> {
	const url = `${system.entries[0]!.operatorsUrl}/v1/admin/availability-zones/${zone}`;
	const headers = {authorization: `Bearer ${operatorToken}`};
	const before = await request(url, {headers});
	await before.body.dump();
	const reply = await request(url, {method: 'PUT', headers: {...headers, 'if-match': String(before.headers.etag)}, body: JSON.stringify({state})});
	await reply.body.dump();
}

function describe(all: readonly Figures[]): string {
	const main = tableText(
		['deployment', 'done', 'failed', 'not run', 'double starts', 'in zone out', 'p50 ms', 'p99 ms'],
		all.map(figures => [figures.deployment, figures.done, figures.failed, figures.notRun, figures.doubleStarts, figures.startsInZoneOut, figures.p50, figures.p99]),
	);
	const zones = tableText(
		['zone', 'starts', 'share %'],
		all.flatMap(figures => Object.entries(figures.zones).map(([zone, starts]) => [zone, starts, Math.round(100 * starts / figures.starts)])),
	);
	const usage = tableText(
		['member', 'jobs', 'tasks', 'work ms'],
		all.flatMap(figures => Object.entries(figures.usage).map(([member, use]) => [member, use.jobs, use.tasks, use.ms])),
	);
	return `${main}\n\n${zones}\n\n${usage}\n`;
}

/** Keeps an example deployment serving on loopback until it is told to stop. */
export class ServeCommand extends Command {
	static override paths = [['serve']];
	static override usage = Command.Usage({description: 'keep an example deployment serving on loopback until Ctrl-C'});

	example = Option.String('--example', 'zajednica', {description: `one of ${exampleFiles.join(', ')}`});
	callers = Option.String('--callers-port', '8080');
	operators = Option.String('--operators-port', '8081');

	async execute(): Promise<number> {
		const deployment = readExample(this.example);
		const system = await System.create(deployment, {callers: Number(this.callers), operators: Number(this.operators)});
		const [entry] = system.entries;
		const token = Object.values(deployment.tables.members)[0]?.token ?? '';
		const [route] = Object.keys(deployment.tables.routes);
		const zone = system.zones.at(-1)!;
		this.context.stdout.write(`${[
			`${deployment.name} serves. Try, in another terminal:`,
			'',
			String.raw`curl -X PUT ${entry!.callersUrl}/v1/jobs/first -H 'Authorization: Bearer ${token}' -d '{"route":"${route}","tasks":[{"body":"{\"ms\":120}"},{"body":"{\"ms\":80}"}]}'`,
			`curl ${entry!.callersUrl}/v1/jobs/first -H 'Authorization: Bearer ${token}'`,
			`curl ${entry!.callersUrl}/v1/routes/${route} -H 'Authorization: Bearer ${token}' -d 'a picture'`,
			`curl ${entry!.operatorsUrl}/v1/admin/status -H 'Authorization: Bearer ${operatorToken}'`,
			`curl -X PUT '${entry!.operatorsUrl}/v1/admin/availability-zones/${zone}?waitMs=5000' -H 'Authorization: Bearer ${operatorToken}' -H 'If-Match: "1"' -d '{"state":"out"}'`,
			`curl ${entry!.operatorsUrl}/v1/admin/audit -H 'Authorization: Bearer ${operatorToken}'`,
			`curl ${entry!.callersUrl}/openapi.json`,
			'',
			'Ctrl-C stops it.',
		].join('\n')}\n`);
		await stopped();
		await system.close();
		return exits.done;
	}
}
