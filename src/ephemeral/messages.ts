import type {Hindrance, Outcome} from '../decide/guard.js';
import type {Room} from '../decide/room.js';
import type {PlaceReport} from '../decide/schedule.js';

/** Hello is the first message on a link, either way. `life` is new each time the process starts. */
export type Hello = {
	kind: 'hello';
	role: 'entry' | 'sidecar';
	node: string;
	life: string;
	/** Where an entry listens for links, as host:port. */
	address?: string;
};

/** Stamp dates what a sidecar sends by its worker's clock, in milliseconds, so that orders that answer it can be dated too. */
export type Stamp = number;

/** ToEntry is what a sidecar sends to an entry. */
export type ToEntry
	= | {kind: 'place'; report: PlaceReport; stamp: Stamp; clear: boolean}
		| {kind: 'room'; others: Room; stamp: Stamp; clear: boolean}
	/** The room that the entry wanted is kept for it; how much there is follows. */
		| {kind: 'offer'}
		| {kind: 'refused'; ref: number; why: Hindrance}
		| {kind: 'ended'; ref: number; outcome: Outcome; ranMs: number};

/** ToSidecar is what an entry sends to a sidecar. */
export type ToSidecar
	/** `age` is how long the entry has had the stamp, in milliseconds. */
	= | {kind: 'start'; ref: number; task: string; room: Room; spec: string; stamp: Stamp; age: number}
		| {kind: 'stop'; ref: number}
	/** A task of this size waits for room and should begin within `dueMs`. */
		| {kind: 'want'; room: Room; dueMs: number}
		| {kind: 'zones'; asOf: number; out: readonly string[]};

/** Gossip is what entries tell each other and, of addresses, their sidecars. */
export type Gossip
	/** The addresses of entries that are up. */
	= | {kind: 'entries'; addresses: readonly string[]}
	/** The newest desired state, as the platform gave it out; `asOf` orders them. */
		| {kind: 'desired'; asOf: number; text: string};

/** Message is what travels on a link. A `beat` says only that its sender is alive. */
export type Message = Hello | ToEntry | ToSidecar | Gossip | {kind: 'beat'};
