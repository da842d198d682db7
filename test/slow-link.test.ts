import {Buffer} from 'node:buffer';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {systemClock} from '../src/adapters/clock.js';
import {decodeDesired} from '../platform/desired.js';
import {startEntry} from './entry-program.js';
import {Proxy} from './proxy.js';

/** The entry's link in the smallest deployments: 2 Mbit/s. */
const linkBytesPerSecond = 250_000;
const pollMs = 50;

const routesOf = (count: number) => Array.from({length: count}, (_, index) => ({
	name: `route-${index}`,
	host: `host-${index}.example`,
	path_prefix: `/prefix-${index}/`,
	service: 'pool',
	target_latency_ms: 60,
	stretch: 1.6,
	priority: index % 3,
	max_attempts: 3,
	timeout_ms: 1500,
}));
const desiredState = (version: number, routes: number) => JSON.stringify({
	version, routes: routesOf(routes), services: [], limits: {max_body_bytes: 262_144},
});

const row = (version: number, value: string) => ({
	table: 'op', part: '', key: 'config', ver: version, value: Buffer.from(value).toString('base64'),
});

/** A stand-in of the platform's store that holds one desired state, and answers feeds when it changes. */
class StoreStandIn {
	static async create(t: ExecutionContext): Promise<StoreStandIn> {
		const store = new StoreStandIn();
		await new Promise<void>(resolve => {
			store.server.listen(0, '127.0.0.1', resolve);
		});
		t.teardown(() => {
			store.server.closeAllConnections();
			store.server.close();
		});
		return store;
	}

	/** The number of answers that held the desired state. */
	sentStates = 0;
	private version = 0;
	private value = '';
	private readonly waiting = new Set<() => void>();
	private readonly server = createServer((incoming, response) => {
		incoming.resume();
		const url = new URL(incoming.url!, 'http://store');
		const isOperator = url.searchParams.get('table') === 'op';
		if (url.pathname.endsWith('/rows-get')) {
			this.answer(response, isOperator);
		} else if (url.pathname.endsWith('/rows-feed')) {
			this.feed(response, isOperator, Number(url.searchParams.get('after')), Number(url.searchParams.get('wait_ms')));
		} else {
			response.end(JSON.stringify({ver: this.version}));
		}
	});

	get address(): string {
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	set(value: string): void {
		this.version++;
		this.value = value;
		for (const wake of this.waiting) {
			wake();
		}
	}

	private answer(response: ServerResponse, withState: boolean): void {
		const hasState = withState && this.version > 0;
		this.sentStates += Number(hasState);
		response.end(JSON.stringify({
			ver: this.version,
			rows: hasState ? [row(this.version, this.value)] : [],
			more_pages: false,
		}));
	}

	private feed(response: ServerResponse, isOperator: boolean, after: number, waitMs: number): void {
		if (isOperator && this.version > after) {
			this.answer(response, true);
			return;
		}

		const end = (): void => {
			clearTimeout(timer);
			this.waiting.delete(end);
			this.answer(response, isOperator && this.version > after);
		};

		const timer = setTimeout(end, waitMs);
		if (isOperator) {
			this.waiting.add(end);
		}
	}
}

/** Resolves when the entry serves a route: a job that nobody knows is answered 410 there, and 404 where the route is not in force. */
async function waitForRoute(front: number, index: number): Promise<void> {
	for (;;) {
		try {
			const {statusCode, body} = await request(`http://127.0.0.1:${front}/prefix-${index}/0123456789abcdef`, {headers: {host: `host-${index}.example`}});
			await body.dump();
			if (statusCode === 410) {
				return;
			}
		} catch {
			// It does not listen yet.
		}

		await systemClock.sleep(pollMs);
	}
}

for (const [title, before] of [['before it starts', true], ['while it serves', false]] as const) {
	// Guards against a limit on the time of a whole answer: the read of a state that takes seconds on a slow link ended and began anew for ever.
	test(`slow link: an entry reads a desired state that grew by thousands of routes ${title}, in one answer`, async t => {
		const store = await StoreStandIn.create(t);
		const proxy = await Proxy.create(store.address);
		t.teardown(async () => proxy.close());
		proxy.bytesPerSecond = linkBytesPerSecond;
		const large = desiredState(2, 4000);
		store.set(before ? large : desiredState(1, 10));
		const {front} = await startEntry(t, proxy.address);
		if (!before) {
			await waitForRoute(front, 9);
			store.set(large);
		}

		await waitForRoute(front, 3999);
		t.is(store.sentStates, before ? 1 : 2);
	});
}

/** Eight times the routes take 8 times as long where a decode is linear and 64 times where it is quadratic; the limit is the geometric mean. */
const maxDecodeRatio = 23;

// Guards against a decode whose time per route grows with the number of routes, which would hold up heartbeats on a small share of a core.
test('slow link: the decoding of a state grows no faster than its routes', t => {
	const timeOf = (routes: number): number => {
		const rows = new Map([['config', desiredState(1, routes)]]);
		decodeDesired(rows);
		// The fastest of several, so that other processes on the machine don't count.
		return Math.min(...Array.from({length: 15}, () => {
			const from = performance.now();
			decodeDesired(rows);
			return performance.now() - from;
		}));
	};

	const ratio = timeOf(4000) / timeOf(500);
	t.log({perRouteMs: timeOf(4000) / 4000, ratio});
	t.true(ratio < maxDecodeRatio, `8 times the routes took ${ratio} times as long`);
});
