import type {Clock} from '../ports/clock.js';
import {isAddress, type Link, type Links} from './link.js';

/** How long an address that cannot be reached is kept unless it is a seed, in milliseconds. */
const forgetMs = 60_000;

/** BookParts are what a book works with. */
export type AddressBookOptions = {
	clock: Clock;
	links: Links;
	/** How often addresses without a link are dialled, in milliseconds. */
	redialMs: number;
	/** To which addresses links are wanted, where not to all. */
	subset?: Subset;
	/** The own address, which is never dialled, where there is one. */
	ownAddress(): string | undefined;
	/** Called with each new link that was dialled. */
	onLinkOpened(link: Link): void;
};

/** Subset is a choice that is stable while addresses come and go: the first `most` that can be reached, in the order of `rank`. */
export type Subset = {
	maxLinks: number;
	rank(addresses: readonly string[]): readonly string[];
	/** Called now and then with the links beyond the choice. */
	onSurplusLinks(links: readonly Link[]): void;
};

type Known = {
	address: string;
	link?: Link;
	dialling: boolean;
	/** Whether it could not be reached when it was dialled last. */
	failed: boolean;
	since: number;
	seed: boolean;
};

/** Book is the addresses where entries may be found, and at most one link to each; what has none is dialled again and again. */
export class AddressBook {
	static create(parts: AddressBookOptions): AddressBook {
		return new AddressBook(parts);
	}

	private readonly known = new Map<string, Known>();
	/** The known addresses in the order in which links are wanted, unless that is to be worked out anew. */
	private ranked?: readonly Known[];
	private timer?: NodeJS.Timeout;

	private constructor(private readonly parts: AddressBookOptions) {}

	/** The addresses with a link that is up. */
	get linkedAddresses(): string[] {
		return [...this.known.values()].filter(({link}) => link?.isOpen).map(({address}) => address);
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
	add(addresses: readonly string[], seed = false): void {
		for (const address of addresses) {
			if (isAddress(address) && address !== this.parts.ownAddress() && !this.known.has(address)) {
				this.ranked = undefined;
				this.known.set(address, {
					address, dialling: false, failed: false, since: this.parts.clock.mono(), seed,
				});
			}
		}
	}

	/** Takes a link that the other side dialled as the one to its address, unless there is one. */
	accept(address: string, link: Link): void {
		this.add([address]);
		const known = this.known.get(address);
		if (known) {
			known.link ??= link;
		}
	}

	/** Takes in that a link has ended. */
	linkEnded(link: Link): void {
		for (const known of this.known.values()) {
			if (known.link === link) {
				known.link = undefined;
				known.since = this.parts.clock.mono();
			}
		}
	}

	private redial(): void {
		this.forget();
		const most = this.parts.subset?.maxLinks ?? Number.POSITIVE_INFINITY;
		const beyond: Link[] = [];
		let counted = 0;
		for (const known of this.inOrder()) {
			if (counted >= most) {
				if (known.link) {
					beyond.push(known.link);
				}

				continue;
			}

			// One that can't be reached does not count, so that the next in order stands in for it.
			counted += Number(known.link !== undefined || !known.failed);
			if (!known.link && !known.dialling) {
				void this.dial(known);
			}
		}

		this.parts.subset?.onSurplusLinks(beyond);
	}

	private forget(): void {
		for (const known of this.known.values()) {
			if (!known.seed && !known.link && this.parts.clock.mono() - known.since > forgetMs) {
				this.known.delete(known.address);
				this.ranked = undefined;
			}
		}
	}

	private inOrder(): readonly Known[] {
		const {subset} = this.parts;
		this.ranked ??= subset ? subset.rank([...this.known.keys()]).map(address => this.known.get(address)!) : [...this.known.values()];
		return this.ranked;
	}

	private async dial(known: Known): Promise<void> {
		known.dialling = true;
		const link = await this.parts.links.dial(known.address);
		known.dialling = false;
		known.failed = link === undefined;
		if (!link) {
			return;
		}

		if (known.link) {
			link.close();
			return;
		}

		known.link = link;
		this.parts.onLinkOpened(link);
	}
}
