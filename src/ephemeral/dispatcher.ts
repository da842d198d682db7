import type {Logger} from 'pino';
import {
	Schedule, type Action, type CrashNotice, type Event, type Job, type PlaceReport, type Policy, type StartAction, type Verdict,
} from '../decide/schedule/schedule.js';
import type {DesiredState} from '../decide/desired-state.js';
import type {Departure} from '../decide/departure.js';
import {areReleases} from '../decide/look-ahead.js';
import {LoopDelay, type EntryLoad} from '../decide/overload.js';
import type {Release} from '../decide/reservation.js';
import {areAmounts, type Resources} from '../decide/resources.js';
import type {ClientLimits} from '../decide/client-limits.js';
import type {Clock} from '../ports/clock.js';
import {defaultPolicySettings, type PolicySettings} from '../settings/policy.js';
import type {DispatcherMetrics} from './metrics.js';
import {AddressBook} from './address-book.js';
import {CancellationExchange, type CancelOutcome} from './cancellation-exchange.js';
import {
	Links, type Link, type LinkEndReason, type Receiver,
} from './link.js';
import {
	announcedFeatures, isMessageToSidecar, maxNameLength, type CancellationMessage, type Hello, type Message, type MessageToEntry, type MessageToSidecar, type ReceivedMessage, type SyncMessage,
} from './messages.js';
import {SentTexts} from './spec-texts.js';
import {StateExchange} from './state-exchange.js';

/** The settings that an entry needs to dispatch jobs kept in memory. */
export type DispatcherSettings = {
	node: string;
	incarnation: string;
	/** The address to listen on for links, as host:port. Port 0 picks a free port. */
	address: string;
	/** The availability zone that it is in, if it is known. */
	zone?: string;
	/** Addresses where other entries may be found. */
	seeds: readonly string[];
	/** The scheduling policy; absent for the default. */
	policy?: PolicySettings;
	/** What other processes may take of this one; absent for a usual machine. */
	limits?: ClientLimits;
	/** How many times as long a task takes on another rack than that of its data; absent where racks make no difference. */
	farFactor?: number;
};

/** How often waiting jobs are checked, in milliseconds. */
const tickMs = 20;
/** How long ago the sockets may seem to have been read last while the event loop is on time, in milliseconds: it is recorded at each tick. */
const inputLagMs = 2 * tickMs;
/** How often an entry without a link is dialled, in milliseconds. */
const redialMs = 500;
/** How long changes of the addresses of entries are collected before they are sent to sidecars, in milliseconds: at a start there is one change per entry. */
const announceDelayMs = 100;

/** How long an ended job that may have run is remembered, in milliseconds: as long as by the schedule. */
const startedJobRetentionMs = 30_000;

/** The longest stay that a draining worker may state, in milliseconds. */
const maxRemainingMs = 3_600_000;

/** The longest time of a timer in Node.js, in milliseconds: a longer one fires at once. */
const maxTimerMs = (2 ** 31) - 1;
/** The longest time that a run may be said to have taken, in milliseconds. */
const maxRanMs = 3_600_000;
/** How many labels a place may state; entries use two. */
const maxLabels = 16;
const noResources: Resources = {cpu: 0, memoryMb: 0, accelerators: 0};
/** The length of a text of a peer that a log line shows, in characters. */
const excerptLength = 64;

type Start = MessageToSidecar & {kind: 'start'};
type StopAction = Action & {kind: 'stop'};

/**
 * A sidecar with a link, the last stamp received from it (its worker's clock in milliseconds), when that arrived, the
 * texts sent to it, the starts that wait for the next flush of the link, and what others use there. `hadBadFigure`: whether a figure of it was out of range.
 */
type Sidecar = {link: Link; stamp: number; stampedAt: number; texts: SentTexts; undatedStarts: Start[]; others: Resources; hadBadFigure?: boolean};
type Waiter = (verdict: Verdict) => void;
/** ZonedState is a desired state with the zones that it puts out of service. */
export type ZonedState = DesiredState & {out: readonly string[]};

/**
 * Dispatcher is the entry's side of jobs kept in memory. It carries out its schedule's decisions, answers the
 * callers that wait for a job, and passes the newest desired state on to other entries.
 */
export class Dispatcher implements Receiver {
	static async create(settings: DispatcherSettings, clock: Clock, log: Logger, meters: DispatcherMetrics): Promise<Dispatcher> {
		const dispatcher = new Dispatcher(settings, clock, log, meters);
		dispatcher.address = await dispatcher.links.listen(settings.address);
		dispatcher.book.open();
		return dispatcher;
	}

	readonly schedule: Schedule;
	/** The address that it listens on, as host:port. */
	address: string;

	/** Called with a newer desired state received from another entry. */
	onDesiredState?: (asOf: number, text: string) => void;

	/** Called with the messages that were sent together on a link and the bytes that they took. */
	onFlush?: (messages: readonly Message[], bytes: number) => void;

	/** Called when this entry must read the desired state from the store anew, since another entry read another one at the same version. */
	onContradiction?: () => void;

	/** Returns whether an answer of the store is arriving, which may hold a newer desired state. */
	isStoreAnswering?: () => boolean;

	private readonly links: Links;
	private readonly sidecars = new Map<string, Sidecar>();
	private readonly book: AddressBook;
	/** The sidecars that hold a job's text, by job. */
	private readonly textHolders = new Map<string, Set<Sidecar>>();
	private readonly waiters = new Map<string, Set<Waiter>>();
	/** When to forget that an ended job may have run, by job id, in order of time. */
	private readonly startedJobs = new Map<string, number>();
	private readonly states: StateExchange;
	private readonly cancellations: CancellationExchange;
	private out: readonly string[] = [];
	/** When the timer for the next refusal fires; no job that has not begun is due to be refused before. */
	private armedFor = Number.POSITIVE_INFINITY;
	private refusalTimer?: NodeJS.Timeout;
	/** The addresses of entries that were last sent to sidecars. */
	private announcedAddresses = '';
	private announceTimer?: NodeJS.Timeout;
	private readonly timer: NodeJS.Timeout;
	private readonly loopDelay = LoopDelay.create(tickMs);
	/** The time of the latest tick. When links are flushed, what had arrived on the sockets by then has been read, as the event loop reads them between its timers and its immediates. */
	private tickedAt: number;

	private constructor(
		private readonly settings: DispatcherSettings,
		private readonly clock: Clock,
		private readonly log: Logger,
		private readonly meters: DispatcherMetrics,
	) {
		this.schedule = Schedule.create(schedulePolicyOf(settings));
		this.address = settings.address;
		this.tickedAt = clock.mono();
		this.links = Links.create(clock, this, settings.limits);
		this.states = StateExchange.create({
			clock,
			log,
			meters,
			isStoreAnswering: () => this.isStoreAnswering?.() ?? false,
			onReceived: (asOf, text) => {
				this.onDesiredState?.(asOf, text);
			},
			onContradiction: () => {
				this.onContradiction?.();
			},
		});
		this.cancellations = CancellationExchange.create({
			clock,
			log,
			meters,
			cancelHere: job => this.cancelHere(job),
			isEntryAway: () => this.mayMissEntries,
		});
		meters.registerTraffic(this.links.traffic);
		this.book = AddressBook.create({
			clock, links: this.links, redialMs, ownAddress: () => this.address, onLinkOpened: link => {
				this.hello(link);
				this.announceAddresses();
			},
		});
		this.addAddresses(settings.seeds, true);
		this.timer = setInterval(() => {
			const now = this.clock.mono();
			this.loopDelay.fired(now);
			this.tickedAt = now;
			if (this.schedule.jobCount > 0) {
				this.apply({kind: 'tick'});
			}
		}, tickMs);
	}

	/** The figures of the load that jobs and links put on this process. */
	get load(): EntryLoad {
		return {
			loopDelayMs: this.loopDelay.valueAt(this.clock.mono()), unsentBytes: this.links.unsentBytes, writtenBytes: this.links.writtenBytes, jobs: this.schedule.jobCount,
		};
	}

	/**
	 * Submits a job, or joins the job with the same name that is under way, and calls `answer` when it ends.
	 * Returns a function to call when the caller has disconnected: a job without waiting callers is stopped.
	 */
	submit(job: Job, answer: Waiter): () => void {
		if (this.isCancelled(job.id)) {
			this.log.info({event: 'cancel', job: job.id}, 'submission of a cancelled job');
			answer({kind: 'cancelled'});
			return () => undefined;
		}

		const waiters = this.waiters.get(job.id);
		if (waiters) {
			waiters.add(answer);
			this.log.info({event: 'joined', job: job.id}, 'submission joined a job under way');
		} else {
			this.waiters.set(job.id, new Set([answer]));
			this.apply({kind: 'submit', job});
		}

		const submittedAt = this.clock.mono();
		const inputAgeMs = submittedAt - this.tickedAt;
		return () => {
			this.removeWaiter(job.id, answer, {heldMs: Math.round(this.clock.mono() - submittedAt), inputAgeMs: Math.round(inputAgeMs)});
		};
	}

	/** Returns whether a job is under way here, or may have run under an earlier submission: a refusal without a look at it could be wrong. */
	mayHaveRun(job: string): boolean {
		return this.waiters.has(job) || (this.startedJobs.get(job) ?? 0) > this.clock.mono();
	}

	/** Cancels a job at all entries, whether it is under way, was or will be. Calls `answer` as soon as the outcome is known. */
	cancel(job: string, answer: (outcome: CancelOutcome) => void): void {
		this.cancellations.cancel(job, answer);
	}

	/** Returns whether a job was cancelled lately, so that no submission of it starts anything. */
	isCancelled(job: string): boolean {
		return this.cancellations.isCancelled(job);
	}

	/** The number of entries with a link. */
	get linkedEntries(): number {
		return this.book.linkedAddresses.length;
	}

	/** Whether another entry may be there that has no link to this one. */
	get mayMissEntries(): boolean {
		return this.book.hasSilentAddress;
	}

	/** The version of the desired state in force; 0 before there is one. */
	get desiredAsOf(): number {
		return this.states.asOf;
	}

	/** Puts a desired state in force, which is passed on to entries as `text`, and the zones that are out of service. The same state must have the same text. */
	setDesiredState(asOf: number, text: string, out: readonly string[], {number = 0, claimedAt}: {number?: number; claimedAt?: number} = {}): void {
		this.out = out;
		this.apply({kind: 'zones', out: new Set(out)});
		for (const {link} of this.sidecars.values()) {
			link.send({kind: 'zones', asOf, out});
		}

		this.states.set({asOf, number, text}, claimedAt);
	}

	/** Takes in a desired state that the store showed to a request made at `askedAt`, in monotonic milliseconds. Returns whether it was put in force. */
	takeRead(state: ZonedState, askedAt: number): boolean {
		const isNew = this.states.takeRead(state, askedAt);
		if (isNew) {
			this.setDesiredState(state.asOf, state.text, state.out, {number: state.number});
		}

		return isNew;
	}

	/** Takes in a desired state that another entry has sent. Returns whether it was put in force. */
	takeReceived(state: ZonedState): boolean {
		const isNew = this.states.takeReceived(state);
		if (isNew) {
			this.setDesiredState(state.asOf, state.text, state.out, {number: state.number, claimedAt: this.clock.mono()});
		}

		return isNew;
	}

	/** Adds addresses of other entries. */
	addAddresses(addresses: readonly string[], seed = false): void {
		this.book.add(addresses, seed);
	}

	/** From now on, admits only jobs that should end within `withinMs`. */
	drain(withinMs: number): void {
		this.apply({kind: 'stopping', until: this.clock.mono() + withinMs});
	}

	/** Gives every job up, so that each caller gets its final answer before the process ends. Returns the number of jobs. */
	giveUp(): number {
		const {jobCount} = this.schedule;
		this.apply({kind: 'giveUp'});
		this.cancellations.giveUp();
		return jobCount;
	}

	/** Ends all links. */
	close(): void {
		clearInterval(this.timer);
		this.book.close();
		clearTimeout(this.refusalTimer);
		clearTimeout(this.announceTimer);
		this.states.close();
		this.cancellations.close();
		this.links.close();
	}

	flushed(_link: Link, messages: readonly Message[], bytes: number): void {
		this.onFlush?.(messages, bytes);
	}

	isNeeded({peer}: Link): boolean {
		return peer?.role === 'sidecar' && this.schedule.outstandingAt(peer.node) > 0;
	}

	receive(message: ReceivedMessage, link: Link): void {
		if (isMessageToSidecar(message)) {
			return;
		}

		switch (message.kind) {
			case 'hello': {
				this.handleHello(link);
				break;
			}

			case 'place':
			case 'room':
			case 'offer':
			case 'refused':
			case 'ended':
			case 'crashed': {
				this.handleSidecarMessage(message, link);
				break;
			}

			case 'entries':
			case 'newest':
			case 'fetch':
			case 'desired':
			case 'cancel':
			case 'cancelAnswer':
			case 'cancellations': {
				if (link.peer?.role === 'entry') {
					this.handleEntryMessage(message, link);
				}

				break;
			}
		}
	}

	beforeFlush(link: Link): void {
		const sidecar = link.peer?.role === 'sidecar' ? this.sidecars.get(link.peer.node) : undefined;
		if (sidecar?.link !== link) {
			return;
		}

		this.dateMessages(sidecar);
		const ids = sidecar.texts.takeForgettable();
		if (ids.length > 0) {
			link.send({kind: 'forget', ids});
		}
	}

	linkEnded(link: Link, why: LinkEndReason, problem?: string): void {
		this.states.removeLink(link);
		this.cancellations.removeLink(link);
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

	private handleEntryMessage(message: SyncMessage | CancellationMessage, link: Link): void {
		switch (message.kind) {
			case 'entries': {
				this.addAddresses(message.addresses);
				break;
			}

			case 'newest':
			case 'fetch':
			case 'desired': {
				this.states.receive(message, link);
				break;
			}

			case 'cancel':
			case 'cancelAnswer':
			case 'cancellations': {
				this.cancellations.receive(message, link);
				break;
			}
		}
	}

	private cancelHere(job: string): boolean {
		const isUnderWay = this.waiters.has(job);
		if (isUnderWay) {
			this.apply({kind: 'cancel', job});
		}

		return isUnderWay;
	}

	/** `heldMs`: the time since its submission; `inputAgeMs`: how long the sockets had not been read then. */
	private removeWaiter(job: string, answer: Waiter, times: {heldMs: number; inputAgeMs: number}): void {
		const waiters = this.waiters.get(job);
		if (!waiters?.delete(answer) || waiters.size > 0) {
			return;
		}

		this.waiters.delete(job);
		const state = this.schedule.jobState(job);
		if (state === 'running') {
			this.rememberStarted(job);
		}

		this.log.info({
			event: 'left', job, state, ...times,
		}, 'caller left, stopping the tasks of its job');
		this.apply({kind: 'left', job});
		this.releaseTexts(job);
	}

	private handleHello(link: Link): void {
		const peer = link.peer!;
		this.log.info({
			event: 'linked', node: peer.node, role: peer.role, life: peer.life,
		}, 'linked');
		if (peer.role === 'entry') {
			this.addEntry(link, peer.address);
			return;
		}

		this.hello(link);
		const old = this.sidecars.get(peer.node);
		if (old) {
			old.link.close();
		}

		this.sidecars.set(peer.node, {
			link, stamp: 0, stampedAt: this.clock.mono(), texts: SentTexts.create(), undatedStarts: [], others: noResources,
		});
		link.send({kind: 'zones', asOf: this.states.asOf, out: this.out});
		link.send({kind: 'entries', addresses: this.addresses()});
	}

	private addEntry(link: Link, address: string | undefined): void {
		if (address) {
			this.book.accept(address, link);
		}

		this.hello(link);
		link.send({kind: 'entries', addresses: this.addresses()});
		this.states.addLink(link);
		this.cancellations.addLink(link);
		this.announceAddresses();
	}

	/** Sends the addresses of the linked entries to all sidecars after `announceDelayMs`, if they have changed. */
	private announceAddresses(): void {
		this.announceTimer ??= setTimeout(() => {
			this.announceTimer = undefined;
			const addresses = this.addresses();
			const text = addresses.toSorted().join(',');
			if (text === this.announcedAddresses) {
				return;
			}

			this.announcedAddresses = text;
			for (const {link} of this.sidecars.values()) {
				link.send({kind: 'entries', addresses});
			}
		}, announceDelayMs);
	}

	private handleSidecarMessage(message: MessageToEntry, link: Link): void {
		const place = link.peer?.node;
		const sidecar = place === undefined ? undefined : this.sidecars.get(place);
		if (!place || sidecar?.link !== link) {
			return;
		}

		switch (message.kind) {
			case 'place': {
				this.updateStamp(sidecar, message.stamp);
				const report = this.withoutBadFigures(message.report, sidecar);
				this.log.info({event: 'place', place, report}, 'place reported its state');
				this.apply({kind: 'told', place, report});
				this.clear(place, message.clear);
				break;
			}

			case 'room': {
				this.updateStamp(sidecar, message.stamp);
				if (areAmounts(message.others)) {
					sidecar.others = message.others;
				} else {
					this.figureIgnored('others', message.others, sidecar);
				}

				this.apply({
					kind: 'room',
					place,
					others: sidecar.others,
					releases: this.checkReleases('releases', message.releases, sidecar),
					reserved: this.checkReleases('reserved', message.reserved && [message.reserved], sidecar)?.[0],
				});
				this.clear(place, message.clear);
				break;
			}

			case 'offer': {
				this.apply({kind: 'offered', place});
				break;
			}

			case 'refused': {
				this.meters.refusedOrders.inc({why: message.why});
				if (message.why === 'invalid') {
					// The sidecar may not hold the text that the start named.
					sidecar.texts.releaseAll();
				}

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
					kind: 'ended', place, ref: message.ref, outcome: message.outcome, ranMs: this.checkRanMs(message, sidecar),
				});
				break;
			}

			case 'crashed': {
				const {life, ageMs, tasks} = message;
				this.log.info({
					event: 'worker-crashed', place, life, ageMs, tasks: tasks.length,
				}, 'worker of a place has crashed');
				this.apply({
					kind: 'crashed', place, life, ageMs, tasks,
				});
				break;
			}
		}
	}

	/** Returns a report without what is out of range. A place whose size is, or what others use there, has no capacity until it says better. */
	private withoutBadFigures(report: PlaceReport, sidecar: Sidecar): PlaceReport {
		const {
			zone, pool, room, others, labels, remainingMs,
		} = report;
		const checked = {...report};
		if (!areAmounts(room) || !areAmounts(others)) {
			this.figureIgnored(areAmounts(room) ? 'others' : 'room', areAmounts(room) ? others : room, sidecar);
			checked.room = noResources;
			checked.others = noResources;
		}

		if (zone.length > maxNameLength || pool.length > maxNameLength) {
			this.figureIgnored(zone.length > maxNameLength ? 'zone' : 'pool', excerptOf(zone.length > maxNameLength ? zone : pool), sidecar);
			// No job is of this pool.
			checked.zone = '';
			checked.pool = '';
		}

		if (labels !== undefined && (labels.length > maxLabels || labels.some(label => label.length > maxNameLength))) {
			this.figureIgnored('labels', excerptOf(labels.slice(0, maxLabels).join(' ')), sidecar);
			checked.labels = undefined;
		}

		if (remainingMs !== undefined && !(remainingMs >= 0 && remainingMs <= maxRemainingMs)) {
			this.figureIgnored('remainingMs', remainingMs, sidecar);
			checked.remainingMs = undefined;
		}

		sidecar.others = checked.others;
		return checked;
	}

	/** Returns figures of a sidecar's near future, or undefined where they are out of range. */
	private checkReleases(field: string, releases: readonly Release[] | undefined, sidecar: Sidecar): readonly Release[] | undefined {
		if (!releases || areReleases(releases)) {
			return releases;
		}

		this.figureIgnored(field, releases, sidecar);
		return undefined;
	}

	/** Returns the time that a run took, at most that since its order: a time that is too long would make its route's jobs seem to take as long. */
	private checkRanMs({ref, ranMs}: MessageToEntry & {kind: 'ended'}, sidecar: Sidecar): number {
		if (ranMs < 0 || ranMs > maxRanMs) {
			this.figureIgnored('ranMs', ranMs, sidecar);
		}

		const now = this.clock.mono();
		return Math.min(Math.max(0, ranMs), now - (this.schedule.placedAt(ref) ?? now));
	}

	/** Counts a figure that is out of range. The first one of a link is logged. */
	private figureIgnored(field: string, value: unknown, sidecar: Sidecar): void {
		this.meters.ignoredFigures.inc({from: 'sidecar'});
		if (!sidecar.hadBadFigure) {
			sidecar.hadBadFigure = true;
			this.log.warn({
				event: 'figure-ignored', place: sidecar.link.peer?.node, field, value,
			}, 'figure of a place\'s report ignored');
		}
	}

	private updateStamp(sidecar: Sidecar, stamp: number): void {
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

		// A job becomes due to be refused by its submission or by the refusal of its only order. Other events can only put the time off.
		if (event.kind === 'submit' || event.kind === 'refused') {
			this.scheduleRefusal(now);
		}
	}

	/** Sets a timer, so that a job that has waited too long is refused on time instead of at the next tick. */
	private scheduleRefusal(now: number): void {
		const {nextRefusalAt: dueAt} = this.schedule;
		if (dueAt >= this.armedFor) {
			return;
		}

		this.armedFor = dueAt;
		clearTimeout(this.refusalTimer);
		this.refusalTimer = setTimeout(() => {
			this.armedFor = Number.POSITIVE_INFINITY;
			const at = this.clock.mono();
			if (this.schedule.nextRefusalAt <= at) {
				this.apply({kind: 'tick'});
			}

			this.scheduleRefusal(at);
		}, Math.min(maxTimerMs, Math.max(0, Math.ceil(dueAt - now))));
	}

	private carryOut(action: Action): void {
		switch (action.kind) {
			case 'start': {
				this.sendStart(action);
				break;
			}

			case 'stop': {
				this.meters.orders.inc({kind: 'stop'});
				if (action.departure) {
					this.meters.movedRuns.inc();
					this.log.info({
						event: 'run-moved', task: this.schedule.taskName(action.ref), place: action.place, ref: action.ref, ...roundFigures(action.departure),
					}, 'worker leaves before the run can end, stopping it to start it elsewhere');
				}

				this.sendStop(action);
				break;
			}

			case 'want': {
				this.meters.orders.inc({kind: 'want'});
				const sidecar = this.sidecars.get(action.place);
				sidecar?.link.send({
					kind: 'want', room: action.resources, dueMs: action.dueMs, ...(action.reserve && sidecar.link.speaks('lookAhead') && {reserve: true}),
				});
				break;
			}

			case 'answer': {
				const waiters = this.waiters.get(action.job);
				this.waiters.delete(action.job);
				this.releaseTexts(action.job);
				if (action.verdict.kind !== 'refused') {
					this.rememberStarted(action.job);
				}

				for (const answer of waiters ?? []) {
					answer(action.verdict);
				}

				break;
			}

			case 'notice': {
				this.report(action.notice);
				break;
			}
		}
	}

	/** Logs and counts what was found out about crashes of workers. */
	private report(notice: CrashNotice): void {
		const {kind, ...inputs} = notice;
		switch (notice.kind) {
			case 'cause': {
				this.meters.crashCauses.inc({route: notice.route});
				this.log.warn({event: 'crash-cause', ...inputs}, 'task crashes its workers, giving it up');
				break;
			}

			case 'quarantine': {
				this.meters.quarantines.inc({route: notice.route, change: notice.end ?? 'begun'});
				this.log.warn({
					event: 'quarantine', ...inputs, sinceCrashMs: Math.round(notice.sinceCrashMs), lastedMs: Math.round(notice.lastedMs),
				}, notice.end ? 'quarantine of a route has ended' : 'quarantine of a route has begun');
				break;
			}
		}
	}

	private rememberStarted(job: string): void {
		const now = this.clock.mono();
		for (const [other, until] of this.startedJobs) {
			if (now < until) {
				break;
			}

			this.startedJobs.delete(other);
		}

		this.startedJobs.delete(job);
		this.startedJobs.set(job, now + startedJobRetentionMs);
	}

	private sendStart({
		place, ref, job, task, expectedMs,
	}: StartAction): void {
		const sidecar = this.sidecars.get(place);
		this.meters.orders.inc({kind: 'start'});
		if (!sidecar) {
			return;
		}

		const specId = this.sendText(sidecar, job);
		const start: Start = {
			kind: 'start',
			ref,
			task: task.name,
			room: task.resources,
			...(specId === undefined ? {spec: job.spec} : {specId}),
			stamp: sidecar.stamp,
			age: 0,
			...(expectedMs !== undefined && sidecar.link.speaks('lookAhead') && {expectedMs}),
			...(sidecar.link.speaks('crashes') && {route: job.route}),
		};
		sidecar.undatedStarts.push(start);
		sidecar.link.send(start);
	}

	/**
	 * Sends a stop, or takes back the start if that has not been sent: its date would be that of the callers who are still there. A stop goes before
	 * the starts of the same turn, since their date counts for all runs of this entry that are not being stopped.
	 */
	private sendStop({place, ref, hung}: StopAction): void {
		const sidecar = this.sidecars.get(place);
		const index = sidecar?.undatedStarts.findIndex(start => start.ref === ref) ?? -1;
		if (!sidecar || index === -1) {
			sidecar?.link.send({kind: 'stop', ref, hung}, sidecar.undatedStarts[0]);
			return;
		}

		const [start] = sidecar.undatedStarts.splice(index, 1);
		sidecar.link.withdraw(start!);
		queueMicrotask(() => {
			this.apply({
				kind: 'refused', place, ref, why: 'withdrawn',
			});
		});
	}

	/**
	 * Dates the starts that are about to be sent. While tasks are under way, a block of messages without a start gets a 'callers' message with the date.
	 * Callers may have left since the sockets were last read, and may have submitted their jobs elsewhere, so the date of an event loop that is late is
	 * that of its last reading. The sidecar refuses a start that is too old, and lets no run live for long after its date.
	 */
	private dateMessages({link, stamp, stampedAt, undatedStarts}: Sidecar): void {
		const now = this.clock.mono();
		const unreadMs = Math.max(0, now - this.tickedAt - inputLagMs);
		const age = Math.round(now - unreadMs - stampedAt);
		for (const start of undatedStarts) {
			start.stamp = stamp;
			start.age = age;
		}

		if (undatedStarts.length === 0 && link.speaks('callers') && this.isNeeded(link)) {
			link.send({kind: 'callers', stamp, age});
		}

		undatedStarts.length = 0;
	}

	/** Sends a job's text to a sidecar that does not hold it. Returns its id, or `undefined` where the text must go with the start. */
	private sendText(sidecar: Sidecar, job: Job): number | undefined {
		const {link, texts} = sidecar;
		if (!link.speaks('specs')) {
			return undefined;
		}

		const known = texts.idOf(job.id);
		if (known !== undefined) {
			return known;
		}

		const id = texts.add(job.id, job.spec);
		if (id !== undefined) {
			link.send({kind: 'spec', id, text: job.spec});
			this.textHolders.set(job.id, (this.textHolders.get(job.id) ?? new Set()).add(sidecar));
		}

		return id;
	}

	/** Lets the sidecars forget the text of a job that has ended, with the next messages to them. */
	private releaseTexts(job: string): void {
		for (const {texts} of this.textHolders.get(job) ?? []) {
			texts.release(job);
		}

		this.textHolders.delete(job);
	}

	private hello(link: Link): void {
		const {node, incarnation: life} = this.settings;
		link.sendHello({
			kind: 'hello', role: 'entry', node, life, address: this.address, features: this.featuresFor(link),
		});
	}

	/** Returns the features to announce: none to a side that has announced none, so that it gets the messages that it knows. */
	private featuresFor({peer}: Link): Hello['features'] {
		return peer && !peer.features ? undefined : announcedFeatures(this.settings.policy?.links.enabled !== 'off', looksAhead(this.settings.policy));
	}

	private addresses(): string[] {
		return [this.address, ...this.book.linkedAddresses];
	}
}

/** Returns the beginning of a text of a peer, for a log line. */
function excerptOf(text: string): string {
	return text.slice(0, excerptLength);
}

/** Returns the figures of a departure in whole milliseconds, for a log line. */
function roundFigures(departure: Departure): Departure {
	return {
		remainingMs: Math.round(departure.remainingMs),
		ageMs: Math.round(departure.ageMs),
		expectedMs: Math.round(departure.expectedMs),
		elsewhereMs: Math.round(departure.elsewhereMs),
		worthMs: Math.round(departure.worthMs),
	};
}

/** Whether placement looks ahead. `auto` leaves it off: no load of the model shows a gain for large tasks, see docs/design/look-ahead.md. It needs a feature of the links. */
function looksAhead(policy?: PolicySettings): boolean {
	return policy?.lookAhead.enabled === 'on' && policy.links.enabled !== 'off';
}

/** Returns the parameters of the schedule that the settings ask for. */
function schedulePolicyOf({policy = defaultPolicySettings, farFactor = 1, zone}: DispatcherSettings): Partial<Policy> {
	const {enabled, ...parameters} = policy.shortage;
	return {
		workers: policy.workers.enabled,
		lookAhead: looksAhead(policy) ? 'on' : 'off',
		farFactor: Math.max(1, farFactor),
		isolation: policy.isolation.enabled !== 'off',
		// Tasks of one job at one place, in the entry's own zone, save bytes on the entry's link.
		...(policy.links.enabled !== 'off' && {colocate: true, zone}),
		...(enabled !== 'off' && {urgentFirst: true, shortage: {...parameters, always: enabled === 'on'}}),
	};
}
