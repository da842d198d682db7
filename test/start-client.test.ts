import {Buffer} from 'node:buffer';
import test from 'ava';
import {systemClock} from '../src/adapters/clock.js';
import {StartClient, type DispatchCounts, type Dependencies} from '../src/entry/start-client.js';
import {JobExecution, type AdmittedJob} from '../src/entry/job-execution.js';
import {schemas} from '../src/settings/schema.js';

const settings = schemas.routes.parse({pool: 'main', repeatable: false});
const job = (keyed: boolean): AdmittedJob => ({
	claim: 'alpha/k',
	keyed,
	epoch: 1,
	member: 'alpha',
	route: 'r',
	settings,
	repeatable: false,
	bodies: [{bytes: new Uint8Array(), contentType: ''}],
	deadline: systemClock.mono() + 5000,
});
const item = {
	claim: 'alpha/k', task: 0, state: 'done', code: 0, detail: '', body: '', contentType: '', ranMs: 1, place: 'p',
};

/** Creates a client for a sidecar that never replies and has left with this handover. */
function startClientWith(handover: unknown): StartClient {
	const dependencies = {
		clock: systemClock,
		peers: {
			sidecar: () => ({
				async start() {
					throw new Error('no reply');
				},
			}),
		},
		objects: {
			async get() {
				return handover === undefined ? undefined : Buffer.from(JSON.stringify(handover));
			},
		},
		watcher: {sessions: new Map([['s', {value: {ended: 'graceful'}}]])},
		directory: () => ({hasEnded: () => true, isLost: () => true, echo: () => undefined}),
	} as unknown as Dependencies;
	return StartClient.create(dependencies, {sent: 0, askedAgain: 0} as DispatchCounts);
}

for (const [title, keyed, handover, loss] of [
	['a handover without the task means it was not started', true, [], 'refused'],
	['a handover with the task shows how it ended', true, [item], 'no-reply'],
	['a handover says nothing of requests without a key', false, [], 'no-reply'],
	['a missing handover says nothing', true, undefined, 'no-reply'],
] as const) {
	test(`a sidecar that has left: ${title}`, async t => {
		const reply = await startClientWith(handover).send({
			execution: JobExecution.create(job(keyed)), index: 0, attempt: 1, expectMs: 0,
		}, {session: 's', address: 'a', place: 'p'});
		t.is(reply.loss, loss);
		t.deepEqual(reply.handedTask, handover?.length === 1 ? item : undefined);
	});
}
