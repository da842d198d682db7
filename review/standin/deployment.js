/* eslint-disable camelcase -- The names are the platform's: fields of its messages and settings. */
/** A small deployment on loopback addresses: the project's own programs by the commands of the deploy file, and stand-ins around them. */
import {spawn} from 'node:child_process';
import {
	appendFileSync, createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Minion} from './minion.js';
import {Store} from './store.js';

/** The bounds and limits of the site `zti-tisak`. */
const bounds = {
	seed_lag_s: 3,
	reuse_after_s: 2,
	contact_ms: 3000,
	ack_ms: 4000,
	catch_up_s: 4,
	drain_ms: 2000,
	grace_s: 6,
	loss_slack_ms: 200,
	config_apply_ms: 2000,
	rollback_slack_ms: 250,
	skew_max_ms: 5000,
	cold_overload: 1.5,
	cold_slack: 5,
	evacuation_ms: 5000,
	recovery_s: 12,
	hold_max_ms: 1000,
	stop_ms: 50,
	gang_ms: 3000,
	cancel_ms: 3000,
	visible_ms: 3000,
	early_ms: 250,
	finish_s: 14,
	status_s: 120,
	far_x: 1.5,
	checkpoint_s: 0.5,
	restore_ms: 600,
	notice_ms: 4500,
	move_s: 1.5,
	maintenance_s: 2,
	enforce_fencing: false,
	lease_ms: 3000,
	thaw_ms: 300,
	pace_ms: 100,
	harm_ms: 4000,
	retransmit_ms: 1300,
};
const heartbeatMs = 1500;
const service = 'service-1';
const zones = {'zone-a': 'region-1', 'zone-b': 'region-1'};
/** From the start of the machines to the start of traffic, in milliseconds. */
export const leadMs = 12_000;

/** How long after the machines the minions start, in milliseconds: their first pings find the sidecars listening. */
const minionLagMs = 800;

export const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Returns the commands of the roles in the deploy file. */
function commands(root) {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return new Map([...text.matchAll(/^\[roles\.(\w+)\]\s+run = "([^"]+)"/gmv)].map(([, role, run]) => [role, run.split(' ')]));
}

async function isFree(host, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen({host, port}, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Returns the prefix of a range of loopback addresses on which nobody listens at these ports. */
async function freeRange(hosts, ports) {
	for (let attempt = 0; attempt < 50; attempt++) {
		const prefix = `127.${64 + ((process.pid + (attempt * 7)) % 128)}.${1 + (Math.floor(process.pid / 128) % 250)}`;
		const free = await Promise.all(hosts.flatMap(host => ports.map(async port => isFree(`${prefix}.${host}`, port))));
		if (free.every(Boolean)) {
			return prefix;
		}
	}

	throw new Error('no free loopback addresses');
}

/** The longest time of a case, in milliseconds. */
const limitMs = 110_000;

const ports = {
	front: 8161, ready: 8167, control: 8166, app: 8165, link: 7720, metrics: 9464, store: 8169,
};

export class Deployment {
	store = new Store();
	/** Decides on a start that a minion is to leave unanswered. */
	leavesUnanswered = undefined;
	entries = [];
	sides = [];
	/** The time from the start, in milliseconds. */
	#from = performance.now();
	#directory = mkdtempSync(path.join(tmpdir(), 'sniperidge-review-'));
	#prefix = '';
	#root;
	#record;
	#commands;
	#works = new Map();
	events = [];
	#children = new Set();
	#isClosing = false;

	constructor(folder) {
		this.#root = path.resolve(import.meta.dirname, '../..');
		this.#record = path.join(folder, 'record.txt');
		this.#commands = commands(this.#root);
		writeFileSync(this.#record, '');
	}

	get now() {
		return Math.round(performance.now() - this.#from);
	}

	/** Writes one event to the record and keeps it. */
	record(event) {
		const dated = {at: this.now, ...event};
		this.events.push(dated);
		appendFileSync(this.#record, `${JSON.stringify(dated)}\n`);
	}

	/** Records the work of a job's tasks, in milliseconds, and the `cpu` of each. */
	expectJob(id, workMs, cpu) {
		this.#works.set(id, {workMs, cpu});
	}

	/** The desired state with a version and routes as `[name, prefix]`. */
	config(version, routes) {
		return {
			version,
			routes: routes.map(([name, prefix]) => ({
				name, host: 'jobs.example', path_prefix: prefix, kind: 'non_idempotent', timeout_ms: 1500, target_latency_ms: 60, priority: 0, service, max_attempts: 4, stretch: 1.6,
			})),
			services: [{
				name: service, health_path: '/health', max_conns: 64, protocol: 'h1', tls: false, cold_start_s: 0, cold_per_s: 0, admission_check: false, spare: false,
			}],
			limits: {
				max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
			},
		};
	}

	/**
	 * Starts the store, the entries and the sidecars with their minions, and resolves when traffic starts. `aheadMs`: how far the
	 * time of day of the first side machine is ahead meanwhile; `afterBoot`: what happens after the minions have started.
	 */
	async start({entries, sides, capacity, routes, aheadMs = 0, afterBoot}) {
		const entryHosts = Array.from({length: entries}, (_, index) => 11 + index);
		const sideHosts = Array.from({length: sides}, (_, index) => 31 + index);
		this.#prefix = await freeRange([7, ...entryHosts, ...sideHosts], Object.values(ports));
		await this.store.listen(`${this.#prefix}.7`, ports.store);
		this.store.write('op', 'config', this.config(7, routes));
		for (const [index, host] of entryHosts.entries()) {
			const ip = `${this.#prefix}.${host}`;
			this.entries.push(this.#node('entry', ip, index, {
				front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}`, control: `${ip}:${ports.control}`,
			}));
		}

		for (const [index, host] of sideHosts.entries()) {
			const ip = `${this.#prefix}.${host}`;
			const side = this.#node('sidecar', ip, index, {control: `${ip}:${ports.control}`});
			side.minion = new Minion({
				host: ip,
				port: ports.app,
				control: {host: ip, port: ports.control},
				service,
				zone: side.zone,
				heartbeatMs,
				holdMaxMs: bounds.hold_max_ms,
				workOf: task => this.#works.get(task.split('.')[0]),
				leavesUnanswered: (minion, order) => this.leavesUnanswered?.(minion, order),
				record: event => {
					this.record(event);
				},
			});
			this.sides.push(side);
		}

		for (const node of [...this.entries, ...this.sides]) {
			this.spawn(node);
		}

		await sleep(minionLagMs);
		for (const [index, {minion, name}] of this.sides.entries()) {
			await minion.boot({id: `i-${name}`, born: Date.now() + (index === 0 ? aheadMs : 0), capacity});
		}

		await Promise.all([sleep(leadMs), afterBoot?.()]);
		for (const node of this.entries) {
			if (!await this.isReady(node)) {
				throw new Error(`${node.name} is not ready`);
			}
		}
	}

	#node(role, ip, index, listen) {
		const isEntry = role === 'entry';
		const name = `${isEntry ? 'edge' : 'side'}-${index + 1}`;
		const zone = Object.keys(zones)[index % 2];
		const settings = {
			node: name,
			role,
			machine_class: isEntry ? 'edge' : 'side',
			serves: isEntry ? ['edge', 'control_plane'] : ['side'],
			ip,
			zone,
			region: zones[zone],
			zones,
			listen,
			port_range: [ports.link, ports.link + 15],
			seeds: Array.from({length: 2}, (_, seed) => `${this.#prefix}.${11 + seed}:${ports.control}`),
			bootstrap: true,
			in_tolerance: false,
			limits: isEntry
				? {
					cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0,
				}
				: {
					cpu_share: 0.405, cores: 1, memory_mb: 218, max_fds: 4096, link_mbps: 1000, disk_mb: 0,
				},
			data_dir: null,
			discovery: 'local',
			entry: 'vip',
			heartbeat_ms: heartbeatMs,
			contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'places', 'platform', 'advice', 'upkeep', 'sharing'],
			fault_tolerance: {machines: 2, zones: 1, regions: 0},
			bounds,
			orders: 'call',
			...(!isEntry && {app: `${ip}:${ports.app}`, service}),
			platform: {
				addr: `${this.#prefix}.7:${ports.store}`,
				form: 'table',
				writes_per_s: 800,
				reads_per_s: 2000,
				tx_ms: 5,
				part_writes_s: 200,
				row_bytes: 65_536,
				across: false,
				history_s: 20,
				blob_bytes: 8_388_608,
				blob_ms: 25,
				blob_mb_s: 80,
			},
			cloud_api: {
				addr: `${this.#prefix}.7:${ports.store}`, rate_per_s: 60, duties: [], duty_per_s: 60,
			},
		};
		const file = path.join(this.#directory, `${name}.json`);
		writeFileSync(file, JSON.stringify(settings));
		return {
			role, name, ip, zone, file, child: undefined,
		};
	}

	/** Starts the program of a node with the command of the deploy file. */
	spawn(node) {
		const [program, ...words] = this.#commands.get(node.role);
		const child = spawn(program, words, {
			cwd: this.#root, env: {...process.env, SNIPERIDGE_SETTINGS: node.file}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(path.join(this.#directory, `${node.name}.log`), {flags: 'a'});
		child.stdout.pipe(log);
		child.stderr.pipe(log);
		node.child = child;
		this.#children.add(child);
		this.record({event: 'process', node: node.name, pid: child.pid});
		child.once('exit', (code, signal) => {
			this.#children.delete(child);
			if (!this.#isClosing) {
				this.record({
					event: 'exit', node: node.name, code, signal,
				});
			}
		});
	}

	/** Kills the program of a node, and resolves once it has ended. */
	async kill(node) {
		const ended = new Promise(resolve => {
			node.child.once('exit', resolve);
		});
		node.child.kill('SIGKILL');
		await ended;
	}

	async isReady(node) {
		return new Promise(resolve => {
			const request = httpRequest({host: node.ip, port: ports.ready, path: '/sniperidge/ready'}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			request.on('error', () => {
				resolve(false);
			});
			request.end();
		});
	}

	/** Returns where an entry takes clients. */
	frontOf({ip}) {
		return {host: ip, port: ports.front};
	}

	/** Sends one request of a client, on a channel of its own unless an agent keeps one, and resolves to its answer, or to `{status: 0}` if the channel broke. */
	async call({host, port}, {
		method, path: target, body, deadlineMs = 1500, label, agent = false,
	}) {
		const text = body === undefined ? '' : JSON.stringify(body);
		this.record({
			event: 'sent', label, method, path: target, to: `${host}:${port}`,
		});
		const answer = await new Promise(resolve => {
			const request = httpRequest({
				host,
				port,
				method,
				path: target,
				agent,
				headers: {
					host: 'jobs.example',
					'x-deadline-ms': String(deadlineMs),
					...(text && {'content-type': 'application/json', 'content-length': String(new TextEncoder().encode(text).length)}),
				},
			}, response => {
				let received = '';
				response.on('data', chunk => {
					received += chunk;
				});
				response.on('end', () => {
					resolve({status: response.statusCode, text: received});
				});
				response.on('error', () => {
					resolve({status: 0, text: ''});
				});
			});
			const timer = setTimeout(() => {
				request.destroy();
			}, deadlineMs);
			request.on('error', () => {
				resolve({status: 0, text: ''});
			});
			request.on('close', () => {
				clearTimeout(timer);
			});
			request.end(text);
		});
		this.record({
			event: 'answered', label, method, path: target, ...answer,
		});
		return {...answer, at: this.now};
	}

	/** Ends all processes that it started, and all stand-ins. */
	async close() {
		this.#isClosing = true;
		for (const {minion} of this.sides) {
			minion.crash();
		}

		this.store.close();
		const ended = [...this.#children].map(async child => new Promise(resolve => {
			child.once('exit', resolve);
			child.kill('SIGKILL');
		}));
		await Promise.all(ended);
		if (process.env.KEEP_LOGS === undefined) {
			rmSync(this.#directory, {recursive: true, force: true});
		} else {
			console.error(this.#directory);
		}
	}
}

/**
 * Runs a case and exits: with 1 if it returns what broke the rule, with 0 if it returns nothing, with 2 if it could not run.
 * `play` gets the deployment and whether the disruption is on.
 */
export async function runCase(folder, play) {
	const deployment = new Deployment(folder);
	const trouble = process.env.TROUBLE !== '0';
	let code = 2;
	const stop = async () => {
		await deployment.close();
		process.exit(2); // eslint-disable-line unicorn/no-process-exit -- The case itself may still wait.
	};

	const limit = setTimeout(stop, limitMs);
	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
	try {
		deployment.record({event: 'case', trouble});
		const broken = await play(deployment, trouble);
		deployment.record({event: 'verdict', broken: broken ?? 'nothing'});
		console.log(broken ? `rule broken: ${broken}` : 'rule held');
		code = broken ? 1 : 0;
	} catch (error) {
		deployment.record({event: 'not-run', error: error.message});
		console.error(error.message);
	} finally {
		clearTimeout(limit);
		await deployment.close();
	}

	process.exitCode = code;
}
