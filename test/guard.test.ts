import test from 'ava';
import fc from 'fast-check';
import {
	requestMaxAgeMs, Guard, offerHoldMs, type Action, type RunRequest, type Event, type Worker,
} from '../src/decide/guard.js';
import {nextFence} from '../src/decide/fence.js';
import type {EndedRun, PollResult, Reply} from '../src/ports/executor.js';
import {ModelWorker, type RunPlan} from './model-worker.js';

const room = (cpu: number) => ({cpu, memoryMb: 1, accelerators: 0});
const worker = (fields: Partial<Worker> = {}): Worker => ({
	incarnation: 'w1', born: 1, pool: 'p', capacity: {cpu: 10, memoryMb: 100, accelerators: 0}, labels: [], draining: false, ...fields,
});
const ask = (fields: Partial<RunRequest> = {}): RunRequest => ({
	owner: 'e1', ref: 1, task: 't', resources: room(4), spec: '', sentAt: 0, ...fields,
});
const asked = (fields: Partial<RunRequest> = {}, clock = 0): Event => ({kind: 'request', request: ask(fields), clock});
const seen = (fields: Partial<PollResult & {kind: 'seen'}> = {}): PollResult => ({
	kind: 'seen', clock: 0, born: 1, running: [], ended: [], ...fields,
});
const looked = (fields: Partial<PollResult & {kind: 'seen'}> = {}, askedAt = 1000): Event => ({kind: 'polled', result: seen(fields), sentAt: askedAt});
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
	kind: 'want', owner, resources: room(cpu), dueMs,
});
const offer = (owner: string): Record<string, unknown> => ({kind: 'offer', owner});
const lostLook: Event = {kind: 'polled', result: unknown, sentAt: 0};
const refuse = (why: string, ref = 1): Record<string, unknown> => ({
	kind: 'refuse', owner: 'e1', ref, why,
});
const ended = (outcome: string, ranMs = 0): Record<string, unknown> => ({
	kind: 'end', owner: 'e1', ref: 1, outcome, ranMs,
});
const stop = {kind: 'stop', run: run()};
const reported: Event = {kind: 'reported', worker: worker()};
const ready: Event[] = [reported, looked({}, 0)];

for (const [title, events, last] of [
	['nothing starts before the worker is known', [asked()], [refuse('absent')]],
	['nothing starts before what earlier lives left is known', [reported, asked()], [refuse('unsettled')]],
	['a task that fits starts', [...ready, asked()], [{kind: 'start', run: run(), request: ask()}]],
	['a task that does not fit is refused', [...ready, asked({resources: room(7), task: 'u', ref: 2}), asked()], [refuse('room')]],
	['room of an order that got no answer stays taken', [...ready, asked({resources: room(7)}), started(unknown), asked({task: 'u', ref: 2})], [refuse('room', 2)]],
	['a task whose name still runs is refused', [...ready, asked(), asked({ref: 2, owner: 'e1'})], [refuse('duplicate', 2)]],
	['an ask that waited too long is refused', [...ready, asked({}, requestMaxAgeMs + 1)], [refuse('stale')]],
	['a draining worker gets nothing', [...ready, {kind: 'reported', worker: worker({draining: true})}, asked()], [refuse('draining')]],
	['a late report does not end a drain', [...ready, {kind: 'reported', worker: worker({draining: true})}, reported, asked()], [refuse('draining')]],
	['a worker that left gets nothing', [...ready, {kind: 'left', incarnation: 'w1'}, asked()], [refuse('absent')]],
	['the end of an earlier life changes nothing', [...ready, {kind: 'left', incarnation: 'w0'}, asked()], [{kind: 'start', run: run(), request: ask()}]],
	['a report of an earlier life changes nothing', [...ready, {kind: 'reported', worker: worker({incarnation: 'w0', born: 0, draining: true})}, asked()], [{kind: 'start', run: run(), request: ask()}]],
	['a zone that is out gets nothing', [...ready, {kind: 'zone', out: true}, asked()], [refuse('zone-out')]],
	['a zone that is back gets work', [...ready, {kind: 'zone', out: true}, {kind: 'zone', out: false}, asked()], [{kind: 'start', run: run(), request: ask()}]],
	['a stopping sidecar starts nothing', [...ready, {kind: 'stopping'}, asked()], [refuse('stopping')]],
	['an end is told', [...ready, asked(), started(), looked({ended: [end()]})], [ended('done', 0)]],
	['an end listed before the start was answered is told', [...ready, asked(), looked({ended: [end({ending: 'failed'})]})], [ended('failed', 0)]],
	['a lapsed run is lost', [...ready, asked(), started(), looked({ended: [end({ending: 'lapsed'})]})], [ended('lost', 0)]],
	['a run that is listed nowhere is lost', [...ready, asked(), started(), looked()], [ended('lost', 0)]],
	['a look asked before the start was answered says nothing of it', [...ready, asked(), started(), looked({}, -1)], []],
	['an order without an answer that is seen to run is running', [...ready, asked(), started(unknown), looked({running: [run()]}), looked({ended: [end()]})], [ended('done', 0)]],
	['an order without an answer that is not seen is stopped', [...ready, asked(), started(unknown), looked()], [stop]],
	['an order that is stopped before it was seen never ran', [...ready, asked(), started(unknown), looked(), stopped(), looked()], [refuse('withdrawn')]],
	['a stop without an answer is sent again', [...ready, asked(), started(unknown), looked(), stopped(unknown)], [stop]],
	['a stopped run holds its room until its end is listed', [...ready, asked({resources: room(7)}), started(), cancel, stopped(), asked({task: 'u', ref: 2})], [refuse('room', 2)]],
	['a run that was stopped is lost', [...ready, asked(), started(), cancel, stopped(), looked({ended: [end({ending: 'stopped'})]})], [ended('lost', 0)]],
	['the runs of an entry that is lost are stopped', [...ready, asked(), started(), ownerLost], [stop]],
	['a run that the worker calls old is asked for under a higher number', [...ready, asked(), started({kind: 'refused', reason: 'old'})], [{kind: 'start', run: run(3), request: ask()}]],
	['a refusal of the worker is told', [...ready, asked(), started({kind: 'refused', reason: 'late'})], [refuse('late')]],
	['what runs unasked is stopped', [reported, looked({running: [run()]})], [stop]],
	['nothing starts while something runs unasked', [reported, looked({running: [run()]}), asked({task: 'u'})], [refuse('unsettled')]],
	['a later run of a task that ran has a higher number', [reported, looked({running: [run(5)]}), looked({ended: [end({number: 5})]}), asked()], [{kind: 'start', run: run(6), request: ask()}]],
	['a worker that starts anew has lost its runs', [...ready, asked(), started(), {kind: 'reported', worker: worker({incarnation: 'w2', born: 2})}], [ended('lost', 0)]],
	['a worker of the same name that starts anew has lost its runs', [...ready, asked(), started(), looked({born: 2})], [ended('lost', 0)]],
	['a worker whose life is gone has lost its runs', [...ready, asked(), started(), {kind: 'polled', result: {kind: 'refused', reason: 'other-life'}, sentAt: 0}], [ended('lost', 0)]],
	['when all leases are over, all is lost', [...ready, asked(), started(), {kind: 'lapsed'}], [ended('lost', 0)]],
	['a worker that does not answer gets nothing', [...ready, lostLook, lostLook, lostLook, asked()], [refuse('absent')]],
	['room that is free is offered to who wants some', [...ready, want('e2')], [offer('e2')]],
	['no room is offered that is not free', [...ready, asked({resources: room(7)}), want('e2')], []],
	['room is offered when it is free', [...ready, asked({resources: room(7)}), want('e2'), started(), looked({ended: [end()]})], [ended('done', 0), offer('e2')]],
	['room is offered first to whose task should begin soonest', [...ready, asked({resources: room(7)}), want('e2', 6, 9), want('e3', 6, 5), looked({ended: [end()]})], [ended('done', 0), offer('e3')]],
	['room is offered once for a want', [...ready, want('e2'), looked()], []],
	['offered room is kept from others', [...ready, want('e2', 7), asked()], [refuse('room')]],
	['offered room is there for whom it is kept', [...ready, want('e1', 7), asked({resources: room(7)})], [{kind: 'start', run: run(), request: ask({resources: room(7)})}]],
	['an entry that is lost is offered nothing', [...ready, asked({resources: room(7)}), want('e2'), {kind: 'ownerLost', owner: 'e2'}, looked({ended: [end()]})], [ended('done', 0)]],
	['room kept for an entry that is lost is given back', [...ready, want('e2', 7), {kind: 'ownerLost', owner: 'e2'}, asked()], [{kind: 'start', run: run(), request: ask()}]],
	['a worker that drains offers nothing', [...ready, {kind: 'reported', worker: worker({draining: true})}, want('e2')], []],
	['a worker that answers again gets work', [...ready, lostLook, lostLook, lostLook, looked(), asked()], [{kind: 'start', run: run(), request: ask()}]],
] as Array<[string, Event[], Array<Record<string, unknown>>]>) {
	test(`guard: ${title}`, t => {
		const guard = Guard.create();
		let actions: Action[] = [];
		for (const event of events) {
			actions = guard.step(event, 0);
		}

		t.deepEqual(actions as Array<Record<string, unknown>>, last);
	});
}

/** A run of some owner that begins and ends somehow. */
const round = (number: number, ending: EndedRun['ending']): Event[] => [
	asked({owner: `e${number}`, ref: number}), started(done, number), looked({ended: [end({sequence: number, number, ending})]}),
];

for (const [title, events, isFailing] of [
	['two failures', [...round(1, 'failed'), ...round(2, 'failed')], false],
	['three failures of three entries', [...round(1, 'failed'), ...round(2, 'failed'), ...round(3, 'failed')], true],
	['a success after them', [...round(1, 'failed'), ...round(2, 'failed'), ...round(3, 'failed'), ...round(4, 'done')], false],
	['a success between them', [...round(1, 'failed'), ...round(2, 'failed'), ...round(3, 'done'), ...round(4, 'failed')], false],
	['runs that were stopped', [...round(1, 'stopped'), ...round(2, 'stopped'), ...round(3, 'stopped')], false],
	['two failures and a run that hangs', [...round(1, 'failed'), ...round(2, 'failed'), asked(), cancelled(true)], true],
	['two failures and a run that is given up', [...round(1, 'failed'), ...round(2, 'failed'), asked(), cancel], false],
	['a new life after three failures', [...round(1, 'failed'), ...round(2, 'failed'), ...round(3, 'failed'), {kind: 'reported', worker: worker({incarnation: 'w2', born: 2})}], false],
] as Array<[string, Event[], boolean]>) {
	test(`guard: a worker counts as ${isFailing ? '' : 'not '}failing after ${title}`, t => {
		const guard = Guard.create();
		for (const event of [...ready, ...events]) {
			guard.step(event, 0);
		}

		t.is(guard.isFailing, isFailing);
	});
}

test('guard: offered room is kept for a while only', t => {
	const guard = Guard.create();
	for (const event of [...ready, want('e2', 7)]) {
		guard.step(event, 0);
	}

	t.is(guard.capacityHeldByOthers('e1', offerHoldMs - 1).cpu, 7);
	t.is(guard.capacityHeldByOthers('e1', offerHoldMs).cpu, 0);
	t.is(guard.step(asked(), offerHoldMs)[0]?.kind, 'start');
});

test('guard: an entry is clear once what it lost holds no room', t => {
	const guard = Guard.create();
	const clear = [...ready, asked(), started(), ownerLost, stopped(), looked({ended: [end({ending: 'stopped'})]})].map(event => {
		guard.step(event, 0);
		return guard.hasNoAbandonedRuns('e1');
	});
	t.deepEqual(clear, [false, true, true, true, false, false, true]);
});

for (const [title, fence, clock, refusals, least] of [
	['exceeds what an earlier life took from the clock', 0, 5000.7, 0, 5001],
	['exceeds the own earlier one', 9000, 5000, 0, 9001],
	['passes a higher one by growing steps', 9000, 5000, 3, 17_000],
] as const) {
	test(`fence: ${title}`, t => {
		t.true(nextFence(fence, clock, refusals) >= least);
		t.true(Number.isInteger(nextFence(fence, clock, refusals)));
	});
}

/** One step of a random history at one worker. */
type Step
	= | {kind: 'request'; owner: number; task: number; cpu: number; tookMs: number; fails: boolean; fate: Fate}
		| {kind: 'want'; owner: number; cpu: number}
		| {kind: 'cancel'; back: number}
		| {kind: 'ownerLost'; owner: number}
		| {kind: 'look'; lost: boolean}
		| {kind: 'wait'; ms: number}
		| {kind: 'workerRestart' | 'sidecarRestart' | 'drain' | 'zoneOut' | 'zoneIn'};
/** What becomes of an order and its answer. */
type Fate = 'answered' | 'answer lost' | 'late' | 'dropped';

const fate = fc.oneof({arbitrary: fc.constant<Fate>('answered'), weight: 6}, {arbitrary: fc.constantFrom<Fate>('answer lost', 'late', 'dropped'), weight: 2});
const step: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 8,
		arbitrary: fc.record({
			kind: fc.constant('request' as const), owner: fc.nat(1), task: fc.nat(7), cpu: fc.integer({min: 1, max: 6}), tookMs: fc.integer({min: 5, max: 1500}), fails: fc.boolean(), fate,
		}),
	},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('look' as const), lost: fc.boolean()})},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('wait' as const), ms: fc.integer({min: 1, max: 400})})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('want' as const), owner: fc.nat(1), cpu: fc.integer({min: 1, max: 6})})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('cancel' as const), back: fc.nat(5)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('ownerLost' as const), owner: fc.nat(1)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('workerRestart', 'sidecarRestart', 'drain', 'zoneOut', 'zoneIn')})},
);

const leaseMs = 1000;

/** Plays a history against the model, with a guard that is replaced when its sidecar restarts. */
class Play {
	static create(): Play {
		return new Play();
	}

	readonly worker = ModelWorker.create({cpu: 10, memoryMb: 100, accelerators: 0}, leaseMs);
	readonly faults: string[] = [];

	private guard = Guard.create();
	private now = 0;
	private fence = 0;
	private refs = 0;
	private draining = false;
	private out = false;
	private readonly late: Array<{at: number; born: number; go(): void}> = [];
	private readonly works = new Map<number, RunPlan & {fate: Fate}>();
	private readonly runs = new Map<number, string[]>();
	private readonly refused = new Set<number>();
	private readonly told = new Set<number>();

	private constructor() {
		this.report();
	}

	play(one: Step): void {
		switch (one.kind) {
			case 'request': {
				const ref = ++this.refs;
				this.works.set(ref, {
					resources: room(one.cpu), durationMs: one.tookMs, ending: one.fails ? 'failed' : 'done', fate: one.fate,
				});
				this.step({
					kind: 'request', clock: this.worker.clock, request: ask({
						owner: `e${one.owner}`, ref, task: `t${one.task}`, resources: room(one.cpu), sentAt: this.worker.clock,
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

			case 'look': {
				this.look(one.lost);
				break;
			}

			case 'wait': {
				this.wait(one.ms);
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

	/** Lets all orders that are still on their way arrive, and looks until all is settled. */
	finish(): void {
		for (let round = 0; round < 60; round++) {
			this.wait(200);
			this.look(false);
		}

		if (this.guard.runCount > 0) {
			this.faults.push(`${this.guard.runCount} runs hold room in the end`);
		}

		if (this.worker.tasks.length > 0) {
			this.faults.push(`${this.worker.tasks.join(',')} run in the end`);
		}

		for (const ref of this.refused) {
			for (const name of this.runs.get(ref) ?? []) {
				if (this.worker.startedRuns.has(name)) {
					this.faults.push(`${name} was told not to have run, and ran`);
				}
			}
		}
	}

	private report(): void {
		this.step({kind: 'reported', worker: worker({incarnation: `w${this.worker.born}`, born: this.worker.born, draining: this.draining})});
	}

	private wait(ms: number): void {
		for (let passed = 0; passed < ms; passed += 10) {
			this.now += 10;
			this.worker.advance(10);
			for (const {go, born} of this.late.filter(({at}) => at <= this.now)) {
				if (born === this.worker.born) {
					go();
				}
			}

			this.late.splice(0, this.late.length, ...this.late.filter(({at}) => at > this.now));
		}
	}

	private look(lost: boolean): void {
		if (!this.guard.worker) {
			return;
		}

		const askedAt = this.now;
		const look = this.worker.renew({fence: this.fence, leaseUntil: this.worker.clock + leaseMs, seen: this.guard.lastEndSequence});
		this.raiseAt(look);
		this.step({kind: 'polled', result: lost ? {kind: 'unknown', cause: 'lost', absent: false} : look, sentAt: askedAt});
	}

	private step(event: Event): void {
		for (const action of this.guard.step(event, this.now)) {
			this.carryOut(action);
		}
	}

	private carryOut(action: Action): void {
		switch (action.kind) {
			case 'start': {
				this.start(action);
				break;
			}

			case 'stop': {
				const reply = this.worker.stop(action.run, this.fence);
				this.raiseAt(reply);
				this.step({kind: 'stopped', run: action.run, reply});
				break;
			}

			case 'offer': {
				if (this.draining || this.out) {
					this.faults.push(`an offer while ${this.draining ? 'draining' : 'the zone is out'}`);
				}

				break;
			}

			case 'refuse':
			case 'end': {
				if (this.told.has(action.ref)) {
					this.faults.push(`two answers to ask ${action.ref}`);
				}

				this.told.add(action.ref);
				if (action.kind === 'refuse') {
					this.refused.add(action.ref);
				}

				break;
			}
		}
	}

	private start({run: {task, number}, request: {ref, spec}}: Action & {kind: 'start'}): void {
		if (this.draining || this.out) {
			this.faults.push(`a start of ${task} while ${this.draining ? 'draining' : 'the zone is out'}`);
		}

		const work = this.works.get(ref)!;
		this.runs.set(ref, [...this.runs.get(ref) ?? [], `${task}#${number}`]);
		const order = {
			task, number, spec, leaseUntil: this.worker.clock + leaseMs, fence: this.fence,
		};
		switch (work.fate) {
			case 'answered': {
				const reply = this.worker.start(order, work);
				this.raiseAt(reply);
				this.step({kind: 'started', run: {task, number}, reply});
				break;
			}

			case 'answer lost': {
				this.worker.start(order, work);
				this.step({kind: 'started', run: {task, number}, reply: unknown});
				break;
			}

			case 'late': {
				// Late, but within its lease: the hardest case for the guard.
				this.late.push({
					at: this.now + (work.durationMs % 900),
					born: this.worker.born,
					go: () => {
						this.worker.start(order, work);
					},
				});
				this.step({kind: 'started', run: {task, number}, reply: unknown});
				break;
			}

			case 'dropped': {
				this.step({kind: 'started', run: {task, number}, reply: unknown});
				break;
			}
		}
	}

	private raiseAt(reply: Reply | PollResult): void {
		if (reply.kind === 'refused' && reply.reason === 'fence') {
			this.fence = nextFence(this.fence, reply.clock ?? 0, 4);
		}
	}
}

test('guard: random histories of orders, losses, late orders and restarts keep every promise', t => {
	const details = fc.check(fc.property(fc.array(step, {minLength: 5, maxLength: 60}), steps => {
		const play = Play.create();
		for (const one of steps) {
			play.play(one);
		}

		play.finish();
		const faults = [...play.faults, ...play.worker.violations];
		if (faults.length > 0) {
			throw new Error(faults.join('; '));
		}
	}), {numRuns: 1000, includeErrorInReport: true});
	t.log(`seed ${details.seed}, ${details.numRuns} histories`);
	t.log(fc.defaultReportMessage(details) ?? 'no history failed');
	t.false(details.failed);
});
