import * as z from 'zod';
import type {StartRefusal} from '../decide/guard.js';

const room = z.object({cpu: z.number(), memoryMb: z.number(), accelerators: z.number()});
const hindrance = z.enum([
	'room', 'draining', 'stopping', 'zone-out', 'absent', 'unsettled', 'stale', 'duplicate', 'withdrawn', 'fence', 'old', 'late', 'unwell', 'other-life', 'invalid',
]) satisfies z.ZodType<StartRefusal>;
/** What dates a sidecar's messages: its worker's clock in milliseconds, so that orders that answer it can be dated too. */
const stamp = z.number();
const ref = z.int();

/** Hello is the first message on a link, either way. `life` is new each time the process starts. */
const hello = z.object({
	kind: z.literal('hello'),
	role: z.enum(['entry', 'sidecar']),
	node: z.string().min(1),
	life: z.string().min(1),
	/** Where an entry listens for links, as host:port. */
	address: z.string().optional(),
});

/** What a sidecar sends to an entry. */
const toEntry = [
	z.object({
		kind: z.literal('place'),
		report: z.object({
			zone: z.string(), pool: z.string(), room, others: room, isFailing: z.boolean(), hindrance: hindrance.optional(),
		}),
		stamp,
		clear: z.boolean(),
	}),
	z.object({
		kind: z.literal('room'), others: room, stamp, clear: z.boolean(),
	}),
	/** The room that the entry wanted is kept for it; how much there is follows. */
	z.object({kind: z.literal('offer')}),
	z.object({kind: z.literal('refused'), ref, why: hindrance}),
	z.object({
		kind: z.literal('ended'), ref, outcome: z.enum(['done', 'failed', 'lost']), ranMs: z.number(),
	}),
] as const;

/** What an entry sends to a sidecar. */
const toSidecar = [
	/** `age` is how long the entry has had the stamp, in milliseconds. */
	z.object({
		kind: z.literal('start'), ref, task: z.string().min(1), room, spec: z.string(), stamp, age: z.number(),
	}),
	/** `hung`: it should have ended long ago. */
	z.object({kind: z.literal('stop'), ref, hung: z.boolean()}),
	/** A task of this size waits for room and should begin within `dueMs`. */
	z.object({kind: z.literal('want'), room, dueMs: z.number()}),
	z.object({kind: z.literal('zones'), asOf: z.number(), out: z.array(z.string()).readonly()}),
] as const;

/** What entries tell each other and, of addresses, their sidecars. */
const gossip = [
	/** The addresses of entries that are up. */
	z.object({kind: z.literal('entries'), addresses: z.array(z.string()).readonly()}),
	/** How new the desired state is that its sender holds; `asOf` orders them. */
	z.object({kind: z.literal('newest'), asOf: z.number()}),
	/** Asks for that desired state. */
	z.object({kind: z.literal('fetch')}),
	/** A desired state, as the platform gave it out. */
	z.object({kind: z.literal('desired'), asOf: z.number(), text: z.string()}),
] as const;

/** Says that its sender is alive. `needed`: something there depends on the link, so that this side is to say so often too. */
const beat = z.object({kind: z.literal('beat'), needed: z.boolean()});

const all = [hello, ...toEntry, ...toSidecar, ...gossip, beat] as const;
const schemas: ReadonlyMap<unknown, z.ZodType<Message>> = new Map(all.map(schema => [schema.shape.kind.value, schema]));

export type Hello = z.infer<typeof hello>;
export type MessageToEntry = z.infer<typeof toEntry[number]>;
export type MessageToSidecar = z.infer<typeof toSidecar[number]>;
export type SyncMessage = z.infer<typeof gossip[number]>;

/** Message is what travels on a link. */
export type Message = Hello | MessageToEntry | MessageToSidecar | SyncMessage | z.infer<typeof beat>;

/** Reading is what a link makes of a value: a message, one of a kind that a later version may send, or what is wrong with it. */
export type DecodeResult
	= | {kind: 'message'; message: Message}
		| {kind: 'unknown'; name: string}
		| {kind: 'malformed'; problem: string};

/** Decodes one message. */
export function decodeMessage(value: unknown): DecodeResult {
	const name = typeof value === 'object' && value !== null ? (value as {kind?: unknown}).kind : undefined;
	if (typeof name !== 'string') {
		return {kind: 'malformed', problem: 'kind: expected the name of a message'};
	}

	const schema = schemas.get(name);
	if (!schema) {
		return {kind: 'unknown', name};
	}

	const parsed = schema.safeParse(value);
	return parsed.success
		? {kind: 'message', message: parsed.data}
		: {kind: 'malformed', problem: parsed.error.issues.map(({path, message}) => `${name}.${path.join('.')}: ${message}`).join('; ')};
}
