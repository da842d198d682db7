import * as z from 'zod';
import type {StartRefusal} from '../decide/guard.js';
import {maxReleases} from '../decide/reservation.js';
import {describeIssues} from '../issues.js';
import {asFrequent} from './frequent.js';

const room = z.object({cpu: z.number(), memoryMb: z.number(), accelerators: z.number()});
const hindrance = z.enum([
	'room', 'draining', 'stopping', 'zone-out', 'absent', 'unsettled', 'stale', 'duplicate', 'withdrawn', 'fence', 'old', 'late', 'unwell', 'other-life', 'invalid',
]) satisfies z.ZodType<StartRefusal>;
/** The time stamp of a sidecar's messages: its worker's clock in milliseconds. The entry's starts return it with its age, so that they are dated by the same clock. */
const stamp = z.number();
const ref = z.int();
/** The highest version of a desired state, far above the number of writes that the store can have taken. */
export const maxVersion = 2 ** 40;
const version = z.int().min(0).max(maxVersion);
/** A time from now in milliseconds and a capacity in thousandths of a core. */
const release = z.tuple([z.number(), z.number()]).readonly();

/** The longest name of a node, an incarnation, an address or a feature, in characters, and the most features: hellos are logged. */
export const maxNameLength = 256;
const maxFeatures = 64;
/** The longest list in a field of a message. */
const maxListLength = 10_000;
/** Returns whether a value is a list of texts. A schema of the list would name each fault. */
const areTexts = (value: unknown): boolean => Array.isArray(value) && value.every(text => typeof text === 'string');
const name = z.string().max(maxNameLength);

/** What a side can do beyond the first version of the links. A feature is used on a link only if both hellos name it. */
export type Feature = 'specs' | 'msgpack' | 'parts' | 'crashes' | 'callers' | 'cancels' | 'lookAhead';
/** The features of this version that are announced whenever those of the links are on. */
export const features: readonly Feature[] = ['specs', 'msgpack', 'parts', 'crashes', 'callers', 'cancels'];
/** The most tasks that the report of a crash names. */
export const maxCrashedTasks = 1000;

/** Returns the features that a side announces; none where those of the links are switched off. `lookAhead`: whether it uses the fields of look-ahead placement. */
export function announcedFeatures(links: boolean, lookAhead: boolean): readonly Feature[] | undefined {
	if (!links) {
		return undefined;
	}

	return lookAhead ? [...features, 'lookAhead'] : features;
}

/** The first message on a link in each direction. `life` names the incarnation, and is new each time the process starts. */
const hello = z.object({
	kind: z.literal('hello'),
	role: z.enum(['entry', 'sidecar']),
	node: name.min(1),
	life: name.min(1),
	/** The address on which an entry listens for links, as host:port. */
	address: name.optional(),
	/** The sender's features, names of later versions included. */
	features: z.array(name).max(maxFeatures).readonly().optional(),
});

/** The messages from a sidecar to an entry. */
const toEntry = [
	z.object({
		kind: z.literal('place'),
		report: z.object({
			zone: z.string(), pool: z.string(), room, others: room, isFailing: z.boolean(), hindrance: hindrance.optional(),
			/** The worker's kind and rack, by position. */
			labels: z.custom<readonly string[]>(areTexts, 'expected a list of texts').optional(),
			/** How long a draining worker still stays, in milliseconds. */
			remainingMs: z.number().optional(),
		}),
		stamp,
		clear: z.boolean(),
	}),
	z.object({
		kind: z.literal('room'),
		others: room,
		stamp,
		clear: z.boolean(),
		/** The expected releases in order of time, each with the total capacity released by then. */
		releases: z.array(release).max(maxReleases).readonly().optional(),
		/** When the reserved task of another entry should start, and its size. */
		reserved: release.optional(),
	}),
	/** The capacity that the entry requested is reserved for it. The `room` message that follows says how much is free. */
	z.object({kind: z.literal('offer')}),
	z.object({kind: z.literal('refused'), ref, why: hindrance}),
	z.object({
		kind: z.literal('ended'), ref, outcome: z.enum(['done', 'failed', 'lost']), ranMs: z.number(),
	}),
	/** The incarnation `life` of the worker crashed `ageMs` ago. It ran these tasks, or may have; `route` is empty where it is not known. */
	z.object({
		kind: z.literal('crashed'), life: z.string(), ageMs: z.number().min(0), tasks: z.array(z.tuple([z.string(), z.string()]).readonly()).max(maxCrashedTasks).readonly(),
	}),
] as const;

/** The messages from an entry to a sidecar. */
const toSidecar = [
	/** `age` is the time from when the entry received the stamp until it ordered the start, in milliseconds; where its event loop is late, until it last read its sockets, which may be before the stamp. `specId` names a text that was sent before, in place of `spec`. */
	z.object({
		kind: z.literal('start'), ref, task: z.string().min(1), room, spec: z.string().optional(), specId: ref.optional(), stamp, age: z.number(),
		/** The run time that the entry expects there, in milliseconds. */
		expectedMs: z.number().optional(),
		/** The route of the task's job. */
		route: z.string().optional(),
	}).refine(({spec, specId}) => (spec === undefined) !== (specId === undefined), {path: ['spec'], error: 'expected either spec or specId'}),
	/** The callers of all jobs were connected `age` after the stamp, as of a start. It goes with every block of messages without a start while tasks are under way. */
	z.object({kind: z.literal('callers'), stamp, age: z.number()}),
	/** The text of a job, for the starts that follow on the link. */
	z.object({kind: z.literal('spec'), id: ref, text: z.string()}),
	/** The texts that no start will name any more. */
	z.object({kind: z.literal('forget'), ids: z.array(ref).readonly()}),
	/** `hung`: the run should have ended long ago. */
	z.object({kind: z.literal('stop'), ref, hung: z.boolean()}),
	/** Requests capacity for a waiting task of this size, which should begin within `dueMs`. `reserve`: asks for a reservation too. */
	z.object({
		kind: z.literal('want'), room, dueMs: z.number(), reserve: z.boolean().optional(),
	}),
	z.object({kind: z.literal('zones'), asOf: version, out: z.array(z.string()).readonly()}),
] as const;

/** The messages between entries. `entries` is sent to sidecars too. */
const sync = [
	/** The addresses of the entries that the sender has links to, and its own. */
	z.object({kind: z.literal('entries'), addresses: z.array(z.string()).readonly()}),
	/**
	 * The version of the desired state that the sender holds, and a digest of its text. A higher `asOf` is newer. The
	 * store counts versions over all of its rows, so that the same state may be known under several.
	 */
	z.object({kind: z.literal('newest'), asOf: version, digest: z.string().max(100).optional()}),
	/** Requests that desired state. */
	z.object({kind: z.literal('fetch')}),
	/** A desired state, as received from the platform. */
	z.object({kind: z.literal('desired'), asOf: version, text: z.string()}),
] as const;

/** The messages between entries about cancelled jobs. Their values are checked where they are handled, since a malformed one must not end the link. */
const cancellation = [
	/** Cancels a job and remembers that. Answered by `cancelAnswer`. */
	z.object({kind: z.literal('cancel'), job: z.unknown().optional()}),
	z.object({kind: z.literal('cancelAnswer'), job: z.unknown().optional(), isUnderWay: z.unknown().optional()}),
	/** The jobs that were cancelled lately, each with how long ago that was in milliseconds. */
	z.object({kind: z.literal('cancellations'), jobs: z.unknown().optional()}),
] as const;

/** A heartbeat. `needed`: the sender needs the link, so the receiver must send heartbeats at the short interval too. */
const beat = z.object({kind: z.literal('beat'), needed: z.boolean()});

/** The last line of JSON of a direction that goes on with another codec. */
const codec = z.object({kind: z.literal('codec'), name: z.string()});

/** A part of the JSON text of a long message, in frames only. `last`: the message is whole with it. */
const part = z.object({kind: z.literal('part'), bytes: z.custom<Uint8Array>(value => value instanceof Uint8Array), last: z.boolean()});
/** A part has arrived, so that the next may be sent. */
const partTaken = z.object({kind: z.literal('partTaken')});

const ofLinks = [beat, codec, part, partTaken] as const;
const all = [hello, ...toEntry, ...toSidecar, ...sync, ...cancellation, ...ofLinks] as const;
const schemas: ReadonlyMap<unknown, z.ZodType<Message>> = new Map(all.map(schema => [schema.shape.kind.value, schema]));

export type Hello = z.infer<typeof hello>;
export type MessageToEntry = z.infer<typeof toEntry[number]>;
export type MessageToSidecar = z.infer<typeof toSidecar[number]>;
export type SyncMessage = z.infer<typeof sync[number]>;
export type CancellationMessage = z.infer<typeof cancellation[number]>;

/** A message that a link handles by itself. */
export type LinkMessage = z.infer<typeof ofLinks[number]>;

/** Returns whether a message is one that a link handles by itself. */
export function isLinkMessage(message: Message): message is LinkMessage {
	return ofLinks.some(({shape}) => shape.kind.value === message.kind);
}

const kindsToSidecar: ReadonlySet<Message['kind']> = new Set(toSidecar.map(({shape}) => shape.kind.value));

/** Returns whether a message is one from an entry to a sidecar. */
export function isMessageToSidecar(message: Message): message is MessageToSidecar {
	return kindsToSidecar.has(message.kind);
}

/** A message on a link. */
export type Message = Hello | MessageToEntry | MessageToSidecar | SyncMessage | CancellationMessage | LinkMessage;

/** A message that a link passes on to its receiver. */
export type ReceivedMessage = Exclude<Message, LinkMessage>;

/** The result of decoding a value: a message, the name of an unknown kind that a later version may send, or the fault found. */
export type DecodeResult
	= | {kind: 'message'; message: Message}
		| {kind: 'unknown'; name: string}
		| {kind: 'malformed'; problem: string};

/** Returns the kind that a message names, if it names one. */
export function kindOf(value: unknown): string | undefined {
	const kind = typeof value === 'object' && value !== null ? (value as {kind?: unknown}).kind : undefined;
	return typeof kind === 'string' ? kind : undefined;
}

/** Returns the length of a field that is too long a list. A schema would look at each of its millions of values. */
function longListIn(message: Record<string, unknown>): number | undefined {
	const lengths = Object.values(message).map(field => Array.isArray(field) ? field.length : 0);
	return lengths.find(length => length > maxListLength);
}

/** Decodes one message. */
export function decodeMessage(value: unknown): DecodeResult {
	const kind = kindOf(value);
	if (kind === undefined) {
		return {kind: 'malformed', problem: 'kind: expected the name of a message'};
	}

	const message = asFrequent(value as Record<string, unknown>);
	if (message) {
		return {kind: 'message', message};
	}

	const schema = schemas.get(kind);
	if (!schema) {
		return {kind: 'unknown', name: kind};
	}

	const length = longListIn(value as Record<string, unknown>);
	if (length !== undefined) {
		return {kind: 'malformed', problem: `${kind}: a list of ${length} where at most ${maxListLength} are allowed`};
	}

	const parsed = schema.safeParse(value);
	return parsed.success
		? {kind: 'message', message: parsed.data}
		: {kind: 'malformed', problem: describeIssues(parsed.error.issues.map(issue => ({...issue, path: [kind, ...issue.path]})))};
}
