/** The entry of the entry benches: a front and a dispatcher in a process of their own, told what to do by messages of the parent. */
import inspector from 'node:inspector/promises';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {decodeDesired} from '../platform/desired.js';
import {buildFront} from '../platform/front.js';
import {systemClock} from '../src/adapters/clock.js';
import {openLog} from '../src/adapters/log.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';
import {routes} from './entry-jobs.js';
import {sharesOf} from './profile.js';

/** The time between two samples of a profile, in microseconds. */
const samplingUs = 250;

/** EntryCommand is what the parent asks of the entry. */
export type EntryCommand = 'usage' | 'profile' | 'shares';

const {log, sink} = openLog('entry');
const meters = DispatcherMetrics.create();
const desired = decodeDesired(new Map([['config', JSON.stringify({version: 1, routes})]]))!;
const dispatcher = await Dispatcher.create({
	node: `entry-${process.pid}`, incarnation: `entry-${process.pid}-1`, address: '127.0.0.1:0', seeds: [],
}, systemClock, log, meters);
const front = buildFront({
	dispatcher, desired: () => desired, stopping: () => false, clock: systemClock, log, meters,
});
await front.listen({host: '127.0.0.1', port: 0});
const {port} = front.server.address() as AddressInfo;
const session = new inspector.Session();
session.connect();

async function handle(command: EntryCommand): Promise<unknown> {
	switch (command) {
		case 'usage': {
			const {user, system} = process.cpuUsage();
			return {
				cpuMs: (user + system) / 1000, systemMs: system / 1000, droppedLines: sink.droppedLines, linked: dispatcher.schedule.placeCounts.linked,
			};
		}

		case 'profile': {
			await session.post('Profiler.enable');
			await session.post('Profiler.setSamplingInterval', {interval: samplingUs});
			await session.post('Profiler.start');
			return {};
		}

		case 'shares': {
			const {profile} = await session.post('Profiler.stop');
			return sharesOf(profile);
		}
	}
}

process.on('message', (command: EntryCommand) => {
	void handle(command).then(reply => {
		process.send!(reply);
	});
});
process.on('disconnect', () => {
	process.exit();
});
process.send!({front: port, links: dispatcher.address});
