// A minion as a process of its own. Its options are the first argument, as JSON; it tells its parent what it has counted once a second.
import {monitorEventLoopDelay} from 'node:perf_hooks';
import process from 'node:process';
import {Minion} from './minion.js';

const tellMs = 1000;
const counts = {};
const delay = monitorEventLoopDelay({resolution: 10});
delay.enable();

await Minion.create({
	...JSON.parse(process.argv[2]),
	note(event, {how = ''}) {
		const name = `${event} ${how}`.trim();
		counts[name] = (counts[name] ?? 0) + 1;
	},
});
setInterval(() => {
	process.send({...counts, longestLoopMs: Math.round(delay.max / 1e6)});
	delay.reset();
}, tellMs);
process.once('disconnect', () => {
	process.exitCode = 0;
	process.kill(process.pid);
});
