/** The callers of the entry benches: jobs at a steady mean rate, whether or not earlier ones are answered, on kept connections. */
import process from 'node:process';
import {build} from 'hdr-histogram-js';
import {Pool} from 'undici';
import {seededRandom} from '../src/adapters/random.js';
import {systemClock} from '../src/adapters/clock.js';
import {deadlineMs, drawJob, host} from './entry-jobs.js';

/** How often jobs that are due are sent, in milliseconds. */
const pulseMs = 2;

/** CallerCommand changes the rate, or asks for what was seen since it was last asked. */
export type CallerCommand = {kind: 'rate'; perSecond: number} | {kind: 'seen'};

/** Seen counts the answers, those of full value, the refusals and what failed; latencies are in milliseconds. */
export type Seen = {
	sent: number; answered: number; inTarget: number; refused: number; failed: number; refusalP50: number; refusalP99: number; answerP50: number; answerP99: number;
};

const random = seededRandom(Number(process.argv[2]));
const connections = Number(process.argv[3]);
/** The entries, which get jobs in turns. */
const pools = process.argv.slice(4).map(port => new Pool(`http://127.0.0.1:${port}`, {connections, pipelining: 1, keepAliveTimeout: 60_000}));
const load = {perSecond: 0};
let number = 0;
let dueAt = systemClock.mono();

function nothingSeen() {
	return {
		sent: 0, answered: 0, inTarget: 0, refused: 0, failed: 0, refusals: build(), answers: build(),
	};
}

let seenByEntry = pools.map(() => nothingSeen());

async function submit(): Promise<void> {
	const index = number % pools.length;
	const pool = pools[index]!;
	const seen = seenByEntry[index]!;
	const {path, body, targetMs} = drawJob(random, number++);
	const from = systemClock.mono();
	seen.sent++;
	try {
		const {statusCode, body: answer} = await pool.request({
			method: 'POST', path, body, headers: {host, 'content-type': 'application/json', 'x-deadline-ms': String(deadlineMs)}, signal: AbortSignal.timeout(deadlineMs),
		});
		await answer.dump();
		const tookMs = systemClock.mono() - from;
		if (statusCode === 200) {
			seen.answered++;
			seen.inTarget += Number(tookMs <= targetMs);
			seen.answers.recordValue(Math.round(tookMs));
		} else if (statusCode === 503) {
			seen.refused++;
			seen.refusals.recordValue(Math.round(tookMs));
		} else {
			seen.failed++;
		}
	} catch {
		seen.failed++;
	}
}

setInterval(() => {
	const now = systemClock.mono();
	while (load.perSecond > 0 && dueAt <= now) {
		dueAt += -Math.log(1 - random.next()) * 1000 / load.perSecond;
		void submit();
	}
}, pulseMs);

process.on('message', (command: CallerCommand) => {
	switch (command.kind) {
		case 'rate': {
			load.perSecond = command.perSecond;
			dueAt = systemClock.mono();
			process.send!({});
			break;
		}

		case 'seen': {
			process.send!(seenByEntry.map(({refusals, answers, ...counts}): Seen => ({
				...counts,
				refusalP50: refusals.getValueAtPercentile(50),
				refusalP99: refusals.getValueAtPercentile(99),
				answerP50: answers.getValueAtPercentile(50),
				answerP99: answers.getValueAtPercentile(99),
			})));
			seenByEntry = pools.map(() => nothingSeen());
			break;
		}
	}
});
process.on('disconnect', () => {
	process.exit();
});
