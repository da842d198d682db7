import {create} from '@bufbuild/protobuf';
import {CollectRequestSchema, type CollectReply, type StartReply} from '../../gen/sniperidge/v1/peer_pb.js';
import {wasNeverSent} from '../adapters/peers.js';
import {readHandover} from '../adapters/sessions.js';
import type {Store} from '../adapters/table.js';
import {
	couldHaveStartedTasks, mergeReports, type Claim, type EndedTask, type RecoveredTasks, type SessionReport, type Session,
} from '../decide/claim.js';
import {handedEndedTask, type HandedTask} from '../decide/handover.js';
import type {Clock} from '../ports/clock.js';
import type {Peers} from '../ports/peer.js';
import type {Row} from '../ports/table.js';
import {itemOf} from './start-client.js';

/** How long a session is asked at a takeover before it counts as unheard, and the pause between, in milliseconds. */
const askMs = 2000;
const againMs = 150;

/** Parts is what a takeover asks with. */
export type Dependencies = {store: Store; peers: Peers; clock: Clock};

/** Found is what a takeover learned: what became of each task, and where to ask for those that run. */
export type TakeoverResult = {recovery: RecoveredTasks; addresses: ReadonlyMap<string, string>};

/**
 * Collects what every session that could have started tasks of a claim did under it. The claim's
 * epoch must have been raised in the table before. Rejects with `StoreError` when the sessions
 * cannot be read.
 */
export async function collectClaim(key: string, claim: Claim, parts: Dependencies): Promise<TakeoverResult> {
	const {store} = parts;
	const {rows} = await store.list({tables: ['sessions']});
	const sessions = (rows as Array<Row<Session>>).filter(row => couldHaveStartedTasks(row, claim));
	const reports = await Promise.all(sessions.map(async row => askSession(row, key, claim, parts)));
	return {
		recovery: mergeReports(claim.tasks, reports),
		addresses: new Map(sessions.map(row => [row.key, row.value.address])),
	};
}

async function askSession(row: Row<Session>, key: string, claim: Claim, {store, peers, clock}: Dependencies): Promise<SessionReport> {
	const unheard: SessionReport = {kind: 'unreachable', session: row.key};
	if (row.value.ended === 'graceful') {
		const handed = await readHandover(store, row.key);
		return handed ? reportOfHanded(row.key, handed.filter(task => task.claim === key)) : unheard;
	}

	const request = create(CollectRequestSchema, {claim: key, epoch: claim.epoch, session: row.key});
	const until = clock.mono() + askMs;
	while (clock.mono() < until) {
		try {
			const reply = await peers.sidecar(row.value.address).collect(request, {timeoutMs: askMs});
			return reply.session === row.key ? reportOf(row.key, reply) : unheard;
		} catch (error) {
			if (wasNeverSent(error) && row.value.ended) {
				return unheard;
			}

			await clock.sleep(againMs);
		}
	}

	return unheard;
}

function reportOf(session: string, reply: CollectReply): SessionReport {
	return {
		kind: 'answered', session, running: reply.running, ended: reply.tasks.map(task => endedOf(task)),
	};
}

function endedOf(reply: StartReply): EndedTask {
	const {task, code, detail} = reply;
	if (reply.state !== 'done') {
		return {task, code, detail};
	}

	return {
		task, code, detail, item: itemOf(reply),
	};
}

function reportOfHanded(session: string, handed: readonly HandedTask[]): SessionReport {
	return {
		kind: 'answered', session, running: [], ended: handed.map(task => handedEndedTask(task)),
	};
}
