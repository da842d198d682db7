import type {Clock} from '../ports/clock.js';
import {isAddress, type Link, type Links} from './link.js';

/** How long an unreachable address that is not a seed is kept, in milliseconds. */
const forgetMs = 60_000;
/** The most addresses that are kept. */
const maxAddresses = 1000;
/** The most addresses that are dialled at the same time. */
const maxDials = 64;

export type AddressBookOptions = {
	clock: Clock;
	links: Links;
	/** How often addresses without a link are dialled, in milliseconds. */
	redialMs: number;
	/** Selects the addresses to link to. Absent if all are linked. */
	subset?: Subset;
	/** This process's own address, if it has one. It is never dialled. */
	ownAddress(): string | undefined;
	/** Called with each link that this process has dialled, once it is open. */
	onLinkOpened(link: Link): void;
};

/** Selects the first `maxLinks` reachable addresses in the order of `rank`, so that the selection stays stable while addresses come and go. */
export type Subset = {
	maxLinks: number;
	rank(addresses: readonly string[]): readonly string[];
	/** Called at each redial with the links outside the selection. */
	onSurplusLinks(links: readonly Link[]): void;
};

type Known = {
	address: string;
	link?: Link;
	dialling: boolean;
	/** When it was last dialled, in monotonic milliseconds; 0 if it never was. */
	dialledAt: number;
	/** Whether the last attempt to dial it failed. */
	failed: boolean;
	/** Whether that attempt was refused: no process was there. */
	isRefused: boolean;
	since: number;
	seed: boolean;
	/** The process that was last reached there. */
	process?: string;
};

/** AddressBook holds the addresses where entries may be found, with at most one link to each. Addresses without a link are dialled at intervals. */
export class AddressBook {
	static create(options: AddressBookOptions): AddressBook {
		return new AddressBook(options);
	}

	private readonly known = new Map<string, Known>();
	/** The known addresses in order of preference. Absent if the order must be computed again. */
	private ranked?: readonly Known[];
	private timer?: NodeJS.Timeout;

	private constructor(private readonly options: AddressBookOptions) {}

	/** The addresses with an open link. */
	get linkedAddresses(): string[] {
		return [...this.known.values()].filter(({link}) => link?.isOpen).map(({address}) => address);
	}

	/** Whether a process may be at a known address without a link: it was there within `forgetMs`, and the address has not refused a connection since. */
	get hasSilentAddress(): boolean {
		const all = [...this.known.values()];
		const isLinked = ({link}: Known): boolean => link?.isOpen === true && link.peer !== undefined;
		const linked = new Set(all.filter(known => isLinked(known)).map(({process}) => process));
		const now = this.options.clock.mono();
		return all.some(known => !isLinked(known) && !known.isRefused && now - known.since <= forgetMs && !(known.process !== undefined && linked.has(known.process)));
	}

	/** Starts dialling. */
	open(): void {
		this.timer = setInterval(() => {
			this.redial();
		}, this.options.redialMs);
		this.redial();
	}

	/** Stops dialling. Open links stay open. */
	close(): void {
		clearInterval(this.timer);
	}

	/** Adds addresses. Invalid ones are ignored, since they may come from a row that another process wrote. While there are too many, one that could not be reached makes room. */
	add(addresses: readonly string[], seed = false): void {
		for (const address of addresses) {
			if (isAddress(address) && address !== this.options.ownAddress() && !this.known.has(address) && (seed || this.hasRoom())) {
				this.ranked = undefined;
				this.known.set(address, {
					address, dialling: false, dialledAt: 0, failed: false, isRefused: false, since: this.options.clock.mono(), seed,
				});
			}
		}
	}

	/** Records a link that the other side dialled as the link to its address, unless there is one already. */
	accept(address: string, link: Link): void {
		this.add([address]);
		const known = this.known.get(address);
		if (known) {
			known.link ??= link;
		}
	}

	/** Records which process is at the end of a link. Of several addresses of one process only one is linked. */
	reached(link: Link, process: string): void {
		for (const known of this.known.values()) {
			if (known.link === link) {
				known.process = process;
			}
		}
	}

	/** Removes a link that has ended. */
	linkEnded(link: Link): void {
		for (const known of this.known.values()) {
			if (known.link === link) {
				known.link = undefined;
				// A refusal from before the link says nothing about the process that was at its end.
				known.isRefused = false;
				known.since = this.options.clock.mono();
			}
		}
	}

	/** Returns whether another address can be kept, after one that could not be reached was dropped for it if need be. */
	private hasRoom(): boolean {
		if (this.known.size < maxAddresses) {
			return true;
		}

		for (const {address, seed, link, dialling, failed} of this.known.values()) {
			if (failed && !seed && !link && !dialling) {
				this.known.delete(address);
				return true;
			}
		}

		return false;
	}

	private redial(): void {
		this.forget();
		const due: Known[] = [];
		const maxLinks = this.options.subset?.maxLinks ?? Number.POSITIVE_INFINITY;
		const surplus: Link[] = [];
		const linked = new Set([...this.known.values()].filter(({link}) => link?.isOpen).map(({process}) => process));
		let counted = 0;
		for (const known of this.inOrder()) {
			if (!known.link && known.process !== undefined && linked.has(known.process)) {
				continue;
			}

			if (counted >= maxLinks) {
				if (known.link) {
					surplus.push(known.link);
				}

				continue;
			}

			// An unreachable address does not count, so that the next in order is linked instead.
			counted += Number(known.link !== undefined || !known.failed);
			if (!known.link && !known.dialling) {
				due.push(known);
			}
		}

		this.dialSome(due);
		this.options.subset?.onSurplusLinks(surplus);
	}

	/** Dials as many of these as may be dialled at once, those first that were not dialled for the longest time. */
	private dialSome(due: Known[]): void {
		const free = maxDials - [...this.known.values()].filter(({dialling}) => dialling).length;
		const chosen = due.length > free ? due.toSorted((a, b) => a.dialledAt - b.dialledAt).slice(0, free) : due;
		for (const known of chosen) {
			void this.dial(known);
		}
	}

	private forget(): void {
		for (const known of this.known.values()) {
			if (!known.seed && !known.link && this.options.clock.mono() - known.since > forgetMs) {
				this.known.delete(known.address);
				this.ranked = undefined;
			}
		}
	}

	private inOrder(): readonly Known[] {
		const {subset} = this.options;
		this.ranked ??= subset ? subset.rank([...this.known.keys()]).map(address => this.known.get(address)!) : [...this.known.values()];
		return this.ranked;
	}

	private async dial(known: Known): Promise<void> {
		const {since} = known;
		known.dialling = true;
		known.dialledAt = this.options.clock.mono();
		let isRefused = false;
		const link = await this.options.links.dial(known.address, () => {
			isRefused = true;
		});
		known.dialling = false;
		known.isRefused = isRefused && known.since === since;
		known.failed = link === undefined;
		if (!link) {
			return;
		}

		if (known.link) {
			link.close();
			return;
		}

		known.link = link;
		this.options.onLinkOpened(link);
	}
}
