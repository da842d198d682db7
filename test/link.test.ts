import {createConnection, type AddressInfo} from 'node:net';
import {Writable} from 'node:stream';
import test, {type ExecutionContext} from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {Sink} from '../src/adapters/log.js';
import {
	dial, listen, splitAddress, type Link, type LinkEnd, type Receiver,
} from '../src/ephemeral/link.js';
import type {Message} from '../src/ephemeral/messages.js';

/** A receiver that keeps what it gets and resolves when its link ends. */
function keeper(): {receiver: Receiver; got: Message[]; over: Promise<LinkEnd>} {
	const got: Message[] = [];
	let end!: (why: LinkEnd) => void;
	const over = new Promise<LinkEnd>(resolve => {
		end = resolve;
	});
	const receiver: Receiver = {
		receive(message) {
			got.push(message);
		},
		ended(_link, why) {
			end(why);
		},
	};
	return {receiver, got, over};
}

/** Listens on a free port. Resolves to the address. */
async function open(t: ExecutionContext, receiver: Receiver): Promise<string> {
	const server = await listen('127.0.0.1:0', systemClock, receiver);
	t.teardown(() => {
		server.close();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

for (const [title, bytes, why] of [
	['a side that never says a word', undefined, 'silent'],
	['a line that is no JSON', '{"kind":\n', 'malformed'],
] as const) {
	test(`link: ${title} ends it as ${why}`, async t => {
		const {receiver, over} = keeper();
		const [host, port] = splitAddress(await open(t, receiver));
		const socket = createConnection({host, port});
		socket.on('error', () => undefined);
		t.teardown(() => {
			socket.destroy();
		});
		if (bytes) {
			socket.write(bytes);
		}

		t.is(await over, why);
	});
}

test('link: messages arrive whole and in order, however they are cut up, and beats keep an idle link up', async t => {
	const {receiver, got} = keeper();
	const address = await open(t, receiver);
	const link = await dial(address, systemClock, keeper().receiver);
	const hello = {
		kind: 'hello', role: 'entry', node: 'n', life: 'l',
	} as const;
	link!.greet(hello);
	const texts = Array.from({length: 500}, (_, index) => `${index}: ${'ž'.repeat(index)}`);
	for (const [asOf, text] of texts.entries()) {
		link!.send({kind: 'desired', asOf, text});
	}

	await systemClock.sleep(1000);
	t.true(link!.alive);
	t.deepEqual(got, [hello, ...texts.map((text, asOf) => ({kind: 'desired' as const, asOf, text}))]);
	link!.close();
});

test('link: an address where nobody listens cannot be dialled', async t => {
	t.is(await dial('127.0.0.1:1', systemClock, keeper().receiver), undefined as Link | undefined);
});

test('log: lines are dropped and counted while the output is stuck, and written when it is not', t => {
	const written: string[] = [];
	let stuck = true;
	const output = Object.defineProperty(new Writable({
		write(chunk: Uint8Array, _encoding, done) {
			written.push(new TextDecoder().decode(chunk));
			done();
		},
	}), 'writableLength', {get: () => stuck ? 2_000_000 : 0});
	const sink = Sink.create(output);
	for (let index = 0; index < 5000; index++) {
		sink.write('line\n');
	}

	sink.flush();
	t.deepEqual([written.length, sink.dropped], [0, 3000]);
	stuck = false;
	sink.flush();
	t.is(written.join(''), 'line\n'.repeat(2000));
});
