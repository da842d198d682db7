import test from 'ava';
import fc from 'fast-check';
import {
	requestMaxAgeMs, Guard, lateStartMs, offerHoldMs, type Action, type RunRequest, type Event, type Worker,
} from '../src/decide/guard.js';
import {nextFence} from '../src/decide/fence.js';
import type {EndedRun, PollResult, Reply} from '../src/ports/executor.js';
import {ModelWorker, type RunPlan} from './model-worker.js';

const cpuOnly = (cpu: number) => ({cpu, memoryMb: 1, accelerators: 0});
const worker = (fields: Partial<Worker> = {}): Worker => ({
	incarnation: 'w1', born: 1, pool: 'p', capacity: {cpu: 10, memoryMb: 100, accelerators: 0}, labels: [], draining: false, ...fields,
});
const request = (fields: Partial<RunRequest> = {}): RunRequest => ({
	owner: 'e1', ref: 1, task: 't', resources: cpuOnly(4), spec: '', sentAt: 0, ...fields,
});
const requested = (fields: Partial<RunRequest> = {}, clock = 0): Event => ({kind: 'request', request: request(fields), clock});
const seen = (fields: Partial<PollResult & {kind: 'seen'}> = {}): PollResult => ({
	kind: 'seen', clock: 0, born: 1, running: [], ended: [], ...fields,
});
const polled = (fields: Partial<PollResult & {kind: 'seen'}> = {}, sentAt = 1000): Event => ({kind: 'polled', result: seen(fields), sentAt});
const end = (fields: Partial<EndedRun> = {}): EndedRun => ({
	sequence: 1, task: 't', number: 1, ending: 'done', ...fields,
});
const run = (number = 1) => ({task: 't', number});
const done: Reply = Object.freeze<Reply>({kind: 'done'});
const started = (reply: Reply = done, number = 1): Event => ({kind: 'started', run: run(number), reply});
const stopped = (reply: Reply = done): Event => ({kind: 'stopped', run: run(), reply});
const unknown: Reply = {kind: 'unknown', cause: 'timeout', absent: false};
const cancelled = (hung: boolean): Event => ({
	kind: 'cancel', owner: 'e1', ref: 1, hung,
});
const cancel = cancelled(false);
const ownerLost: Event = {kind: 'ownerLost', owner: 'e1'};
const want = (owner: string, cpu = 4, dueMs = 0): Event => ({
	kind: 'want', owner, resources: cpuOnly(cpu), dueMs,
});
const offer = (owner: string): Record<string, unknown> => ({kind: 'offer', owner});
const unansweredPoll: Event = {kind: 'polled', result: unknown, sentAt: 0};
/** A poll that got no answer, once every lease granted at 0 has expired. */
const leasesExpired: Event = {
	kind: 'polled', result: unknown, sentAt: 0, clock: 1200,
};
const refusedAsUnwell: Event = {kind: 'polled', result: {kind: 'refused', reason: 'unwell'}, sentAt: 0};
/** Nothing listens at the worker's address. */
const refusedConnection = {kind: 'unknown', cause: 'ECONNREFUSED', absent: true} as const;
const refusedPoll: Event = {kind: 'polled', result: refusedConnection, sentAt: 0};
const restarted: Event = {kind: 'reported', worker: worker({incarnation: 'w2', born: 2})};
const refuse = (why: string, ref = 1): Record<string, unknown> => ({
	kind: 'refuse', owner: 'e1', ref, why,
});
const ended = (outcome: string, ranMs = 0): Record<string, unknown> => ({
	kind: 'end', owner: 'e1', ref: 1, outcome, ranMs,
});
const stop = {kind: 'stop', run: run()};
const reported: Event = {kind: 'reported', worker: worker()};
const ready: Event[] = [reported, polled({}, 0)];
const crashed = (sign: string, tasks: string[][] = [['t', '']], life = 'w1/1'): Record<string, unknown> => ({
	kind: 'crashed', life, sign, tasks,
});
const otherLife: Event = {kind: 'polled', result: {kind: 'refused', reason: 'other-life'}, sentAt: 0};

/** Returns the actions of each of these events, all at the time 0. Each start order grants a lease. */
function play(events: readonly Event[]): Action[][] {
	const guard = Guard.create();
	return events.map(event => {
		const actions = guard.step(event, 0);
		if (actions.some(({kind}) => kind === 'start')) {
			guard.grantLease(0);
		}

		return actions;
	});
}

/** Returns the actions of the last of these events. */
const lastActions = (events: readonly Event[]): Array<Record<string, unknown>> => play(events).at(-1)!;

for (const [title, events, last] of [
	['nothing starts before the worker is known', [requested()], [refuse('absent')]],
	['nothing starts before the first poll shows which orphan runs there are', [reported, requested()], [refuse('unsettled')]],
	['a task that fits starts', [...ready, requested()], [{kind: 'start', run: run(), request: request()}]],
	['a task that does not fit is refused', [...ready, requested({resources: cpuOnly(7), task: 'u', ref: 2}), requested()], [refuse('room')]],
	['an unanswered start holds its capacity', [...ready, requested({resources: cpuOnly(7)}), started(unknown), requested({task: 'u', ref: 2})], [refuse('room', 2)]],
	['a task that already runs is refused', [...ready, requested(), requested({ref: 2, owner: 'e1'})], [refuse('duplicate', 2)]],
	['a request that is too old is refused', [...ready, requested({}, requestMaxAgeMs + 1)], [refuse('stale')]],
	['a request dated by the clock of an earlier incarnation is refused', [...ready, requested({sentAt: 480_000}, 3000)], [refuse('stale')]],
	['nothing starts after a standstill until a poll sent since then was answered', [...ready, {kind: 'stoodStill'}, polled({}, -1), requested()], [refuse('unsettled')]],
	['tasks start once it was', [...ready, {kind: 'stoodStill'}, polled({}, 0), requested()], [{kind: 'start', run: run(), request: request()}]],
	['nothing starts at a draining worker', [...ready, {kind: 'reported', worker: worker({draining: true})}, requested()], [refuse('draining')]],
	['a late report does not end a drain', [...ready, {kind: 'reported', worker: worker({draining: true})}, reported, requested()], [refuse('draining')]],
	['nothing starts at a worker that left', [...ready, {kind: 'left', incarnation: 'w1'}, requested()], [refuse('absent')]],
	[
		'tasks start at a worker that reports after a late leave notice of its name',
		[...ready, {kind: 'left', incarnation: 'w1', clock: 500}, {...reported, clock: 501}, requested()],
		[{kind: 'start', run: run(), request: request()}],
	],
	['a report made before a leave notice does not open the worker', [...ready, {kind: 'left', incarnation: 'w1', clock: 500}, {...reported, clock: 500}, requested()], [refuse('absent')]],
	['a leave notice of an earlier incarnation changes nothing', [...ready, {kind: 'left', incarnation: 'w0'}, requested()], [{kind: 'start', run: run(), request: request()}]],
	[
		'a report of an earlier incarnation changes nothing',
		[...ready, {kind: 'reported', worker: worker({incarnation: 'w0', born: 0, draining: true})}, requested()],
		[{kind: 'start', run: run(), request: request()}],
	],
	['nothing starts in a zone that is out of service', [...ready, {kind: 'zone', out: true}, requested()], [refuse('zone-out')]],
	['tasks start in a zone that is back in service', [...ready, {kind: 'zone', out: true}, {kind: 'zone', out: false}, requested()], [{kind: 'start', run: run(), request: request()}]],
	['a stopping sidecar starts nothing', [...ready, {kind: 'stopping'}, requested()], [refuse('stopping')]],
	['the end of a run is passed to its owner', [...ready, requested(), started(), polled({ended: [end()]})], [ended('done', 0)]],
	['an end that is listed before the start is answered is passed to its owner', [...ready, requested(), polled({ended: [end({ending: 'failed'})]})], [ended('failed', 0)]],
	['a lapsed run is lost', [...ready, requested(), started(), polled({ended: [end({ending: 'lapsed'})]})], [ended('lost', 0)]],
	['a run that is listed neither as running nor as ended is lost', [...ready, requested(), started(), polled()], [ended('lost', 0)]],
	['a poll sent before the start was answered is not conclusive for the run', [...ready, requested(), started(), polled({}, -1)], []],
	['a run that is listed after an unanswered start is running', [...ready, requested(), started(unknown), polled({running: [run()]}), polled({ended: [end()]})], [ended('done', 0)]],
	['a run that is not listed after an unanswered start is stopped', [...ready, requested(), started(unknown), polled()], [stop]],
	['a run that is stopped before it was ever listed is refused as withdrawn', [...ready, requested(), started(unknown), polled(), stopped(), polled()], [refuse('withdrawn')]],
	['an unanswered stop is sent again', [...ready, requested(), started(unknown), polled(), stopped(unknown)], [stop]],
	['a stop that an unwell worker refuses is sent again', [...ready, requested(), started(), ownerLost, stopped({kind: 'refused', reason: 'unwell'})], [stop]],
	['a stop that is refused for its fence is sent again', [...ready, requested(), started(), ownerLost, stopped({kind: 'refused', reason: 'fence'})], [stop]],
	['a stop of an orphan run that the worker refuses is sent again', [reported, polled({running: [run()]}), stopped({kind: 'refused', reason: 'unwell'})], [stop]],
	['a run whose stop was refused is not taken for one that never ran', [...ready, requested(), started(unknown), polled(), stopped({kind: 'refused', reason: 'unwell'}), polled()], []],
	['a stopped run holds its capacity until its end is listed', [...ready, requested({resources: cpuOnly(7)}), started(), cancel, stopped(), requested({task: 'u', ref: 2})], [refuse('room', 2)]],
	['a stopped run that had begun is lost', [...ready, requested(), started(), cancel, stopped(), polled({ended: [end({ending: 'stopped'})]})], [ended('lost', 0)]],
	['the runs of an entry that is lost are stopped', [...ready, requested(), started(), ownerLost], [stop]],
	[
		'a start that the worker refuses as old is retried with a higher run number',
		[...ready, requested(), started({kind: 'refused', reason: 'old'})],
		[{kind: 'start', run: run(3), request: request()}],
	],
	['a refusal by the worker is passed to the owner', [...ready, requested(), started({kind: 'refused', reason: 'late'})], [refuse('late')]],
	['an orphan run is stopped', [reported, polled({running: [run()]})], [stop]],
	['nothing starts while there are orphan runs', [reported, polled({running: [run()]}), requested({task: 'u'})], [refuse('unsettled')]],
	[
		'a later run of a task that ran has a higher number',
		[reported, polled({running: [run(5)]}), polled({ended: [end({number: 5})]}), requested()],
		[{kind: 'start', run: run(6), request: request()}],
	],
	['runs are lost when their worker restarts', [...ready, requested(), started(), restarted], [crashed('report'), ended('lost', 0)]],
	['runs are lost when a poll shows a later start of the worker', [...ready, requested(), started(), polled({born: 2})], [crashed('born'), ended('lost', 0)]],
	['runs are lost when another incarnation answers the poll', [...ready, requested(), started(), otherLife], [crashed('reply'), ended('lost', 0)]],
	['all runs are lost when all leases have expired', [...ready, requested(), started(), leasesExpired], [ended('lost', 0)]],
	[
		'all runs are lost when all leases have expired at a worker that refuses polls',
		[...ready, requested(), started(), {
			kind: 'polled', result: {kind: 'refused', reason: 'unwell'}, sentAt: 0, clock: 1200,
		}],
		[ended('lost', 0)],
	],
	['nothing starts at a worker after three polls that it refused', [...ready, refusedAsUnwell, refusedAsUnwell, refusedAsUnwell, requested()], [refuse('absent')]],
	['nothing starts at a worker after three unanswered polls', [...ready, unansweredPoll, unansweredPoll, unansweredPoll, requested()], [refuse('absent')]],
	['free capacity is offered to the owner that requested it', [...ready, want('e2')], [offer('e2')]],
	['capacity in use is not offered', [...ready, requested({resources: cpuOnly(7)}), want('e2')], []],
	['capacity is offered once it is free', [...ready, requested({resources: cpuOnly(7)}), want('e2'), started(), polled({ended: [end()]})], [ended('done', 0), offer('e2')]],
	[
		'capacity is offered first to the owner with the earliest due time',
		[...ready, requested({resources: cpuOnly(7)}), want('e2', 6, 9), want('e3', 6, 5), polled({ended: [end()]})],
		[ended('done', 0), offer('e3')],
	],
	['a capacity request gets one offer', [...ready, want('e2'), polled()], []],
	['offered capacity is unavailable to other owners', [...ready, want('e2', 7), requested()], [refuse('room')]],
	['offered capacity is available to its owner', [...ready, want('e1', 7), requested({resources: cpuOnly(7)})], [{kind: 'start', run: run(), request: request({resources: cpuOnly(7)})}]],
	['a lost entry gets no offer', [...ready, requested({resources: cpuOnly(7)}), want('e2'), {kind: 'ownerLost', owner: 'e2'}, polled({ended: [end()]})], [ended('done', 0)]],
	['capacity reserved for a lost entry is released', [...ready, want('e2', 7), {kind: 'ownerLost', owner: 'e2'}, requested()], [{kind: 'start', run: run(), request: request()}]],
	['no capacity of a draining worker is offered', [...ready, {kind: 'reported', worker: worker({draining: true})}, want('e2')], []],
	['a start whose connection was refused was not carried out, and is no lost run', [...ready, requested(), started(refusedConnection)], [refuse('absent')]],
	['a stopped start whose connection was refused was not carried out', [...ready, requested(), cancel, started(refusedConnection)], [refuse('absent')]],
	['nothing more starts at a worker that refused the connection of a start', [...ready, requested(), started(refusedConnection), requested({ref: 2})], [refuse('absent', 2)]],
	['a run that the worker lists is not told as not run', [...ready, requested(), polled({running: [run()]}), started(refusedConnection)], []],
	['nothing starts at a worker that refused the connection of one poll', [...ready, refusedPoll, requested()], [refuse('absent')]],
	['a lost poll after a refused connection does not open the worker', [...ready, refusedPoll, unansweredPoll, requested()], [refuse('absent')]],
	['tasks start at a worker that answers after a refused connection', [...ready, refusedPoll, polled(), requested()], [{kind: 'start', run: run(), request: request()}]],
	['a newer incarnation after a refused connection is polled for orphan runs first', [...ready, refusedPoll, restarted, requested()], [refuse('unsettled')]],
	[
		'tasks start at a newer incarnation after unanswered polls',
		[...ready, requested(), started(), refusedPoll, unansweredPoll, unansweredPoll, restarted, polled({born: 2}), requested()],
		[{kind: 'start', run: run(2), request: request()}],
	],
	['tasks start at a worker that answers again', [...ready, unansweredPoll, unansweredPoll, unansweredPoll, polled(), requested()], [{kind: 'start', run: run(), request: request()}]],
] as Array<[string, Event[], Array<Record<string, unknown>>]>) {
	test(`guard: ${title}`, t => {
		t.deepEqual(lastActions(events), last);
	});
}

const draining: Event = {kind: 'reported', worker: worker({draining: true})};
/** A newer incarnation of the worker's name reports. */
const rebornReport: Event = {kind: 'reported', worker: worker({born: 2})};
/** The worker reports another capacity. */
const resized = (cpu: number): Event => ({kind: 'reported', worker: worker({capacity: {...cpuOnly(cpu), memoryMb: 100}})});
const startOf = (fields: Partial<RunRequest> = {}): Record<string, unknown> => ({kind: 'start', run: {...run(), task: fields.task ?? 't'}, request: request(fields)});
const second = {task: 'u', ref: 2};

for (const [title, events, last] of [
	['a task over a capacity that shrank is refused', [...ready, resized(3), requested()], [refuse('room')]],
	['nothing starts while what runs is over a capacity that shrank', [...ready, requested({resources: cpuOnly(7)}), resized(6), requested({...second, resources: cpuOnly(0)})], [refuse('room', 2)]],
	['what is being stopped holds capacity that shrank', [...ready, requested({resources: cpuOnly(7)}), started(), cancel, stopped(), resized(8), requested(second)], [refuse('room', 2)]],
	['an offer made before a capacity shrank lets no start over it', [...ready, want('e1', 7), resized(6), requested({resources: cpuOnly(7)})], [refuse('room')]],
	['no more is offered than a capacity that shrank', [...ready, requested({resources: cpuOnly(4)}), started(), want('e2', 7), resized(10), resized(8), polled({running: [run()]})], []],
	['tasks start on a capacity that grew', [...ready, resized(3), resized(12), requested({resources: cpuOnly(12)})], [startOf({resources: cpuOnly(12)})]],
	['a capacity that grew is offered', [...ready, requested({resources: cpuOnly(7)}), want('e2'), resized(11)], [offer('e2')]],
	['a newer incarnation that a poll shows gets nothing before its report, as its capacity is not known', [...ready, polled({born: 2}), polled({born: 2}), requested()], [refuse('absent')]],
	['a late report of the incarnation before does not tell its capacity', [...ready, polled({born: 2}), resized(20), polled({born: 2}), requested()], [refuse('absent')]],
	['a drain ends with its incarnation where a poll shows the next', [...ready, draining, polled({born: 2}), rebornReport, polled({born: 2}), requested()], [startOf()]],
	['that an incarnation left does not close the next of its name', [...ready, {kind: 'left', incarnation: 'w1'}, polled({born: 2}), rebornReport, polled({born: 2}), requested()], [startOf()]],
	['its report opens it', [...ready, polled({born: 2}), rebornReport, polled({born: 2}), requested()], [startOf()]],
] as Array<[string, Event[], Array<Record<string, unknown>>]>) {
	// Guards against a start that brings a worker over the capacity that it has now.
	test(`guard: ${title}`, t => {
		t.deepEqual(lastActions(events), last);
	});
}

for (const [title, events, expected] of [
	['names a run that a refused connection shows to be gone, once', [...ready, requested(), started(), refusedPoll, restarted, polled({born: 2})], [crashed('connection')]],
	['names the routes that entries said', [...ready, requested({route: 'r'}), started(), refusedPoll], [crashed('connection', [['t', 'r']])]],
	['names a start whose answer is open or was lost', [...ready, requested(), requested({task: 'u', ref: 2}), started(unknown), refusedPoll], [crashed('connection', [['t', ''], ['u', '']])]],
	['names a run that is being stopped, of a lost entry too', [...ready, requested(), started(), ownerLost, refusedPoll], [crashed('connection')]],
	['names runs of an earlier sidecar', [reported, polled({running: [run()]}), refusedPoll], [crashed('connection')]],
	['names no start that was refused, or whose connection was', [...ready, requested(), started(refusedConnection), restarted], [crashed('report', [])]],
	['names no run that had ended', [...ready, requested(), started(), polled({ended: [end()]}), otherLife], [crashed('reply', [])]],
	[
		'is told once of each incarnation',
		[...ready, requested(), started(), otherLife, restarted, polled({born: 2}), requested(), started(done, 2), polled({born: 3})],
		[crashed('reply'), crashed('born', [['t', '']], 'w2/2')],
	],
	['is told of an incarnation with the name of the one before', [...ready, polled({born: 2}), {kind: 'reported', worker: worker({born: 3})}], [crashed('born', []), crashed('report', [], 'w1/2')]],
	['is not what ends runs when leases run out in silence', [...ready, requested(), started(), unansweredPoll, leasesExpired], []],
	['is not a worker that does not listen yet', [reported, refusedPoll, polled()], []],
	['is not the end of a worker that has left', [...ready, requested(), started(), {kind: 'left', incarnation: 'w1'}, refusedPoll, restarted], []],
	['is not the end of a draining worker', [...ready, requested(), started(), draining, refusedPoll, restarted], []],
	['is not a new incarnation after a drain', [...ready, requested(), started(), draining, polled({born: 2})], []],
] as Array<[string, Event[], Array<Record<string, unknown>>]>) {
	// Guards against a task that is held to blame for an end that was planned, and against a crash that is counted twice or not at all.
	test(`guard: a crash ${title}`, t => {
		const actions = play(events).flat();
		t.deepEqual(actions.filter(({kind}) => kind === 'crashed') as Array<Record<string, unknown>>, expected);
	});
}

/** A poll that was sent before the orders of a test, and its result is known after them. */
const sentBefore = (result: PollResult): Event => ({
	kind: 'polled', result, sentAt: -1, clock: 700,
});
const rebornWorker: Event = {kind: 'reported', worker: worker({born: 2})};
/** A start without an answer, and one that is stopped. */
const lostAnswer: Event[] = [...ready, requested(), started(unknown)];
const voided: Event[] = [...lostAnswer, polled(), stopped(), polled()];

for (const [title, events, last] of [
	['is not over because a poll sent before it got no answer', [...ready, requested(), started(), sentBefore(unknown)], []],
	['is not over because a poll sent before it found nothing listening', [...ready, requested(), started(), sentBefore(refusedConnection)], []],
	['under way is judged by its own answer where nothing listens', [...ready, requested(), refusedPoll, started(refusedConnection)], [refuse('absent')]],
	['under way is judged by its own answer where another incarnation answers', [...ready, requested(), otherLife, started({kind: 'refused', reason: 'other-life'})], [refuse('other-life')]],
	['under way is judged by its own answer where another incarnation reports', [...ready, requested(), restarted, started({kind: 'refused', reason: 'other-life'})], [refuse('other-life')]],
	['that the next incarnation of its name runs goes on', [...ready, requested(), started(), rebornWorker, polled({born: 2, running: [run()]}), polled({born: 2, ended: [end()]})], [ended('done')]],
	['that the next incarnation of its name lists in the reply that shows it goes on', [...ready, requested(), started(), polled({born: 2, running: [run()]})], [crashed('born', [])]],
	['that the next incarnation of its name does not list is stopped there first', [...ready, requested(), started(), rebornWorker, polled({born: 2})], [stop]],
	[
		'that an earlier incarnation may have run is lost, not refused as never run',
		[...ready, requested(), started(unknown), rebornWorker, polled({born: 2}), stopped(), polled({born: 2})],
		[ended('lost')],
	],
	['without an answer may still be carried out after nothing listened', [...lostAnswer, refusedPoll], [crashed('connection')]],
	['without an answer may still be carried out after all leases have expired', [...lostAnswer, leasesExpired], []],
	['that was voided before a later one was answered may still be carried out', [...voided, requested({ref: 2}), started(done, 2), refusedPoll], [crashed('connection')]],
	['without an answer is over where a worker of another name reports', [...lostAnswer, refusedPoll, restarted], [ended('lost')]],
	['without an answer is stopped at the next incarnation of its name', [...lostAnswer, refusedPoll, rebornWorker, polled({born: 2})], [stop]],
	['without an answer is lost once that is shown not to run it', [...lostAnswer, refusedPoll, rebornWorker, polled({born: 2}), stopped(), polled({born: 2})], [ended('lost')]],
	['without an answer goes on where the next incarnation runs it', [...lostAnswer, refusedPoll, polled({born: 2, running: [run()]}), polled({born: 2, ended: [end()]})], [ended('done')]],
	['without an answer is stopped again where a poll shows the next incarnation of its name', [...lostAnswer, cancel, stopped(), polled({born: 2})], [crashed('born'), stop]],
	['that is being stopped is stopped again at the next incarnation of its name', [...ready, requested(), started(), cancel, stopped(), rebornWorker], [crashed('report'), stop]],
	['sent after a crash is not blamed for it', [...ready, requested(), started(), sentBefore({kind: 'refused', reason: 'other-life'})], [crashed('reply', []), ended('lost')]],
] as Array<[string, Event[], Array<Record<string, unknown>>]>) {
	// Guards against a run that goes on after its task was told as over and was started elsewhere.
	test(`guard: an order ${title}`, t => {
		t.deepEqual(lastActions(events), last);
	});
}

test('guard: what a sidecar orders when it wakes is not over because the leases before its pause have expired', t => {
	const model = ModelWorker.create({cpu: 10, memoryMb: 100, accelerators: 0}, 1000);
	const plan: RunPlan = {resources: cpuOnly(4), durationMs: 500, ending: 'done'};
	const guard = Guard.create();
	for (const event of ready) {
		guard.step(event, 0);
	}

	guard.grantLease(model.clock);
	model.advance(1500);
	const [start] = guard.step(requested({sentAt: 1480}, model.clock), 1500);
	t.is(start?.kind, 'start');
	const leaseUntil = guard.grantLease(model.clock);
	guard.step(started(model.start({
		...run(), spec: '', fence: 1, leaseUntil,
	}, plan)), 1500);
	t.deepEqual(guard.step({
		kind: 'polled', result: unknown, sentAt: 10, clock: model.clock,
	}, 1500), []);
	t.deepEqual([guard.runCount, model.tasks], [1, ['t']]);
});

/** Returns the events of a run that begins and ends as given. */
const runThatEnds = (number: number, ending: EndedRun['ending']): Event[] => [
	requested({owner: `e${number}`, ref: number}), started(done, number), polled({ended: [end({sequence: number, number, ending})]}),
];

for (const [title, events, isFailing] of [
	['two failures', [...runThatEnds(1, 'failed'), ...runThatEnds(2, 'failed')], false],
	['three failures of three entries', [...runThatEnds(1, 'failed'), ...runThatEnds(2, 'failed'), ...runThatEnds(3, 'failed')], true],
	['a success after them', [...runThatEnds(1, 'failed'), ...runThatEnds(2, 'failed'), ...runThatEnds(3, 'failed'), ...runThatEnds(4, 'done')], false],
	['a success between them', [...runThatEnds(1, 'failed'), ...runThatEnds(2, 'failed'), ...runThatEnds(3, 'done'), ...runThatEnds(4, 'failed')], false],
	['stopped runs', [...runThatEnds(1, 'stopped'), ...runThatEnds(2, 'stopped'), ...runThatEnds(3, 'stopped')], false],
	['two failures and a run that hangs', [...runThatEnds(1, 'failed'), ...runThatEnds(2, 'failed'), requested(), cancelled(true)], true],
	['two failures and a run that is cancelled', [...runThatEnds(1, 'failed'), ...runThatEnds(2, 'failed'), requested(), cancel], false],
	[
		'a restart after three failures',
		[...runThatEnds(1, 'failed'), ...runThatEnds(2, 'failed'), ...runThatEnds(3, 'failed'), {kind: 'reported', worker: worker({incarnation: 'w2', born: 2})}],
		false,
	],
] as Array<[string, Event[], boolean]>) {
	test(`guard: a worker counts as ${isFailing ? '' : 'not '}failing after ${title}`, t => {
		const guard = Guard.create();
		for (const event of [...ready, ...events]) {
			guard.step(event, 0);
		}

		t.is(guard.isFailing, isFailing);
	});
}

test('guard: a capacity offer expires', t => {
	const guard = Guard.create();
	for (const event of [...ready, want('e2', 7)]) {
		guard.step(event, 0);
	}

	t.is(guard.capacityHeldByOthers('e1', offerHoldMs - 1).cpu, 7);
	t.is(guard.capacityHeldByOthers('e1', offerHoldMs).cpu, 0);
	t.is(guard.step(requested(), offerHoldMs)[0]?.kind, 'start');
});

test('guard: a lost entry has abandoned runs until their ends are listed', t => {
	const guard = Guard.create();
	const hasNoAbandonedRuns = [...ready, requested(), started(), ownerLost, stopped(), polled({ended: [end({ending: 'stopped'})]})].map(event => {
		guard.step(event, 0);
		return guard.hasNoAbandonedRuns('e1');
	});
	t.deepEqual(hasNoAbandonedRuns, [false, true, true, true, false, false, true]);
});

for (const [title, fence, clock, refusals, least] of [
	['exceeds the fence that an earlier incarnation took from the clock', 0, 5000.7, 0, 5001],
	['exceeds the previous fence of this incarnation', 9000, 5000, 0, 9001],
	['exceeds a higher fence in growing steps', 9000, 5000, 3, 17_000],
] as const) {
	test(`fence: ${title}`, t => {
		t.true(nextFence(fence, clock, refusals) >= least);
		t.true(Number.isInteger(nextFence(fence, clock, refusals)));
	});
}

/** One step of a random history of one worker. */
type Step
	= | {kind: 'request'; owner: number; task: number; cpu: number; tookMs: number; fails: boolean; fate: Fate}
		| {kind: 'want'; owner: number; cpu: number}
		| {kind: 'cancel'; back: number}
		| {kind: 'ownerLost'; owner: number}
		| {kind: 'poll'; lost: boolean}
		| {kind: 'wait'; ms: number}
		| {kind: 'resize'; cpu: number}
		| {kind: 'workerRestart' | 'sidecarRestart' | 'drain' | 'zoneOut' | 'zoneIn'};
/** What happens to a start order and its answer. */
type Fate = 'answered' | 'answer lost' | 'late' | 'dropped' | 'connection refused';

const fate = fc.oneof({arbitrary: fc.constant<Fate>('answered'), weight: 6}, {arbitrary: fc.constantFrom<Fate>('answer lost', 'late', 'dropped', 'connection refused'), weight: 2});
const step: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 8,
		arbitrary: fc.record({
			kind: fc.constant('request' as const), owner: fc.nat(1), task: fc.nat(7), cpu: fc.integer({min: 1, max: 6}), tookMs: fc.integer({min: 5, max: 1500}), fails: fc.boolean(), fate,
		}),
	},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('poll' as const), lost: fc.boolean()})},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('wait' as const), ms: fc.integer({min: 1, max: 400})})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('want' as const), owner: fc.nat(1), cpu: fc.integer({min: 1, max: 6})})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('cancel' as const), back: fc.nat(5)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('resize' as const), cpu: fc.integer({min: 1, max: 12})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('ownerLost' as const), owner: fc.nat(1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('workerRestart', 'sidecarRestart', 'drain', 'zoneOut', 'zoneIn')})},
);

const leaseMs = 1000;

// Guards against a task that waits for ever for a worker that doesn't come back.
test('guard: an order without an answer is lost once its time to be carried out is over', t => {
	const guard = Guard.create();
	for (const event of [...ready, requested(), started(unknown)]) {
		guard.step(event, 0);
	}

	const at = (now: number) => guard.step({kind: 'polled', result: refusedConnection, sentAt: now}, now).filter(({kind}) => kind === 'end');
	t.deepEqual([at(1), at(lateStartMs - 1)], [[], []]);
	t.deepEqual(at(lateStartMs) as unknown[], [ended('lost', lateStartMs)]);
});

/** Runs a history of steps against the model worker, with a guard that is replaced when its sidecar restarts. */
class Simulation {
	static create(): Simulation {
		return new Simulation();
	}

	readonly worker = ModelWorker.create({cpu: 10, memoryMb: 100, accelerators: 0}, leaseMs);
	readonly violations: string[] = [];

	private guard = Guard.create();
	private now = 0;
	private fence = 0;
	private refs = 0;
	private draining = false;
	private out = false;
	private readonly delayedOrders: Array<{at: number; born: number; go(): void}> = [];
	private readonly plans = new Map<number, RunPlan & {fate: Fate}>();
	private readonly runs = new Map<number, string[]>();
	private readonly refused = new Set<number>();
	private readonly answered = new Set<number>();

	private constructor() {
		this.report();
	}

	play(one: Step): void {
		switch (one.kind) {
			case 'request': {
				const ref = ++this.refs;
				this.plans.set(ref, {
					resources: cpuOnly(one.cpu), durationMs: one.tookMs, ending: one.fails ? 'failed' : 'done', fate: one.fate,
				});
				this.step({
					kind: 'request', clock: this.worker.clock, request: request({
						owner: `e${one.owner}`, ref, task: `t${one.task}`, resources: cpuOnly(one.cpu), sentAt: this.worker.clock,
					}),
				});
				break;
			}

			case 'want': {
				this.step(want(`e${one.owner}`, one.cpu));
				break;
			}

			case 'cancel': {
				const ref = this.refs - one.back;
				for (const owner of ['e0', 'e1']) {
					this.step({
						kind: 'cancel', hung: false, owner, ref,
					});
				}

				break;
			}

			case 'ownerLost': {
				this.step({kind: 'ownerLost', owner: `e${one.owner}`});
				break;
			}

			case 'poll': {
				this.poll(one.lost);
				break;
			}

			case 'wait': {
				this.wait(one.ms);
				break;
			}

			case 'resize': {
				// An order on its way was weighed against the capacity that the worker had.
				if (this.delayedOrders.length === 0) {
					this.worker.capacity = {...this.worker.capacity, cpu: one.cpu};
					this.report();
				}

				break;
			}

			case 'workerRestart': {
				this.worker.restart();
				this.draining = false;
				this.fence = nextFence(this.fence, this.worker.clock, 0);
				this.report();
				break;
			}

			case 'sidecarRestart': {
				this.guard = Guard.create();
				this.fence = nextFence(0, this.worker.clock, 0);
				this.refused.clear();
				this.report();
				this.step({kind: 'zone', out: this.out});
				break;
			}

			case 'drain': {
				this.draining = true;
				this.report();
				break;
			}

			case 'zoneOut':
			case 'zoneIn': {
				this.out = one.kind === 'zoneOut';
				this.step({kind: 'zone', out: this.out});
				break;
			}
		}
	}

	/** Delivers all delayed orders and polls until no run should be left. */
	finish(): void {
		for (let round = 0; round < 60; round++) {
			this.wait(200);
			this.poll(false);
		}

		if (this.guard.runCount > 0) {
			this.violations.push(`${this.guard.runCount} runs hold capacity at the end`);
		}

		if (this.worker.tasks.length > 0) {
			this.violations.push(`${this.worker.tasks.join(',')} still run at the end`);
		}

		for (const ref of this.refused) {
			for (const name of this.runs.get(ref) ?? []) {
				if (this.worker.startedRuns.has(name)) {
					this.violations.push(`${name} was reported as never run, but ran`);
				}
			}
		}
	}

	private report(): void {
		this.step({
			kind: 'reported', worker: worker({
				incarnation: `w${this.worker.born}`, born: this.worker.born, draining: this.draining, capacity: this.worker.capacity,
			}),
		});
	}

	private wait(ms: number): void {
		for (let passed = 0; passed < ms; passed += 10) {
			this.now += 10;
			this.worker.advance(10);
			for (const {go, born} of this.delayedOrders.filter(({at}) => at <= this.now)) {
				if (born === this.worker.born) {
					go();
				}
			}

			this.delayedOrders.splice(0, this.delayedOrders.length, ...this.delayedOrders.filter(({at}) => at > this.now));
		}
	}

	private poll(lost: boolean): void {
		if (!this.guard.worker) {
			return;
		}

		const sentAt = this.now;
		const result = this.worker.renew({fence: this.fence, leaseUntil: this.guard.grantLease(this.worker.clock), seen: this.guard.lastEndSequence});
		this.raiseFenceIfRefused(result);
		this.step({kind: 'polled', result: lost ? {kind: 'unknown', cause: 'lost', absent: false} : result, sentAt});
	}

	private step(event: Event): void {
		for (const action of this.guard.step(event, this.now)) {
			this.perform(action);
		}
	}

	private perform(action: Action): void {
		switch (action.kind) {
			case 'start': {
				this.start(action);
				break;
			}

			case 'stop': {
				const reply = this.worker.stop(action.run, this.fence);
				this.raiseFenceIfRefused(reply);
				this.step({kind: 'stopped', run: action.run, reply});
				break;
			}

			case 'offer': {
				if (this.draining || this.out) {
					this.violations.push(`capacity offered while ${this.draining ? 'draining' : 'the zone is out'}`);
				}

				break;
			}

			case 'crashed': {
				break;
			}

			case 'refuse':
			case 'end': {
				if (this.answered.has(action.ref)) {
					this.violations.push(`two answers to request ${action.ref}`);
				}

				this.answered.add(action.ref);
				if (action.kind === 'refuse') {
					this.refused.add(action.ref);
				}

				break;
			}
		}
	}

	private start({run: {task, number}, request: {ref, spec}}: Action & {kind: 'start'}): void {
		if (this.draining || this.out) {
			this.violations.push(`start of ${task} while ${this.draining ? 'draining' : 'the zone is out'}`);
		}

		const plan = this.plans.get(ref)!;
		this.runs.set(ref, [...this.runs.get(ref) ?? [], `${task}#${number}`]);
		const order = {
			task, number, spec, leaseUntil: this.guard.grantLease(this.worker.clock), fence: this.fence,
		};
		switch (plan.fate) {
			case 'answered': {
				const reply = this.worker.start(order, plan);
				this.raiseFenceIfRefused(reply);
				this.step({kind: 'started', run: {task, number}, reply});
				break;
			}

			case 'answer lost': {
				this.worker.start(order, plan);
				this.step({kind: 'started', run: {task, number}, reply: unknown});
				break;
			}

			case 'late': {
				// Delayed, but within its lease: the hardest case for the guard.
				this.delayedOrders.push({
					at: this.now + (plan.durationMs % 900),
					born: this.worker.born,
					go: () => {
						this.worker.start(order, plan);
					},
				});
				this.step({kind: 'started', run: {task, number}, reply: unknown});
				break;
			}

			case 'dropped': {
				this.step({kind: 'started', run: {task, number}, reply: unknown});
				break;
			}

			case 'connection refused': {
				this.step({kind: 'started', run: {task, number}, reply: refusedConnection});
				break;
			}
		}
	}

	private raiseFenceIfRefused(reply: Reply | PollResult): void {
		if (reply.kind === 'refused' && reply.reason === 'fence') {
			this.fence = nextFence(this.fence, reply.clock ?? 0, 4);
		}
	}
}

test('guard: no invariant breaks in random histories of starts, losses, delayed orders and restarts', t => {
	const details = fc.check(fc.property(fc.array(step, {minLength: 5, maxLength: 60}), steps => {
		const simulation = Simulation.create();
		for (const one of steps) {
			simulation.play(one);
		}

		simulation.finish();
		const violations = [...simulation.violations, ...simulation.worker.violations];
		if (violations.length > 0) {
			throw new Error(violations.join('; '));
		}
	}), {numRuns: 1000, includeErrorInReport: true});
	t.log(`seed ${details.seed}, ${details.numRuns} histories`);
	t.log(fc.defaultReportMessage(details) ?? 'no history failed');
	t.false(details.failed);
});
