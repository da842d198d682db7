import type {Departure} from '../departure.js';
import type {QuarantineEnd} from '../quarantine.js';
import type {StartRefusal, Outcome} from '../guard.js';
import type {Release} from '../reservation.js';
import type {Resources} from '../resources.js';
import type {ShortageSettings} from '../shortage.js';

/** Job is a submission that is held in memory only. It completes when all of its tasks have succeeded; any other end is reported by its verdict. */
export type Job = {
	/** Unique among the jobs under way. */
	id: string;
	/** The kind of request; run times are learned per route. */
	route: string;
	pool: string;
	spec: string;
	tasks: readonly TaskSpec[];
	/** The target response time is `aimMs` plus `stretch` times the expected time of the longest task. */
	aimMs: number;
	stretch: number;
	/** The number of failures of one task that fails the job. Lost runs do not count. */
	attempts: number;
	/** 0 is the most urgent. */
	priority: number;
	/** Time to the caller's deadline, in milliseconds from the submission. */
	leftMs: number;
};

/** TaskSpec is one task: its full name, which is the id of its job with a dot and more, the resources it needs, its declared run time and the rack that holds its data, if it names one. */
export type TaskSpec = {name: string; resources: Resources; estimateMs: number; dataRack?: string};

/** PlaceReport is what a sidecar reports of its worker: `room` is the worker's whole capacity, `others` the part of it in use for other entries. */
export type PlaceReport = {
	zone: string;
	pool: string;
	room: Resources;
	others: Resources;
	/** Whether all runs that ended there lately failed, those of other entries included. */
	isFailing: boolean;
	hindrance?: StartRefusal;
	/** The worker's kind and rack, by position. */
	labels?: readonly string[];
	/** How long a draining worker still stays, in milliseconds. */
	remainingMs?: number;
};

/** Verdict is how a job ends. */
export type Verdict
	= | {kind: 'completed'}
	/** A task has failed as often as `Job.attempts` allows, or workers have crashed under it. */
		| {kind: 'failed'}
	/** None of its tasks ran or will run, so the caller may safely submit it again. */
		| {kind: 'refused'; why: JobRefusal; retryMs: number; inputs: RefusalInputs}
	/** Given up after one of its tasks may have been started. */
		| {kind: 'expired'}
		| {kind: 'cancelled'};

/**
 * RefusalInputs are the figures behind a refusal: the expected queueing time and the longest wait allowed for the
 * job, in milliseconds, the numbers of available and of linked places, the number of jobs that have not started, and the
 * level of shortage of the pool (see `shortage.ts`) where that governs admission.
 */
export type RefusalInputs = {expectedMs: number; patienceMs: number; open: number; linked: number; waiting: number; level?: number};

/** JobRefusal is why an entry does not run a job. */
export type JobRefusal = 'no-place' | 'overloaded' | 'stopping';

/** Event is an input of the schedule. */
export type Event
	= | {kind: 'submit'; job: Job}
	/** The caller disconnected (`left`; it gets no answer) or cancelled the job (`cancel`). */
		| {kind: 'left' | 'cancel'; job: string}
	/** A place sent a full report. */
		| {kind: 'told'; place: string; report: PlaceReport}
	/** The capacity in use for other entries changed; with it come the expected releases, and the reservation of another entry. */
		| {kind: 'room'; place: string; others: Resources; releases?: readonly Release[]; reserved?: Release}
	/** The capacity requested there is free and reserved for a moment. A `room` event with the amount follows. */
		| {kind: 'offered'; place: string}
	/** The link to the place was lost. */
		| {kind: 'down'; place: string}
	/** All runs started at the place before its link was last lost have ended. */
		| {kind: 'clear'; place: string}
	/** The sidecar did not start the task of order `ref`, and will not. */
		| {kind: 'refused'; place: string; ref: number; why: StartRefusal}
		| {kind: 'ended'; place: string; ref: number; outcome: Outcome; ranMs: number}
	/** The incarnation `life` of the place's worker crashed `ageMs` ago and ran these tasks, or may have. The same crash may be reported again. `route` is empty where it is not known. */
		| {kind: 'crashed'; place: string; life: string; ageMs: number; tasks: ReadonlyArray<readonly [name: string, route: string]>}
	/** The availability zones that get no work. */
		| {kind: 'zones'; out: ReadonlySet<string>}
	/** The entry is shutting down: only jobs expected to end by `until` are admitted. */
		| {kind: 'stopping'; until: number}
	/** The entry is about to end: each job is given up and gets its final answer. */
		| {kind: 'giveUp'}
		| {kind: 'tick'};

/** StartAction orders a sidecar to start a task; `ref` identifies the order. `expectedMs`: the run time expected there, where placement looks ahead. */
export type StartAction = {kind: 'start'; place: string; ref: number; job: Job; task: TaskSpec; expectedMs?: number};

/** CrashNotice tells of a decision that crashes have led to, with its inputs, for the log. */
export type CrashNotice
	/** A task was found to crash workers: `tasks` were there at each of two crashes, at `places`. */
	= | {kind: 'cause'; task: string; route: string; crashes: number; tasks: readonly [number, number]; places: readonly [string, string]}
	/** The quarantine of a route has begun, or has ended where `end` says why. */
		| {kind: 'quarantine'; route: string; pool: string; end?: QuarantineEnd; places: readonly string[]; repeats: number; successes: number; sinceCrashMs: number; lastedMs: number};

/** Action is an output of the schedule, for the caller to carry out. */
export type Action
	= | StartAction
	/** Stop the run of an order; `hung`: because it far exceeded its expected time; `departure`: because its worker leaves before it can end. */
		| {kind: 'stop'; place: string; ref: number; hung: boolean; departure?: Departure}
	/** A capacity request: a task of this size is waiting and should start within `dueMs`; the place offers capacity once it is free. `reserve`: a reservation is asked for too. */
		| {kind: 'want'; place: string; resources: Resources; dueMs: number; reserve?: boolean}
		| {kind: 'answer'; job: string; verdict: Verdict; waitedMs: number}
		| {kind: 'notice'; notice: CrashNotice};

/** Policy holds the parameters that benchmarks may vary; production runs `usualPolicy`. */
export type Policy = {
	/** How long a job may wait for its first start before it is refused, as a share of its target response time. */
	patienceShare: number;
	/** The same during the warm-up, when places are still found one after the other. */
	settlingShare: number;
	/** Whether jobs are ordered by priority first (after `lateLast`). */
	urgentFirst: boolean;
	/** Whether, after that, jobs that have started go before those that have not. */
	begunFirst: boolean;
	/** Whether jobs that have not started and can no longer meet their target go after all others. */
	lateLast: boolean;
	/** Whether a task goes to the least loaded of the places expected to finish it in time, instead of the fastest. */
	spread: boolean;
	/**
	 * The lower bound of the share of its places' processing rate that an entry counts on in admission. The share
	 * itself is that of its own work in all that runs there. It matters under overload with tens of entries.
	 */
	shareLeast: number;
	/** The safety factor on expected run times wherever a task must end in time: estimates are some 40% off. */
	margin: number;
	/** Whether kinds of workers and the spread of run times are taken into account: `auto` where places of one pool report more than one kind. */
	workers: 'auto' | 'on' | 'off';
	/** How many times as long a task takes on another rack than that of its data. */
	farFactor: number;
	/** Whether a task goes to a place that has got another task of its job, if it should end in time there: fewer places get a copy of the job's text, and fewer messages pass. */
	colocate: boolean;
	/** The entry's availability zone, whose places are preferred to equal ones; absent if all zones count the same. */
	zone?: string;
	/** Admission while a pool is short; absent: by the wait of each job alone. */
	shortage?: ShortageSettings;
	/** Whether placement looks ahead; `auto`: where the tasks of a pool differ in size. */
	lookAhead: 'auto' | 'on' | 'off';
	/** How many reservations an entry may hold in a pool. */
	reservations: number;
	/** Whether a task that should end in time goes to the place with the least room left instead of the largest free share. */
	bestFit: boolean;
	/** Whether jobs go strictly in order of arrival: no task is placed before one that waits in front of it. */
	arrivalOrder: boolean;
	/** Whether tasks under which workers crash are given up and their routes quarantined. */
	isolation: boolean;
};

/** The policy of production. */
export const usualPolicy: Policy = {
	patienceShare: 0.18,
	settlingShare: 2.5,
	urgentFirst: false,
	lateLast: true,
	begunFirst: true,
	spread: true,
	shareLeast: 0.02,
	margin: 2,
	workers: 'auto',
	farFactor: 1,
	colocate: false,
	lookAhead: 'off',
	reservations: 1,
	bestFit: false,
	arrivalOrder: false,
	isolation: true,
};
