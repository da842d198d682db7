import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {StartRequestSchema, type StartReply, type StartRequest} from '../../gen/sniperidge/v1/peer_pb.js';
import {wasNeverSent} from '../adapters/peers.js';
import {readHandover} from '../adapters/sessions.js';
import type {Item} from '../decide/claim.js';
import type {HandedTask} from '../decide/handover.js';
import type {AttemptFailure} from '../decide/retry.js';
import type {Clock} from '../ports/clock.js';
import type {ObjectStore} from '../ports/objects.js';
import type {Peers} from '../ports/peer.js';
import {results} from '../results.js';
import type {TableWatcher} from './table-watcher.js';
import type {SidecarDirectory, PlaceState} from './sidecar-directory.js';
import type {JobExecution} from './job-execution.js';

/** DispatchCounts are the dispatcher's counters, for the metrics. */
export type DispatchCounts = {
	sent: number;
	refused: number;
	askedAgain: number;
	placedAgain: number;
	hedges: number;
	hedgesLost: number;
	cancels: number;
	dropped: number;
	beats: number;
	pings: number;
};

/** TaskAttempt is one placement of a task. `expectMs` is its usual duration on an ordinary place, in milliseconds; 0 when unknown. */
export type TaskAttempt = {execution: JobExecution; index: number; attempt: number; expectMs: number};

/** StartTarget is a sidecar session and a place of it; the place is empty to join a task that already runs. */
export type StartTarget = Pick<PlaceState, 'session' | 'address'> & {place: string};

/** StartOutcome is what became of an attempt: the reply, the kind of failure, or the task's end as found in a handover. */
export type StartOutcome = {loss?: AttemptFailure; reply?: StartReply; detail: string; handedTask?: HandedTask};

/** Dependencies of the client. */
export type Dependencies = {
	clock: Clock;
	peers: Peers;
	objects: ObjectStore;
	watcher: TableWatcher;
	directory: () => Pick<SidecarDirectory, 'hasEnded' | 'isLost' | 'echo' | 'markUnresponsive'>;
};

/** How long after the deadline a reply to a start is awaited, and the first and longest pause before it is sent again, in milliseconds. */
const replyGraceMs = 1000;
const retryPauseMs = 60;
const maxRetryPauseMs = 500;
/** After this many refused connections in a row the sidecar's process counts as ended. */
const maxRefusedConnections = 3;
/** How long a start is sent again to a sidecar that fails to answer, in milliseconds: for a repeatable task, and for any other. */
const repeatableRetryMs = 500;
const nonRepeatableRetryMs = 6000;
/** How many releases one start carries at most. */
const maxReleasesPerStart = 50;

/** StartClient sends starts to sidecars, retries them and determines their outcome. */
export class StartClient {
	static create(dependencies: Dependencies, counts: DispatchCounts): StartClient {
		return new StartClient(dependencies, counts);
	}

	private readonly releases = new Map<string, string[]>();

	private constructor(private readonly dependencies: Dependencies, private readonly counts: DispatchCounts) {}

	/** Tells the sidecars, with later starts, that they may discard the results they hold for a claim. */
	release(claim: string, sessions: Iterable<string>): void {
		for (const session of sessions) {
			if (this.dependencies.directory().hasEnded(session)) {
				this.releases.delete(session);
				continue;
			}

			const claims = this.releases.get(session) ?? [];
			claims.push(claim);
			this.releases.set(session, claims);
		}
	}

	/** Sends a start, and sends it again to the same place while no reply arrives. */
	async send(task: TaskAttempt, target: StartTarget): Promise<StartOutcome> {
		const {execution} = task;
		const peer = this.dependencies.peers.sidecar(target.address);
		let refusedConnections = 0;
		let failingSince: number | undefined;
		for (let copies = 1, pause = retryPauseMs; ; copies++, pause = Math.min(pause * 2, maxRetryPauseMs)) {
			const leftMs = execution.job.deadline - this.dependencies.clock.mono();
			this.counts[copies === 1 ? 'sent' : 'askedAgain']++;
			try {
				const reply = await peer.start(this.request(task, target, leftMs), {timeoutMs: Math.max(leftMs, 0) + replyGraceMs});
				return this.classifyReply(task, reply, copies);
			} catch (error) {
				if (copies === 1 && wasNeverSent(error)) {
					this.dependencies.directory().markUnresponsive(target.session);
					return {loss: 'refused', detail: 'the sidecar does not listen'};
				}

				if (execution.ended) {
					return {loss: 'unknown', detail: 'the run has ended'};
				}

				const now = this.dependencies.clock.mono();
				failingSince ??= now;
				refusedConnections = wasNeverSent(error) ? refusedConnections + 1 : 0;
				if (copies > 1) {
					this.dependencies.directory().markUnresponsive(target.session);
				}

				if (refusedConnections >= maxRefusedConnections || this.mayStopRetrying(target.session, now - failingSince, execution.job.repeatable)) {
					return this.readFromHandover(task, target);
				}
			}

			await this.dependencies.clock.sleep(pause);
		}
	}

	/** Whether to give up on a session that has failed to answer for this long; sooner for a repeatable task. */
	private mayStopRetrying(session: string, failingMs: number, repeatable: boolean): boolean {
		const directory = this.dependencies.directory();
		return failingMs > (repeatable ? repeatableRetryMs : nonRepeatableRetryMs) || directory.hasEnded(session) || directory.isLost(session);
	}

	private request(task: TaskAttempt, target: StartTarget, leftMs: number): StartRequest {
		const {job} = task.execution;
		const body = job.bodies[task.index]!;
		return create(StartRequestSchema, {
			claim: job.claim,
			task: task.index,
			epoch: job.epoch,
			attempt: task.attempt,
			place: target.place,
			session: target.session,
			route: job.route,
			member: job.member,
			budgetMs: leftMs,
			body: body.bytes,
			contentType: body.contentType,
			cores: job.settings.cores,
			memoryMb: job.settings.memoryMb,
			accelerators: job.settings.accelerators,
			repeatable: job.repeatable,
			expectMs: task.expectMs,
			keyed: job.keyed,
			echo: this.dependencies.directory().echo(target.session),
			releases: this.releases.get(target.session)?.splice(0, maxReleasesPerStart),
		});
	}

	/** Classifies a reply; one that belongs to another task counts as no result. */
	private classifyReply(task: TaskAttempt, reply: StartReply, copies: number): StartOutcome {
		const {job} = task.execution;
		const {detail} = reply;
		if (reply.claim !== job.claim || reply.task !== task.index) {
			this.counts.dropped++;
			return {loss: 'unknown', detail: 'the reply belongs to another task'};
		}

		switch (reply.state) {
			case 'done': {
				return {reply, detail};
			}

			case 'refused': {
				const mayHaveStarted = reply.code === results.wrongSession.code && copies > 1;
				return {reply, loss: mayHaveStarted ? 'no-reply' : 'refused', detail};
			}

			case 'failed': {
				return {reply, loss: 'failed', detail};
			}

			default: {
				return {reply, loss: 'unknown', detail};
			}
		}
	}

	/** Looks up a task in the handover that a session wrote when it ended gracefully. */
	private async readFromHandover(task: TaskAttempt, target: StartTarget): Promise<StartOutcome> {
		const {claim, keyed} = task.execution.job;
		if (this.dependencies.watcher.sessions.get(target.session)?.value.ended !== 'graceful') {
			return {loss: 'no-reply', detail: 'the sidecar is gone'};
		}

		try {
			const handedTasks = await readHandover(this.dependencies.objects, target.session);
			const found = handedTasks?.find(other => other.claim === claim && other.task === task.index);
			if (found) {
				return {loss: 'no-reply', detail: 'ended at a sidecar that has left', handedTask: found};
			}

			// A handover lists only tasks of keyed jobs: for those alone, a missing task was not started.
			return {loss: handedTasks && keyed ? 'refused' : 'no-reply', detail: 'the sidecar has left'};
		} catch {
			return {loss: 'no-reply', detail: 'the handover cannot be read'};
		}
	}
}

/** Converts the reply to a finished task into the form that is stored and passed between entries. */
export function itemOf(reply: StartReply, place = reply.place?.name ?? ''): Item {
	return {
		body: Buffer.from(reply.body).toString('base64'), contentType: reply.contentType, place, ranMs: reply.ranMs,
	};
}
