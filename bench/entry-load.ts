import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import type {EntryLoad} from '../src/decide/overload.js';
import {round} from './account.js';
import type {CallerCommand, Seen} from './callers-process.js';
import {entries as entryCount, jobsPerSecond, workers} from './entry-jobs.js';
import type {EntryCommand, EntryOptions} from './entry-process.js';
import type {Shares} from './profile.js';

/** What is left out at the start, and what is measured, in milliseconds. The load is higher at the start, so that the code that serves it is compiled. */
const warmUpMs = 5000;
const warmUpFactor = 3;
const settlingMs = 2000;
const measuredMs = 15_000;
const profiledMs = 5000;
const seed = 1;
const linksPollMs = 100;

type Usage = {cpuMs: number; systemMs: number; droppedLines: number; linked: number; load: EntryLoad};

/** SceneOptions are the kept connections of the callers to each entry, the options of the entries, and what stands before the address for links, such as a proxy. */
export type SceneOptions = {connections?: number; options?: EntryOptions; addressFor?(links: string): Promise<string>};

/** Scene is one entry or several with the sidecars and callers that they share; each entry is a process of its own. */
export class Scene {
	/** Starts a scene. Each of `roots` is the folder of the compiled code that an entry runs. */
	static async create(roots: readonly string[], {connections = 256, options, addressFor}: SceneOptions = {}): Promise<Scene> {
		const entries = roots.map(root => start(path.join(root, 'bench/entry-process.js'), options && [JSON.stringify(options)]));
		const addresses = await Promise.all(entries.map(async entry => {
			const {front, links} = await replyOf<{front: number; links: string}>(entry);
			const address = await addressFor?.(links);
			if (address !== undefined) {
				await ask(entry, `announce ${address}` satisfies EntryCommand);
			}

			return {front, links: address ?? links};
		}));
		const sidecars = start(own('sidecars-process.js'));
		await ask(sidecars, {seeds: addresses.map(({links}) => links)});
		const callers = start(own('callers-process.js'), [String(seed), String(connections), ...addresses.map(({front}) => String(front))]);
		const scene = new Scene(entries, sidecars, callers);
		await scene.linked();
		return scene;
	}

	private constructor(readonly entries: readonly ChildProcess[], private readonly sidecars: ChildProcess, private readonly callers: ChildProcess) {}

	async askEntries<Reply = Usage>(command: EntryCommand): Promise<Reply[]> {
		return Promise.all(this.entries.map(async entry => ask<Reply>(entry, command)));
	}

	/** Asks the callers. They send the jobs of all entries, and reply by entry. */
	async askCallers(command: CallerCommand): Promise<Seen[]> {
		return ask<Seen[]>(this.callers, command);
	}

	close(): void {
		for (const child of [this.callers, ...this.entries, this.sidecars]) {
			child.disconnect();
		}
	}

	/** Resolves when each entry has links to all sidecars. */
	private async linked(): Promise<void> {
		const isLinked = async (): Promise<boolean> => {
			const usages = await this.askEntries('usage');
			return usages.every(({linked}) => linked === workers);
		};

		while (!await isLinked()) {
			await sleep(linksPollMs);
		}
	}
}

function own(name: string): string {
	return fileURLToPath(new URL(name, import.meta.url));
}

function start(program: string, words: string[] = []): ChildProcess {
	return fork(program, words, {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
}

async function replyOf<Reply>(child: ChildProcess): Promise<Reply> {
	const [reply] = await once(child, 'message') as [Reply];
	return reply;
}

async function ask<Reply>(child: ChildProcess, command: unknown): Promise<Reply> {
	const reply = replyOf<Reply>(child);
	child.send(command as Record<string, unknown>);
	return reply;
}

type Cost = {cpuMsPerJob: number; systemMsPerJob: number; jobs: number; inTarget: number; refused: number; failed: number; shares: Shares};

/** Measures the cost of a job at entries that run the code of `roots` side by side under the same load, and profiles the last of them. */
async function costsOf(roots: readonly string[], perSecond: number): Promise<Cost[]> {
	const scene = await Scene.create(roots);
	const all = perSecond * roots.length;
	await scene.askCallers({kind: 'rate', perSecond: all * warmUpFactor});
	await sleep(warmUpMs);
	await scene.askCallers({kind: 'rate', perSecond: all});
	await sleep(settlingMs);
	await scene.askCallers({kind: 'seen'});
	const earlier = await scene.askEntries('usage');
	await sleep(measuredMs);
	const later = await scene.askEntries('usage');
	const seen = await scene.askCallers({kind: 'seen'});
	await scene.askEntries('profile');
	await sleep(profiledMs);
	const shares = await scene.askEntries<Shares>('shares');
	scene.close();
	return seen.map(({sent, inTarget, refused, failed}, index): Cost => ({
		cpuMsPerJob: round((later[index]!.cpuMs - earlier[index]!.cpuMs) / sent),
		systemMsPerJob: round((later[index]!.systemMs - earlier[index]!.systemMs) / sent),
		jobs: sent,
		inTarget,
		refused,
		failed,
		shares: shares[index]!,
	}));
}

export type MeasureOptions = {
	/** Jobs a second; by default an entry's share of those of deployment V. */
	rate?: string;
	/** The folder of the compiled code before, which is measured side by side with this one. */
	before?: string;
	rounds: string;
};

/** Measures the processor time of a job at an entry, and prints it with its shares by part. */
export async function measureEntry({rate, before, rounds}: MeasureOptions): Promise<void> {
	const perSecond = rate === undefined ? jobsPerSecond / entryCount : Number(rate);
	const now = fileURLToPath(new URL('..', import.meta.url));
	const ratios: number[] = [];
	for (let turn = 1; turn <= Number(rounds); turn++) {
		const costs = await costsOf(before === undefined ? [now] : [path.resolve(before), now], perSecond);
		const {shares: {top}, cpuMsPerJob} = costs.at(-1)!;
		if (costs.length > 1) {
			ratios.push(cpuMsPerJob / costs[0]!.cpuMsPerJob);
		}

		for (const [index, {shares, ...figures}] of costs.entries()) {
			const byPart = new Map<string, number>();
			for (const [part, share] of Object.entries(shares.parts)) {
				byPart.set(part, round(share * figures.cpuMsPerJob));
			}

			print({
				code: index === costs.length - 1 ? 'now' : 'before', perSecond: round(perSecond), ...figures, cpuMsPerJobByPart: Object.fromEntries(byPart),
			});
		}

		if (turn === Number(rounds)) {
			for (const [name, share] of top) {
				print({function: name, share});
			}
		}
	}

	if (ratios.length > 0) {
		print({ratios: ratios.map(ratio => round(ratio)), mean: round(ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length)});
	}
}

function print(value: unknown): void {
	process.stdout.write(`${JSON.stringify(value)}\n`);
}
