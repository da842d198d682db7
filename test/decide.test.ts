import test from 'ava';
import {
	decideStart, emptyRecord, withTask, withEpoch, type StartConditions,
} from '../src/decide/start-check.js';
import {results} from '../src/results.js';

const fine: StartConditions = {
	draining: false, isZoneInService: true, isUpstreamInService: true, isConfigConfirmed: true, hasFreeSlot: true, hasQueueSpace: true,
};
const ask = (attempt = 1, epoch = 1) => ({task: 0, epoch, attempt});
const refused = (code: number) => ({kind: 'refuse', code});

for (const [title, record, asked, conditions, verdict] of [
	['a new task runs', emptyRecord, ask(), fine, {kind: 'run'}],
	['a task waits while its place is full', emptyRecord, ask(), {...fine, hasFreeSlot: false}, {kind: 'queue'}],
	['a full queue refuses', emptyRecord, ask(), {...fine, hasFreeSlot: false, hasQueueSpace: false}, refused(results.full.code)],
	['a zone that is out refuses', emptyRecord, ask(), {...fine, isZoneInService: false}, refused(results.zoneOut.code)],
	['an unconfirmed configuration refuses', emptyRecord, ask(), {...fine, isConfigConfirmed: false}, refused(results.unconfirmed.code)],
	['a draining sidecar refuses', emptyRecord, ask(), {...fine, draining: true}, refused(results.sidecarDraining.code)],
	['a repeat of a running task joins it', withTask(emptyRecord, 0, {kind: 'running', attempt: 1}, 1), ask(), fine, {kind: 'join'}],
	['a repeat joins also while draining', withTask(emptyRecord, 0, {kind: 'running', attempt: 1}, 1), ask(), {...fine, draining: true}, {kind: 'join'}],
	['a lower epoch is refused', withEpoch(emptyRecord, 2), ask(), fine, refused(results.staleEpoch.code)],
	['a late copy of a refused attempt is refused', withTask(emptyRecord, 0, {kind: 'refused', attempt: 2, code: 150}, 1), ask(2), fine, refused(150)],
	['a later attempt may start', withTask(emptyRecord, 0, {kind: 'refused', attempt: 2, code: 150}, 1), ask(3), fine, {kind: 'run'}],
	['a refusal does not bind the next epoch', withEpoch(withTask(emptyRecord, 0, {kind: 'refused', attempt: 2, code: 150}, 1), 2), ask(1, 2), fine, {kind: 'run'}],
	['a released claim starts nothing', {...emptyRecord, released: true}, ask(), fine, refused(results.staleEpoch.code)],
] as const) {
	test(`start check: ${title}`, t => {
		t.deepEqual(decideStart(record, asked, conditions), verdict);
	});
}
