import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import type {ExecutionContext} from 'ava';

const program = fileURLToPath(new URL('../platform/entry.js', import.meta.url));

async function freePorts(count: number): Promise<number[]> {
	const servers = Array.from({length: count}, () => createServer());
	const ports = await Promise.all(servers.map(async server => new Promise<number>(resolve => {
		server.listen(0, '127.0.0.1', () => {
			resolve((server.address() as AddressInfo).port);
		});
	})));
	for (const server of servers) {
		server.close();
	}

	return ports;
}

/** Starts the entry's program for the users' platform. Resolves to the port where it takes callers and the address where it takes links. */
export async function startEntry(t: ExecutionContext, store: string): Promise<{front: number; links: string; child: ChildProcess}> {
	const [front, ready, links] = await freePorts(3) as [number, number, number];
	const folder = mkdtempSync(path.join(tmpdir(), 'entry-'));
	const settings = path.join(folder, 'settings.json');
	writeFileSync(settings, JSON.stringify({
		node: 'entry-1',
		ip: '127.0.0.1',
		zone: 'z',
		serves: ['edge'],
		listen: {front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}`},
		port_range: [links, links],
		bounds: {hold_max_ms: 1000, grace_s: 6},
		platform: {addr: store},
	}));
	const child: ChildProcess = spawn(process.execPath, ['--input-type=module', '-e', `import(${JSON.stringify(program)}).then(({start}) => start(false))`], {
		env: {...process.env, SNIPERIDGE_SETTINGS: settings}, stdio: 'ignore',
	});
	t.teardown(() => {
		child.kill('SIGKILL');
		rmSync(folder, {recursive: true});
	});
	return {front, links: `127.0.0.1:${links}`, child};
}
