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

/** How long a takeover retries a request to a session before it counts as unheard, and the pause between tries, in milliseconds. */
const collectTimeoutMs = 2000;
const retryPauseMs = 150;

/** Dependencies of a takeover. */
export type Dependencies = {store: Store; peers: Peers; clock: Clock};

/** TakeoverResult is what became of each task of a claim, and the addresses of the sessions asked, by session. */
export type TakeoverResult = {recovery: RecoveredTasks; addresses: ReadonlyMap<string, string>};

/**
 * Collects what every session that could have started tasks of a claim did under it. The claim's
 * epoch must have been raised in the table before. Rejects with `StoreError` when the sessions
 * cannot be read.
 */
export async function collectClaim(key: string, claim: Claim, dependencies: Dependencies): Promise<TakeoverResult> {
	const {store} = dependencies;
	const {rows} = await store.list({tables: ['sessions']});
	const sessions = (rows as Array<Row<Session>>).filter(row => couldHaveStartedTasks(row, claim));
	const reports = await Promise.all(sessions.map(async row => collectFromSession(row, key, claim, dependencies)));
	return {
		recovery: mergeReports(claim.tasks, reports),
		addresses: new Map(sessions.map(row => [row.key, row.value.address])),
	};
}

async function collectFromSession(row: Row<Session>, key: string, claim: Claim, {store, peers, clock}: Dependencies): Promise<SessionReport> {
	const unheard: SessionReport = {kind: 'unreachable', session: row.key};
	if (row.value.ended === 'graceful') {
		const handedTasks = await readHandover(store, row.key);
		return handedTasks ? reportFromHandover(row.key, handedTasks.filter(task => task.claim === key)) : unheard;
	}

	const request = create(CollectRequestSchema, {claim: key, epoch: claim.epoch, session: row.key});
	const giveUpAt = clock.mono() + collectTimeoutMs;
	while (clock.mono() < giveUpAt) {
		try {
			const reply = await peers.sidecar(row.value.address).collect(request, {timeoutMs: collectTimeoutMs});
			return reply.session === row.key ? reportFromReply(row.key, reply) : unheard;
		} catch (error) {
			if (wasNeverSent(error) && row.value.ended) {
				return unheard;
			}

			await clock.sleep(retryPauseMs);
		}
	}

	return unheard;
}

function reportFromReply(session: string, reply: CollectReply): SessionReport {
	return {
		kind: 'answered', session, running: reply.running, ended: reply.tasks.map(task => endedTaskOf(task)),
	};
}

function endedTaskOf(reply: StartReply): EndedTask {
	const {task, code, detail} = reply;
	if (reply.state !== 'done') {
		return {task, code, detail};
	}

	return {
		task, code, detail, item: itemOf(reply),
	};
}

function reportFromHandover(session: string, handedTasks: readonly HandedTask[]): SessionReport {
	return {
		kind: 'answered', session, running: [], ended: handedTasks.map(task => handedEndedTask(task)),
	};
}
