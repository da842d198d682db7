import {createHash} from 'node:crypto';
import type {Logger} from 'pino';
import {
	confirmedBy, extendedBy, isDisproved, noState, relateAnnounced, relateRead, relateReceived, type DesiredState, type StateInForce,
} from '../decide/desired-state.js';
import type {Clock} from '../ports/clock.js';
import type {Link} from './link.js';
import type {SyncMessage} from './messages.js';
import type {DispatcherMetrics} from './metrics.js';

/**
 * How long an entry waits to get a newer desired state from the store before it requests it from an entry that
 * holds it, and the pause between such requests, in milliseconds. A state of thousands of routes occupies a slow
 * link for a tenth of a second, so it is sent on request only.
 */
const fetchMs = 300;
/** The largest factor by which that pause grows while the states received can't be used. */
const maxFetchPauseFactor = 32;
/** How often at most a contradiction has the table read anew and the own state announced again, in milliseconds. */
const recheckMs = 10_000;

export type StateExchangeOptions = {
	clock: Clock;
	log: Logger;
	meters: DispatcherMetrics;
	/** Returns whether an answer of the store is arriving, which may hold a newer desired state. */
	isStoreAnswering(): boolean;
	/** Called with a newer desired state received from another entry. */
	onReceived(asOf: number, text: string): void;
	/** Called when another entry holds another state at a version that this entry has read: one of them has read the store wrongly. */
	onContradiction(): void;
};

type StateMessage = Exclude<SyncMessage, {kind: 'entries'}>;

/** StateExchange holds the newest desired state and passes it on: entries announce the version of theirs, and one that is behind requests the state. */
export class StateExchange {
	static create(options: StateExchangeOptions): StateExchange {
		return new StateExchange(options);
	}

	/** Links to other entries, with the version of the desired state that each holds. */
	private readonly links = new Map<Link, number>();
	private inForce: StateInForce = noState;
	private digest = '';
	private recheckedAt = Number.NEGATIVE_INFINITY;
	private fetchTimer?: NodeJS.Timeout;
	private fetches = 0;

	private constructor(private readonly options: StateExchangeOptions) {}

	/** The version of the desired state in force; 0 before there is one. */
	get asOf(): number {
		return this.inForce.asOf;
	}

	/** Puts a desired state in force and announces it. `claimedAt`: when another entry claimed it, if this one has not read it. */
	set(state: DesiredState, claimedAt?: number): void {
		this.inForce = {...state, since: state.asOf, claimedAt};
		this.digest = createHash('sha256').update(state.text).digest('base64');
		this.fetches = 0;
		this.announce();
	}

	/** Takes in that the store showed this state to a request made at `askedAt`. Returns whether it must be put in force. */
	takeRead(read: DesiredState, askedAt: number): boolean {
		const {inForce, options: {log, meters}} = this;
		if (isDisproved(inForce, read, askedAt)) {
			meters.stateContradictions.inc({by: 'store'});
			log.warn({
				event: 'contradiction', by: 'store', asOf: inForce.asOf, number: inForce.number, read: read.asOf, from: this.dropClaims(read.asOf + 1),
			}, 'the store has not reached a version that another entry claimed');
		}

		switch (relateRead(read, askedAt, inForce)) {
			case 'replaces': {
				return true;
			}

			case 'same': {
				this.inForce = confirmedBy(read, askedAt, inForce);
				return false;
			}

			case 'older': {
				return false;
			}
		}
	}

	/** Takes in a state that another entry has sent. Returns whether it must be put in force. */
	takeReceived(received: DesiredState): boolean {
		const {inForce, options: {log, meters}} = this;
		switch (relateReceived(received, inForce)) {
			case 'replaces': {
				return true;
			}

			case 'same': {
				this.inForce = extendedBy(received, this.options.clock.mono(), inForce);
				return false;
			}

			case 'older': {
				return false;
			}

			case 'contradicts': {
				meters.stateContradictions.inc({by: 'number'});
				log.warn({
					event: 'contradiction', by: 'number', asOf: inForce.asOf, number: inForce.number, claimed: received.asOf, received: received.number, from: this.dropClaims(received.asOf),
				}, 'another entry claims an older desired state to be newer; it is not taken');
				return false;
			}
		}
	}

	/** Adds a link to another entry, and announces the state in force on it. */
	addLink(link: Link): void {
		this.links.set(link, 0);
		if (this.inForce.asOf > 0) {
			link.send(this.announcement());
		}
	}

	removeLink(link: Link): void {
		this.links.delete(link);
	}

	receive(message: StateMessage, link: Link): void {
		switch (message.kind) {
			case 'newest': {
				this.takeAnnounced(message, link);
				break;
			}

			case 'fetch': {
				const {asOf, text} = this.inForce;
				// Requests that arrive together get one answer: each would take the memory of a whole state.
				if (!link.isAboutToSend('desired')) {
					link.send({kind: 'desired', asOf, text});
				}

				break;
			}

			case 'desired': {
				if (message.asOf > this.inForce.asOf) {
					this.options.onReceived(message.asOf, message.text);
				}

				break;
			}
		}
	}

	close(): void {
		clearTimeout(this.fetchTimer);
	}

	private takeAnnounced(announced: StateMessage & {kind: 'newest'}, link: Link): void {
		this.links.set(link, announced.asOf);
		switch (relateAnnounced(announced, this.inForce, this.digest)) {
			case 'same': {
				this.inForce = extendedBy(announced, this.options.clock.mono(), this.inForce);
				break;
			}

			case 'contradicts': {
				this.recheck(announced, link);
				break;
			}

			case 'replaces':
			case 'older': {
				break;
			}
		}

		this.catchUp();
	}

	/** Has the table read anew, and lets the other entry know what this one holds, so that it does the same. */
	private recheck({asOf: claimed}: {asOf: number}, link: Link): void {
		const {clock, log, meters, onContradiction} = this.options;
		meters.stateContradictions.inc({by: 'digest'});
		const now = clock.mono();
		if (now - this.recheckedAt < recheckMs) {
			return;
		}

		this.recheckedAt = now;
		const {since, asOf, number} = this.inForce;
		log.warn({
			event: 'contradiction', by: 'digest', since, asOf, number, claimed, from: link.peer?.node,
		}, 'another entry holds another desired state at a version that was read here; reading the store anew');
		link.send(this.announcement());
		onContradiction();
	}

	/** Forgets the versions from `asOf` on that other entries have announced, so that their states are not requested. Returns the names of these entries. */
	private dropClaims(asOf: number): Array<string | undefined> {
		const claimants = [...this.links].filter(([, claimed]) => claimed >= asOf).map(([link]) => link);
		for (const link of claimants) {
			this.links.set(link, 0);
		}

		return claimants.map(({peer}) => peer?.node);
	}

	private announce(): void {
		for (const link of this.links.keys()) {
			link.send(this.announcement());
		}
	}

	private announcement(): StateMessage {
		return {kind: 'newest', asOf: this.inForce.asOf, digest: this.digest};
	}

	/** Requests a newer desired state from the entries that hold one, one after the other, unless the store provides it first. */
	private catchUp(): void {
		const {log, isStoreAnswering} = this.options;
		const ahead = [...this.links].filter(([, asOf]) => asOf > this.inForce.asOf).map(([link]) => link);
		if (ahead.length === 0 || this.fetchTimer) {
			return;
		}

		const knowsNone = this.inForce.asOf === 0 && this.fetches === 0;
		const pauseMs = fetchMs * Math.min(maxFetchPauseFactor, 2 ** Math.max(0, this.fetches - 2));
		this.fetchTimer = setTimeout(() => {
			this.fetchTimer = undefined;
			if (isStoreAnswering()) {
				// A second copy of the state would share the link's bandwidth with the first and delay both.
				this.catchUp();
				return;
			}

			const link = ahead.filter(({isOpen}) => isOpen)[this.fetches++ % ahead.length];
			if (link && this.links.get(link)! > this.inForce.asOf) {
				log.info({
					event: 'fetch', asOf: this.inForce.asOf, newer: this.links.get(link), from: link.peer?.node,
				}, 'requesting the desired state from another entry');
				link.send({kind: 'fetch'});
			}

			this.catchUp();
		}, knowsNone && !isStoreAnswering() ? 0 : pauseMs);
	}
}
