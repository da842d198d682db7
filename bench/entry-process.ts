/** The entry of the entry benches: a front and a dispatcher in a process of their own, told what to do by messages of the parent. */
import inspector from 'node:inspector/promises';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {decodeDesired} from '../platform/desired.js';
import {buildFront} from '../platform/front.js';
import {systemClock} from '../src/adapters/clock.js';
import type {EntryLimits} from '../src/decide/overload.js';
import {policySettings} from '../src/settings/policy.js';
import {openLog} from '../src/adapters/log.js';
import {Dispatcher} from '../src/ephemeral/dispatcher.js';
import {DispatcherMetrics} from '../src/ephemeral/metrics.js';
import {routes} from './entry-jobs.js';
import {sharesOf} from './profile.js';

/** The time between two samples of a profile, in microseconds. */
const samplingUs = 250;

/** EntryCommand is what the parent asks of the entry. `announce` is followed by the address that it tells sidecars. */
export type EntryCommand = 'usage' | 'profile' | 'shares' | `announce ${string}`;

/** EntryOptions are the first argument, as JSON. */
export type EntryOptions = {overload: 'auto' | 'off'; limits: EntryLimits};

const options = JSON.parse(process.argv[2] ?? '{"overload": "auto", "limits": {}}') as EntryOptions;

const {log, sink} = openLog('entry');
const meters = DispatcherMetrics.create();
const desired = decodeDesired(new Map([['config', JSON.stringify({version: 1, routes})]]))!;
const dispatcher = await Dispatcher.create({
	node: `entry-${process.pid}`, incarnation: `entry-${process.pid}-1`, address: '127.0.0.1:0', seeds: [],
}, systemClock, log, meters);
const front = buildFront({
	dispatcher,
	desired: () => desired,
	stopping: () => false,
	clock: systemClock,
	log,
	meters,
	policy: policySettings.parse({overload: {enabled: options.overload}}).overload,
	limits: options.limits,
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
				cpuMs: (user + system) / 1000, systemMs: system / 1000, droppedLines: sink.droppedLines, linked: dispatcher.schedule.placeCounts.linked, load: dispatcher.load,
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

		default: {
			dispatcher.address = command.split(' ')[1]!;
			return {};
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
