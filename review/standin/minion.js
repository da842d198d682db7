/* eslint-disable camelcase -- The names are the platform's: fields of its messages and settings. */
/** A stand-in for a minion, by the published protocol: it starts whatever it is told to, holds leases and lists its ends. */
import {Buffer} from 'node:buffer';
import {createServer, request as httpRequest} from 'node:http';

/** How often a hold looks for an end, in milliseconds. */
const lookMs = 2;

export class Minion {
	/** The boot: the id, the start in Unix milliseconds, and what it can hold. */
	id = '';
	born = 0;
	capacity = {cpu: 0, mem_mb: 0, gpu: 0};
	#options;
	#server = undefined;
	#sockets = new Set();
	#running = new Map();
	#highest = new Map();
	#ended = [];
	#ends = 0;
	#fence = 0;
	#leaseUntil = 0;
	#startedAt = 0;
	#sequence = 0;
	#timer = undefined;
	#pinger = undefined;

	/**
	 * `address` is where orders arrive, `control` where pings go; `workOf` returns a task's length in milliseconds
	 * and its `cpu`; `record` takes what happens; `leavesUnanswered` decides on a start that gets no answer.
	 */
	constructor(options) {
		this.#options = options;
	}

	get isUp() {
		return this.#server !== undefined;
	}

	/** What runs now, as the sum of the tasks' `cpu`. */
	get cpuInUse() {
		let sum = 0;
		for (const {cpu} of this.#running.values()) {
			sum += cpu;
		}

		return sum;
	}

	/** Boots: nothing runs and nothing is known of before. */
	async boot({id, born, capacity}) {
		this.id = id;
		this.born = born;
		this.capacity = capacity;
		this.#running = new Map();
		this.#highest = new Map();
		this.#ended = [];
		this.#ends = 0;
		this.#fence = 0;
		this.#leaseUntil = 0;
		this.#sequence = 0;
		this.#startedAt = performance.now();
		const server = createServer((request, response) => {
			const chunks = [];
			request.on('data', chunk => chunks.push(chunk));
			request.on('end', () => {
				this.#handle(request, response, Buffer.concat(chunks).toString());
			});
		});
		server.keepAliveTimeout = 60_000;
		server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('error', () => {});
			socket.on('close', () => this.#sockets.delete(socket));
		});
		const {host, port, heartbeatMs} = this.#options;
		await new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen({host, port}, resolve);
		});
		this.#server = server;
		this.#options.record({
			event: 'boot', minion: `${host}:${port}`, id, born, capacity,
		});
		this.#timer = setInterval(() => {
			this.#checkLease();
		}, 5);
		this.#pinger = setInterval(() => {
			this.#ping();
		}, heartbeatMs);
		this.#ping();
	}

	/** Carries out an order that was left unanswered, as far as the boot that is there now accepts it. */
	carryOut(order) {
		if ((order.fence ?? 0) >= this.#fence) {
			this.#fence = order.fence ?? 0;
			this.#start(order, () => {});
		}
	}

	/** Ends at once, as in a crash: nobody is told. */
	crash() {
		clearInterval(this.#timer);
		clearInterval(this.#pinger);
		for (const {timer} of this.#running.values()) {
			clearTimeout(timer);
		}

		if (this.#server) {
			this.#options.record({event: 'crash', minion: `${this.#options.host}:${this.#options.port}`, id: this.id});
		}

		this.#server?.close();
		this.#server = undefined;
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	get #clock() {
		return Math.floor(performance.now() - this.#startedAt);
	}

	#ping() {
		const {
			host, port, control, service, zone,
		} = this.#options;
		const ping = httpRequest({
			host: control.host, port: control.port, method: 'PUT', path: `/sniperidge/instances/${this.id}`, headers: {'content-type': 'application/json'}, timeout: 1000,
		}, response => {
			response.resume();
		});
		ping.on('error', () => {});
		ping.on('timeout', () => ping.destroy());
		ping.end(JSON.stringify({
			service,
			addr: `${host}:${port}`,
			zone,
			version: 'v1',
			slots: 8,
			state: 'ready',
			cold_left_ms: 0,
			capacity: this.capacity,
			labels: ['a', 'r1-1'],
			clock_ms: this.#clock,
			seq: ++this.#sequence,
			born: this.born,
		}));
	}

	#handle(request, response, text) {
		const send = (status, value) => {
			response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify({...value, clock_ms: this.#clock, born: this.born}));
		};

		const target = request.headers['x-target-instance'];
		if (target !== undefined && target !== this.id) {
			send(421, {});
			return;
		}

		const body = JSON.parse(text);
		if ((body.fence ?? 0) < this.#fence) {
			send(409, {reason: 'fence'});
			return;
		}

		this.#fence = body.fence ?? 0;
		switch (request.url) {
			case '/sniperidge/run-start': {
				if (this.#options.leavesUnanswered?.(this, body)) {
					break;
				}

				this.#start(body, send);
				break;
			}

			case '/sniperidge/run-stop': {
				const active = this.#running.get(body.task);
				this.#highest.set(body.task, Math.max(body.run, this.#highest.get(body.task) ?? 0));
				if (active?.run === body.run) {
					this.#end(body.task, 'stopped');
				}

				send(200, {});
				break;
			}

			case '/sniperidge/hold': {
				this.#extend(body.deadline_ms);
				this.#ended = this.#ended.filter(([number]) => number > (body.seen_upto ?? 0));
				this.#hold(performance.now() + (body.wait_ms ?? 0), response, send);
				break;
			}

			default: {
				send(400, {});
			}
		}
	}

	#extend(deadline) {
		if (deadline !== undefined) {
			this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(deadline, this.#clock + this.#options.holdMaxMs));
		}
	}

	#start({task, run, spec, deadline_ms: deadline}, send) {
		const active = this.#running.get(task);
		if (active?.run === run) {
			send(200, {});
			return;
		}

		this.#extend(deadline);
		if (active || run <= (this.#highest.get(task) ?? 0)) {
			send(409, {reason: 'old'});
			return;
		}

		if ((deadline ?? 0) <= this.#clock) {
			send(409, {reason: 'late'});
			return;
		}

		const {workMs, cpu} = this.#options.workOf(task);
		this.#running.set(task, {
			run, cpu, timer: setTimeout(() => {
				this.#end(task, 'done');
			}, workMs),
		});
		this.#options.record({
			event: 'start', minion: `${this.#options.host}:${this.#options.port}`, task, run, spec, cpuInUse: this.cpuInUse, cpu: this.capacity.cpu,
		});
		send(200, {});
	}

	#end(task, how) {
		const {run, timer} = this.#running.get(task);
		clearTimeout(timer);
		this.#running.delete(task);
		this.#highest.set(task, Math.max(run, this.#highest.get(task) ?? 0));
		this.#ended.push([++this.#ends, task, run, how, '']);
		this.#options.record({
			event: 'end', minion: `${this.#options.host}:${this.#options.port}`, task, run, how,
		});
	}

	#hold(until, response, send) {
		if (this.#ended.length > 0 || performance.now() >= until) {
			send(200, {
				running: [...this.#running].map(([task, {run, cpu}]) => [task, run, '', 100, cpu]),
				ended: this.#ended.slice(0, 500),
			});
		} else if (!response.destroyed) {
			setTimeout(() => {
				this.#hold(until, response, send);
			}, lookMs);
		}
	}

	#checkLease() {
		if (this.#running.size > 0 && this.#clock > this.#leaseUntil) {
			for (const task of this.#running.keys()) {
				this.#end(task, 'lapsed');
			}
		}
	}
}
