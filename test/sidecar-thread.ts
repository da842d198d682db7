import {Worker as Thread} from 'node:worker_threads';
import type {ExecutionContext} from 'ava';

/** A start as a sidecar reads it, and how old it is then by the sidecar's clock, in milliseconds. */
export type ArrivedStart = {task: string; ageMs: number};

/** The code of a thread with a sidecar that has room for any task, reports its clock every 20 ms and never says that a run has ended. */
const code = String.raw`
	const {connect} = require('node:net');
	const {parentPort, workerData} = require('node:worker_threads');
	const [host, port] = workerData.split(':');
	const room = {cpu: 1e9, memoryMb: 1e9, accelerators: 0};
	const others = {cpu: 0, memoryMb: 0, accelerators: 0};
	const open = () => {
		const link = connect(Number(port), host);
		const send = message => link.write(JSON.stringify([message]) + '\n');
		let timer;
		link.once('connect', () => {
			send({kind: 'hello', role: 'sidecar', node: 's', life: 's-1'});
			send({kind: 'place', report: {zone: 'z', pool: 'p', room, others, isFailing: false}, stamp: performance.now(), clear: true});
			timer = setInterval(() => send({kind: 'room', others, stamp: performance.now(), clear: true}), 20);
		});
		link.on('error', () => undefined);
		link.once('close', () => {
			clearInterval(timer);
			setTimeout(open, 50);
		});
		let text = '';
		link.on('data', chunk => {
			const lines = (text + chunk).split('\n');
			text = lines.pop();
			for (const {kind, task, stamp, age} of lines.flatMap(line => JSON.parse(line))) {
				if (kind === 'start') {
					parentPort.postMessage({task, ageMs: performance.now() - stamp - age});
				}
			}
		});
	};
	open();
`;

/** Starts a sidecar that goes on where the event loop of the test stands still. It dials `address` until something listens there, and ends with the test. */
export function startSidecarThread(t: ExecutionContext, address: string, onStart: (start: ArrivedStart) => void): void {
	const thread = new Thread(code, {eval: true, workerData: address});
	thread.on('message', onStart);
	t.teardown(async () => thread.terminate());
}
