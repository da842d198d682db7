import http2 from 'node:http2';
import type {AddressInfo} from 'node:net';
import {
	Code, ConnectError, createClient, type ConnectRouter, type Transport,
} from '@connectrpc/connect';
import {connectNodeAdapter, createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {Entry, Sidecar} from '../../gen/sniperidge/v1/peer_pb.js';
import type {
	CallOptions, EntryPeer, Peers, SidecarPeer,
} from '../ports/peer.js';
import {withUnlimitedListeners} from './clock.js';

/** The ping interval of a connection with open requests, and the timeout of the ping, in milliseconds. */
const pingIntervalMs = 3000;
/** How long an idle connection is kept open, in milliseconds. */
const idleTimeoutMs = 60_000;
/** The maximum size of a message between two processes, in bytes. */
const maxMessageBytes = 40_000_000;

/** Connects to other processes over HTTP/2, with one persistent connection per address. */
export function openPeers(): Peers {
	const entries = new Map<string, EntryPeer>();
	const sidecars = new Map<string, SidecarPeer>();
	const sessionManagers: Http2SessionManager[] = [];
	const transports = new Map<string, Transport>();
	const closing = withUnlimitedListeners(new AbortController());

	function transport(address: string): Transport {
		const existing = transports.get(address);
		if (existing) {
			return existing;
		}

		const sessionManager = new Http2SessionManager(`http://${address}`, {pingIntervalMs, pingTimeoutMs: pingIntervalMs, idleConnectionTimeoutMs: idleTimeoutMs});
		sessionManagers.push(sessionManager);
		const opened = createConnectTransport({
			baseUrl: `http://${address}`,
			httpVersion: '2',
			useBinaryFormat: true,
			acceptCompression: [],
			sessionManager,
			readMaxBytes: maxMessageBytes,
		});
		transports.set(address, opened);
		return opened;
	}

	const options = (call: CallOptions) => ({timeoutMs: Math.ceil(call.timeoutMs), signal: call.signal ? AbortSignal.any([call.signal, closing.signal]) : closing.signal});
	return {
		entry(address) {
			let peer = entries.get(address);
			if (!peer) {
				const client = createClient(Entry, transport(address));
				peer = {
					beat: async (request, call) => client.beat(request, options(call)),
					join: async (request, call) => client.join(request, options(call)),
					prepare: async (request, call) => client.prepare(request, options(call)),
					push: async (request, call) => client.push(request, options(call)),
				};
				entries.set(address, peer);
			}

			return peer;
		},
		sidecar(address) {
			let peer = sidecars.get(address);
			if (!peer) {
				const client = createClient(Sidecar, transport(address));
				peer = {
					start: async (request, call) => client.start(request, options(call)),
					cancel: async (request, call) => client.cancel(request, options(call)),
					collect: async (request, call) => client.collect(request, options(call)),
					greet: async (request, call) => client.greet(request, options(call)),
				};
				sidecars.set(address, peer);
			}

			return peer;
		},
		close() {
			closing.abort();
			for (const manager of sessionManagers) {
				manager.abort();
			}
		},
	};
}

/** Returns whether a failed request was certainly never sent. */
export function wasNeverSent(error: unknown): boolean {
	const connectError = ConnectError.from(error);
	return connectError.code === Code.Unavailable && (connectError.cause as {code?: string} | undefined)?.code === 'ECONNREFUSED';
}

/** PeerServer is a listening HTTP/2 server for other processes. */
export type PeerServer = {address: string; close(): Promise<void>};

/** Serves RPC methods to other processes. Resolves once it listens; `port` 0 selects any free port. */
export async function servePeers(host: string, port: number, routes: (router: ConnectRouter) => void): Promise<PeerServer> {
	const sessions = new Set<http2.ServerHttp2Session>();
	const server = http2.createServer(connectNodeAdapter({
		routes, readMaxBytes: maxMessageBytes, acceptCompression: [], grpc: false, grpcWeb: false,
	}));
	server.on('session', session => {
		sessions.add(session);
		session.on('close', () => {
			sessions.delete(session);
		});
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {
		address: `${host}:${(server.address() as AddressInfo).port}`,
		async close() {
			const closed = new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
			for (const session of sessions) {
				session.close();
			}

			const force = setTimeout(() => {
				for (const session of sessions) {
					session.destroy();
				}
			}, 500);
			await closed;
			clearTimeout(force);
		},
	};
}
