/* eslint camelcase: off, @stylistic/max-len: off -- the names are the platform's, and its settings are long */
// A small deployment on loopback: the programs of the deploy file as processes, with stand-ins of the store, the minions and the clients.
import {fork, spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {Agent, request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Minion} from './minion.js';
import {shortened} from './record.js';
import {Store} from './store.js';

const root = fileURLToPath(new URL('../../', import.meta.url));
const minionProgram = fileURLToPath(new URL('minion-process.js', import.meta.url));
const zones = ['split-a', 'zadar-b', 'dubrovnik-c'];
const ports = {
	front: 8161, app: 8165, control: 8166, ready: 8167, store: 8169, first: 7720, last: 7735, metrics: 9464,
};
const service = 'tisak-servis';
const bounds = {
	seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, skew_max_ms: 5000, cold_overload: 1.5, cold_slack: 5, evacuation_ms: 5000, recovery_s: 12, hold_max_ms: 1000, stop_ms: 50, gang_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, far_x: 1.5, checkpoint_s: 0.5, restore_ms: 600, notice_ms: 4500, move_s: 1.5, maintenance_s: 2, enforce_fencing: false, lease_ms: 3000, thaw_ms: 300, pace_ms: 100, harm_ms: 4000, retransmit_ms: 1300,
};
const limits = {
	edge: {
		cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0,
	},
	side: {
		cpu_share: 0.405, cores: 1, memory_mb: 218, max_fds: 4096, link_mbps: 1000, disk_mb: 0,
	},
};
const host = 'nony24.example';
/** What the clocks of the first minions show when the deployment starts: they have been up for eight minutes. */
const firstClockMs = 482_113;

/** Returns the words of the command of a role of the deploy file. */
function commandOf(role) {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const section = text.slice(text.indexOf(`[roles.${role}]`));
	return /^run = "(?<run>[^"]+)"$/mv.exec(section).groups.run.split(' ');
}

/** Returns whether a port of an address can be listened on. */
async function isFree(address, port) {
	const server = createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, address, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Returns the beginning of loopback addresses on which all ports that are needed are free. */
async function findNetwork(count) {
	for (let tries = 0; tries < 50; tries++) {
		const network = `127.${64 + Math.floor(Math.random() * 128)}.${Math.floor(Math.random() * 256)}`;
		const checks = Array.from({length: count}, (_, index) => Object.values(ports).map(async port => isFree(`${network}.${index + 1}`, port))).flat();
		const free = await Promise.all(checks);
		if (free.every(Boolean)) {
			return network;
		}
	}

	throw new Error('no free ports');
}

/**
 * Deployment is entries and sidecars with a minion each. Everything that happens goes into the record. `delayOrder` is called with
 * the machine of each order to a minion, and returns how late it is carried out, in milliseconds, if it is left unanswered.
 * `areMinionsApart`: whether each minion is a process of its own, which tells what it has counted.
 */
export class Deployment {
	static async create({
		entries, minions, record, delayOrder, areMinionsApart = false,
	}) {
		const network = await findNetwork(entries + minions + 1);
		const deployment = new Deployment(network, record);
		deployment.areMinionsApart = areMinionsApart;
		deployment.store = await Store.create(`${network}.1`, ports.store);
		deployment.store.operate('config', deployment.config);
		for (let index = 0; index < entries; index++) {
			deployment.entries.push(deployment.machine('entry', index, `${network}.${index + 2}`));
		}

		for (let index = 0; index < minions; index++) {
			deployment.sidecars.push(deployment.machine('sidecar', index, `${network}.${entries + index + 2}`));
		}

		for (const machine of [...deployment.entries, ...deployment.sidecars]) {
			deployment.writeSettings(machine);
			deployment.start(machine);
		}

		for (const sidecar of deployment.sidecars) {
			await deployment.startMinion(sidecar, delayOrder);
		}

		return deployment;
	}

	store = undefined;
	entries = [];
	sidecars = [];
	folder = mkdtempSync(path.join(tmpdir(), 'review-3-'));
	areMinionsApart = false;
	agent = new Agent({keepAlive: false});
	config = {
		version: 7,
		routes: [{
			name: 'r-boja', host, path_prefix: '/boja/', kind: 'non_idempotent', timeout_ms: 1500, target_latency_ms: 60, priority: 1, service, max_attempts: 2, stretch: 1.6,
		}],
		services: [{
			name: service, health_path: '/health', max_conns: 64, protocol: 'h1', tls: false, cold_start_s: 0, cold_per_s: 0, admission_check: false, spare: false,
		}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
	};

	constructor(network, record) {
		this.network = network;
		this.record = record;
	}

	/** Starts the process of a machine. */
	start(machine) {
		const [program, ...words] = commandOf(machine.role);
		const {PATH, HOME, LANG = 'C.UTF-8'} = process.env;
		machine.output = '';
		machine.child = spawn(program, words, {
			cwd: root, env: {
				PATH, HOME, LANG, SNIPERIDGE_SETTINGS: machine.file,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		for (const stream of [machine.child.stdout, machine.child.stderr]) {
			stream.on('data', text => {
				machine.output = (machine.output + String(text)).slice(-200_000);
			});
		}

		const {child} = machine;
		machine.exit = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				this.record.note('exit', {node: machine.node, code, signal});
				resolve();
			});
		});
		this.record.note('process', {node: machine.node, pid: child.pid});
	}

	/** Starts the minion of a `side` machine, under the id that the machine's minions have. */
	async startMinion(machine, delayOrder) {
		const {ip, zone} = machine;
		const clockFrom = machine.minion ? 0 : firstClockMs;
		const number = this.sidecars.indexOf(machine) + 1;
		const options = {
			id: `i-${number}`, address: `${ip}:${ports.app}`, control: `${ip}:${ports.control}`, service, zone, capacity: {cpu: 64_000, mem_mb: 262_144, gpu: 0}, labels: ['a', `r1-${number}`], heartbeatMs: 1500, holdMaxMs: bounds.hold_max_ms, clockFrom,
		};
		if (this.areMinionsApart) {
			const child = fork(minionProgram, [JSON.stringify(options)]);
			child.on('message', counts => {
				this.record.note('minion counted', {minion: options.id, ...counts});
			});
			machine.minion = {
				close() {
					child.kill('SIGKILL');
				},
			};
			return;
		}

		machine.minion = await Minion.create({
			...options,
			note: (event, what) => {
				this.record.note(event, what);
			},
			delayOrder: () => delayOrder?.(machine),
			carryOut(order, text) {
				if (machine.minion.isUp) {
					machine.minion.carryOut(order, text);
				}
			},
		});
	}

	/** Kills the process of a machine outright. */
	async kill(machine) {
		this.record.note('kill', {node: machine.node});
		machine.child.kill('SIGKILL');
		await machine.exit;
	}

	/** Waits until every entry reports itself ready. */
	async ready(withinMs = 15_000) {
		const until = performance.now() + withinMs;
		for (const entry of this.entries) {
			while (!await this.isReady(entry)) {
				if (performance.now() > until) {
					throw new Error('the entries are not ready');
				}

				await sleep(50);
			}
		}
	}

	async isReady({ip}) {
		const {status} = await this.ask(ip, {port: ports.ready, path: '/sniperidge/ready', withinMs: 1000});
		return status === 200;
	}

	/** Submits a job of the route. Resolves to the status and the body, with status 0 where there was no answer. */
	async submit(entry, id, {spec, count = 2, cpu = 6200, estimateMs = 200, deadlineMs = 5000, note = 'submit'}) {
		this.record.note(note, {
			entry: entry.node, id, count, cpu, ...shortened(spec),
		});
		const answer = await this.ask(entry.ip, {
			method: 'POST', path: `/boja/${id}`, withinMs: deadlineMs, headers: {'x-deadline-ms': String(deadlineMs)}, body: JSON.stringify({
				spec, best_effort: true, steps: [{
					count, cpu, mem_mb: 64, estimate_ms: estimateMs,
				}],
			}),
		});
		this.record.note('answer', {
			to: note, entry: entry.node, id, ...answer,
		});
		return answer;
	}

	/** Cancels a job. */
	async cancel(entry, id) {
		this.record.note('cancel', {entry: entry.node, id});
		const answer = await this.ask(entry.ip, {method: 'DELETE', path: `/boja/${id}`, withinMs: 4000});
		this.record.note('answer', {
			to: 'cancel', entry: entry.node, id, ...answer,
		});
		return answer;
	}

	async ask(ip, {
		port = ports.front, method = 'GET', path: target, headers = {}, body, withinMs,
	}) {
		return new Promise(resolve => {
			const outgoing = request({
				host: ip, port, method, path: target, agent: this.agent, signal: AbortSignal.timeout(withinMs), headers: {
					host, ...(body !== undefined && {'content-type': 'application/json', 'content-length': new TextEncoder().encode(body).length}), ...headers,
				},
			}, incoming => {
				let text = '';
				incoming.setEncoding('utf8');
				incoming.on('data', chunk => {
					text += chunk;
				});
				incoming.on('end', () => {
					resolve({status: incoming.statusCode, body: text});
				});
				incoming.on('error', error => {
					resolve({status: 0, body: error.message});
				});
			});
			outgoing.on('error', error => {
				resolve({status: 0, body: error.message});
			});
			outgoing.end(body);
		});
	}

	/** Ends all processes and stand-ins. */
	async close() {
		for (const {child} of [...this.entries, ...this.sidecars]) {
			child.kill('SIGCONT');
			child.kill('SIGKILL');
		}

		await Promise.all([...this.entries, ...this.sidecars].map(async ({exit}) => exit));
		for (const {minion} of this.sidecars) {
			minion?.close();
		}

		this.store.close();
		rmSync(this.folder, {recursive: true, force: true});
	}

	machine(role, index, ip) {
		const zone = zones[index % zones.length];
		const node = `${role === 'entry' ? 'edge' : 'side'}-${zone}-${Math.floor(index / zones.length) + 1}`;
		return {
			role, node, ip, zone, file: path.join(this.folder, `${node}.json`),
		};
	}

	writeSettings({role, node, ip, zone, file}) {
		const isEntry = role === 'entry';
		writeFileSync(file, JSON.stringify({
			node,
			role,
			machine_class: isEntry ? 'edge' : 'side',
			serves: isEntry ? ['edge', 'control_plane'] : ['side'],
			ip,
			zone,
			region: 'hr-jug',
			zones: Object.fromEntries(zones.map(name => [name, 'hr-jug'])),
			listen: isEntry ? {front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}`, control: `${ip}:${ports.control}`} : {control: `${ip}:${ports.control}`},
			port_range: [ports.first, ports.last],
			seeds: this.entries.slice(0, 3).map(entry => `${entry.ip}:${ports.control}`),
			bootstrap: true,
			in_tolerance: false,
			limits: limits[isEntry ? 'edge' : 'side'],
			data_dir: null,
			discovery: 'local',
			entry: 'vip',
			heartbeat_ms: 1500,
			contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'places', 'platform', 'advice', 'upkeep', 'sharing'],
			fault_tolerance: {machines: 2, zones: 1, regions: 0},
			bounds,
			orders: 'call',
			...(!isEntry && {app: `${ip}:${ports.app}`, service}),
			platform: {
				addr: `${this.network}.1:${ports.store}`, form: 'table', writes_per_s: 800, reads_per_s: 2000, tx_ms: 5, part_writes_s: 200, row_bytes: 65_536, across: false, history_s: 20, blob_bytes: 8_388_608, blob_ms: 25, blob_mb_s: 80,
			},
		}));
	}
}
