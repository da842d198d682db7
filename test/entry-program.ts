import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import type {ExecutionContext} from 'ava';

const program = fileURLToPath(new URL('../platform/entry.js', import.meta.url));

/** Where ports are looked for: below those that connections get, as one of them could take a port before the program listens there. */
const firstPort = 20_000;
const portCount = 12_000;

/** Returns ports that nothing listens on. */
export async function findFreePorts(count: number): Promise<number[]> {
	const servers: Server[] = [];
	while (servers.length < count) {
		const server = createServer();
		const isFree = await new Promise<boolean>(resolve => {
			server.once('error', () => {
				resolve(false);
			});
			server.listen(firstPort + Math.floor(Math.random() * portCount), '127.0.0.1', () => {
				resolve(true);
			});
		});
		if (isFree) {
			servers.push(server);
		}
	}

	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return ports;
}

/** Starts the entry's program for the users' platform. Resolves to the port where it takes callers and the address where it takes links. */
export async function startEntry(t: ExecutionContext, store: string): Promise<{front: number; links: string; child: ChildProcess}> {
	const [front, ready, links] = await findFreePorts(3) as [number, number, number];
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
