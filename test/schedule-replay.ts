import {createHash} from 'node:crypto';
import {seededRandom} from '../src/adapters/random.js';
import type {Outcome, StartRefusal} from '../src/decide/guard.js';
import {
	Schedule, type Action, type Event, type Job, type PlaceReport, type Policy,
} from '../src/decide/schedule/schedule.js';

/** The policy of production and one that differs from it in each choice, so that both branches of each are replayed. */
export const replayPolicies: Readonly<Record<'usual' | 'opposite', Partial<Policy>>> = {
	usual: {},
	opposite: {
		urgentFirst: true, lateLast: false, begunFirst: false, spread: false, patienceShare: 0.6, margin: 1,
	},
};

const steps = 400;
const pools = ['p', 'p', 'p', 'q'];
const routes = ['r0', 'r1', 'r2'];
const zones = ['z0', 'z1', 'z2'];
const outcomes: readonly Outcome[] = ['done', 'done', 'done', 'done', 'done', 'done', 'failed', 'failed', 'lost'];
const refusals: readonly StartRefusal[] = ['room', 'room', 'stale', 'draining', 'duplicate', 'withdrawn'];
/** Longer than a lost run lasts, than a started job is remembered, and than the record of a place without a link is kept. */
const longPausesMs = [500, 3000, 3000, 3000, 40_000, 700_000];
const pausesMs = [0, 0, 0, 1, 1, 3, 7, 20, 20, 40, 150];

type Order = {ref: number; place: string};

/** Replay drives a schedule with a random sequence of events of all kinds and digests what it does. Orders are answered by chance, late, twice or never. */
export class Replay {
	static create(seed: number, policy: Partial<Policy>): Replay {
		return new Replay(seed, policy);
	}

	private readonly schedule: Schedule;
	private readonly hash = createHash('sha256');
	private readonly random: () => number;
	private now = 0;
	private readonly places: readonly string[];
	private readonly orders: Order[] = [];
	private readonly submitted: Job[] = [];
	private readonly capacities: ReadonlyMap<string, number>;

	private constructor(seed: number, policy: Partial<Policy>) {
		const random = seededRandom(seed);
		this.random = () => random.next();
		this.schedule = Schedule.create(policy);
		// In some sequences there are more places than may hold a capacity request at a time.
		this.places = Array.from({length: this.below(8) === 0 ? 24 : 7}, (_, index) => `s${index}`);
		this.capacities = new Map(this.places.map(place => [place, 4000 + (2000 * this.below(8))]));
		if (this.below(4) > 0) {
			// The first place reported long ago, so that the warm-up is over.
			this.now = -60_000;
			this.step(this.told(this.places[0]!));
			this.now = 0;
		}

		for (const place of this.places) {
			this.step(this.told(place));
		}
	}

	/** Returns the digest of the actions of the whole sequence. */
	digest(): string {
		for (let step = 0; step < steps; step++) {
			this.now += this.below(100) === 0 ? this.pick(longPausesMs) : this.pick(pausesMs) + (this.below(4) / 4);
			for (const event of this.draw(step)) {
				this.step(event);
			}
		}

		return this.hash.digest('hex').slice(0, 16);
	}

	private step(event: Event): void {
		const actions = this.schedule.step(event, this.now);
		for (const action of actions) {
			this.hash.update(describe(action));
			if (action.kind === 'start') {
				this.orders.push({ref: action.ref, place: action.place});
			}
		}

		const {schedule} = this;
		this.hash.update(JSON.stringify([
			schedule.nextRefusalAt,
			schedule.pendingJobs(),
			schedule.pendingJobs('r1'),
			schedule.placeCounts,
			schedule.jobCount,
			schedule.outstandingAt('s1'),
			schedule.outstandingTasks('s2'),
			schedule.jobState(this.submitted.at(-1)?.id ?? ''),
		]));
	}

	private draw(step: number): Event[] {
		const place = this.pick(this.places);
		const chance = this.below(1000);
		if (chance < 300) {
			return [this.submit()];
		}

		if (chance < 600) {
			return [this.ended(), this.room(place)];
		}

		if (chance < 660) {
			return [this.refused()];
		}

		if (chance < 760) {
			return [this.room(place)];
		}

		if (chance < 800) {
			return [{kind: 'offered', place}, this.room(place)];
		}

		if (chance < 850) {
			return [this.told(place)];
		}

		if (chance < 870) {
			return [{kind: 'down', place}];
		}

		if (chance < 900) {
			return [this.told(place), {kind: 'clear', place}];
		}

		if (chance < 930) {
			const job = this.submitted.at(-1 - this.below(6))?.id ?? 'none';
			return [{kind: this.below(2) === 0 ? 'left' : 'cancel', job}];
		}

		if (chance < 935) {
			return [{kind: 'zones', out: new Set(this.pick([[], [], zones, [this.pick(zones)]]))}];
		}

		return chance === 999 && step > steps / 2 ? [{kind: 'stopping', until: this.now + 500}] : [{kind: 'tick'}];
	}

	/** A new job, or one again that has ended. */
	private submit(): Event {
		const earlier = this.below(8) === 0 ? this.submitted.at(-1 - this.below(10)) : undefined;
		if (earlier && this.schedule.jobState(earlier.id) === undefined) {
			return {kind: 'submit', job: earlier};
		}

		const id = `j${this.submitted.length}`;
		const wide = this.below(10) === 0 ? 32 : 4;
		const cpu = 200 + this.below(2500);
		const estimateMs = 40 + this.below(400);
		const job: Job = {
			id,
			route: this.pick(routes),
			pool: this.pick(pools),
			spec: '',
			tasks: Array.from({length: this.below(100) === 0 ? 0 : 1 + this.below(wide)}, (_, index) => ({
				name: `${id}.${index}`,
				resources: {cpu: this.below(3) === 0 ? cpu : Math.round(cpu * (0.5 + this.random())), memoryMb: 1 + this.below(30), accelerators: this.below(20) === 0 ? 1 : 0},
				estimateMs: this.below(2) === 0 ? estimateMs : estimateMs + this.below(50),
			})),
			aimMs: this.below(5) === 0 ? 2000 : 60,
			stretch: 1.6,
			attempts: 2 + this.below(2),
			priority: this.below(3),
			leftMs: this.below(10) === 0 ? 50 : 300 + this.below(this.below(4) === 0 ? 9000 : 2000),
		};
		this.submitted.push(job);
		return {kind: 'submit', job};
	}

	private told(place: string): Event {
		const index = this.places.indexOf(place);
		const report: PlaceReport = {
			zone: zones[index % zones.length]!,
			pool: index === 5 ? 'q' : 'p',
			room: {cpu: this.capacities.get(place)!, memoryMb: 100, accelerators: index % 2},
			others: this.others(),
			isFailing: this.below(20) === 0,
			hindrance: this.below(8) === 0 ? this.pick(['draining', 'absent', 'unsettled']) : undefined,
		};
		return {kind: 'told', place, report};
	}

	private room(place: string): Event {
		return {kind: 'room', place, others: this.others()};
	}

	private others(): {cpu: number; memoryMb: number; accelerators: number} {
		return {cpu: this.below(2) === 0 ? 0 : 1000 * this.below(6), memoryMb: this.below(30), accelerators: 0};
	}

	private ended(): Event {
		const {ref, place} = this.takeOrder();
		return {
			kind: 'ended', place, ref, outcome: this.pick(outcomes), ranMs: 5 + this.below(800),
		};
	}

	private refused(): Event {
		const {ref, place} = this.takeOrder();
		return {
			kind: 'refused', place, ref, why: this.pick(refusals),
		};
	}

	/** Takes a random order, or now and then keeps it, so that it is answered again, or names another place for it. */
	private takeOrder(): Order {
		const index = this.below(Math.max(1, this.orders.length));
		const order = this.orders[index] ?? {ref: 0, place: this.places[0]!};
		if (this.below(40) > 0) {
			this.orders.splice(index, 1);
		}

		return this.below(60) === 0 ? {...order, place: this.pick(this.places)} : order;
	}

	private below(limit: number): number {
		return Math.floor(this.random() * limit);
	}

	private pick<Value>(values: readonly Value[]): Value {
		return values[this.below(values.length)]!;
	}
}

function describe(action: Action): string {
	return JSON.stringify(action.kind === 'start' ? {...action, job: action.job.id, task: action.task.name} : action);
}
