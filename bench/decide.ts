import process from 'node:process';
import {Schedule, type Event, type Job} from '../src/decide/schedule/schedule.js';

/** How often each event is timed. */
const rounds = 2000;
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
		})}\n`);
	}
}

function time(schedule: Schedule, now: number, event: () => Event): number {
	for (let round = 0; round < rounds / 10; round++) {
		schedule.step(event(), now);
	}

	const from = process.hrtime.bigint();
	for (let round = 0; round < rounds; round++) {
		schedule.step(event(), now);
	}

	return Math.round(Number(process.hrtime.bigint() - from) / rounds / 10) / 100;
}
