/* eslint-disable camelcase -- the names on the wire and in the settings are those of the pages */
// Stand-in of a minion: it runs tasks on orders and reports itself to the sidecar of its machine, as PROTOCOL.md describes it.
// The spec of a task is JSON with `ms`, how long the task works, and optionally `fails`, how many of its runs end `failed`.
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {Agent, createServer, request as send} from 'node:http';

const stopMs = 20;
const listedEnds = 500;
/** Where the answer goes that nobody gets. */
const unheard = {destroyed: true};

/** Returns what a spec says of the work. A text that is no JSON is some work. */
function workOf(spec) {
	try {
		return JSON.parse(spec);
	} catch {
		return {ms: 200};
	}
}

/** Minion is one life of a worker at a time; `restart` begins the next under the same id. */
export class Minion {
	static async create(options) {
		const minion = new Minion(options);
		await new Promise((resolve, reject) => {
			minion.server.once('error', reject);
			minion.server.listen({host: options.host, port: options.port}, resolve);
		});
		minion.beat();
		return minion;
	}

	id = `i-${randomBytes(4).toString('hex')}`;
	seq = 0;
	fence = 0;
	born = Date.now();
	/** Runs at work, by task. */
	running = new Map();
	/** The highest run of a task that was stopped or has ended here. */
	endedRuns = new Map();
	ended = [];
	lastEnd = 0;
	leaseUntil = 0;
	state = 'ready';
	waiting = new Set();
	isUp = true;
	/** Whether this boot has been called. */
	isCalled = false;
	/** The number of failed runs so far, by task. */
	failures = new Map();
	agent = new Agent({keepAlive: true});
	server = createServer((request, response) => {
		const chunks = [];
		request.on('data', chunk => chunks.push(chunk));
		request.on('end', () => {
			this.handle(request, response, Buffer.concat(chunks).toString());
		});
	});

	/** `note` records what happens; `hold_max_ms` is the longest lease. */
	constructor(options) {
		this.options = options;
		this.startedAt = performance.now();
		this.beatTimer = setInterval(() => {
			this.beat();
		}, options.heartbeatMs);
		this.leaseTimer = setInterval(() => {
			this.checkLease();
		}, 5);
	}

	get clock() {
		return 1000 + Math.floor(performance.now() - this.startedAt);
	}

	close() {
		clearInterval(this.beatTimer);
		clearInterval(this.leaseTimer);
		for (const {timer} of this.running.values()) {
			clearTimeout(timer);
		}

		this.agent.destroy();
		this.server.close();
		this.server.closeAllConnections();
	}

	/** Reports itself to the sidecar, and again until that is acknowledged. */
	beat() {
		if (!this.isUp) {
			return;
		}

		const {control, service, host, port, zone, capacity} = this.options;
		const [controlHost, controlPort] = control.split(':');
		const body = JSON.stringify({
			service,
			addr: `${host}:${port}`,
			zone,
			version: 'v1',
			slots: 8,
			state: this.state,
			cold_left_ms: 0,
			capacity,
			labels: ['a', 'r1'],
			clock_ms: this.clock,
			seq: ++this.seq,
			born: this.born,
		});
		const request = send({
			host: controlHost,
			port: Number(controlPort),
			agent: this.agent,
			method: 'PUT',
			path: `/sniperidge/instances/${this.id}`,
			headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)},
			timeout: 1000,
		}, response => {
			response.resume();
		});
		request.on('timeout', () => request.destroy());
		request.on('error', () => {
			if (this.isUp && this.server.listening) {
				clearTimeout(this.soon);
				this.soon = setTimeout(() => {
					this.beat();
				}, 100);
			}
		});
		request.end(body);
	}

	checkLease() {
		if (this.running.size > 0 && this.clock > this.leaseUntil) {
			for (const task of this.running.keys()) {
				this.end(task, 'lapsed');
			}
		}
	}

	/** Renews the lease up to `deadline`, within what is allowed. It never shortens. */
	renew(deadline) {
		if (deadline > 0) {
			this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, this.clock + this.options.holdMaxMs));
		}
	}

	end(task, how) {
		const {run, timer} = this.running.get(task);
		clearTimeout(timer);
		this.running.delete(task);
		this.endedRuns.set(task, Math.max(run, this.endedRuns.get(task) ?? 0));
		this.ended.push([++this.lastEnd, task, run, how, '']);
		this.options.note('end', {
			minion: this.options.name, task, run, how,
		});
		for (const wake of this.waiting) {
			wake();
		}
	}

	/** Loses power, and starts again under the same id `downMs` later: it then knows nothing of before. */
	crash(downMs) {
		this.options.note('crash', {minion: this.options.name});
		for (const [task, {run, timer}] of this.running) {
			clearTimeout(timer);
			this.options.note('end', {
				minion: this.options.name, task, run, how: 'crash',
			});
		}

		this.isUp = false;
		this.isCalled = false;
		this.running.clear();
		this.endedRuns.clear();
		this.waiting.clear();
		this.ended = [];
		this.lastEnd = 0;
		this.leaseUntil = 0;
		this.fence = 0;
		this.seq = 0;
		clearTimeout(this.soon);
		this.server.close();
		this.server.closeAllConnections();
		setTimeout(() => {
			this.startedAt = performance.now();
			this.born = Date.now();
			this.server.listen({host: this.options.host, port: this.options.port}, () => {
				this.isUp = true;
				this.options.note('boot', {minion: this.options.name, id: this.id, born: this.born});
				this.beat();
			});
		}, downMs);
	}

	/** Carries out the next start of a task `delayMs` later and leaves it unanswered. `taken` is called when it arrives. */
	delayStart(task, delayMs, taken) {
		this.delay = {task, delayMs, taken};
	}

	handle(request, response, text) {
		const {delay} = this;
		if (delay && request.url === '/sniperidge/run-start' && JSON.parse(text).task === delay.task) {
			const {task, run, fence, deadline_ms: deadline} = JSON.parse(text);
			this.options.note('start left unanswered', {
				minion: this.options.name, task, run, fence, deadline, clock: this.clock,
			});
			delay.taken(this);
			setTimeout(() => {
				this.options.note('start carried out late', {
					minion: this.options.name, task, run, fence, deadline, clock: this.clock, fenceSeen: this.fence,
				});
				this.carryOut(request, unheard, text);
			}, delay.delayMs);
			return;
		}

		this.carryOut(request, response, text);
	}

	carryOut(request, response, text) {
		if (!this.isCalled && response !== unheard) {
			this.isCalled = true;
			this.options.note('first call of a boot', {minion: this.options.name, url: request.url});
		}

		const body = JSON.parse(text || '{}');
		const target = request.headers['x-target-instance'];
		if (target !== undefined && target !== this.id) {
			this.send(response, 421, {});
			return;
		}

		if ((body.fence ?? 0) < this.fence) {
			this.send(response, 409, {reason: 'fence'});
			return;
		}

		this.fence = body.fence ?? 0;
		switch (request.url) {
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
		const there = this.running.get(task);
		if (there?.run === run) {
			this.renew(deadline);
			this.send(response, 200, {});
		} else if (deadline <= this.clock) {
			this.send(response, 409, {reason: 'late'});
		} else if (run <= (this.endedRuns.get(task) ?? 0) || there) {
			this.renew(deadline);
			this.send(response, 409, {reason: 'old'});
		} else {
			this.renew(deadline);
			this.options.note('start', {
				minion: this.options.name, task, run, spec,
			});
			const {ms, fails = 0} = workOf(spec);
			this.running.set(task, {
				run, timer: setTimeout(() => {
					const failures = this.failures.get(task) ?? 0;
					this.failures.set(task, failures + 1);
					this.end(task, failures < fails ? 'failed' : 'done');
				}, ms),
			});
			this.send(response, 200, {});
		}
	}

	stop({task, run}, response) {
		if (this.running.get(task)?.run === run) {
			setTimeout(() => {
				if (this.running.get(task)?.run === run) {
					this.end(task, 'stopped');
				}
			}, stopMs);
		} else {
			this.endedRuns.set(task, Math.max(run, this.endedRuns.get(task) ?? 0));
		}

		this.send(response, 200, {});
	}

	hold({seen_upto: seen = 0, deadline_ms: deadline, wait_ms: waitMs = 0}, response) {
		this.renew(deadline ?? 0);
		this.ended = this.ended.filter(([number]) => number > seen);
		let timer;
		const answer = () => {
			clearTimeout(timer);
			this.waiting.delete(answer);
			this.send(response, 200, {
				born: this.born, running: [...this.running].map(([task, {run}]) => [task, run, '', 50, 0]), ended: this.ended.slice(0, listedEnds),
			});
		};

		if (this.ended.length > 0 || waitMs === 0) {
			answer();
		} else {
			this.waiting.add(answer);
			timer = setTimeout(answer, waitMs);
		}
	}

	send(response, status, body) {
		if (!response.destroyed) {
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(JSON.stringify({clock_ms: this.clock, ...body}));
		}
	}
}
