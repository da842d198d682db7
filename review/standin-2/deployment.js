/* eslint-disable camelcase -- the names on the wire and in the settings are those of the pages */
// A small deployment on loopback addresses: the project's own programs as separate processes, by the commands of the deploy file,
// with stand-ins of the store and the minions. Each machine has an address of its own; ports are the same on all.
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request as send} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process, {exit} from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Minion} from './minion.js';
import {Store} from './store.js';

const repository = fileURLToPath(new URL('../..', import.meta.url));

/** The bounds of the small sites, as their sheets in SYSTEM.md give them. */
export const bounds = {
	seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000,
	rollback_slack_ms: 250, skew_max_ms: 5000, cold_overload: 1.5, cold_slack: 5, evacuation_ms: 5000, recovery_s: 12, hold_max_ms: 1000, stop_ms: 50,
	gang_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, far_x: 1.5, checkpoint_s: 0.5, restore_ms: 600,
	notice_ms: 4500, move_s: 1.5, maintenance_s: 2, enforce_fencing: false, lease_ms: 3000, thaw_ms: 300, pace_ms: 100, harm_ms: 4000, retransmit_ms: 1300,
};
const heartbeatMs = 1500;
/** How long the platform takes to start a process again that has ended, in milliseconds. */
const restartMs = 300;
/** How long a case may take, in milliseconds. */
const limitMs = 110_000;
const zones = ['z1', 'z2', 'z3'];
const service = 'press';
/** The host of the routes. */
export const host = 'press.example';

/** Case is the record of one run of a case and what it ends with. */
export class Case {
	static create(folder) {
		return new Case(path.join(folder, 'record.txt'));
	}

	/** Whether the disruption is made. */
	hasTrouble = process.env.TROUBLE !== '0';
	from = performance.now();
	/** The starts and ends of runs at the minions, with their times. */
	starts = [];
	ends = [];

	constructor(file) {
		this.file = file;
		writeFileSync(file, `trouble: ${this.hasTrouble}\n`);
	}

	get now() {
		return Math.round(performance.now() - this.from);
	}

	/** Returns the runs of a task, from their starts to their ends. */
	runsOf(task) {
		return this.starts.filter(start => start.task === task).map(({at, minion, run}) => ({
			minion, run, from: at, to: this.ends.find(end => end.task === task && end.minion === minion && end.run === run && end.at >= at)?.at ?? this.now,
		}));
	}

	/** Records an event with the time since the start in milliseconds. Returns that time. */
	note(event, values = {}) {
		const at = this.now;
		if (event === 'start') {
			this.starts.push({at, ...values});
		} else if (event === 'end') {
			this.ends.push({at, ...values});
		}

		appendFileSync(this.file, `${String(at).padStart(7)} ${event} ${JSON.stringify(values)}\n`);
		return at;
	}
}

/** Returns the command of a role in the deploy file. */
function commandOf(role) {
	const text = readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
	const section = text.split(`[roles.${role}]`)[1].split('[')[0];
	return /^run = "(.*)"$/mv.exec(section)[1].split(' ');
}

async function isFree(address, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen({host: address, port}, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Returns ports that are free on all addresses, below those that connections get. */
async function freePorts(addresses, count) {
	const ports = [];
	while (ports.length < count) {
		const port = 12_000 + Math.floor(Math.random() * 18_000);
		const free = await Promise.all(addresses.map(async address => isFree(address, port)));
		if (!ports.includes(port) && free.every(Boolean)) {
			ports.push(port);
		}
	}

	return ports;
}

/** Machine is a machine of the system with its one process. The platform starts a process again that has ended. */
class Machine {
	constructor(deployment, settings, role) {
		this.deployment = deployment;
		this.settings = settings;
		this.role = role;
		this.file = path.join(deployment.folder, `${settings.node}.json`);
		writeFileSync(this.file, JSON.stringify(settings));
		this.output = openSync(path.join(deployment.folder, `${settings.node}.log`), 'a');
		this.isOn = true;
		this.downMs = restartMs;
		this.start();
	}

	get name() {
		return this.settings.node;
	}

	/** Where clients connect. */
	get front() {
		return this.settings.listen.front;
	}

	start() {
		const [program, ...words] = commandOf(this.role);
		const {PATH, HOME, LANG} = process.env;
		const child = spawn(program === 'node' ? process.execPath : program, words, {
			cwd: repository, env: {
				PATH, HOME, LANG, SNIPERIDGE_SETTINGS: this.file,
			}, stdio: ['ignore', this.output, this.output],
		});
		this.child = child;
		this.deployment.test.note('process', {machine: this.name, pid: child.pid});
		child.once('exit', (code, signal) => {
			this.deployment.test.note('exit', {machine: this.name, code, signal});
			this.child = undefined;
			this.timer = setTimeout(() => {
				this.downMs = restartMs;
				if (this.isOn) {
					this.start();
				}
			}, this.downMs);
		});
	}

	/** Loses power: the process is gone, and started again `downMs` later. */
	losePower(downMs) {
		this.downMs = downMs;
		this.signal('SIGKILL');
	}

	signal(name) {
		this.deployment.test.note('signal', {machine: this.name, signal: name});
		this.child?.kill(name);
	}

	/** Ends the process for good. */
	async end() {
		this.isOn = false;
		clearTimeout(this.timer);
		const {child} = this;
		if (child) {
			const exit = new Promise(resolve => {
				child.once('exit', resolve);
			});
			child.kill('SIGCONT');
			child.kill('SIGKILL');
			await exit;
		}
	}
}

/** Deployment is one small deployment. */
export class Deployment {
	folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	entries = [];
	sidecars = [];
	minions = [];
	configVersion = 0;
	asked = 0;

	constructor(test) {
		this.test = test;
	}

	/** Starts everything. `sides`: the number of side machines, spread over the zones. */
	async open({edges = 3, sides = 3, routes = ['plates'], capacity = {cpu: 16_000, mem_mb: 65_536, gpu: 0}}) {
		const net = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
		const edgeAddresses = Array.from({length: edges}, (_, index) => `${net}.${10 + index}`);
		const sideAddresses = Array.from({length: sides}, (_, index) => `${net}.${100 + index}`);
		const storeAddress = `${net}.2`;
		// The port of the metrics is fixed in the deploy file.
		const [front, ready, control, app, store, ...range] = await freePorts([storeAddress, ...edgeAddresses, ...sideAddresses], 6);
		this.store = await Store.create(storeAddress, store);
		this.desire(routes);
		const common = {
			region: 'r1',
			zones: Object.fromEntries(zones.map(zone => [zone, 'r1'])),
			port_range: [range[0], range[0] + 15],
			seeds: edgeAddresses.slice(0, 3).map(address => `${address}:${control}`),
			bootstrap: true,
			in_tolerance: false,
			data_dir: null,
			discovery: 'local',
			entry: 'vip',
			heartbeat_ms: heartbeatMs,
			contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'places', 'platform', 'advice', 'upkeep', 'sharing'],
			fault_tolerance: {machines: 2, zones: 1, regions: 0},
			bounds,
			orders: 'call',
			advice: `${storeAddress}:9`,
			platform: {
				addr: `${storeAddress}:${store}`,
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
				addr: `${storeAddress}:9`, rate_per_s: 60, duties: [], duty_per_s: 60,
			},
		};
		for (const [index, ip] of sideAddresses.entries()) {
			const zone = zones[index % zones.length];
			this.sidecars.push(new Machine(this, {
				...common,
				node: `side-${zone}-${index + 1}`,
				role: 'sidecar',
				machine_class: 'side',
				serves: ['side'],
				ip,
				zone,
				listen: {control: `${ip}:${control}`},
				app: `${ip}:${app}`,
				service,
				limits: {
					cpu_share: 0.405, cores: 1, memory_mb: 218, max_fds: 4096, link_mbps: 1000, disk_mb: 0,
				},
			}, 'sidecar'));
			this.minions.push(await Minion.create({
				name: `minion-${index + 1}`,
				host: ip,
				port: app,
				control: `${ip}:${control}`,
				service,
				zone,
				capacity,
				heartbeatMs,
				holdMaxMs: bounds.hold_max_ms,
				note: (event, values) => {
					this.test.note(event, values);
				},
			}));
		}

		for (const [index, ip] of edgeAddresses.entries()) {
			const zone = zones[index % zones.length];
			this.entries.push(new Machine(this, {
				...common,
				node: `edge-${zone}-${index + 1}`,
				role: 'entry',
				machine_class: 'edge',
				serves: ['edge', 'control_plane'],
				ip,
				zone,
				listen: {front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}`},
				limits: {
					cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0,
				},
			}, 'entry'));
		}
	}

	/** Writes the next desired state with these routes. */
	desire(routes) {
		const version = ++this.configVersion;
		this.store.writeOperator('config', {
			version,
			routes: routes.map(name => ({
				name: `r-${name}`,
				host,
				path_prefix: `/${name}/`,
				kind: 'non_idempotent',
				timeout_ms: 60_000,
				target_latency_ms: 60,
				priority: 1,
				service,
				max_attempts: 4,
				stretch: 1.6,
			})),
			services: [{
				name: service, health_path: '/health', max_conns: 64, protocol: 'h1', tls: false, cold_start_s: 0, cold_per_s: 0, admission_check: false, spare: false,
			}],
			limits: {
				max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
			},
		});
		this.test.note('desired state acknowledged', {version, routes});
	}

	/** Resolves once all entries say that they are ready, and false if that takes too long. */
	async isReady(withinMs = 15_000, entries = this.entries) {
		const until = performance.now() + withinMs;
		while (performance.now() < until) {
			const statuses = await Promise.all(entries.map(async ({settings: {listen}}) => call(listen.ready, {path: '/sniperidge/ready', withinMs: 1000})));
			if (statuses.every(({status}) => status === 200)) {
				this.test.note('all entries are ready');
				return true;
			}

			await sleep(100);
		}

		this.test.note('the entries do not become ready');
		return false;
	}

	/** Sends a client's request to an entry and records it with its answer. */
	async ask(entry, method, target, {value, withinMs = 30_000, signal} = {}) {
		this.asked++;
		const number = this.asked;
		this.test.note('request', {
			number, entry: entry.name, method, target,
		});
		const answer = await call(entry.front, {
			method, path: target, value, withinMs, signal, headers: {host, 'x-deadline-ms': String(withinMs)},
		});
		this.test.note('answer', {number, ...answer});
		return answer;
	}

	/** Ends all processes and stand-ins. */
	async close() {
		await Promise.all([...this.entries, ...this.sidecars].map(async machine => machine.end()));
		for (const minion of this.minions) {
			minion.close();
		}

		this.store?.close();
		if (process.env.KEEP === '1') {
			this.test.note('folder kept', {folder: this.folder});
		} else {
			rmSync(this.folder, {recursive: true, force: true});
		}
	}
}

/** Makes one HTTP call on a connection of its own. Resolves to the status and the body, or to what went wrong. */
export async function call(address, {method = 'GET', path: target, value, withinMs, headers = {}, signal}) {
	const [address4, port] = address.split(':');
	const body = value === undefined ? undefined : JSON.stringify(value);
	const bodyHeaders = body === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)};
	return new Promise(resolve => {
		const request = send({
			host: address4, port: Number(port), method, path: target, agent: false, headers: {...headers, ...bodyHeaders}, signal,
		}, response => {
			const chunks = [];
			response.on('data', chunk => chunks.push(chunk));
			response.on('error', error => {
				clearTimeout(timer);
				resolve({error: error.message});
			});
			response.on('end', () => {
				clearTimeout(timer);
				resolve({status: response.statusCode, body: Buffer.concat(chunks).toString()});
			});
		});
		const timer = setTimeout(() => {
			request.destroy(new Error('no answer in time'));
		}, withinMs);
		request.on('error', error => {
			clearTimeout(timer);
			resolve({error: error.message});
		});
		request.end(body);
	});
}

/** Runs a case: `play` gets the deployment and resolves to whether the rule held. Exits with 0, 1 or 2. */
export async function run(folder, options, play) {
	const test = Case.create(folder);
	const deployment = new Deployment(test);
	const end = async (status, event, values) => {
		test.note(event, values);
		await deployment.close();
		console.log(['held', 'broken', 'could not run'][status]);
		exit(status);
	};

	const fail = error => {
		end(2, 'error', {stack: error?.stack ?? String(error)});
	};

	process.once('uncaughtException', fail);
	process.once('unhandledRejection', fail);
	setTimeout(() => {
		fail(new Error('the case takes too long'));
	}, limitMs);
	await deployment.open(options);
	if (!await deployment.isReady()) {
		throw new Error('the entries do not become ready');
	}

	const status = await play(deployment, test) ? 0 : 1;
	await end(status, 'result', {status});
}
