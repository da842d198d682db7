// Clients that press on a listener of a process without ever finishing, reading or leaving. Guards against a process that
// ends or hangs, or takes more memory or descriptors than its machine gives it, and against an ordinary caller that gets no
// answer meanwhile or afterwards. The bounds are the limits in the settings of the processes.
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Worker as Thread} from 'node:worker_threads';
import test from 'ava';
import type {Client, Crowd} from './crowd.js';
import {
	Deployment, type Limits, type Listener, type Role,
} from './deployment.js';

/** An entry of the smallest kind of machine and any sidecar, with fewer descriptors. */
const usual: Record<Role, Limits> = {entry: {memoryMb: 210, fds: 500}, sidecar: {memoryMb: 218, fds: 500}};
const withFds = (fds: number): Record<Role, Limits> => ({entry: {...usual.entry, fds}, sidecar: {...usual.sidecar, fds}});
/** The kernel gives less than the settings say. */
const withKernelFds = (kernelFds: number): Record<Role, Limits> => ({entry: {...usual.entry, fds: 4100, kernelFds}, sidecar: {...usual.sidecar, fds: 4096, kernelFds}});

/** How long a crowd may take to send all that it sends, and how long it then stays, in milliseconds. */
const sendingMs = 20_000;
const stayMs = 4000;

const largeChunk = `10000\r\n${'x'.repeat(65_536)}\r\n`;
const smallChunk = '1\r\nx\r\n';
const post = (line: string, ...headers: string[]): string => [`${line} HTTP/1.1`, 'Host: desk.example', 'Content-Type: application/json', ...headers, '', ''].join('\r\n');
const submission = (...headers: string[]): string => post('POST /desk/{n}', ...headers);
const report = (...headers: string[]): string => post('PUT /sniperidge/instances/{n}', ...headers);
const whole = (head: (...headers: string[]) => string, body: string, ...headers: string[]): string => `${head(`Content-Length: ${body.length}`, ...headers)}${body}`;
const get = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: desk.example\r\n\r\n`;
const hello = (features: unknown, role = 'entry'): string => JSON.stringify([{
	kind: 'hello', role, node: 's{n}', life: 'l{n}', features,
}]);

/** The body limit of the desired state, and that of any body, in bytes. */
const bodyBytes = 262_144;
const reportBytes = 4 * 1024 * 1024;
const chunked = 'Transfer-Encoding: chunked';
const job = (count: number, more: Record<string, unknown> = {}): string => JSON.stringify({
	spec: 'x'.repeat(4000), best_effort: true, steps: [{
		count, cpu: 1, estimate_ms: 600_000, ...more,
	}],
});
/** The longest path that fits into a header. */
const longName = `${'n'.repeat(15_000)}{n}`;
const manyHeaders = Array.from({length: 3700}, (_, index) => `${String.fromCodePoint(97 + (index % 26))}:`);

/** Addresses of this machine where nobody listens. */
const absentEntries = Array.from({length: 5000}, (_, index) => `127.9.${Math.floor(index / 250)}.${(index % 250) + 1}:9`);

/** `takesWorkers`: the clients' jobs take all workers, so that an ordinary caller may be refused while they stay. */
type Case = {listener: Listener; title: string; count: number; client: Client; limits?: Record<Role, Limits>; takesWorkers?: boolean};

const silent: Client = {};
const endlessHeader: Client = {
	head: 'GET / HTTP/1.1\r\n', piece: 'a: b\r\n', times: 1000, everyMs: 300,
};
const pipelined = (path: string, times: number): Client => ({piece: get(path), times});

const cases: readonly Case[] = [
	{
		listener: 'front', title: 'chunked bodies of large chunks that stop before their end', count: 60,
		client: {
			head: submission(chunked), piece: largeChunk, times: 63, isReading: true,
		},
	},
	{
		listener: 'front', title: 'chunked bodies of one-byte chunks that stop before their end', count: 60,
		client: {
			head: submission(chunked), piece: smallChunk, times: bodyBytes - 1, isReading: true,
		},
	},
	{
		listener: 'front', title: 'hundreds of chunked bodies of one-byte chunks', count: 450,
		client: {
			head: submission(chunked), piece: smallChunk, times: bodyBytes - 1, isReading: true,
		},
	},
	{
		listener: 'front', title: 'chunked bodies whose clients leave and come back', count: 40,
		client: {
			head: submission(chunked), piece: smallChunk, times: 100_000, isReading: true, leaveAfterMs: 300,
		},
	},
	{
		listener: 'front', title: 'bodies of a stated length that stop before their end', count: 900, limits: withFds(1200),
		client: {
			head: submission(`Content-Length: ${bodyBytes}`), piece: 'x'.repeat(bodyBytes - 1), times: 1, isReading: true,
		},
	},
	{
		listener: 'front', title: 'bodies that come a byte at a time', count: 450,
		client: {
			head: submission(`Content-Length: ${bodyBytes}`), piece: 'x', times: 1000, everyMs: 300,
		},
	},
	{
		listener: 'front', title: 'connections without a request', count: 600, client: silent,
	},
	{
		listener: 'front', title: 'connections without a request, beyond the limit of the kernel', count: 600, limits: withKernelFds(400), client: silent,
	},
	{
		listener: 'front', title: 'headers without an end', count: 600, client: endlessHeader,
	},
	{
		listener: 'front', title: 'thousands of headers before a body that does not come', count: 450,
		client: {head: submission(`Content-Length: ${bodyBytes}`, ...manyHeaders), isReading: true},
	},
	{
		listener: 'front', title: 'pipelined requests whose answers are not read', count: 200, client: pipelined('/desk/0000000000000001', 40_000),
	},
	{
		listener: 'front', title: 'pipelined jobs whose answers are not read', count: 50,
		client: {piece: whole(submission, job(1, {cpu: 1e9})), times: 200},
	},
	{
		listener: 'front', title: 'jobs of many tasks that wait', count: 450, takesWorkers: true,
		client: {head: whole(submission, job(1024, {cpu: 16_000}), 'X-Deadline-Ms: 1000000000'), isReading: true},
	},
	{
		listener: 'front', title: 'jobs of many tasks and long names', count: 100, takesWorkers: true,
		client: {head: whole((...headers) => post(`POST /desk/${longName}`, ...headers), job(1024), 'X-Deadline-Ms: 1000000000'), isReading: true},
	},
	{
		listener: 'front', title: 'bodies with thousands of faults whose answers are not read', count: 60,
		client: {head: whole(submission, `{"best_effort":true,"steps":[${'1,'.repeat((bodyBytes / 2) - 40)}1]}`)},
	},
	{
		listener: 'front', title: 'cancellings of jobs with long names', count: 400,
		client: {piece: `DELETE /desk/${'n'.repeat(200)}{n} HTTP/1.1\r\nHost: desk.example\r\n\r\n`, times: 300},
	},
	{
		listener: 'ready', title: 'connections without a request', count: 600, client: silent,
	},
	{
		listener: 'ready', title: 'headers without an end', count: 600, client: endlessHeader,
	},
	{
		listener: 'ready', title: 'pipelined requests whose answers are not read', count: 200, client: pipelined('/sniperidge/ready', 40_000),
	},
	{
		listener: 'metrics', title: 'connections without a request', count: 600, client: silent,
	},
	{
		listener: 'metrics', title: 'pipelined requests whose answers are not read', count: 100, client: pipelined('/metrics', 5000),
	},
	{
		listener: 'links', title: 'connections without a hello', count: 600, client: silent,
	},
	{
		listener: 'links', title: 'heartbeats without a hello', count: 600, client: {piece: '[{"kind":"beat","needed":true}]\n', times: 1000, everyMs: 300},
	},
	{
		listener: 'links', title: 'lines without an end', count: 40, client: {piece: 'x'.repeat(65_536), times: 200},
	},
	{
		listener: 'links', title: 'lines of small parts without an end', count: 400, client: {piece: 'x', times: 1000, everyMs: 5},
	},
	{
		listener: 'links', title: 'lines without an end after a hello', count: 40, client: {head: `${hello([])}\n`, piece: 'x'.repeat(65_536), times: 200},
	},
	{
		listener: 'links', title: 'a hello of millions of features', count: 1, client: {head: `${hello([]).replace('[]', `[${'1,'.repeat(7_000_000)}1]`)}\n`},
	},
	{
		listener: 'links', title: 'addresses of thousands of entries that are not there', count: 1,
		client: {head: `${hello([])}\n[{"kind":"entries","addresses":[${absentEntries.map(address => `"${address}"`).join(',')}]}]\n`},
	},
	{
		listener: 'links', title: 'requests of the desired state whose answers are not read', count: 100,
		client: {head: `${hello([])}\n`, piece: `[${'{"kind":"fetch"},'.repeat(3000)}{"kind":"fetch"}]\n`, times: 40},
	},
	{
		listener: 'control', title: 'chunked bodies of large chunks that stop before their end', count: 60,
		client: {
			head: report(chunked), piece: largeChunk, times: 63, isReading: true,
		},
	},
	{
		listener: 'control', title: 'chunked bodies of one-byte chunks that stop before their end', count: 30,
		client: {
			head: report(chunked), piece: smallChunk, times: bodyBytes - 1, isReading: true,
		},
	},
	{
		listener: 'control', title: 'connections without a request', count: 600, client: silent,
	},
	{
		listener: 'control', title: 'headers without an end', count: 600, client: endlessHeader,
	},
	{
		listener: 'control', title: 'pipelined requests whose answers are not read', count: 200, client: pipelined('/sniperidge/instances/i', 40_000),
	},
	{
		listener: 'control', title: 'reports of millions of labels', count: 4,
		client: {head: whole(report, JSON.stringify({labels: ['#']}).replace('"#"', `${'1,'.repeat((reportBytes / 2) - 40)}1`)), isReading: true},
	},
	{
		listener: 'sidecar metrics', title: 'connections without a request', count: 600, client: silent,
	},
	{
		listener: 'sidecar metrics', title: 'pipelined requests whose answers are not read', count: 100, client: pipelined('/metrics', 5000),
	},
];

for (const {listener, title, count, client, limits = usual, takesWorkers = false} of cases) {
	test.serial(`misbehaving clients: ${listener}: ${title}`, async t => {
		t.timeout(180_000);
		const deployment = await Deployment.create(t, limits);
		const programs = Object.entries(deployment.programs) as Array<[Role, Deployment['programs'][Role]]>;
		t.true(await deployment.isAnswering([200]), 'in calm');

		const crowd: Crowd = {
			host: '127.0.0.1', port: deployment.ports[listener], count, client,
		};
		const thread = new Thread(new URL('crowd.js', import.meta.url), {workerData: crowd});
		t.teardown(async () => thread.terminate());
		await Promise.race([once(thread, 'message'), sleep(sendingMs)]);
		await sleep(stayMs);
		const isAnsweringMeanwhile = await deployment.isAnswering(takesWorkers ? [200, 503] : [200]);
		await thread.terminate();
		const isServingAfterwards = await deployment.isAnswering([200]);

		for (const [role, program] of programs) {
			program.sample();
			const {memoryMb, fds, kernelFds = fds} = limits[role];
			const measured = `${role}: ${Math.round(program.peakMb)} MB, ${program.mostFds} descriptors`;
			t.log(measured);
			t.true(program.isAlive, `${role}: ${program.errors}`);
			t.true(program.peakMb <= memoryMb, measured);
			t.true(program.mostFds <= Math.min(fds, kernelFds), measured);
		}

		t.true(isAnsweringMeanwhile, 'while the clients stay');
		t.true(isServingAfterwards, 'once they have left');
	});
}

const ordinary = JSON.stringify({
	spec: '{"ms":20}', best_effort: true, steps: [{
		count: 2, cpu: 500, mem_mb: 16, estimate_ms: 20,
	}],
});

// Guards against a limit that a single request inside the limits of the desired state meets.
for (const [title, bytes, chunk] of [
	['the longest body, in one-byte chunks', bodyBytes, 1],
	['the longest body, in two chunks', bodyBytes, bodyBytes / 2],
	['a short body, in one-byte chunks', ordinary.length, 1],
] as const) {
	test.serial(`misbehaving clients: a single request is served in calm: ${title}`, async t => {
		const deployment = await Deployment.create(t, usual);
		t.true(await deployment.isAnswering([200]));
		const text = ordinary.padEnd(bytes, ' ');
		const chunks = Array.from({length: Math.ceil(bytes / chunk)}, (_, index) => text.slice(index * chunk, (index + 1) * chunk));
		const socket = connect(deployment.ports.front, '127.0.0.1');
		socket.write(submission(chunked).replace('{n}', '00000000000000aa') + chunks.map(part => `${part.length.toString(16)}\r\n${part}\r\n`).join('') + '0\r\n\r\n');
		let answer = '';
		for await (const part of socket) {
			answer += String(part);
			if (answer.includes('"state"')) {
				break;
			}
		}

		t.regex(answer, /^HTTP\/1\.1 200 [\s\S]*"completed"/v);
	});
}
