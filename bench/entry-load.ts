import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {round} from './account.js';
import type {CallerCommand, Seen} from './callers-process.js';
import {entries, jobsPerSecond} from './entry-jobs.js';
import type {EntryCommand} from './entry-process.js';
import type {Shares} from './profile.js';

/** The kept connections of the callers. */
const connections = 256;
/** What is left out at the start, and what is measured, in milliseconds. */
const warmUpMs = 5000;
const measuredMs = 10_000;
const seed = 1;
const linksPollMs = 100;

type Usage = {cpuMs: number; systemMs: number; droppedLines: number; linked: number};

/** Scene is an entry with its sidecars and callers, each a process of its own. */
export class Scene {
	/** Starts a scene. `root` is the folder of the compiled code that the entry runs. */
	static async create(root: string, {capacityFactor = 1}: {capacityFactor?: number} = {}): Promise<Scene> {
		const entry = start(path.join(root, 'bench/entry-process.js'));
		const {front, links} = await replyOf<{front: number; links: string}>(entry);
		const sidecars = start(own('sidecars-process.js'));
		await ask(sidecars, {seed: links, capacityFactor});
		const callers = start(own('callers-process.js'), [String(seed), String(front), String(connections)]);
		return new Scene(entry, sidecars, callers);
	}

	private constructor(readonly entry: ChildProcess, private readonly sidecars: ChildProcess, private readonly callers: ChildProcess) {}

	async askEntry<Reply = Usage>(command: EntryCommand): Promise<Reply> {
		return ask<Reply>(this.entry, command);
	}

	async askCallers(command: CallerCommand): Promise<Seen> {
		return ask<Seen>(this.callers, command);
	}

	/** Resolves when the entry has links to so many sidecars. */
	async linked(count: number): Promise<void> {
		for (let {linked} = await this.askEntry('usage'); linked < count; {linked} = await this.askEntry('usage')) {
			await sleep(linksPollMs);
		}
	}

	close(): void {
		for (const child of [this.callers, this.entry, this.sidecars]) {
			child.disconnect();
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

type Cost = {cpuMsPerJob: number; systemMsPerJob: number; jobs: number; inTarget: number; refused: number; failed: number; shares?: Shares};

async function costOf(root: string, perSecond: number, isProfiled: boolean): Promise<Cost> {
	const scene = await Scene.create(root);
	await scene.linked(1);
	await scene.askCallers({kind: 'rate', perSecond});
	await sleep(warmUpMs);
	await scene.askCallers({kind: 'seen'});
	const earlier = await scene.askEntry('usage');
	await sleep(measuredMs);
	const later = await scene.askEntry('usage');
	const {sent, inTarget, refused, failed} = await scene.askCallers({kind: 'seen'});
	let shares: Shares | undefined;
	if (isProfiled) {
		await scene.askEntry('profile');
		await sleep(measuredMs);
		shares = await scene.askEntry<Shares>('shares');
	}

	scene.close();
	return {
		cpuMsPerJob: round((later.cpuMs - earlier.cpuMs) / sent), systemMsPerJob: round((later.systemMs - earlier.systemMs) / sent), jobs: sent, inTarget, refused, failed, shares,
	};
}

export type EntryOptions = {
	/** Jobs a second; by default an entry's share of those of deployment V. */
	rate?: string;
	/** The folder of the compiled code before, which is measured in turns with this one. */
	before?: string;
	rounds: string;
};

/** Measures the processor time of a job at an entry, and prints it with its shares by part. */
export async function measureEntry({rate, before, rounds}: EntryOptions): Promise<void> {
	const perSecond = rate === undefined ? jobsPerSecond / entries : Number(rate);
	const now = fileURLToPath(new URL('..', import.meta.url));
	const ratios: number[] = [];
	for (let turn = 1; turn <= Number(rounds); turn++) {
		const isLast = turn === Number(rounds);
		const earlier = before === undefined ? undefined : await costOf(path.resolve(before), perSecond, false);
		const cost = await costOf(now, perSecond, isLast);
		if (earlier) {
			ratios.push(cost.cpuMsPerJob / earlier.cpuMsPerJob);
		}

		const {shares, ...figures} = cost;
		print({
			perSecond: round(perSecond), before: earlier, now: figures, ratio: earlier && round(ratios.at(-1)!),
		});
		if (shares) {
			print({cpuMsPerJobByPart: Object.fromEntries(Object.entries(shares.parts).map(([part, share]) => [part, round(share * cost.cpuMsPerJob)]))});
			for (const [name, share] of shares.top) {
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
