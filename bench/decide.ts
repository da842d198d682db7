import process from 'node:process';
import {Schedule, type Event, type Job} from '../src/decide/schedule/schedule.js';

/** How often each event is timed. */
const rounds = 2000;
/** Of so many batches of them the fastest counts, since other processes share the machine. */
const batches = 20;
const cpu = 10_000;
const full = {cpu: 64_000, memoryMb: 1e9, accelerators: 0};

function jobOf(id: string): Job {
	return {
		id,
		route: 'r',
		pool: 'p',
		spec: '',
		tasks: Array.from({length: 4}, (_, index) => ({name: `${id}.${index}`, resources: {cpu, memoryMb: 1, accelerators: 0}, estimateMs: 300})),
		aimMs: 60_000,
		stretch: 1.6,
		attempts: 2,
		priority: 0,
		leftMs: 600_000,
	};
}

/** Times what a schedule takes for one event with so many places, all full, and so many jobs that wait. Prints a JSON line with microseconds an event. */
export function timeDecisions(sizes: ReadonlyArray<readonly [places: number, waiting: number]>): void {
	for (const [places, waiting] of sizes) {
		const schedule = Schedule.create();
		for (let place = 0; place < places; place++) {
			schedule.step({
				kind: 'told', place: `s${place}`, report: {
					zone: 'z', pool: 'p', room: full, others: full, isFailing: false,
				},
			}, 0);
		}

		const now = 60_000;
		for (let job = 0; job < waiting; job++) {
			schedule.step({kind: 'submit', job: jobOf(`j${job}`)}, now);
		}

		const roomless: Event = {kind: 'room', place: 's0', others: full};
		process.stdout.write(`${JSON.stringify({
			places,
			waiting: schedule.jobCount,
			roomUs: time(schedule, now, () => roomless),
			tickUs: time(schedule, now, () => ({kind: 'tick'})),
			submitUs: time(schedule, now, round => round % 2 === 0 ? {kind: 'submit', job: jobOf('next')} : {kind: 'left', job: 'next'}),
			nextRefusalUs: time(schedule, now, () => undefined),
		})}\n`);
	}
}

/** Handles an event as a dispatcher does, which then looks when the next job is to be refused. */
function play(schedule: Schedule, now: number, event: Event | undefined): void {
	if (event) {
		schedule.step(event, now);
	}

	if (schedule.nextRefusalAt < now) {
		throw new Error('a job that waits was to be refused before');
	}
}

function time(schedule: Schedule, now: number, event: (round: number) => Event | undefined): number {
	for (let round = 0; round < rounds / 10; round++) {
		play(schedule, now, event(round));
	}

	let fastest = Number.POSITIVE_INFINITY;
	for (let batch = 0; batch < batches; batch++) {
		const from = process.hrtime.bigint();
		for (let round = 0; round < rounds / batches; round++) {
			play(schedule, now, event(round));
		}

		fastest = Math.min(fastest, Number(process.hrtime.bigint() - from));
	}

	return Math.round(fastest * batches / rounds / 10) / 100;
}
