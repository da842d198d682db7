import type {Clock} from '../ports/clock.js';
import {
	dial, isAddress, type Link, type Receiver,
} from './link.js';

/** How long an address that cannot be reached is kept unless it is a seed, in milliseconds. */
const forgetMs = 60_000;

/** BookParts are what a book works with. */
export type BookParts = {
	clock: Clock;
	/** Takes what arrives on the links that are dialled. */
	receiver: Receiver;
	/** How often addresses without a link are dialled, in milliseconds. */
	redialMs: number;
	/** The own address, which is never dialled, where there is one. */
	own(): string | undefined;
	/** Called with each new link that was dialled. */
	opened(link: Link): void;
};

type Known = {address: string; link?: Link; dialling: boolean; since: number; seed: boolean};

/** Book is the addresses where entries may be found, and at most one link to each; what has none is dialled again and again. */
export class Book {
	static create(parts: BookParts): Book {
		return new Book(parts);
	}

	private readonly known = new Map<string, Known>();
	private timer?: NodeJS.Timeout;

	private constructor(private readonly parts: BookParts) {}

	/** The addresses with a link that is up. */
	get reached(): string[] {
		return [...this.known.values()].filter(({link}) => link?.alive).map(({address}) => address);
	}

	/** Dials from now on. */
	open(): void {
		this.timer = setInterval(() => {
			this.redial();
		}, this.parts.redialMs);
		this.redial();
	}

	/** Dials no more. Links that are up stay. */
	close(): void {
		clearInterval(this.timer);
	}

	/** Learns addresses. What is none is passed over: it can come from a row that somebody else wrote. */
	know(addresses: readonly string[], seed = false): void {
		for (const address of addresses) {
			if (isAddress(address) && address !== this.parts.own() && !this.known.has(address)) {
				this.known.set(address, {
					address, dialling: false, since: this.parts.clock.mono(), seed,
				});
			}
		}
	}

	/** Takes a link that the other side dialled as the one to its address, unless there is one. */
	accept(address: string, link: Link): void {
		this.know([address]);
		const known = this.known.get(address);
		if (known) {
			known.link ??= link;
		}
	}

	/** Takes in that a link has ended. */
	ended(link: Link): void {
		for (const known of this.known.values()) {
			if (known.link === link) {
				known.link = undefined;
				known.since = this.parts.clock.mono();
			}
		}
	}

	private redial(): void {
		for (const known of this.known.values()) {
			if (!known.seed && !known.link && this.parts.clock.mono() - known.since > forgetMs) {
				this.known.delete(known.address);
			} else if (!known.link && !known.dialling) {
				void this.dial(known);
			}
		}
	}

	private async dial(known: Known): Promise<void> {
		known.dialling = true;
		const link = await dial(known.address, this.parts.clock, this.parts.receiver);
		known.dialling = false;
		if (!link) {
			return;
		}

		if (known.link) {
			link.close();
			return;
		}

		known.link = link;
		this.parts.opened(link);
	}
}
