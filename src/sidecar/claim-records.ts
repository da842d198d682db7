import {Buffer} from 'node:buffer';
import {create} from '@bufbuild/protobuf';
import {StartReplySchema, type StartReply, type StartRequest} from '../../gen/sniperidge/v1/peer_pb.js';
import {emptyRecord, type ClaimRecord} from '../decide/start-check.js';
import type {HandedTask} from '../decide/handover.js';
import type {Clock} from '../ports/clock.js';
import {results} from '../results.js';
import type {Place} from './place.js';

/** TaskExecution is a task in memory that is queued, runs or has ended here. Times are monotonic milliseconds. */
export type TaskExecution = {
	request: StartRequest;
	place: Place;
	queuedAt: number;
	startedAt: number;
	abortController: AbortController;
	reply: Promise<StartReply>;
	finalReply?: StartReply;
	fetched: boolean;
	timer?: NodeJS.Timeout;
	resolve(reply: StartReply): void;
};

/** ClaimState is the record of one claim and its tasks in memory. It expires at `expiresAt` of the monotonic clock. */
export type ClaimState = {record: ClaimRecord; executions: Map<number, TaskExecution>; expiresAt: number; keyed: boolean};

/** How long records of requests without a key are kept, in milliseconds: as long as a copy of a start may be delayed. */
const unkeyedMs = 60_000;
/** The maximum bytes of answers in memory; beyond it the oldest are evicted. */
const heldLimit = 4_000_000;

/**
 * ClaimRecords keeps the idempotency records of a sidecar: the tasks and answers of open claims, and
 * only the keys of released ones, for at least the claim window. Requests without a key are kept for
 * as long as a copy of a start may be delayed.
 */
export class ClaimRecords {
	static create(windowMs: number, clock: Clock): ClaimRecords {
		return new ClaimRecords(windowMs, clock);
	}

	private readonly claims = new Map<string, ClaimState>();
	/** The claims released in the current window and in the one before it. */
	private released = new Set<string>();
	private earlier = new Set<string>();
	private turnedAt: number;
	private heldBytes = 0;

	private constructor(private readonly windowMs: number, private readonly clock: Clock) {
		this.turnedAt = clock.mono();
	}

	/** Returns the state of a claim and creates it if needed. A released claim gets a fresh state that is not stored. */
	getOrCreate(claim: string, keyed: boolean): ClaimState {
		const known = this.claims.get(claim);
		if (known) {
			return known;
		}

		if (this.released.has(claim) || this.earlier.has(claim)) {
			return {
				record: {...emptyRecord, released: true}, executions: new Map(), expiresAt: 0, keyed,
			};
		}

		const held = {
			record: emptyRecord, executions: new Map<number, TaskExecution>(), expiresAt: this.clock.mono() + (keyed ? this.windowMs : unkeyedMs), keyed,
		};
		this.claims.set(claim, held);
		return held;
	}

	/** Counts an answer towards the memory limit, and evicts answers when it is exceeded. */
	addReply(reply: StartReply): void {
		this.heldBytes += reply.body.length;
		this.trim();
	}

	/** Drops the answers of a closed claim whose tasks have all ended. From then on nothing starts under it. */
	release(claim: string): void {
		const held = this.claims.get(claim);
		if (held && [...held.executions.values()].every(live => live.finalReply)) {
			if (held.keyed) {
				this.forget(claim, held);
				this.released.add(claim);
				return;
			}

			this.dropAnswers(held);
			held.record = {...held.record, released: true, tasks: new Map()};
		}
	}

	/** Deletes expired records. */
	sweep(): void {
		const now = this.clock.mono();
		if (now - this.turnedAt > this.windowMs) {
			this.earlier = this.released;
			this.released = new Set();
			this.turnedAt = now;
		}

		for (const [claim, held] of this.claims) {
			const busy = [...held.executions.values()].some(live => !live.finalReply);
			if (held.expiresAt < now && !busy) {
				this.forget(claim, held);
			}
		}
	}

	/** Whether no task is queued or running and every answer has been fetched. */
	get isIdle(): boolean {
		return [...this.claims.values()].every(held => [...held.executions.values()].every(live => live.finalReply && live.fetched));
	}

	/** Returns the ended tasks of keyed claims that were not released, for the handover at a graceful stop. */
	tasksToHandOver(): HandedTask[] {
		return [...this.claims]
			.filter(([, held]) => held.keyed)
			.flatMap(([claim, held]) => endedReplies(held, claim).map(reply => handed(claim, reply, held.executions.get(reply.task)?.place.name ?? '')));
	}

	private forget(claim: string, held: ClaimState): void {
		this.dropAnswers(held);
		this.claims.delete(claim);
	}

	private dropAnswers(held: ClaimState): void {
		for (const live of held.executions.values()) {
			this.heldBytes -= live.finalReply?.body.length ?? 0;
		}

		held.executions.clear();
	}

	/** Evicts the oldest answers until they fit the memory limit, fetched ones first. */
	private trim(): void {
		for (const fetchedOnly of [true, false]) {
			for (const held of this.claims.values()) {
				if (this.heldBytes <= heldLimit) {
					return;
				}

				this.dropEnded(held, fetchedOnly);
			}
		}
	}

	private dropEnded(held: ClaimState, fetchedOnly: boolean): void {
		for (const [task, live] of held.executions) {
			if (live.finalReply && (live.fetched || !fetchedOnly)) {
				this.heldBytes -= live.finalReply.body.length;
				held.executions.delete(task);
			}
		}
	}
}

/** Returns the replies of the ended tasks of a claim; a task whose answer was evicted is reported as unknown. */
export function endedReplies({record, executions: live}: ClaimState, claim: string): StartReply[] {
	return [...record.tasks].flatMap(([task, state]) => state.kind === 'ended' ? [live.get(task)?.finalReply ?? evictedReply({claim, epoch: record.epoch}, task)] : []);
}

/** Returns the reply for a task whose answer was evicted. */
export function evictedReply({claim, epoch}: {claim: string; epoch: number}, task: number): StartReply {
	return create(StartReplySchema, {
		claim, task, epoch, state: 'unknown', code: results.unknown.code, detail: 'the answer is no longer held',
	});
}

function handed(claim: string, reply: StartReply, place: string): HandedTask {
	return {
		claim,
		task: reply.task,
		state: reply.state,
		code: reply.code,
		detail: reply.detail,
		body: Buffer.from(reply.body).toString('base64'),
		contentType: reply.contentType,
		ranMs: reply.ranMs,
		place,
	};
}
