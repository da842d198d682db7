import {createHash} from 'node:crypto';
import type {Logger} from 'pino';
import type {Link} from './link.js';
import type {SyncMessage} from './messages.js';

/**
 * How long an entry waits to get a newer desired state from the store before it requests it from an entry that
 * holds it, and the pause between such requests, in milliseconds. A state of thousands of routes occupies a slow
 * link for a tenth of a second, so it is sent on request only.
 */
const fetchMs = 300;
/** The largest factor by which that pause grows while the states received can't be used. */
const maxFetchPauseFactor = 32;

export type StateExchangeOptions = {
	log: Logger;
	/** Returns whether an answer of the store is arriving, which may hold a newer desired state. */
	isStoreAnswering(): boolean;
	/** Called with a newer desired state received from another entry. */
	onReceived(asOf: number, text: string): void;
};

type StateMessage = Exclude<SyncMessage, {kind: 'entries'}>;

/** StateExchange holds the newest desired state and passes it on: entries announce the version of theirs, and one that is behind requests the state. */
export class StateExchange {
	static create(options: StateExchangeOptions): StateExchange {
		return new StateExchange(options);
	}

	/** Links to other entries, with the version of the desired state that each holds. */
	private readonly links = new Map<Link, number>();
	private inForce = {asOf: 0, text: '', digest: ''};
	private fetchTimer?: NodeJS.Timeout;
	private fetches = 0;

	private constructor(private readonly options: StateExchangeOptions) {}

	/** The version of the desired state in force; 0 before there is one. */
	get asOf(): number {
		return this.inForce.asOf;
	}

	/** Sets the desired state in force and announces it. The same state must have the same text. */
	set(asOf: number, text: string): void {
		this.inForce = {asOf, text, digest: createHash('sha256').update(text).digest('base64')};
		this.fetches = 0;
		for (const link of this.links.keys()) {
			link.send(this.announcement());
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
				this.links.set(link, message.asOf);
				if (message.digest === this.inForce.digest) {
					this.inForce.asOf = Math.max(this.inForce.asOf, message.asOf);
				}

				this.catchUp();
				break;
			}

			case 'fetch': {
				const {asOf, text} = this.inForce;
				link.send({kind: 'desired', asOf, text});
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

	private announcement(): StateMessage {
		const {asOf, digest} = this.inForce;
		return {kind: 'newest', asOf, digest};
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
