import process from 'node:process';
import {pino} from 'pino';
import type {EntrySettings, SidecarSettings} from '../settings/schema.js';
import {exits} from './exits.js';

/** Tells a parent process, if there is one, where this one listens; ends with the parent. */
function tellParent(value: Record<string, string>): void {
	process.once('disconnect', () => {
		process.exit(1);
	});
	process.send?.(value);
	process.channel?.unref();
}

/** Runs an entry until SIGTERM or SIGINT, then stops it gracefully. */
export async function runEntry(settings: EntrySettings, operatorToken: string | undefined): Promise<number> {
	const module = await import('../entry/entry.js');
	const log = pino({level: settings.log, base: {process: settings.name}});
	const entry = await module.Entry.create(settings, log, operatorToken);
	log.info({callers: entry.callersUrl, operators: entry.operatorsUrl, peers: entry.address}, 'entry listens');
	tellParent({callers: entry.callersUrl, operators: entry.operatorsUrl, peers: entry.listens});
	await stopped();
	await entry.stop();
	return exits.done;
}

/** Runs a sidecar until SIGTERM or SIGINT, then stops it gracefully. */
export async function runSidecar(settings: SidecarSettings): Promise<number> {
	const module = await import('../sidecar/sidecar.js');
	const log = pino({level: settings.log, base: {process: settings.name}});
	const sidecar = await module.Sidecar.create(settings, log);
	log.info({peers: sidecar.address, local: sidecar.localUrl}, 'sidecar listens');
	tellParent({peers: sidecar.listens, local: sidecar.localUrl});
	await stopped();
	await sidecar.stop();
	return exits.done;
}

/** Resolves when the process is told to stop by SIGTERM or SIGINT. */
export async function stopped(): Promise<void> {
	await new Promise<void>(resolve => {
		for (const name of ['SIGTERM', 'SIGINT']) {
			process.once(name, () => {
				resolve();
			});
		}
	});
}
