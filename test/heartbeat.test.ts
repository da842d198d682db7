import {create} from '@bufbuild/protobuf';
import test from 'ava';
import {EchoSchema} from '../gen/sniperidge/v1/peer_pb.js';
import type {Peers} from '../src/ports/peer.js';
import {HeartbeatSender} from '../src/sidecar/heartbeat.js';

/** Returns the sender of a sidecar that sends heartbeats to the entry `a`, at the time `now` of its clock. */
function senderAt(now: number): HeartbeatSender {
	return HeartbeatSender.create({
		peers: {} as unknown as Peers,
		clock: {now: () => now, mono: () => now, sleep: async () => undefined},
		initialEntries: ['a'],
		listener: {configChanged: () => undefined, sessionEnded: () => undefined},
		describeSidecar: () => ({
			session: 's', address: 'b', zone: 'z', draining: false, places: [],
		}),
		findEntries: async () => [],
		hasQueuedTasks: () => false,
	});
}

for (const [title, now, echo, expected] of [
	['is enough by itself', 11_600, {entry: 'a', stamp: 11_000, ageMs: -500}, true],
	['counts however old its stamp is, if the table was read recently', 41_600, {entry: 'a', stamp: 11_000, ageMs: -30_000}, true],
	['is ignored when the table was read too long ago', 14_600, {entry: 'a', stamp: 11_000, ageMs: -500}, false],
	['is ignored when it is dated in the future', 11_400, {entry: 'a', stamp: 11_000, ageMs: -500}, false],
	['is ignored when clocks may have drifted since its stamp', 81_100, {entry: 'a', stamp: 11_000, ageMs: -70_000}, false],
	['is ignored when it comes from an entry outside the subset', 11_600, {entry: 'x', stamp: 11_000, ageMs: -500}, false],
] as const) {
	test(`the confirmation carried by a start ${title}`, t => {
		const sender = senderAt(now);
		sender.applyConfirmation(create(EchoSchema, {...echo, readable: true}));
		t.is(sender.isConfirmed(), expected);
	});
}
