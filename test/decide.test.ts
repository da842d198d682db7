import test from 'ava';
import {
	judgeStart, freshRecord, setTask, raiseEpoch, type Conditions,
} from '../src/decide/gate.js';
import {results} from '../src/results.js';

const fine: Conditions = {
	draining: false, zoneIn: true, upstreamIn: true, confirmed: true, free: true, room: true,
};
const ask = (attempt = 1, epoch = 1) => ({task: 0, epoch, attempt});
const refused = (code: number) => ({kind: 'refuse', code});

for (const [title, record, asked, conditions, verdict] of [
	['a new task runs', freshRecord, ask(), fine, {kind: 'run'}],
	['a task waits while its place is full', freshRecord, ask(), {...fine, free: false}, {kind: 'queue'}],
	['a full queue refuses', freshRecord, ask(), {...fine, free: false, room: false}, refused(results.full.code)],
	['a zone that is out refuses', freshRecord, ask(), {...fine, zoneIn: false}, refused(results.zoneOut.code)],
	['an unconfirmed configuration refuses', freshRecord, ask(), {...fine, confirmed: false}, refused(results.unconfirmed.code)],
	['a draining sidecar refuses', freshRecord, ask(), {...fine, draining: true}, refused(results.sidecarDraining.code)],
	['a repeat of a running task joins it', setTask(freshRecord, 0, {kind: 'running', attempt: 1}, 1), ask(), fine, {kind: 'join'}],
	['a repeat joins also while draining', setTask(freshRecord, 0, {kind: 'running', attempt: 1}, 1), ask(), {...fine, draining: true}, {kind: 'join'}],
	['a lower epoch is refused', raiseEpoch(freshRecord, 2), ask(), fine, refused(results.staleEpoch.code)],
	['a late copy of a refused attempt is refused', setTask(freshRecord, 0, {kind: 'refused', attempt: 2, code: 150}, 1), ask(2), fine, refused(150)],
	['a later attempt may start', setTask(freshRecord, 0, {kind: 'refused', attempt: 2, code: 150}, 1), ask(3), fine, {kind: 'run'}],
	['a refusal does not bind the next epoch', raiseEpoch(setTask(freshRecord, 0, {kind: 'refused', attempt: 2, code: 150}, 1), 2), ask(1, 2), fine, {kind: 'run'}],
	['a released claim starts nothing', {...freshRecord, released: true}, ask(), fine, refused(results.staleEpoch.code)],
] as const) {
	test(`gate: ${title}`, t => {
		t.deepEqual(judgeStart(record, asked, conditions), verdict);
	});
}
