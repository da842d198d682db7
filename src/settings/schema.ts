import * as z from 'zod';

/** The schema of names of routes, pools, zones, upstreams and members: no slash or control character, at most 100 characters. */
export const nameSchema = z.string().min(1).max(100).regex(/^[\w.\-]+$/v, 'only letters, digits, dot, dash and underscore');

const serviceState = z.enum(['in', 'out']);
const positive = z.number().positive();
const nonNegativeInteger = z.number().int().nonnegative();

/** The schema of the values of each configuration table; unknown fields are errors. */
export const schemas = {
	routes: z.strictObject({
		pool: nameSchema,
		repeatable: z.boolean(),
		expectMs: positive.default(200),
		deadlineMs: positive.max(600_000).default(10_000),
		maxBodyBytes: positive.max(16_777_216).default(1_048_576),
		cores: z.number().nonnegative().default(1),
		memoryMb: z.number().nonnegative().default(64),
		accelerators: nonNegativeInteger.default(0),
		members: z.array(nameSchema).optional(),
	}),
	pools: z.strictObject({
		kind: z.enum(['upstream', 'worker']),
		queue: nonNegativeInteger.max(100_000).default(2000),
	}),
	'availability-zones': z.strictObject({state: serviceState.default('in')}),
	upstreams: z.strictObject({state: serviceState.default('in')}),
	members: z.strictObject({
		tokenHash: z.string().regex(/^[0-9a-f]{64}$/v, 'the SHA-256 of the token in hexadecimal'),
		weight: positive.max(1000).default(1),
		concurrent: nonNegativeInteger.default(10_000),
		startsPerSecond: nonNegativeInteger.default(100_000),
	}),
};

/** ConfigTable is the name of a configuration table. */
export type ConfigTable = keyof typeof schemas;

/** ConfigValues is the type of each table's values. */
export type ConfigValues = {[Name in ConfigTable]: z.infer<(typeof schemas)[Name]>};

/** Route names the pool that serves a kind of request, with the limits and the resources of its tasks. `maxBodyBytes` is in bytes, `memoryMb` in megabytes, times in milliseconds. */
export type Route = ConfigValues['routes'];

/** Pool groups the upstreams or workers that serve its routes; `queue` limits the tasks queued for it. */
export type Pool = ConfigValues['pools'];

/** Member is a client account: the hash of its token, its weight in fair queueing, and its quotas. */
export type Member = ConfigValues['members'];

const host = z.string().default('127.0.0.1');
const port = nonNegativeInteger.max(65_535);
const storeSettings = z.strictObject({
	url: z.url(),
	timeoutMs: positive.default(2000),
});
const logLevel = z.enum(['silent', 'error', 'warn', 'info', 'debug']).default('info');
const zone = nameSchema;

/** The `host:port` at which other processes reach this one, if it differs from the one it listens on. */
const advertise = z.string().regex(/^[^:\/]+:\d+$/v, 'host:port').optional();

/** The settings of an entry. */
export const entrySettings = z.strictObject({
	name: nameSchema,
	zone,
	host,
	advertise,
	ports: z.strictObject({callers: port.default(0), operators: port.default(0), peers: port.default(0)}).prefault({}),
	store: storeSettings,
	operatorTokenFile: z.string().optional(),
	log: logLevel,
	drainMs: positive.default(30_000),
	claimWindowMs: positive.default(600_000),
	maxBodyBytes: positive.default(33_554_432),
	policy: z.enum(['finish', 'round-robin', 'random', 'least-outstanding']).default('finish'),
	hedge: z.boolean().default(true),
	seed: nonNegativeInteger.optional(),
});

/** The settings of a sidecar; `entries` are the peer addresses of the entries that it contacts first. */
export const sidecarSettings = z.strictObject({
	name: nameSchema,
	zone,
	host,
	advertise,
	ports: z.strictObject({peers: port.default(0), local: port.default(0)}).prefault({}),
	entries: z.array(z.string().min(3)).min(1),
	store: storeSettings,
	log: logLevel,
	queue: nonNegativeInteger.max(64).default(3),
	drainMs: positive.default(30_000),
	claimWindowMs: positive.default(600_000),
	upstreams: z.array(z.strictObject({
		name: nameSchema,
		url: z.url(),
		pools: z.array(nameSchema).min(1),
		slots: positive.int().max(1024).default(8),
		connections: positive.int().max(1024).default(64),
	})).default([]),
});

/** The settings of the stand-in platform. */
export const platformSettings = z.strictObject({
	host,
	port: port.default(0),
	writeMs: z.number().nonnegative().default(4),
	readMs: z.number().nonnegative().default(1),
	log: logLevel,
});

/** EntrySettings are the validated settings of an entry. */
export type EntrySettings = z.infer<typeof entrySettings>;

/** SidecarSettings are the validated settings of a sidecar. */
export type SidecarSettings = z.infer<typeof sidecarSettings>;

/** PlatformSettings are the validated settings of the stand-in platform. */
export type PlatformSettings = z.infer<typeof platformSettings>;
