import * as z from 'zod';

/** A name of a route, pool, zone, upstream or member: no slash, no control character, at most 100 long. */
export const nameSchema = z.string().min(1).max(100).regex(/^[\w.\-]+$/v, 'only letters, digits, dot, dash and underscore');

const inOrOut = z.enum(['in', 'out']);
const positive = z.number().positive();
const whole = z.number().int().nonnegative();

/** The schema of each configuration table's values; unknown fields are errors. */
export const schemas = {
	routes: z.strictObject({
		pool: nameSchema,
		repeatable: z.boolean(),
		expectMs: positive.default(200),
		deadlineMs: positive.max(600_000).default(10_000),
		maxBodyBytes: positive.max(16_777_216).default(1_048_576),
		cores: z.number().nonnegative().default(1),
		memoryMb: z.number().nonnegative().default(64),
		accelerators: whole.default(0),
		members: z.array(nameSchema).optional(),
	}),
	pools: z.strictObject({
		kind: z.enum(['upstream', 'worker']),
		queue: whole.max(100_000).default(2000),
	}),
	'availability-zones': z.strictObject({state: inOrOut.default('in')}),
	upstreams: z.strictObject({state: inOrOut.default('in')}),
	members: z.strictObject({
		tokenHash: z.string().regex(/^[0-9a-f]{64}$/v, 'the SHA-256 of the token in hexadecimal'),
		weight: positive.max(1000).default(1),
		concurrent: whole.default(10_000),
		startsPerSecond: whole.default(100_000),
	}),
};

/** ConfigTable names a configuration table. */
export type ConfigTable = keyof typeof schemas;

/** ConfigValues is the type of each table's values. */
export type ConfigValues = {[Name in ConfigTable]: z.infer<(typeof schemas)[Name]>};

/** Route says where a kind of request goes and what it may cost. Times in milliseconds, sizes in bytes and MB. */
export type Route = ConfigValues['routes'];

/** Pool groups the upstreams or workers that serve its routes; `queue` bounds the tasks that wait for it. */
export type Pool = ConfigValues['pools'];

/** Member is a customer: its token's hash, its weight among the others, and its quotas. */
export type Member = ConfigValues['members'];

const host = z.string().default('127.0.0.1');
const port = whole.max(65_535);
const store = z.strictObject({
	url: z.url(),
	timeoutMs: positive.default(2000),
});
const log = z.enum(['silent', 'error', 'warn', 'info', 'debug']).default('info');
const zone = nameSchema;

/** The `host:port` that other processes reach this one by, where it is not the one it listens on. */
const advertise = z.string().regex(/^[^:\/]+:\d+$/v, 'host:port').optional();

/** The settings of an entry. */
export const entrySettings = z.strictObject({
	name: nameSchema,
	zone,
	host,
	advertise,
	ports: z.strictObject({callers: port.default(0), operators: port.default(0), peers: port.default(0)}).prefault({}),
	store,
	operatorTokenFile: z.string().optional(),
	log,
	drainMs: positive.default(30_000),
	claimWindowMs: positive.default(600_000),
	maxBodyBytes: positive.default(33_554_432),
	policy: z.enum(['finish', 'round-robin', 'random', 'least-outstanding']).default('finish'),
	hedge: z.boolean().default(true),
	seed: whole.optional(),
});

/** The settings of a sidecar; `entries` are the peer addresses it announces itself to first. */
export const sidecarSettings = z.strictObject({
	name: nameSchema,
	zone,
	host,
	advertise,
	ports: z.strictObject({peers: port.default(0), local: port.default(0)}).prefault({}),
	entries: z.array(z.string().min(3)).min(1),
	store,
	log,
	queue: whole.max(64).default(3),
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
	log,
});

/** EntrySettings is the checked settings of an entry. */
export type EntrySettings = z.infer<typeof entrySettings>;

/** SidecarSettings is the checked settings of a sidecar. */
export type SidecarSettings = z.infer<typeof sidecarSettings>;

/** PlatformSettings is the checked settings of the stand-in platform. */
export type PlatformSettings = z.infer<typeof platformSettings>;
