import {Buffer} from 'node:buffer';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {Gauge, Registry} from 'prom-client';
import {type z} from 'zod';
import {describeIssue} from '../settings/load.js';
import {sidecarSettings, type SidecarSettings} from '../settings/schema.js';
import {decodeJson} from '../text.js';
import type {HeartbeatSender} from './heartbeat.js';
import type {Gate} from './gate.js';
import type {Place} from './place.js';
import {workerAnnouncementSchema, type WorkerAnnouncement} from './worker-registry.js';

export type Dependencies = {
	gate: Gate;
	heartbeats: HeartbeatSender;
	isReady(): boolean;
	registerWorker(announcement: WorkerAnnouncement): void;
	addUpstream(upstream: SidecarSettings['upstreams'][number]): void;
	listPlaces(): Place[];
};

/** LocalServer is the HTTP server on the local port. */
export type LocalServer = {url: string; close(): Promise<void>};

const upstreamSchema = sidecarSettings.shape.upstreams.unwrap().element;
const maxBodyBytes = 65_536;

/**
 * Serves the local port: `POST /v1/announce` for workers, `POST /v1/announce-upstream` for
 * upstreams, `/metrics`, `/livez` and `/readyz`.
 */
export async function serveLocal(host: string, port: number, dependencies: Dependencies): Promise<LocalServer> {
	const registry = createMetrics(dependencies);
	const server = http.createServer((request, response) => {
		void handleRequest(request, response, dependencies, registry);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {
		url: `http://${host}:${(server.address() as AddressInfo).port}`,
		async close() {
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}

async function handleRequest(request: http.IncomingMessage, response: http.ServerResponse, dependencies: Dependencies, registry: Registry): Promise<void> {
	switch (`${request.method} ${request.url}`) {
		case 'GET /livez': {
			response.end('ok\n');
			return;
		}

		case 'GET /readyz': {
			response.writeHead(dependencies.isReady() ? 200 : 503).end(dependencies.isReady() ? 'ready\n' : 'not ready\n');
			return;
		}

		case 'GET /metrics': {
			response.setHeader('content-type', registry.contentType);
			response.end(await registry.metrics());
			return;
		}

		case 'POST /v1/announce': {
			await handleAnnouncement(request, response, workerAnnouncementSchema, dependencies.registerWorker);
			return;
		}

		case 'POST /v1/announce-upstream': {
			await handleAnnouncement(request, response, upstreamSchema, dependencies.addUpstream);
			return;
		}

		default: {
			response.writeHead(404).end();
		}
	}
}

async function handleAnnouncement<Schema extends z.ZodType>(request: http.IncomingMessage, response: http.ServerResponse, schema: Schema, accept: (value: z.infer<Schema>) => void): Promise<void> {
	try {
		const value = decodeJson(await readBody(request));
		const parsed = schema.safeParse(value);
		if (parsed.success) {
			accept(parsed.data);
			response.writeHead(204).end();
			return;
		}

		response.writeHead(400).end(parsed.error.issues.map(issue => describeIssue(issue, value)).join('\n'));
	} catch (error) {
		response.writeHead(400).end((error as Error).message);
	}
}

async function readBody(request: http.IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of request) {
		size += (chunk as Uint8Array).length;
		if (size > maxBodyBytes) {
			throw new RangeError('the body is over the limit');
		}

		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks);
}

function createMetrics({gate, heartbeats, listPlaces}: Dependencies): Registry {
	const registry = new Registry();
	const tasks = new Gauge({
		name: 'sniperidge_sidecar_tasks_total', help: 'Tasks by what became of them.', labelNames: ['result'], registers: [registry],
		collect() {
			for (const result of ['started', 'done', 'failed', 'unknown', 'repeated'] as const) {
				tasks.set({result}, gate.counts[result]);
			}

			for (const [code, count] of Object.entries(gate.counts.refused)) {
				tasks.set({result: `refused-${code}`}, count);
			}
		},
	});
	const running = new Gauge({
		name: 'sniperidge_sidecar_running', help: 'Tasks that run, by place.', labelNames: ['place'], registers: [registry],
		collect() {
			for (const place of listPlaces()) {
				running.set({place: place.name}, place.running);
			}
		},
	});
	const queued = new Gauge({
		name: 'sniperidge_sidecar_queued', help: 'Tasks that wait, by place.', labelNames: ['place'], registers: [registry],
		collect() {
			for (const place of listPlaces()) {
				queued.set({place: place.name}, gate.queueLength(place.name));
			}
		},
	});
	const version = new Gauge({
		name: 'sniperidge_config_version', help: 'The configuration in force.', registers: [registry],
		collect() {
			version.set(heartbeats.config.version);
		},
	});
	const age = new Gauge({
		name: 'sniperidge_config_age_seconds', help: 'Time since the configuration was confirmed.', registers: [registry],
		collect() {
			age.set(heartbeats.configAgeMs / 1000);
		},
	});
	return registry;
}
