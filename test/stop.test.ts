import {createServer} from 'node:http';
import net, {type AddressInfo} from 'node:net';
import process from 'node:process';
import test from 'ava';
import {Agent, request} from 'undici';
import {systemClock} from '../src/adapters/clock.js';
import {systemRandom} from '../src/adapters/random.js';
import {deferred} from '../src/deferred.js';
import {buildOperatorApi, type Dependencies} from '../src/entry/operator-api.js';
import {closeListener} from '../src/entry/listener.js';

async function get(port: number): Promise<string> {
	return new Promise(resolve => {
		const socket = net.connect(port, '127.0.0.1');
		let got = '';
		socket.on('data', (bytes: Uint8Array) => {
			got += String(bytes);
		});
		socket.once('end', () => {
			resolve(got.split('\r\n')[0]!);
		});
		socket.once('error', error => {
			resolve((error as NodeJS.ErrnoException).code ?? error.message);
		});
		socket.write('GET / HTTP/1.1\r\nhost: here\r\nconnection: close\r\n\r\n');
	});
}

for (const callers of [1, 60]) {
	test(`a closing listener first accepts the connections that wait: ${callers}`, async t => {
		const server = createServer((_request, response) => {
			response.end('here');
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as AddressInfo;
		const answers = Array.from({length: callers}, async () => get(port));
		// The kernel connects them on the next tick; the process accepts in a later turn.
		await new Promise(process.nextTick);
		await closeListener(server, () => false);
		t.deepEqual(new Set(await Promise.all(answers)), new Set(['HTTP/1.1 200 OK']));
		t.is(await get(port), 'ECONNREFUSED');
	});
}

test('a closing listener does not wait past its time limit', async t => {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	await closeListener(server, () => true);
	t.is(await get(port), 'ECONNREFUSED');
});

test('an operator\'s request in progress when the entry stops is answered, and its connection does not delay the stop', async t => {
	const status = deferred<unknown>();
	const asked = deferred<void>();
	let stopping = false;
	const parts: Partial<Dependencies> = {
		clock: systemClock,
		random: systemRandom,
		token: 'operator',
		isStopping: () => stopping,
		async status() {
			asked.resolve();
			return status.promise;
		},
	};
	const admin = buildOperatorApi(parts as Dependencies);
	const agent = new Agent();
	t.teardown(async () => agent.destroy());
	const reply = request(`${await admin.listen({host: '127.0.0.1', port: 0})}/v1/admin/status`, {dispatcher: agent, headers: {authorization: 'Bearer operator'}});
	await asked.promise;
	stopping = true;
	const closed = admin.close();
	status.resolve({jobs: 0});
	const {headers, body} = await reply;
	t.deepEqual(await body.json(), {jobs: 0});
	t.is(headers.connection, 'close');
	await closed;
});
