import type {Logger} from 'pino';
import {
	Guard, isPollUnanswered, type Action, type RunRequest, type Event, type Worker,
} from '../decide/guard.js';
import {defaultLeaseBounds, type LeaseBounds} from '../decide/leases.js';
import {subsetSize} from '../decide/announce.js';
import {isExpectedTime} from '../decide/look-ahead.js';
import {ReportCheck, type Report, type ReportEvent} from '../decide/report-check.js';
import {nextFence} from '../decide/fence.js';
import {WorkerClock} from '../decide/worker-clock.js';
import {rankByRendezvous} from '../decide/rendezvous.js';
import {areAmounts, isSameSize} from '../decide/resources.js';
import type {Clock} from '../ports/clock.js';
import type {
	Executor, PollResult, Reply, RunId,
} from '../ports/executor.js';
import {defaultPolicySettings, type PolicySettings} from '../settings/policy.js';
import {deferred} from '../deferred.js';
import type {DriverMetrics} from './metrics.js';
import {AddressBook} from './address-book.js';
import {
	Links, type Link, type LinkEndReason, type Receiver,
} from './link.js';
import {
	announcedFeatures, isMessageToSidecar, maxCrashedTasks, type Message, type MessageToEntry, type MessageToSidecar, type ReceivedMessage,
} from './messages.js';
import {HeldTexts, textLimitBytes} from './spec-texts.js';

/** The settings that a sidecar needs to drive its worker. */
export type DriverSettings = {
	node: string;
	incarnation: string;
	zone: string;
	/** Addresses where entries may be found, as host:port. */
	seeds: readonly string[];
	/** What limits the life of runs at the worker; absent for the default. */
	leases?: LeaseBounds;
	/** The scheduling policy; absent for the default. */
	policy?: PolicySettings;
};

export type DriverDependencies = {clock: Clock; executor: Executor; log: Logger; metrics: DriverMetrics};

/** How long a poll may wait for a run to end, in milliseconds: with it a lease of 757 ms survives two lost polls. */
const pollWaitMs = 200;
/** The same for `afterLossForMs` after a poll was lost, so that another loss delays the report of an end only briefly. */
const pollWaitAfterLossMs = 40;
const afterLossForMs = 8000;
/** The same while it is not known whether some run was started or has stopped. */
const pollWaitUnresolvedMs = 20;
/** The time for a poll's transport, in milliseconds. It doubles with each consecutive lost poll, since the machine may be slow. */
const marginMs = 60;
const maxMarginMs = 250;
/** The pause before an unreachable worker is polled again, in milliseconds. */
const retryPauseMs = 50;
/** The largest factor by which that pause grows while the worker stays unreachable. */
const maxPauseFactor = 6;
/** How often an entry without a link is dialled, in milliseconds. */
const redialMs = 250;
/** How often this process looks whether it stood still, and from what length on it did, in milliseconds. Shorter standstills have shown no fault in the random histories of leases. */
const tickMs = 50;
const standstillMs = 250;
/** The number of labels that entries use: the kind and the rack. */
const reportedLabels = 2;
/** How far the time at which the worker leaves may move without a new report to the entries, in milliseconds. */
const leaveToleranceMs = 50;
/** How long a crash of the worker is reported to entries that link, in milliseconds. */
const crashRetentionMs = 60_000;
/** How many crashes are kept for that. */
const maxCrashes = 32;
/** How long a surplus link stays open after its entry was told to send nothing more, in milliseconds: a request may be 600 old. */
const closeDelayMs = 1000;

/** Crash is what entries are told of a crash of the worker, at a time on the local clock. */
type Crash = {life: string; at: number; tasks: ReadonlyArray<readonly [name: string, route: string]>};

/**
 * Driver is the sidecar's side of jobs kept in memory. It carries out its guard's decisions at the worker,
 * renews the leases there, and answers the entries.
 */
export class Driver implements Receiver {
	static create(settings: DriverSettings, dependencies: DriverDependencies): Driver {
		return new Driver(settings, dependencies);
	}

	readonly guard: Guard;

	/** Called with the messages that were sent together on a link and the bytes that they took. */
	onFlush?: (messages: readonly Message[], bytes: number) => void;

	private readonly book: AddressBook;
	/** The links whose entry has sent its hello, by the entry's incarnation. */
	private readonly owners = new Map<string, Link>();
	private readonly links: Links;
	/** The texts that each link's entry has sent. */
	private readonly texts = new Map<Link, HeldTexts>();
	/** Surplus links, with the time at which their entry was told to send nothing more. */
	private readonly withdrawnSince = new Map<Link, number>();
	/** How old the last start was on a link that dates only starts, in milliseconds. */
	private readonly undatedLags = new WeakMap<Link, number>();
	/** The date that a link's callers were last confirmed with: the starts of a block have the same. */
	private readonly confirmedDates = new WeakMap<Link, number>();
	private readonly linksWithIgnoredFigures = new WeakSet<Link>();
	private readonly reports = ReportCheck.create();
	/** The start of the newest incarnation of the worker that has reported. A poll may have shown a newer one. */
	private reportedBorn = Number.NEGATIVE_INFINITY;
	private fence = 0;
	private fenceRefusals = 0;
	private readonly clockOfWorker = WorkerClock.create();
	/** Consecutive polls without a reply, and when one was last answered or lost. */
	private unansweredPolls = 0;
	private answeredAt = 0;
	private lostAt = Number.NEGATIVE_INFINITY;
	/** When a draining worker leaves at the earliest, on the local clock, if it has said so. */
	private leavesAt?: number;
	/** The latest crashes of the worker, the oldest first. */
	private crashes: Crash[] = [];
	private wake = deferred<void>();
	/** Ends the pause before the next poll. */
	private pauseEnd = deferred<void>();
	/** The zones out of service as the entry of a link told them, at a version of the store. */
	private zones: {asOf: number; out: readonly string[]; link?: Link} = {asOf: 0, out: []};
	private closed = false;
	/** When this process was last seen to run, and what looks. */
	private tickedAt: number;
	private readonly ticker: NodeJS.Timeout;

	private readonly leases: LeaseBounds;
	private readonly clock: Clock;
	private readonly executor: Executor;
	private readonly log: Logger;
	private readonly meters: DriverMetrics;

	private constructor(private readonly settings: DriverSettings, dependencies: DriverDependencies) {
		({
			clock: this.clock, executor: this.executor, log: this.log, metrics: this.meters,
		} = dependencies);
		this.leases = settings.leases ?? defaultLeaseBounds;
		this.guard = Guard.create({lookAhead: settings.policy?.lookAhead.enabled !== 'off', leases: this.leases});
		this.links = Links.create(this.clock, this);
		this.meters.registerTraffic(this.links.traffic);
		this.book = AddressBook.create({
			clock: this.clock, links: this.links, redialMs, ownAddress: () => undefined, onLinkOpened(link) {
				link.sendHello({
					kind: 'hello',
					role: 'sidecar',
					node: settings.node,
					life: settings.incarnation,
					features: announcedFeatures(settings.policy?.links.enabled !== 'off', settings.policy?.lookAhead.enabled !== 'off'),
				});
			},
			subset: {
				maxLinks: subsetSize,
				rank: addresses => rankByRendezvous(settings.node, addresses),
				onSurplusLinks: links => {
					this.closeSurplusLinks(links);
				},
			},
		});
		this.tickedAt = this.clock.mono();
		this.ticker = setInterval(() => {
			this.checkStandstill();
		}, tickMs);
		this.addAddresses(settings.seeds, true);
		this.book.open();
		void this.pollWhileNeeded();
	}

	/** The number of entries with a link. */
	get linkedEntries(): number {
		return this.owners.size;
	}

	/** Handles the worker's report about itself, made when its clock showed `clock`. `sequence` numbers the reports of an incarnation. */
	workerReported(worker: Worker, clock: number, sequence = 0): void {
		this.checkReport({kind: 'reported', report: {worker, clock, sequence}, workerClock: this.workerClock()});
	}

	/** Adds addresses where entries may be found. */
	addAddresses(addresses: readonly string[], seed = false): void {
		this.book.add(addresses, seed);
	}

	/** Handles the orderly end of an incarnation of the worker. */
	workerLeft(life: string): void {
		this.log.info({event: 'worker-left', life}, 'worker left');
		this.apply({kind: 'left', incarnation: life, clock: this.workerClock()});
	}

	/** Accepts no more requests, and resolves once all runs have ended or `withinMs` has passed. */
	async stop(withinMs: number): Promise<void> {
		this.apply({kind: 'stopping'});
		const until = this.clock.mono() + withinMs;
		while (this.guard.runCount > 0 && this.clock.mono() < until) {
			await this.clock.sleep(retryPauseMs);
		}

		this.closed = true;
		clearInterval(this.ticker);
		this.book.close();
		this.links.close();
		this.wake.resolve();
	}

	receive(message: ReceivedMessage, link: Link): void {
		if (link.peer?.role !== 'entry') {
			link.close('malformed', 'only entries send requests');
			return;
		}

		if (isMessageToSidecar(message)) {
			this.handleRequest(message, link);
			return;
		}

		switch (message.kind) {
			case 'hello': {
				this.handleHello(link);
				break;
			}

			case 'entries': {
				this.addAddresses(message.addresses);
				break;
			}

			case 'place':
			case 'room':
			case 'offer':
			case 'refused':
			case 'ended':
			case 'crashed':
			case 'newest':
			case 'fetch':
			case 'desired':
			case 'cancel':
			case 'cancelAnswer':
			case 'cancellations': {
				break;
			}
		}
	}

	linkEnded(link: Link, why: LinkEndReason, problem?: string): void {
		this.book.linkEnded(link);
		this.withdrawnSince.delete(link);
		this.texts.delete(link);
		if (!link.peer && !problem) {
			return;
		}

		this.meters.linksLost.inc({why});
		this.meters.malformedMessages.inc({from: link.peer?.role ?? 'stranger'}, why === 'malformed' ? 1 : 0);
		this.log.warn({
			event: 'entry-lost', entry: link.peer?.node, remote: link.remoteAddress, why, problem, unknown: link.unknownCount, tasks: link.peer && this.guard.tasksOf(ownerOf(link)),
		}, 'link to an entry lost, stopping its runs');
		if (link.peer && this.owners.get(ownerOf(link)) === link) {
			this.owners.delete(ownerOf(link));
			this.apply({kind: 'ownerLost', owner: ownerOf(link)});
		}
	}

	flushed(_link: Link, messages: readonly Message[], bytes: number): void {
		this.onFlush?.(messages, bytes);
	}

	isNeeded({peer}: Link): boolean {
		return peer !== undefined && this.guard.isNeededBy(ownerOf({peer}));
	}

	isOverdue(link: Link): boolean {
		if (!link.peer) {
			return false;
		}

		this.confirmUndated(link);
		const now = this.clock.mono();
		return this.guard.isOverdue(ownerOf(link), this.clockOfWorker.latestAt(now), now);
	}

	beforeFlush(link: Link): void {
		if (link.peer) {
			const owner = ownerOf(link);
			const now = this.clock.mono();
			link.send({
				kind: 'room',
				others: this.guard.capacityHeldByOthers(owner, now),
				stamp: this.stampFor(link),
				clear: this.guard.hasNoAbandonedRuns(owner),
				...(link.speaks('lookAhead') && this.outlookFor(owner, now)),
			});
		}
	}

	/**
	 * Tells the entries of surplus links to send nothing more, and closes each link once `closeDelayMs` has passed and
	 * no run depends on it. An entry whose link is no longer surplus is told so.
	 */
	private closeSurplusLinks(surplus: readonly Link[]): void {
		for (const link of this.withdrawnSince.keys()) {
			if (!surplus.includes(link)) {
				this.withdrawnSince.delete(link);
				this.reportPlace(link);
			}
		}

		for (const link of surplus.filter(({peer}) => peer)) {
			const since = this.withdrawnSince.get(link);
			if (since === undefined) {
				this.withdrawnSince.set(link, this.clock.mono());
				this.reportPlace(link);
			} else if (this.clock.mono() - since > closeDelayMs && !this.isNeeded(link)) {
				link.close('released');
			}
		}
	}

	private checkReport(event: ReportEvent): void {
		const before = this.reports.mayHaveRestarted;
		for (const action of this.reports.step(event, this.clock.mono())) {
			switch (action.kind) {
				case 'accept': {
					this.acceptReport(action.report, action.clock);
					break;
				}

				case 'probe': {
					void this.probe(action.incarnation, action.afterMs);
					break;
				}

				case 'ignore': {
					const {why, report: {worker, clock, sequence}} = action;
					this.meters.ignoredReports.inc({why});
					this.log.info({
						event: 'report-ignored', why, life: worker.incarnation, born: worker.born, clock, sequence, known: this.guard.worker?.incarnation, knownBorn: this.guard.worker?.born,
					}, 'report of the worker ignored');
					break;
				}
			}
		}

		const after = this.reports.mayHaveRestarted;
		if (after !== before) {
			this.apply({kind: 'restartReported', isOpen: after});
		}
	}

	/** Polls an incarnation of the worker that may be there, to have its reports confirmed. Its leases stay as they are. */
	private async probe(incarnation: string, afterMs: number): Promise<void> {
		if (afterMs > 0) {
			await this.clock.sleep(afterMs);
		}

		if (this.closed) {
			return;
		}

		if (this.reports.mayHaveRestarted) {
			this.barEarlierOrders();
		}

		try {
			const sentAt = this.clock.mono();
			const result = await this.executor.poll({
				fence: this.fence, seen: 0, waitMs: 0, marginMs: maxMarginMs,
			}, incarnation);
			const {worker} = this.guard;
			if (result.kind === 'seen' && worker?.incarnation === incarnation && worker.born === result.born) {
				this.updateFromReply(result);
			} else {
				this.updateFence(result);
			}

			this.checkReport({
				kind: 'answered', incarnation, result, sentAt,
			});
		} catch (error) {
			this.log.error({event: 'probe-failed', life: incarnation, error: (error as Error).stack}, 'could not handle a reply of the worker');
			void this.probe(incarnation, retryPauseMs);
		}
	}

	/** `clock` is the worker's clock now. */
	private acceptReport({worker, clock: reportedAt}: Report, clock: number): void {
		const before = this.guard.worker;
		if (before && worker.born < before.born) {
			return;
		}

		const newer = worker.born > this.reportedBorn;
		this.reportedBorn = worker.born;
		if (newer) {
			this.fence = nextFence(this.fence, clock, 0);
			this.clockOfWorker.restart(clock, this.clock.mono());
			this.pauseEnd.resolve();
		} else {
			// An idle worker isn't polled, and its clock may be slow.
			this.clockOfWorker.readDelayed(clock, this.clock.mono());
		}

		this.apply({kind: 'reported', worker, clock: reportedAt});
		const leaveMoved = this.updateLeave(worker, newer);
		const resized = before !== undefined && !isSameSize(before.capacity, this.guard.worker!.capacity);
		if (newer || leaveMoved || resized || before?.draining !== worker.draining) {
			this.log.info({
				event: 'worker', life: worker.incarnation, born: worker.born, draining: worker.draining, remainingMs: worker.remainingMs, room: worker.capacity, fence: this.fence,
			}, newer ? 'worker found' : 'worker changed');
			this.reportToAll();
		}
	}

	/** Takes from a report when the worker leaves. Returns whether that has changed. A report that doesn't say leaves an earlier one of the same life in force, as a drain has no way back. */
	private updateLeave({remainingMs}: Worker, newer: boolean): boolean {
		const known = newer ? undefined : this.leavesAt;
		const stated = remainingMs === undefined ? known : this.clock.mono() + remainingMs;
		const changed = stated !== known && Math.abs((stated ?? 0) - (known ?? Number.NEGATIVE_INFINITY)) > leaveToleranceMs;
		this.leavesAt = changed ? stated : known;
		return changed;
	}

	private handleHello(link: Link): void {
		const owner = ownerOf(link);
		this.owners.get(owner)?.close();
		this.owners.set(owner, link);
		// The entry takes the newer of two links too: if both addresses were dialled in turn, each new link would end the runs of the one before.
		this.book.reached(link, owner);
		this.log.info({event: 'entry-linked', entry: link.peer!.node}, 'linked to an entry');
		this.dropOldCrashes();
		for (const crash of this.crashes) {
			this.reportCrash(crash, link);
		}

		this.reportPlace(link);
	}

	/**
	 * Notices that this process stood still. What it reads first then may be a start, before the report that the worker has started again meanwhile: the
	 * start would be dated by the earlier incarnation's clock, and its run could outlive its caller.
	 */
	private checkStandstill(): void {
		const now = this.clock.mono();
		const stoodMs = now - this.tickedAt;
		this.tickedAt = now;
		if (stoodMs > standstillMs) {
			this.log.warn({event: 'standstill', forMs: Math.round(stoodMs)}, 'stood still, nothing starts until the worker has answered');
			this.apply({kind: 'stoodStill'});
		}
	}

	private handleRequest(message: MessageToSidecar, link: Link): void {
		switch (message.kind) {
			case 'start': {
				this.checkStandstill();
				this.confirmCallers(link, this.clockOfWorker.clockOf(message.stamp + message.age));
				if (areAmounts(message.room)) {
					this.handleStart(message, link);
				} else {
					this.figureIgnored('room', message.room, link);
					this.meters.refusedRequests.inc({why: 'invalid'});
					link.send({kind: 'refused', ref: message.ref, why: 'invalid'});
				}

				break;
			}

			case 'callers': {
				this.confirmCallers(link, this.clockOfWorker.clockOf(message.stamp + message.age));
				break;
			}

			case 'spec': {
				this.addText(message.id, message.text, link);
				break;
			}

			case 'forget': {
				this.texts.get(link)?.forget(message.ids);
				break;
			}

			case 'stop': {
				this.apply({
					kind: 'cancel', owner: ownerOf(link), ref: message.ref, hung: message.hung,
				});
				break;
			}

			case 'want': {
				if (!areAmounts(message.room)) {
					this.figureIgnored('room', message.room, link);
					break;
				}

				this.apply({
					kind: 'want', owner: ownerOf(link), resources: message.room, dueMs: message.dueMs, reserve: message.reserve,
				});
				break;
			}

			case 'zones': {
				this.updateZones(message, link);
				break;
			}
		}
	}

	private handleStart({
		ref, task, room: resources, spec: inlineSpec, specId, stamp, age, expectedMs, route,
	}: MessageToSidecar & {kind: 'start'}, link: Link): void {
		const spec = specId === undefined ? inlineSpec : this.texts.get(link)?.get(specId);
		if (spec === undefined) {
			this.meters.refusedRequests.inc({why: 'invalid'});
			this.log.warn({
				event: 'text-unknown', entry: link.peer?.node, task, ref, specId, held: this.texts.get(link)?.size ?? 0,
			}, 'start refused, its text is not known');
			link.send({kind: 'refused', ref, why: 'invalid'});
			return;
		}

		const request: RunRequest = {
			owner: ownerOf(link), ref, task, resources, spec, route, sentAt: this.clockOfWorker.clockOf(stamp + age), expectedMs: this.checkExpectedMs(expectedMs, link),
		};
		const clock = this.clockOfWorker.latestAt(this.clock.mono());
		if (!link.speaks('callers')) {
			this.undatedLags.set(link, clock - request.sentAt);
		}

		this.apply({kind: 'request', request, clock});
	}

	/** `date` is in worker-clock milliseconds. */
	private confirmCallers(link: Link, date: number): void {
		if (date === this.confirmedDates.get(link)) {
			return;
		}

		this.confirmedDates.set(link, date);
		this.apply({
			kind: 'confirmed', owner: ownerOf(link), date, clock: this.clockOfWorker.latestAt(this.clock.mono()),
		});
	}

	/** On a link that dates only starts, what has come since the last start is taken to be as late as that was. */
	private confirmUndated(link: Link): void {
		const lagMs = this.undatedLags.get(link);
		if (lagMs !== undefined) {
			this.confirmCallers(link, this.clockOfWorker.latestAt(link.heardAt) - lagMs);
		}
	}

	private grantLease(): number {
		for (const link of this.owners.values()) {
			this.confirmUndated(link);
		}

		return this.guard.grantLease(this.workerClock());
	}

	private addText(id: number, text: string, link: Link): void {
		const texts = this.texts.get(link) ?? HeldTexts.create();
		this.texts.set(link, texts);
		if (!texts.add(id, text)) {
			link.close('malformed', `spec: more than ${textLimitBytes} bytes of texts`);
		}
	}

	/** Returns the fields of a room message that tell an entry of the near future. */
	private outlookFor(owner: string, now: number): Pick<MessageToEntry & {kind: 'room'}, 'releases' | 'reserved'> {
		const releases = this.guard.releases(now);
		const reserved = this.guard.reservedByOthers(owner, now);
		return {...(releases.length > 0 && {releases}), ...(reserved && {reserved})};
	}

	/** Returns the expected time of a start unless it is out of range: such is ignored. */
	private checkExpectedMs(expectedMs: number | undefined, link: Link): number | undefined {
		if (expectedMs === undefined || isExpectedTime(expectedMs)) {
			return expectedMs;
		}

		this.figureIgnored('expectedMs', expectedMs, link);
		return undefined;
	}

	/** Counts a figure that is out of range. The first one of a link is logged. */
	private figureIgnored(field: string, value: unknown, link: Link): void {
		this.meters.ignoredFigures.inc({from: 'entry'});
		if (!this.linksWithIgnoredFigures.has(link)) {
			this.linksWithIgnoredFigures.add(link);
			this.log.warn({
				event: 'figure-ignored', entry: link.peer?.node, field, value,
			}, 'figure of an entry ignored');
		}
	}

	/** Takes the zones of the highest version told. An entry whose version goes down takes back what it told before. */
	private updateZones({asOf, out}: MessageToSidecar & {kind: 'zones'}, link: Link): void {
		if (asOf < this.zones.asOf && link !== this.zones.link) {
			return;
		}

		const before = this.zones.out.includes(this.settings.zone);
		this.zones = {asOf, out, link};
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
			this.log.info({event: 'hindrance', before, after}, 'reason for refusing starts changed');
			this.reportToAll();
		} else if (this.guard.isFailing !== wasFailing) {
			this.log.info({event: 'failing', isFailing: this.guard.isFailing}, wasFailing ? 'a run has succeeded again' : 'all recent runs failed');
			this.reportToAll();
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
				void this.stopRun(action.run);
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

			case 'crashed': {
				this.handleCrash(action);
				break;
			}
		}
	}

	/** Tells all entries of a crash of the worker, and keeps it for those that link later. One without tasks tells them nothing. */
	private handleCrash({life, sign, tasks}: Action & {kind: 'crashed'}): void {
		this.meters.workerCrashes.inc({sign});
		this.log.warn({
			event: 'worker-crashed', life, sign, tasks,
		}, 'worker crashed');
		if (tasks.length === 0) {
			return;
		}

		const crash: Crash = {life, at: this.clock.mono(), tasks: tasks.slice(-maxCrashedTasks)};
		this.crashes.push(crash);
		this.dropOldCrashes();
		for (const link of this.owners.values()) {
			this.reportCrash(crash, link);
		}
	}

	private dropOldCrashes(): void {
		const now = this.clock.mono();
		this.crashes = this.crashes.filter(({at}) => now - at < crashRetentionMs).slice(-maxCrashes);
	}

	private reportCrash({life, at, tasks}: Crash, link: Link): void {
		if (link.speaks('crashes')) {
			link.send({
				kind: 'crashed', life, ageMs: Math.round(this.clock.mono() - at), tasks,
			});
		}
	}

	private async start(run: RunId, request: RunRequest): Promise<void> {
		const leaseUntil = this.grantLease();
		this.meters.starts.inc();
		const reply = await this.executor.start({
			...run, spec: request.spec, leaseUntil, fence: this.fence,
		}, this.guard.worker!.incarnation);
		this.updateFromReply(reply);
		if (reply.kind !== 'done') {
			this.log.warn({
				event: 'start', task: run.task, run: run.number, owner: request.owner, reply, leaseUntil, fence: this.fence,
			}, 'start not confirmed');
		}

		this.apply({kind: 'started', run, reply});
	}

	private async stopRun(run: RunId): Promise<void> {
		const {worker} = this.guard;
		if (!worker || this.closed) {
			return;
		}

		const reply = await this.executor.stop(run, this.fence, worker.incarnation);
		this.updateFromReply(reply);
		if (reply.kind !== 'done') {
			await this.clock.sleep(retryPauseMs);
		}

		this.log.info({
			event: 'stop', task: run.task, run: run.number, reply: reply.kind, reason: reply.kind === 'refused' ? reply.reason : undefined,
		}, reply.kind === 'done' ? 'run stopped' : 'stop not confirmed');
		this.apply({kind: 'stopped', run, reply});
	}

	/** Polls the worker while anything may run there, to renew the leases and collect the ends of runs. */
	private async pollWhileNeeded(): Promise<void> {
		while (!this.closed) {
			const {worker} = this.guard;
			if (!worker || !this.guard.needsPolling) {
				this.wake = deferred();
				await this.wake.promise;
				continue;
			}

			try {
				await this.poll(worker);
			} catch (error) {
				// Polling goes on after a reply that can't be handled, since without renewals the leases of all runs would expire.
				this.log.error({event: 'look-failed', error: (error as Error).stack}, 'could not handle a reply of the worker');
				await this.clock.sleep(retryPauseMs);
			}
		}
	}

	private async poll(worker: Worker): Promise<void> {
		const sentAt = this.clock.mono();
		if (this.unansweredPolls === 0) {
			this.answeredAt = sentAt;
		}

		// The leases of a worker that has not replied for the length of a lease are left to expire, so that its runs are certain to end.
		const renews = sentAt - this.answeredAt < this.leases.longestMs;
		const result = await this.executor.poll({
			fence: this.fence,
			// A poll that extends no lease names none, as a worker may refuse one that has expired.
			leaseUntil: (renews && this.grantLease()) || undefined,
			seen: this.guard.lastEndSequence,
			waitMs: this.waitMs(sentAt),
			marginMs: Math.min(maxMarginMs, marginMs * (2 ** this.unansweredPolls)),
		}, worker.incarnation);
		await this.handlePollResult(result, sentAt, worker);
	}

	private async handlePollResult(result: PollResult, sentAt: number, polled: Worker): Promise<void> {
		const {worker} = this.guard;
		if (worker && worker.born > Math.max(polled.born, result.kind === 'seen' ? result.born : 0)) {
			this.log.info({
				event: 'look-outdated', polled: polled.incarnation, life: worker.incarnation, result: result.kind,
			}, 'reply about an earlier incarnation of the worker ignored');
			return;
		}

		this.updateFromReply(result);
		if (result.kind === 'seen' && worker && result.born > worker.born) {
			// An order to the earlier incarnation that is still under way must not be carried out by this one.
			this.fence = nextFence(this.fence, result.clock, 0);
			this.log.warn({event: 'worker-restarted', life: worker.incarnation, born: result.born}, 'worker restarted');
			this.clockOfWorker.restart(result.clock, this.clock.mono());
		}

		const clock = this.clockOfWorker.certainAt(this.clock.mono());
		const runs = this.guard.runCount;
		const haveExpired = this.guard.haveLeasesExpired(clock);
		this.apply({
			kind: 'polled', result, sentAt, clock,
		});
		if (result.kind === 'seen') {
			if (this.unansweredPolls > 1) {
				this.log.info({event: 'worker-regained', afterLooks: this.unansweredPolls}, 'worker answers again');
			}

			this.unansweredPolls = 0;
			return;
		}

		if (isPollUnanswered(result)) {
			const cause = result.kind === 'unknown' ? result.cause : result.reason;
			const isAbsent = result.kind === 'unknown' && result.absent;
			this.unansweredPolls++;
			this.lostAt = this.clock.mono();
			this.meters.unansweredPolls.inc();
			this.log.info({
				event: 'look', cause, tookMs: Math.round(this.clock.mono() - sentAt), runs,
			}, 'poll not answered');
			if (isAbsent || haveExpired) {
				this.log.warn({
					event: 'worker-lost', cause, runs, orderedSince: this.guard.runCount, looks: this.unansweredPolls,
				}, isAbsent ? 'worker refuses connections' : 'worker does not answer, all its leases have expired');
			}
		}

		if (result.kind === 'unknown' && result.absent) {
			this.barEarlierOrders();
		}

		// After the first lost reply the worker is polled again at once. One that refuses or stays unreachable is polled less often, until a new incarnation is known.
		if (this.unansweredPolls !== 1) {
			this.pauseEnd = deferred();
			await Promise.race([this.clock.sleep(retryPauseMs * Math.max(1, Math.min(this.unansweredPolls, maxPauseFactor))), this.pauseEnd.promise]);
		}
	}

	/** Raises the fence, so that the first call that reaches a new incarnation of the worker bars the orders sent to the one before, which may still be carried out. */
	private barEarlierOrders(): void {
		this.fence = nextFence(this.fence, 0, 0);
	}

	/** How long the next poll may wait for a run to end, in milliseconds. */
	private waitMs(now: number): number {
		if (this.guard.hasUnresolvedRuns) {
			return pollWaitUnresolvedMs;
		}

		return now - this.lostAt < afterLossForMs ? pollWaitAfterLossMs : pollWaitMs;
	}

	/** Takes the worker's clock from a reply, and raises the fence if the worker has seen a higher one. */
	private updateFromReply(reply: Reply | PollResult): void {
		if ('clock' in reply && reply.clock !== undefined) {
			this.clockOfWorker.read(reply.clock, this.clock.mono());
		}

		this.updateFence(reply);
	}

	/** Raises the fence if the worker has seen a higher one. */
	private updateFence(reply: Reply | PollResult): void {
		if (reply.kind === 'refused' && reply.reason === 'fence') {
			this.fence = nextFence(this.fence, reply.clock ?? 0, this.fenceRefusals++);
			this.log.info({event: 'fence', fence: this.fence}, 'fence raised');
		} else if (reply.kind !== 'unknown') {
			this.fenceRefusals = 0;
		}
	}

	private workerClock(): number {
		return this.clockOfWorker.valueAt(this.clock.mono());
	}

	/** The worker's clock as a stamp. Rounded down, it is shorter as MessagePack and dates starts earlier at most, which is the safe error. */
	private stampFor(link: Link): number {
		const stamp = this.clockOfWorker.stampAt(this.clock.mono());
		return link.speaks('msgpack') ? Math.floor(stamp) : stamp;
	}

	private reportToAll(): void {
		for (const link of this.owners.values()) {
			this.reportPlace(link);
		}
	}

	private reportPlace(link: Link): void {
		const {worker} = this.guard;
		const {workers} = this.settings.policy ?? defaultPolicySettings;
		const isOff = workers.enabled === 'off';
		link.send({
			kind: 'place',
			report: {
				zone: this.settings.zone,
				pool: worker?.pool ?? '',
				room: worker?.capacity ?? {cpu: 0, memoryMb: 0, accelerators: 0},
				others: this.guard.capacityHeldByOthers(ownerOf(link), this.clock.mono()),
				isFailing: this.guard.isFailing,
				hindrance: this.guard.startRefusal ?? (this.withdrawnSince.has(link) ? 'withdrawn' : undefined),
				labels: isOff || !worker || worker.labels.length === 0 ? undefined : worker.labels.slice(0, reportedLabels),
				remainingMs: isOff || this.leavesAt === undefined ? undefined : Math.max(0, Math.round(this.leavesAt - this.clock.mono())),
			},
			stamp: this.stampFor(link),
			clear: this.guard.hasNoAbandonedRuns(ownerOf(link)),
		});
	}
}

/** The name of the entry's incarnation at the other end. */
function ownerOf({peer}: Pick<Link, 'peer'>): string {
	return `${peer!.node}/${peer!.life}`;
}
