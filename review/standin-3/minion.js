/* eslint camelcase: off, @stylistic/max-len: off -- the names are the platform's, and its settings are long */
// A stand-in of a minion: it runs what it is told to start, under a lease, and lists what runs and what has ended.
import {createServer, request} from 'node:http';
import {shortened} from './record.js';

const tickMs = 5;

/** Minion is one life of a worker on a `side` machine. The time that a task takes stands in its spec, as `"ms":NUMBER`. */
export class Minion {
	/** `note` is called with each thing that happens to a run. */
	static async create(options) {
		const minion = new Minion(options);
		const [host, port] = options.address.split(':');
		await new Promise((resolve, reject) => {
			minion.server.once('error', reject);
			minion.server.listen(Number(port), host, resolve);
		});
		options.note('minion', {minion: options.id, born: minion.born});
		minion.ping();
		minion.timers.push(setInterval(() => {
			minion.ping();
		}, options.heartbeatMs), setInterval(() => {
			minion.tick();
		}, tickMs));
		return minion;
	}

	born = Date.now();
	startedAt = performance.now();
	sequence = 0;
	fence = 0;
	leaseUntil = 0;
	endNumber = 0;
	running = new Map();
	ended = [];
	highest = new Map();
	waiting = new Set();
	timers = [];
	state = 'ready';
	isUp = true;

	constructor(options) {
		this.options = options;
		this.server = createServer((incoming, response) => {
			let text = '';
			incoming.setEncoding('utf8');
			incoming.on('data', chunk => {
				text += chunk;
			});
			incoming.on('end', () => {
				const {url, headers} = incoming;
				const lateMs = url === '/sniperidge/hold' ? undefined : options.delayOrder?.();
				if (lateMs === undefined) {
					this.answer({url, headers}, response, text);
					return;
				}

				const {task, run} = JSON.parse(text);
				options.note('order left unanswered', {
					minion: options.id, url, task, run, lateMs,
				});
				setTimeout(() => {
					options.carryOut({url, headers}, text);
				}, lateMs);
			});
		});
	}

	/** Carries out an order that was left unanswered. */
	carryOut(order, text) {
		const response = {
			writeHead: status => {
				const {task, run} = JSON.parse(text);
				this.options.note('order carried out late', {
					minion: this.options.id, born: this.born, url: order.url, task, run, status,
				});
			}, end: () => undefined,
		};
		this.answer(order, response, text);
	}

	get clock() {
		return Math.round(performance.now() - this.startedAt) + this.options.clockFrom;
	}

	/** Ends at once: everything that runs ends with it, and nobody is told. */
	close() {
		if (!this.isUp) {
			return;
		}

		this.options.note('minion ended', {minion: this.options.id, born: this.born, running: [...this.running.keys()]});
		this.isUp = false;
		for (const timer of this.timers) {
			clearInterval(timer);
		}

		this.server.close();
		this.server.closeAllConnections();
	}

	answer({url, headers}, response, text) {
		const target = headers['x-target-instance'];
		if (target !== undefined && target !== this.options.id) {
			this.send(response, 421, {});
			return;
		}

		const body = JSON.parse(text);
		const fence = body.fence ?? 0;
		if (fence < this.fence) {
			this.send(response, 409, {reason: 'fence'});
			return;
		}

		this.fence = fence;
		switch (url) {
			case '/sniperidge/run-start': {
				this.start(body, response);
				break;
			}

			case '/sniperidge/run-stop': {
				this.stop(body, response);
				break;
			}

			case '/sniperidge/hold': {
				this.hold(body, response);
				break;
			}

			default: {
				this.send(response, 404, {});
			}
		}
	}

	start({task, run, spec, deadline_ms: deadline}, response) {
		if (deadline !== undefined && deadline < this.clock) {
			this.send(response, 409, {reason: 'late'});
			return;
		}

		this.extend(deadline);
		const current = this.running.get(task);
		if (current?.run === run) {
			this.send(response, 200, {});
			return;
		}

		if (run <= (this.highest.get(task) ?? 0) || current) {
			this.send(response, 409, {reason: 'old'});
			return;
		}

		const ms = Number(/"ms":(?<ms>\d+)/v.exec(spec)?.groups.ms ?? 100);
		this.running.set(task, {run, endsAt: this.clock + ms});
		this.highest.set(task, run);
		this.options.note('start', {
			minion: this.options.id, born: this.born, task, run, ...shortened(spec),
		});
		this.send(response, 200, {});
	}

	stop({task, run}, response) {
		this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
		if (this.running.get(task)?.run === run) {
			this.end(task, 'stopped');
		}

		this.send(response, 200, {});
	}

	hold({seen_upto: seen = 0, deadline_ms: deadline, wait_ms: waitMs = 0}, response) {
		this.extend(deadline);
		this.ended = this.ended.filter(([number]) => number > seen);
		const until = this.clock + Math.min(2000, waitMs);
		const look = () => {
			if (this.ended.length === 0 && this.clock < until && !response.destroyed) {
				return;
			}

			this.waiting.delete(look);
			this.send(response, 200, {
				running: [...this.running].map(([task, {run}]) => [task, run, '', 50]), ended: this.ended.slice(0, 500),
			});
		};

		this.waiting.add(look);
		look();
	}

	extend(deadline = 0) {
		this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, this.clock + this.options.holdMaxMs));
	}

	tick() {
		const now = this.clock;
		for (const [task, {endsAt}] of this.running) {
			if (now > this.leaseUntil) {
				this.end(task, 'lapsed');
			} else if (now >= endsAt) {
				this.end(task, 'done');
			}
		}

		for (const look of this.waiting) {
			look();
		}
	}

	end(task, how) {
		const {run} = this.running.get(task);
		this.running.delete(task);
		this.endNumber++;
		this.ended.push([this.endNumber, task, run, how, '']);
		this.options.note('end', {
			minion: this.options.id, born: this.born, task, run, how,
		});
	}

	ping() {
		const {id, control, service, zone, address, capacity, labels} = this.options;
		this.sequence++;
		const [host, port] = control.split(':');
		const text = JSON.stringify({
			service, addr: address, zone, version: 'v1', slots: 8, state: this.state, cold_left_ms: 0, capacity, labels, clock_ms: this.clock, born: this.born, seq: this.sequence,
		});
		const outgoing = request({
			host, port, method: 'PUT', path: `/sniperidge/instances/${id}`, headers: {'content-type': 'application/json'}, timeout: 1000,
		}, answer => {
			answer.resume();
		});
		// A ping that is not answered is followed by the next.
		outgoing.on('error', () => undefined);
		outgoing.end(text);
	}

	send(response, status, value) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify({clock_ms: this.clock, born: this.born, ...value}));
	}
}
