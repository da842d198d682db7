import {create} from '@bufbuild/protobuf';
import test from 'ava';
import {EchoSchema} from '../gen/sniperidge/v1/peer_pb.js';
import type {Clock} from '../src/ports/clock.js';
import type {Peers} from '../src/ports/peer.js';
import {HeartbeatSender} from '../src/sidecar/heartbeat.js';

/** Returns the sender of a sidecar that sends heartbeats to the entry `a`, at the time `now` of its clock. */
function senderAt(now: number): HeartbeatSender {
	return senderWith({now: () => now, mono: () => now, sleep: async () => undefined});
}

function senderWith(clock: Clock): HeartbeatSender {
	return HeartbeatSender.create({
		peers: {} as unknown as Peers,
		clock,
		initialEntries: ['a'],
		listener: {configChanged: () => undefined, sessionEnded: () => undefined},
		describeSidecar: () => ({
			session: 's', address: 'b', zone: 'z', draining: false, places: [],
		}),
		findEntries: async () => [],
		hasQueuedTasks: () => false,
	});
}

// The monotonic clock stands still while a machine is suspended, and the time of day goes on.
for (const [title, {suspendedMs, stamp}, expected] of [
	['from before a suspension does not count after it', {suspendedMs: 10_000, stamp: 11_000}, false],
	['asked for before a suspension and read after it does not count', {suspendedMs: 10_000, stamp: 11_050}, false],
	['asked for after a suspension counts', {suspendedMs: 10_000, stamp: 11_200}, true],
	['counts where the time of day is corrected a little', {suspendedMs: 200, stamp: 11_000}, true],
	['counts where the time of day goes back', {suspendedMs: -10_000, stamp: 11_000}, true],
] as const) {
	test(`a confirmation ${title}`, t => {
		const time = {mono: 11_100, day: 1_000_000};
		const sender = senderWith({now: () => time.day, mono: () => time.mono, sleep: async () => undefined});
		const confirm = (at: number): void => {
			sender.applyConfirmation(create(EchoSchema, {
				entry: 'a', stamp: at, ageMs: 0, readable: true,
			}));
		};

		confirm(11_000);
		t.true(sender.isConfirmed());
		time.day += suspendedMs;
		t.is(sender.isConfirmed(), suspendedMs < 1000);
		time.mono += 200;
		time.day += 200;
		confirm(stamp);
		t.is(sender.isConfirmed(), expected);
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
