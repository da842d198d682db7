import {createConnection} from 'node:net';
import {Writable} from 'node:stream';
import test, {type ExecutionContext} from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {LogSink} from '../src/adapters/log.js';
import {
	Links, splitAddress, type Link, type LinkEndReason, type Receiver,
} from '../src/ephemeral/link.js';
import type {Message} from '../src/ephemeral/messages.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';

/** A receiver that keeps what it gets and resolves when its link ends. */
function keeper(isAtStake = false): {receiver: Receiver; got: Message[]; over: Promise<LinkEndReason>} {
	const got: Message[] = [];
	let end!: (why: LinkEndReason) => void;
	const over = new Promise<LinkEndReason>(resolve => {
		end = resolve;
	});
	const receiver: Receiver = {
		receive(message) {
			got.push(message);
		},
		linkEnded(_link, why) {
			end(why);
		},
		isNeeded: () => isAtStake,
	};
	return {receiver, got, over};
}

/** Listens on a free port. Resolves to the address. */
async function open(t: ExecutionContext, receiver: Receiver): Promise<string> {
	return links(t, receiver).listen('127.0.0.1:0');
}

function links(t: ExecutionContext, receiver: Receiver): Links {
	const made = Links.create(systemClock, receiver);
	t.teardown(() => {
		made.close();
	});
	return made;
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

/** Opens a connection that says lines at once and every 100 ms, and counts the lines that come. */
function raw(t: ExecutionContext, address: string, first: string, again = ''): {closed: Promise<void>; count(): number} {
	const [host, port] = splitAddress(address);
	const socket = createConnection({host, port});
	let lines = 0;
	socket.on('error', () => undefined);
	socket.on('data', (bytes: Uint8Array) => {
		lines += new TextDecoder().decode(bytes).split('\n').length - 1;
	});
	socket.write(first);
	const timer = setInterval(() => {
		socket.write(again);
	}, 100);
	const closed = new Promise<void>(resolve => {
		socket.once('close', () => {
			clearInterval(timer);
			resolve();
		});
	});
	t.teardown(() => {
		clearInterval(timer);
		socket.destroy();
	});
	return {count: () => lines, closed};
}

const greeting = '[{"kind":"hello","role":"sidecar","node":"s","life":"l"}]\n';

test('link: one on which something depends is given up in silence sooner than one at rest', async t => {
	const tense = keeper(true);
	const calm = keeper();
	const [tenseAt, calmAt] = [await open(t, tense.receiver), await open(t, calm.receiver)];
	const first = raw(t, calmAt, greeting);
	const second = raw(t, tenseAt, greeting);
	const order: string[] = [];
	await Promise.all([first, second].map(async ({closed}, index) => {
		await closed;
		order.push(index === 0 ? 'calm' : 'tense');
	}));
	t.deepEqual(order, ['tense', 'calm']);
	t.deepEqual([await tense.over, await calm.over], ['silent', 'silent']);
});

test('link: a side at rest says often that it is alive only where the other side needs to know', async t => {
	const address = await open(t, keeper().receiver);
	const needing = raw(t, address, greeting, '[{"kind":"beat","needed":true}]\n');
	const resting = raw(t, address, greeting, '[{"kind":"beat","needed":false}]\n');
	while (resting.count() < 2) {
		await systemClock.sleep(10);
	}

	t.true(needing.count() >= 2 * resting.count(), `${needing.count()} and ${resting.count()}`);
});

test('link: messages arrive whole and in order, however they are cut up, and beats keep an idle link up', async t => {
	const {receiver, got} = keeper();
	const address = await open(t, receiver);
	const link = await links(t, keeper().receiver).dial(address);
	const hello = {
		kind: 'hello', role: 'entry', node: 'n', life: 'l',
	} as const;
	link!.sendHello(hello);
	const texts = Array.from({length: 500}, (_, index) => `${index}: ${'ž'.repeat(index)}`);
	for (const [asOf, text] of texts.entries()) {
		link!.send({kind: 'desired', asOf, text});
	}

	await systemClock.sleep(1000);
	t.true(link!.isOpen);
	t.deepEqual(got, [hello, ...texts.map((text, asOf) => ({kind: 'desired' as const, asOf, text}))]);
	link!.close();
});

// Guards against a counter that leaves out bytes: those sent before the other side's hello, or those of links that have ended.
test('link: both sides count the same bytes by the role of the other side, also after the link has ended', async t => {
	const passive = keeper();
	const accepting = links(t, passive.receiver);
	const address = await accepting.listen('127.0.0.1:0');
	const dialling = links(t, keeper().receiver);
	const link = await dialling.dial(address);
	link!.sendHello({
		kind: 'hello', role: 'entry', node: 'n', life: 'l',
	});
	link!.send({kind: 'desired', asOf: 1, text: 'ž'.repeat(1000)});
	while (passive.got.length < 2) {
		await systemClock.sleep(10);
	}

	link!.close();
	await passive.over;
	const meters = DispatcherMetrics.create();
	meters.registerTraffic(accepting.traffic);
	const {values} = (await meters.registry.getMetricsAsJSON()).find(({name}) => name === 'sniperidge_link_bytes_total') as unknown as {values: Array<{value: number}>};
	t.true(dialling.traffic.stranger.out > 2000);
	t.is(values.reduce((sum, {value}) => sum + value, 0), dialling.traffic.stranger.out + dialling.traffic.stranger.in);
	t.deepEqual([link!.unsentBytes, dialling.unsentBytes], [0, 0]);
});

test('link: an address where nobody listens cannot be dialled', async t => {
	t.is(await links(t, keeper().receiver).dial('127.0.0.1:1'), undefined as Link | undefined);
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
	const sink = LogSink.create(output);
	for (let index = 0; index < 5000; index++) {
		sink.write('line\n');
	}

	sink.flush();
	t.deepEqual([written.length, sink.droppedLines], [0, 3000]);
	stuck = false;
	sink.flush();
	t.is(written.join(''), 'line\n'.repeat(2000));
});
