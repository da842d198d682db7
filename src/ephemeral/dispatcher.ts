import type {Logger} from 'pino';
import {
	Schedule, type Action, type Event, type Job, type StartAction, type Verdict,
} from '../decide/schedule.js';
import type {Clock} from '../ports/clock.js';
import type {DispatcherMetrics} from './metrics.js';
import {AddressBook} from './address-book.js';
import {
	Links, type Link, type LinkEndReason, type Receiver,
} from './link.js';
import type {SyncMessage, Message, MessageToEntry} from './messages.js';

/** DispatcherSettings are what an entry needs to know to dispatch jobs kept in memory. */
export type DispatcherSettings = {
	node: string;
	incarnation: string;
	/** Where it listens for links, as host:port; port 0 takes one that is free. */
	address: string;
	/** Addresses where other entries may be found. */
	seeds: readonly string[];
};

/** How often waiting jobs are looked at, in milliseconds. */
const tickMs = 20;
/** How often a lost entry is dialled, in milliseconds. */
const redialMs = 500;
/**
 * How long an entry waits for the store to give it a desired state that another entry holds, in milliseconds, and
 * how often it then asks one for it. A state of thousands of routes takes a thin link a tenth of a second, so it is not sent unasked.
 */
const fetchMs = 300;
/** By how many times that pause grows where what comes can't be used. */
const fetchMostPauses = 32;
/** How long changes of the addresses of entries are collected before sidecars are told, in milliseconds: at a start there is one an entry. */
const tellMs = 100;

/** Sidecar is one with a link: its worker's clock in milliseconds, as it told it last, and when. */
type Sidecar = {link: Link; stamp: number; stampedAt: number};
type Waiter = (verdict: Verdict) => void;

/**
 * Dispatcher is an entry's side of jobs kept in memory: it carries out what its schedule decides, answers
 * those who wait for a job, and passes the newest desired state on to other entries.
 */
export class Dispatcher implements Receiver {
	static async create(settings: DispatcherSettings, clock: Clock, log: Logger, meters: DispatcherMetrics): Promise<Dispatcher> {
		const dispatcher = new Dispatcher(settings, clock, log, meters);
		dispatcher.address = await dispatcher.links.listen(settings.address);
		dispatcher.book.open();
		return dispatcher;
	}

	readonly schedule = Schedule.create();
	/** Where it listens. */
	address: string;

	/** Called with a desired state that another entry holds. */
	onDesiredState?: (asOf: number, text: string) => void;

	private readonly links: Links;
	private readonly sidecars = new Map<string, Sidecar>();
	/** Links to other entries, with how new the desired state is that each holds. */
	private readonly entries = new Map<Link, number>();
	private readonly book: AddressBook;
	private readonly waiters = new Map<string, Set<Waiter>>();
	private desired: {asOf: number; text: string} = {asOf: 0, text: ''};
	private out: readonly string[] = [];
	/** When the next job that has not begun has waited long enough, and the timer for it. */
	private armedFor = Number.POSITIVE_INFINITY;
	private alarm?: NodeJS.Timeout;
	/** The addresses of entries as sidecars were told of last. */
	private toldAddresses = '';
	private telling?: NodeJS.Timeout;
	private fetching?: NodeJS.Timeout;
	private fetches = 0;
	private readonly timer: NodeJS.Timeout;

	private constructor(
		private readonly settings: DispatcherSettings,
		private readonly clock: Clock,
		private readonly log: Logger,
		private readonly meters: DispatcherMetrics,
	) {
		this.address = settings.address;
		this.links = Links.create(clock, this);
		this.book = AddressBook.create({
			clock, links: this.links, redialMs, ownAddress: () => this.address, onLinkOpened: link => {
				this.hello(link);
				this.tellAddresses();
			},
		});
		this.addAddresses(settings.seeds, true);
		this.timer = setInterval(() => {
			if (this.schedule.jobCount > 0) {
				this.apply({kind: 'tick'});
			}
		}, tickMs);
	}

	/**
	 * Submits a job, or joins the one of that name that is under way, and calls `answer` when it ends.
	 * Returns a function to call when the caller is gone: a job that nobody waits for is stopped.
	 */
	submit(job: Job, answer: Waiter): () => void {
		const waiters = this.waiters.get(job.id);
		if (waiters) {
			waiters.add(answer);
			this.log.info({event: 'joined', job: job.id}, 'submission joined a job under way');
		} else {
			this.waiters.set(job.id, new Set([answer]));
			this.apply({kind: 'submit', job});
		}

		return () => {
			this.leave(job.id, answer);
		};
	}

	/** Cancels a job. Returns whether it was under way here. */
	cancel(job: string): boolean {
		const known = this.waiters.has(job);
		this.apply({kind: 'cancel', job});
		return known;
	}

	/** Takes in the desired state in force, to be passed on as `text`, and the zones that are out of service. */
	setDesiredState(asOf: number, text: string, out: readonly string[]): void {
		this.desired = {asOf, text};
		this.fetches = 0;
		this.out = out;
		this.apply({kind: 'zones', out: new Set(out)});
		for (const {link} of this.sidecars.values()) {
			link.send({kind: 'zones', asOf, out});
		}

		for (const link of this.entries.keys()) {
			link.send({kind: 'newest', asOf});
		}
	}

	/** Learns addresses of other entries. */
	addAddresses(addresses: readonly string[], seed = false): void {
		this.book.add(addresses, seed);
	}

	/** Admits from now on only what should end within a time, in milliseconds. */
	drain(withinMs: number): void {
		this.apply({kind: 'stopping', until: this.clock.mono() + withinMs});
	}

	/** Ends all links. */
	close(): void {
		clearInterval(this.timer);
		this.book.close();
		clearTimeout(this.alarm);
		clearTimeout(this.telling);
		clearTimeout(this.fetching);
		this.links.close();
	}

	isNeeded({peer}: Link): boolean {
		return peer?.role === 'sidecar' && this.schedule.outstandingAt(peer.node) > 0;
	}

	receive(message: Message, link: Link): void {
		switch (message.kind) {
			case 'hello': {
				this.welcome(link);
				break;
			}

			case 'place':
			case 'room':
			case 'offer':
			case 'refused':
			case 'ended': {
				this.hear(message, link);
				break;
			}

			case 'entries':
			case 'newest':
			case 'fetch':
			case 'desired': {
				if (link.peer?.role === 'entry') {
					this.gossip(message, link);
				}

				break;
			}

			case 'beat':
			case 'start':
			case 'stop':
			case 'want':
			case 'zones': {
				break;
			}
		}
	}

	linkEnded(link: Link, why: LinkEndReason, problem?: string): void {
		this.entries.delete(link);
		this.book.linkEnded(link);
		const {peer} = link;
		if (!peer && !problem) {
			return;
		}

		this.meters.linksLost.inc({why});
		this.meters.malformedMessages.inc({from: peer?.role ?? 'stranger'}, why === 'malformed' ? 1 : 0);
		this.log.warn({
			event: 'link-lost', node: peer?.node, role: peer?.role, remote: link.remoteAddress, why, problem, unknown: link.unknownCount, tasks: peer && this.schedule.outstandingTasks(peer.node),
		}, 'link lost');
		if (!peer) {
			return;
		}

		if (this.sidecars.get(peer.node)?.link === link) {
			this.sidecars.delete(peer.node);
			this.apply({kind: 'down', place: peer.node});
		}
	}

	private gossip(message: SyncMessage, link: Link): void {
		switch (message.kind) {
			case 'entries': {
				this.addAddresses(message.addresses);
				break;
			}

			case 'newest': {
				this.entries.set(link, message.asOf);
				this.catchUp();
				break;
			}

			case 'fetch': {
				link.send({kind: 'desired', ...this.desired});
				break;
			}

			case 'desired': {
				if (message.asOf > this.desired.asOf) {
					this.onDesiredState?.(message.asOf, message.text);
				}

				break;
			}
		}
	}

	/** Asks other entries, one after the other, for a newer desired state that they hold, unless the store gives it first. */
	private catchUp(): void {
		const ahead = [...this.entries].filter(([, asOf]) => asOf > this.desired.asOf).map(([link]) => link);
		if (ahead.length === 0 || this.fetching) {
			return;
		}

		const knowsNone = this.desired.asOf === 0 && this.fetches === 0;
		const pauseMs = fetchMs * Math.min(fetchMostPauses, 2 ** Math.max(0, this.fetches - 2));
		this.fetching = setTimeout(() => {
			this.fetching = undefined;
			const link = ahead.filter(({isOpen: alive}) => alive)[this.fetches++ % ahead.length];
			if (link && this.entries.get(link)! > this.desired.asOf) {
				this.log.info({
					event: 'fetch', asOf: this.desired.asOf, newer: this.entries.get(link), from: link.peer?.node,
				}, 'asks an entry for its desired state');
				link.send({kind: 'fetch'});
			}

			this.catchUp();
		}, knowsNone ? 0 : pauseMs);
	}

	private leave(job: string, answer: Waiter): void {
		const waiters = this.waiters.get(job);
		if (!waiters?.delete(answer) || waiters.size > 0) {
			return;
		}

		this.waiters.delete(job);
		this.log.info({event: 'left', job}, 'caller left; its tasks are stopped');
		this.apply({kind: 'left', job});
	}

	private welcome(link: Link): void {
		const peer = link.peer!;
		this.log.info({
			event: 'linked', node: peer.node, role: peer.role, life: peer.life,
		}, 'linked');
		if (peer.role === 'entry') {
			this.greetEntry(link, peer.address);
			return;
		}

		this.hello(link);
		const old = this.sidecars.get(peer.node);
		if (old) {
			old.link.close();
		}

		this.sidecars.set(peer.node, {link, stamp: 0, stampedAt: this.clock.mono()});
		link.send({kind: 'zones', asOf: this.desired.asOf, out: this.out});
		link.send({kind: 'entries', addresses: this.addresses()});
	}

	private greetEntry(link: Link, address: string | undefined): void {
		if (address) {
			this.book.accept(address, link);
		}

		this.hello(link);
		this.entries.set(link, 0);
		link.send({kind: 'entries', addresses: this.addresses()});
		if (this.desired.asOf > 0) {
			link.send({kind: 'newest', asOf: this.desired.asOf});
		}

		this.tellAddresses();
	}

	/** Tells all sidecars soon which entries are up, if that has changed. */
	private tellAddresses(): void {
		this.telling ??= setTimeout(() => {
			this.telling = undefined;
			const addresses = this.addresses();
			const text = addresses.toSorted().join(',');
			if (text === this.toldAddresses) {
				return;
			}

			this.toldAddresses = text;
			for (const {link} of this.sidecars.values()) {
				link.send({kind: 'entries', addresses});
			}
		}, tellMs);
	}

	private hear(message: MessageToEntry, link: Link): void {
		const place = link.peer?.node;
		const sidecar = place === undefined ? undefined : this.sidecars.get(place);
		if (!place || sidecar?.link !== link) {
			return;
		}

		switch (message.kind) {
			case 'place': {
				this.date(sidecar, message.stamp);
				this.log.info({event: 'place', place, report: message.report}, 'place told of itself');
				this.apply({kind: 'told', place, report: message.report});
				this.clear(place, message.clear);
				break;
			}

			case 'room': {
				this.date(sidecar, message.stamp);
				this.apply({kind: 'room', place, others: message.others});
				this.clear(place, message.clear);
				break;
			}

			case 'offer': {
				this.apply({kind: 'offered', place});
				break;
			}

			case 'refused': {
				this.meters.refusedOrders.inc({why: message.why});
				this.apply({
					kind: 'refused', place, ref: message.ref, why: message.why,
				});
				break;
			}

			case 'ended': {
				this.meters.endedRuns.inc({outcome: message.outcome});
				if (message.outcome !== 'done') {
					this.log.info({
						event: 'run', task: this.schedule.taskName(message.ref), place, outcome: message.outcome, ranMs: message.ranMs,
					}, 'run did not succeed');
				}

				this.apply({
					kind: 'ended', place, ref: message.ref, outcome: message.outcome, ranMs: message.ranMs,
				});
				break;
			}
		}
	}

	private date(sidecar: Sidecar, stamp: number): void {
		sidecar.stamp = stamp;
		sidecar.stampedAt = this.clock.mono();
	}

	private clear(place: string, clear: boolean): void {
		if (clear) {
			this.apply({kind: 'clear', place});
		}
	}

	private apply(event: Event): void {
		const now = this.clock.mono();
		for (const action of this.schedule.step(event, now)) {
			this.carryOut(action);
		}

		this.arm(now);
	}

	/** Sees to it that a job that has waited long enough is refused then, not at the next tick. */
	private arm(now: number): void {
		const {nextRefusalAt: dueAt} = this.schedule;
		if (dueAt === this.armedFor) {
			return;
		}

		this.armedFor = dueAt;
		clearTimeout(this.alarm);
		if (Number.isFinite(dueAt)) {
			this.alarm = setTimeout(() => {
				this.armedFor = Number.NaN;
				this.apply({kind: 'tick'});
			}, Math.max(0, Math.ceil(dueAt - now)));
		}
	}

	private carryOut(action: Action): void {
		switch (action.kind) {
			case 'start': {
				this.order(action);
				break;
			}

			case 'stop': {
				this.meters.orders.inc({kind: 'stop'});
				this.sidecars.get(action.place)?.link.send({kind: 'stop', ref: action.ref, hung: action.hung});
				break;
			}

			case 'want': {
				this.meters.orders.inc({kind: 'want'});
				this.sidecars.get(action.place)?.link.send({kind: 'want', room: action.resources, dueMs: action.dueMs});
				break;
			}

			case 'answer': {
				const waiters = this.waiters.get(action.job);
				this.waiters.delete(action.job);
				for (const answer of waiters ?? []) {
					answer(action.verdict);
				}

				break;
			}
		}
	}

	private order({place, ref, job, task}: StartAction): void {
		const sidecar = this.sidecars.get(place);
		this.meters.orders.inc({kind: 'start'});
		sidecar?.link.send({
			kind: 'start', ref, task: task.name, room: task.resources, spec: job.spec, stamp: sidecar.stamp, age: Math.round(this.clock.mono() - sidecar.stampedAt),
		});
	}

	private hello(link: Link): void {
		const {node, incarnation: life} = this.settings;
		link.sendHello({
			kind: 'hello', role: 'entry', node, life, address: this.address,
		});
	}

	private addresses(): string[] {
		return [this.address, ...this.book.linkedAddresses];
	}
}
