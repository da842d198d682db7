import type {Logger} from 'pino';
import {
	Guard, type Action, type RunRequest, type Event, type Worker,
} from '../decide/guard.js';
import {subsetSize} from '../decide/announce.js';
import {nextFence} from '../decide/fence.js';
import {rankByRendezvous} from '../decide/rendezvous.js';
import type {Clock} from '../ports/clock.js';
import type {
	Executor, PollResult, Reply, RunId,
} from '../ports/executor.js';
import {deferred} from '../deferred.js';
import type {DriverMetrics} from './metrics.js';
import {AddressBook} from './address-book.js';
import {
	Links, type Link, type LinkEndReason, type Receiver,
} from './link.js';
import type {Message, MessageToSidecar} from './messages.js';

/** DriverSettings are what a sidecar needs to know to drive its worker. */
export type DriverSettings = {
	node: string;
	incarnation: string;
	zone: string;
	/** Addresses where entries may be found, as host:port. */
	seeds: readonly string[];
	/** The longest lease that a worker grants, in milliseconds. */
	leaseMs: number;
};

/** DriverParts are what a driver works with. */
export type DriverDependencies = {clock: Clock; executor: Executor; log: Logger; metrics: DriverMetrics};

/** How long a look may wait for an end, in milliseconds: a third of a lease, so that two lost answers do not end it. */
const lookMs = 300;
/** The same for a while after a look was lost, so that the next loss delays the news of an end by little. */
const carefulMs = 40;
const carefulForMs = 8000;
/** The same while the fate of a run is to be settled. */
const settleMs = 20;
/** How long a look may be on its way, in milliseconds: twice as long with each in a row that is lost, since the machine may be slow. */
const marginMs = 60;
const marginMostMs = 250;
/** How much slower than ours a worker's clock may run, and what a kill may take, in milliseconds. */
const clockSlack = 1.02;
const lapseMs = 100;
/** How long to wait before a worker that cannot be reached is asked again, in milliseconds. */
const pauseMs = 50;
/** By how many times that pause grows while it stays away. */
const pauseLimit = 6;
/** How often a lost entry is dialled, in milliseconds. */
const redialMs = 250;
/** How long before a link that is not wanted any more is ended its entry is told to send nothing there, in milliseconds: an order may be 600 old. */
const releaseMs = 1000;

/**
 * Driver is a sidecar's side of jobs kept in memory: it carries out what its guard decides at the
 * worker, keeps the worker's lease, and answers the entries.
 */
export class Driver implements Receiver {
	static create(settings: DriverSettings, parts: DriverDependencies): Driver {
		return new Driver(settings, parts);
	}

	readonly guard = Guard.create();

	private readonly book: AddressBook;
	/** Those whose entry has said who it is, by its life there. */
	private readonly owners = new Map<string, Link>();
	private readonly links: Links;
	/** Links that are not wanted any more, and since when. */
	private readonly releasing = new Map<Link, number>();
	private fence = 0;
	private fenceRefusals = 0;
	/** The worker's clock at a time of ours. */
	private reading = {clock: 0, at: 0};
	/** Looks without an answer in a row, and when one was last answered or lost. */
	private unanswered = 0;
	private answeredAt = 0;
	private lostAt = Number.NEGATIVE_INFINITY;
	private renewedAt = 0;
	private wake = deferred<void>();
	private zones: {asOf: number; out: readonly string[]} = {asOf: 0, out: []};
	private closed = false;

	private readonly clock: Clock;
	private readonly executor: Executor;
	private readonly log: Logger;
	private readonly meters: DriverMetrics;

	private constructor(private readonly settings: DriverSettings, parts: DriverDependencies) {
		({
			clock: this.clock, executor: this.executor, log: this.log, metrics: this.meters,
		} = parts);
		this.links = Links.create(this.clock, this);
		this.book = AddressBook.create({
			clock: this.clock, links: this.links, redialMs, ownAddress: () => undefined, onLinkOpened(link) {
				link.sendHello({
					kind: 'hello', role: 'sidecar', node: settings.node, life: settings.incarnation,
				});
			},
			subset: {
				maxLinks: subsetSize,
				rank: addresses => rankByRendezvous(settings.node, addresses),
				onSurplusLinks: links => {
					this.release(links);
				},
			},
		});
		this.addAddresses(settings.seeds, true);
		this.book.open();
		void this.watch();
	}

	/** The number of entries with a link. */
	get linkedEntries(): number {
		return this.owners.size;
	}

	/** Takes in what the worker reported of itself, with its clock at that time. */
	workerReported(worker: Worker, clock: number): void {
		const before = this.guard.worker;
		const newer = before === undefined || worker.born > before.born;
		if (newer) {
			this.fence = nextFence(this.fence, clock, 0);
			this.read(clock);
		}

		this.apply({kind: 'reported', worker});
		if (newer || before.draining !== worker.draining) {
			this.log.info({
				event: 'worker', life: worker.incarnation, born: worker.born, draining: worker.draining, room: worker.capacity, fence: this.fence,
			}, newer ? 'worker found' : 'worker changed');
			this.tellAll();
		}
	}

	/** Learns addresses where entries may be found. */
	addAddresses(addresses: readonly string[], seed = false): void {
		this.book.add(addresses, seed);
	}

	/** Takes in that a life of the worker has ended in an orderly way. */
	workerLeft(life: string): void {
		this.log.info({event: 'worker-left', life}, 'worker left');
		this.apply({kind: 'left', incarnation: life});
	}

	/** Takes nothing more, and resolves when what runs has ended or `withinMs` is over. */
	async stop(withinMs: number): Promise<void> {
		this.apply({kind: 'stopping'});
		const until = this.clock.mono() + withinMs;
		while (this.guard.runCount > 0 && this.clock.mono() < until) {
			await this.clock.sleep(pauseMs);
		}

		this.closed = true;
		this.book.close();
		this.links.close();
		this.wake.resolve();
	}

	receive(message: Message, link: Link): void {
		if (link.peer?.role !== 'entry') {
			link.close('malformed', 'only entries give orders');
			return;
		}

		switch (message.kind) {
			case 'hello': {
				this.welcome(link);
				break;
			}

			case 'start':
			case 'stop':
			case 'want':
			case 'zones': {
				this.order(message, link);
				break;
			}

			case 'entries': {
				this.addAddresses(message.addresses);
				break;
			}

			case 'beat':
			case 'place':
			case 'room':
			case 'offer':
			case 'refused':
			case 'ended':
			case 'newest':
			case 'fetch':
			case 'desired': {
				break;
			}
		}
	}

	linkEnded(link: Link, why: LinkEndReason, problem?: string): void {
		this.book.linkEnded(link);
		this.releasing.delete(link);
		if (!link.peer && !problem) {
			return;
		}

		this.meters.linksLost.inc({why});
		this.meters.malformedMessages.inc({from: link.peer?.role ?? 'stranger'}, why === 'malformed' ? 1 : 0);
		this.log.warn({
			event: 'entry-lost', entry: link.peer?.node, remote: link.remoteAddress, why, problem, unknown: link.unknownCount, tasks: link.peer && this.guard.tasksOf(ownerOf(link)),
		}, 'link to an entry lost; its runs are stopped');
		if (link.peer && this.owners.get(ownerOf(link)) === link) {
			this.owners.delete(ownerOf(link));
			this.apply({kind: 'ownerLost', owner: ownerOf(link)});
		}
	}

	isNeeded({peer}: Link): boolean {
		return peer !== undefined && this.guard.isNeededBy(ownerOf({peer}));
	}

	beforeFlush(link: Link): void {
		if (link.peer) {
			const owner = ownerOf(link);
			link.send({
				kind: 'room', others: this.guard.capacityHeldByOthers(owner, this.clock.mono()), stamp: this.workerClock(), clear: this.guard.hasNoAbandonedRuns(owner),
			});
		}
	}

	/** Ends links that are not wanted any more, once their entry was told so and nothing of it is under way; tells it where one is wanted again. */
	private release(beyond: readonly Link[]): void {
		for (const link of this.releasing.keys()) {
			if (!beyond.includes(link)) {
				this.releasing.delete(link);
				this.tell(link);
			}
		}

		for (const link of beyond.filter(({peer}) => peer)) {
			const since = this.releasing.get(link);
			if (since === undefined) {
				this.releasing.set(link, this.clock.mono());
				this.tell(link);
			} else if (this.clock.mono() - since > releaseMs && !this.isNeeded(link)) {
				link.close('released');
			}
		}
	}

	private welcome(link: Link): void {
		const owner = ownerOf(link);
		this.owners.get(owner)?.close();
		this.owners.set(owner, link);
		this.log.info({event: 'entry-linked', entry: link.peer!.node}, 'linked to an entry');
		this.tell(link);
	}

	private order(message: MessageToSidecar, link: Link): void {
		switch (message.kind) {
			case 'start': {
				const ask: RunRequest = {
					owner: ownerOf(link), ref: message.ref, task: message.task, resources: message.room, spec: message.spec, sentAt: message.stamp + message.age,
				};
				this.apply({kind: 'request', request: ask, clock: this.workerClock()});
				break;
			}

			case 'stop': {
				this.apply({
					kind: 'cancel', owner: ownerOf(link), ref: message.ref, hung: message.hung,
				});
				break;
			}

			case 'want': {
				this.apply({
					kind: 'want', owner: ownerOf(link), resources: message.room, dueMs: message.dueMs,
				});
				break;
			}

			case 'zones': {
				this.learnZones(message.asOf, message.out);
				break;
			}
		}
	}

	private learnZones(asOf: number, out: readonly string[]): void {
		if (asOf < this.zones.asOf) {
			return;
		}

		const before = this.zones.out.includes(this.settings.zone);
		this.zones = {asOf, out};
		const after = out.includes(this.settings.zone);
		if (after !== before) {
			this.log.info({
				event: 'zone', zone: this.settings.zone, out: after, asOf,
			}, after ? 'zone is out of service' : 'zone is in service');
			this.apply({kind: 'zone', out: after});
		}
	}

	private apply(event: Event): void {
		const before = this.guard.startRefusal;
		const wasFailing = this.guard.isFailing;
		for (const action of this.guard.step(event, this.clock.mono())) {
			this.carryOut(action);
		}

		const after = this.guard.startRefusal;
		if (after !== before) {
			this.log.info({event: 'hindrance', before, after}, 'what keeps the worker from work has changed');
			this.tellAll();
		} else if (this.guard.isFailing !== wasFailing) {
			this.log.info({event: 'failing', isFailing: this.guard.isFailing}, wasFailing ? 'a run has succeeded again' : 'all runs fail lately');
			this.tellAll();
		}

		if (this.guard.needsPolling) {
			this.wake.resolve();
		}
	}

	private carryOut(action: Action): void {
		switch (action.kind) {
			case 'start': {
				void this.start(action.run, action.request);
				break;
			}

			case 'stop': {
				void this.halt(action.run);
				break;
			}

			case 'refuse': {
				this.meters.refusedRequests.inc({why: action.why});
				this.owners.get(action.owner)?.send({kind: 'refused', ref: action.ref, why: action.why});
				break;
			}

			case 'offer': {
				this.meters.offers.inc();
				this.owners.get(action.owner)?.send({kind: 'offer'});
				break;
			}

			case 'end': {
				this.meters.endedRuns.inc({outcome: action.outcome});
				this.owners.get(action.owner)?.send({
					kind: 'ended', ref: action.ref, outcome: action.outcome, ranMs: Math.round(action.ranMs),
				});
				break;
			}
		}
	}

	private async start(run: RunId, ask: RunRequest): Promise<void> {
		const leaseUntil = Math.floor(Math.min(this.workerClock(), ask.sentAt) + this.settings.leaseMs);
		this.meters.starts.inc();
		const reply = await this.executor.start({
			...run, spec: ask.spec, leaseUntil, fence: this.fence,
		}, this.guard.worker!.incarnation);
		this.learn(reply);
		if (reply.kind !== 'done') {
			this.log.warn({
				event: 'start', task: run.task, run: run.number, owner: ask.owner, reply, leaseUntil, fence: this.fence,
			}, 'start not confirmed');
		}

		this.apply({kind: 'started', run, reply});
	}

	private async halt(run: RunId): Promise<void> {
		const {worker} = this.guard;
		if (!worker || this.closed) {
			return;
		}

		const reply = await this.executor.stop(run, this.fence, worker.incarnation);
		this.learn(reply);
		if (reply.kind === 'unknown') {
			await this.clock.sleep(pauseMs);
		}

		this.log.info({
			event: 'stop', task: run.task, run: run.number, reply: reply.kind,
		}, 'run stopped');
		this.apply({kind: 'stopped', run, reply});
	}

	/** Keeps the lease and collects ends while anything may run. */
	private async watch(): Promise<void> {
		while (!this.closed) {
			const {worker} = this.guard;
			if (!worker || !this.guard.needsPolling) {
				this.wake = deferred();
				await this.wake.promise;
				continue;
			}

			try {
				await this.renew(worker);
			} catch (error) {
				// Without renewals all runs would lapse, so an answer that can't be handled costs that answer only.
				this.log.error({event: 'look-failed', error: (error as Error).stack}, 'answer of the worker could not be handled');
				await this.clock.sleep(pauseMs);
			}
		}
	}

	private async renew(worker: Worker): Promise<void> {
		const askedAt = this.clock.mono();
		if (this.unanswered === 0) {
			this.answeredAt = askedAt;
		}

		// What did not answer for as long as a lease lasts is left to lapse, so that its runs are certainly over some time.
		const renews = askedAt - this.answeredAt < this.settings.leaseMs;
		if (renews) {
			this.renewedAt = askedAt;
		}

		const look = await this.executor.poll({
			fence: this.fence,
			leaseUntil: renews ? Math.floor(this.workerClock() + this.settings.leaseMs) : undefined,
			seen: this.guard.lastEndSequence,
			waitMs: this.waitMs(askedAt),
			marginMs: Math.min(marginMostMs, marginMs * (2 ** this.unanswered)),
		}, worker.incarnation);
		this.learn(look);
		await this.take(look, askedAt);
	}

	private async take(look: PollResult, askedAt: number): Promise<void> {
		const {worker} = this.guard;
		if (look.kind === 'seen' && worker && look.born > worker.born) {
			this.log.warn({event: 'worker-restarted', life: worker.incarnation, born: look.born}, 'worker has started anew');
			this.read(look.clock);
		}

		this.apply({kind: 'polled', result: look, sentAt: askedAt});
		if (look.kind === 'seen') {
			if (this.unanswered > 1) {
				this.log.info({event: 'worker-regained', afterLooks: this.unanswered}, 'worker answers again');
			}

			this.unanswered = 0;
			return;
		}

		if (look.kind === 'unknown') {
			this.unanswered++;
			this.lostAt = this.clock.mono();
			this.meters.unansweredPolls.inc();
			this.log.info({
				event: 'look', cause: look.cause, tookMs: Math.round(this.clock.mono() - askedAt), runs: this.guard.runCount,
			}, 'look not answered');
			const lapsed = this.clock.mono() - this.renewedAt > (this.settings.leaseMs * clockSlack) + lapseMs;
			if (look.absent || lapsed) {
				this.log.warn({
					event: 'worker-lost', cause: look.cause, runs: this.guard.runCount, looks: this.unanswered,
				}, 'worker does not answer; all its leases are over');
				this.apply({kind: 'lapsed'});
			}
		}

		// The first lost answer is made up for at once; a worker that refuses, or stays away, is asked seldom.
		if (this.unanswered !== 1) {
			await this.clock.sleep(pauseMs * Math.max(1, Math.min(this.unanswered, pauseLimit)));
		}
	}

	/** How long the next look may wait for an end. */
	private waitMs(now: number): number {
		if (this.guard.hasUnresolvedRuns) {
			return settleMs;
		}

		return now - this.lostAt < carefulForMs ? carefulMs : lookMs;
	}

	/** Reads the worker's clock off a reply, and raises the fence when a higher one was seen there. */
	private learn(reply: Reply | PollResult): void {
		if ('clock' in reply && reply.clock !== undefined) {
			this.read(reply.clock);
		}

		if (reply.kind === 'refused' && reply.reason === 'fence') {
			this.fence = nextFence(this.fence, reply.clock ?? 0, this.fenceRefusals++);
			this.log.info({event: 'fence', fence: this.fence}, 'fence raised');
		} else if (reply.kind !== 'unknown') {
			this.fenceRefusals = 0;
		}
	}

	/** Takes the newest reading, also one that goes back: the worker's clock may be slower than ours, and a date too early is the safe one. */
	private read(clock: number): void {
		this.reading = {clock, at: this.clock.mono()};
	}

	private workerClock(): number {
		return this.reading.clock + (this.clock.mono() - this.reading.at);
	}

	private tellAll(): void {
		for (const link of this.owners.values()) {
			this.tell(link);
		}
	}

	private tell(link: Link): void {
		const {worker} = this.guard;
		link.send({
			kind: 'place',
			report: {
				zone: this.settings.zone,
				pool: worker?.pool ?? '',
				room: worker?.capacity ?? {cpu: 0, memoryMb: 0, accelerators: 0},
				others: this.guard.capacityHeldByOthers(ownerOf(link), this.clock.mono()),
				isFailing: this.guard.isFailing,
				hindrance: this.guard.startRefusal ?? (this.releasing.has(link) ? 'withdrawn' : undefined),
			},
			stamp: this.workerClock(),
			clear: this.guard.hasNoAbandonedRuns(ownerOf(link)),
		});
	}
}

/** The name of the entry's life at the other end. */
function ownerOf({peer}: Pick<Link, 'peer'>): string {
	return `${peer!.node}/${peer!.life}`;
}
