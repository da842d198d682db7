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

/** Counters of a dispatcher, for the metrics. */
export type DispatchCounts = {sent: number; refused: number; askedAgain: number; placedAgain: number; hedges: number; hedgesLost: number; cancels: number; dropped: number; beats: number; pings: number};

/** Outgoing is a task of a run on its way to a place, which placement of it this is, and how long it usually takes on an ordinary place, in milliseconds; 0 when that is not known. */
export type TaskAttempt = {execution: JobExecution; index: number; attempt: number; expectMs: number};

/** Target is where a task goes: a sidecar's session and the place there; no place to join what runs. */
export type StartTarget = Pick<PlaceState, 'session' | 'address'> & {place: string};

/** Reply is what is known of a task in the end: its result, or what was lost, or what a handover says. */
export type StartOutcome = {loss?: AttemptFailure; reply?: StartReply; detail: string; handedTask?: HandedTask};

/** Parts is what an exchange is made of. */
export type Dependencies = {clock: Clock; peers: Peers; objects: ObjectStore; watcher: TableWatcher; directory: () => Pick<SidecarDirectory, 'gone' | 'silent' | 'echo' | 'doubt'>};

/** How long the reply to a start may come after the deadline, and the pauses between copies, in milliseconds. */
const graceMs = 1000;
const againMs = 60;
const againMostMs = 500;
/** So many refused connections in a row mean that the sidecar's process is gone. */
const deafLimit = 3;
/** How long a sidecar that fails to answer is asked again, in milliseconds: for a task that may be repeated, and for any other. */
const repeatableMs = 500;
const hopelessMs = 6000;
/** The most releases that one start carries. */
const releasesAtOnce = 50;

/** Exchange sends starts to sidecars and finds out what became of them. */
export class StartClient {
	static create(parts: Dependencies, counts: DispatchCounts): StartClient {
		return new StartClient(parts, counts);
	}

	private readonly releases = new Map<string, string[]>();

	private constructor(private readonly parts: Dependencies, private readonly counts: DispatchCounts) {}

	/** Tells the sidecars, with later starts, that what they hold for a claim may go. */
	release(claim: string, sessions: Iterable<string>): void {
		for (const session of sessions) {
			if (this.parts.directory().gone(session)) {
				this.releases.delete(session);
				continue;
			}

			const list = this.releases.get(session) ?? [];
			list.push(claim);
			this.releases.set(session, list);
		}
	}

	/** Sends a start and, while no reply comes, its copies to the same place; resolves to what is known in the end. */
	async send(task: TaskAttempt, target: StartTarget): Promise<StartOutcome> {
		const {execution: run} = task;
		const peer = this.parts.peers.sidecar(target.address);
		let deaf = 0;
		let failing: number | undefined;
		for (let copies = 1, pause = againMs; ; copies++, pause = Math.min(pause * 2, againMostMs)) {
			const left = run.job.deadline - this.parts.clock.mono();
			this.counts[copies === 1 ? 'sent' : 'askedAgain']++;
			try {
				const reply = await peer.start(this.request(task, target, left), {timeoutMs: Math.max(left, 0) + graceMs});
				return this.sort(task, reply, copies);
			} catch (error) {
				if (copies === 1 && wasNeverSent(error)) {
					this.parts.directory().doubt(target.session);
					return {loss: 'refused', detail: 'the sidecar does not listen'};
				}

				if (run.ended) {
					return {loss: 'unknown', detail: 'the run has ended'};
				}

				const now = this.parts.clock.mono();
				failing ??= now;
				deaf = wasNeverSent(error) ? deaf + 1 : 0;
				if (copies > 1) {
					this.parts.directory().doubt(target.session);
				}

				if (deaf >= deafLimit || this.hopeless(target.session, now - failing, run.job.repeatable)) {
					return this.lookUp(task, target);
				}
			}

			await this.parts.clock.sleep(pause);
		}
	}

	/** Whether a session that fails to answer for so long is asked no more; sooner for what may be repeated. */
	private hopeless(session: string, failingMs: number, repeatable: boolean): boolean {
		const roster = this.parts.directory();
		return failingMs > (repeatable ? repeatableMs : hopelessMs) || roster.gone(session) || roster.silent(session);
	}

	private request(task: TaskAttempt, target: StartTarget, left: number): StartRequest {
		const {job: work} = task.execution;
		const body = work.bodies[task.index]!;
		return create(StartRequestSchema, {
			claim: work.claim,
			task: task.index,
			epoch: work.epoch,
			attempt: task.attempt,
			place: target.place,
			session: target.session,
			route: work.route,
			member: work.member,
			budgetMs: left,
			body: body.bytes,
			contentType: body.contentType,
			cores: work.settings.cores,
			memoryMb: work.settings.memoryMb,
			accelerators: work.settings.accelerators,
			repeatable: work.repeatable,
			expectMs: task.expectMs,
			keyed: work.keyed,
			echo: this.parts.directory().echo(target.session),
			releases: this.releases.get(target.session)?.splice(0, releasesAtOnce),
		});
	}

	/** Matches a reply with what was asked; one that belongs elsewhere counts as none. */
	private sort(task: TaskAttempt, reply: StartReply, copies: number): StartOutcome {
		const {job: work} = task.execution;
		const {detail} = reply;
		if (reply.claim !== work.claim || reply.task !== task.index) {
			this.counts.dropped++;
			return {loss: 'unknown', detail: 'the reply belongs to another task'};
		}

		switch (reply.state) {
			case 'done': {
				return {reply, detail};
			}

			case 'refused': {
				const unsure = reply.code === results.wrongSession.code && copies > 1;
				return {reply, loss: unsure ? 'no-reply' : 'refused', detail};
			}

			case 'failed': {
				return {reply, loss: 'failed', detail};
			}

			default: {
				return {reply, loss: 'unknown', detail};
			}
		}
	}

	/** Looks a task up in what a session handed over when it ended gracefully. */
	private async lookUp(task: TaskAttempt, target: StartTarget): Promise<StartOutcome> {
		const {claim, keyed} = task.execution.job;
		if (this.parts.watcher.sessions.get(target.session)?.value.ended !== 'graceful') {
			return {loss: 'no-reply', detail: 'the sidecar is gone'};
		}

		try {
			const handed = await readHandover(this.parts.objects, target.session);
			const found = handed?.find(other => other.claim === claim && other.task === task.index);
			if (found) {
				return {loss: 'no-reply', detail: 'ended at a sidecar that has left', handedTask: found};
			}

			// A handover lists what was started under keys: only there does its silence mean "not started".
			return {loss: handed && keyed ? 'refused' : 'no-reply', detail: 'the sidecar has left'};
		} catch {
			return {loss: 'no-reply', detail: 'the handover cannot be read'};
		}
	}
}

/** Returns a finished task's answer as it is stored and passed between entries. */
export function itemOf(reply: StartReply, place = reply.place?.name ?? ''): Item {
	return {
		body: Buffer.from(reply.body).toString('base64'), contentType: reply.contentType, place, ranMs: reply.ranMs,
	};
}
