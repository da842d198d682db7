/** The sidecars of the entry benches: real drivers with model workers, in one process. */
import process from 'node:process';
import {pino} from 'pino';
import {systemClock} from '../src/adapters/clock.js';
import {deferred} from '../src/deferred.js';
import {Driver} from '../src/ephemeral/driver.js';
import {DriverMetrics} from '../src/ephemeral/metrics.js';
import type {EndedRun, Executor, RunId} from '../src/ports/executor.js';
import {capacityOf, workers} from './entry-jobs.js';

/** Opens a worker that runs each task for the time that its text begins with. Unlike `ModelWorker` of the tests it runs in real time and needs no polls to go on. */
function openWorker(): Executor {
	const running = new Map<string, RunId & {timer: NodeJS.Timeout}>();
	let ended: EndedRun[] = [];
	let sequence = 0;
	let wake = deferred<void>();
	const clock = (): number => Math.round(systemClock.mono());

	function end({task, number}: RunId, ending: EndedRun['ending']): void {
		clearTimeout(running.get(task)?.timer);
		if (running.delete(task)) {
			sequence++;
			ended.push({
				sequence, task, number, ending,
			});
			wake.resolve();
		}
	}

	return {
		async start({task, number, spec}) {
			const timer = setTimeout(() => {
				end({task, number}, 'done');
			}, Number.parseInt(spec, 10));
			running.set(task, {task, number, timer});
			return {kind: 'done', clock: clock()};
		},
		async stop(run) {
			end(run, 'stopped');
			return {kind: 'done', clock: clock()};
		},
		async poll({seen, waitMs}) {
			ended = ended.filter(one => one.sequence > seen);
			if (ended.length === 0) {
				wake = deferred();
				const timer = setTimeout(wake.resolve, waitMs);
				await wake.promise;
				clearTimeout(timer);
			}

			return {
				kind: 'seen', clock: clock(), born: 1, running: [...running.values()].map(({task, number}) => ({task, number})), ended: [...ended],
			};
		},
		async close() {
			wake.resolve();
		},
	};
}

process.on('message', ({seeds}: {seeds: string[]}) => {
	for (let index = 0; index < workers; index++) {
		const driver = Driver.create({
			node: `s${index}`, incarnation: `s${index}-1`, zone: 'z', seeds,
		}, {
			clock: systemClock, executor: openWorker(), log: pino({level: 'silent'}), metrics: DriverMetrics.create(),
		});
		driver.workerReported({
			incarnation: `w${index}`, born: 1, pool: 'pool', capacity: capacityOf(index), labels: [], draining: false,
		}, Math.round(systemClock.mono()));
	}

	process.send!({});
});
process.on('disconnect', () => {
	process.exit();
});
