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
const unkeyedRetentionMs = 60_000;
/** The maximum bytes of answers in memory; beyond it the oldest are evicted. */
const maxReplyBytes = 4_000_000;

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
	private currentReleased = new Set<string>();
	private previousReleased = new Set<string>();
	private windowStartedAt: number;
	private replyBytes = 0;

	private constructor(private readonly windowMs: number, private readonly clock: Clock) {
		this.windowStartedAt = clock.mono();
	}

	/** Returns the state of a claim and creates it if needed. A released claim gets a fresh state that is not stored. */
	getOrCreate(claim: string, keyed: boolean): ClaimState {
		const existing = this.claims.get(claim);
		if (existing) {
			return existing;
		}

		if (this.currentReleased.has(claim) || this.previousReleased.has(claim)) {
			return {
				record: {...emptyRecord, released: true}, executions: new Map(), expiresAt: 0, keyed,
			};
		}

		const state = {
			record: emptyRecord, executions: new Map<number, TaskExecution>(), expiresAt: this.clock.mono() + (keyed ? this.windowMs : unkeyedRetentionMs), keyed,
		};
		this.claims.set(claim, state);
		return state;
	}

	/** Counts an answer towards the memory limit, and evicts answers when it is exceeded. */
	addReply(reply: StartReply): void {
		this.replyBytes += reply.body.length;
		this.evictReplies();
	}

	/** Drops the answers of a closed claim whose tasks have all ended. From then on nothing starts under it. */
	release(claim: string): void {
		const state = this.claims.get(claim);
		if (state && [...state.executions.values()].every(execution => execution.finalReply)) {
			if (state.keyed) {
				this.deleteClaim(claim, state);
				this.currentReleased.add(claim);
				return;
			}

			this.deleteReplies(state);
			state.record = {...state.record, released: true, tasks: new Map()};
		}
	}

	/** Deletes expired records. */
	sweep(): void {
		const now = this.clock.mono();
		if (now - this.windowStartedAt > this.windowMs) {
			this.previousReleased = this.currentReleased;
			this.currentReleased = new Set();
			this.windowStartedAt = now;
		}

		for (const [claim, state] of this.claims) {
			const isBusy = [...state.executions.values()].some(execution => !execution.finalReply);
			if (state.expiresAt < now && !isBusy) {
				this.deleteClaim(claim, state);
			}
		}
	}

	/** Whether no task is queued or running and every answer has been fetched. */
	get isIdle(): boolean {
		return [...this.claims.values()].every(state => [...state.executions.values()].every(execution => execution.finalReply && execution.fetched));
	}

	/** Returns the ended tasks of keyed claims that were not released, for the handover at a graceful stop. */
	tasksToHandOver(): HandedTask[] {
		return [...this.claims]
			.filter(([, state]) => state.keyed)
			.flatMap(([claim, state]) => endedReplies(state, claim).map(reply => toHandedTask(claim, reply, state.executions.get(reply.task)?.place.name ?? '')));
	}

	private deleteClaim(claim: string, state: ClaimState): void {
		this.deleteReplies(state);
		this.claims.delete(claim);
	}

	private deleteReplies(state: ClaimState): void {
		for (const execution of state.executions.values()) {
			this.replyBytes -= execution.finalReply?.body.length ?? 0;
		}

		state.executions.clear();
	}

	/** Evicts the oldest answers until they fit the memory limit, fetched ones first. */
	private evictReplies(): void {
		for (const fetchedOnly of [true, false]) {
			for (const state of this.claims.values()) {
				if (this.replyBytes <= maxReplyBytes) {
					return;
				}

				this.evictEnded(state, fetchedOnly);
			}
		}
	}

	private evictEnded(state: ClaimState, fetchedOnly: boolean): void {
		for (const [task, execution] of state.executions) {
			if (execution.finalReply && (execution.fetched || !fetchedOnly)) {
				this.replyBytes -= execution.finalReply.body.length;
				state.executions.delete(task);
			}
		}
	}
}

/** Returns the replies of the ended tasks of a claim; a task whose answer was evicted is reported as unknown. */
export function endedReplies({record, executions}: ClaimState, claim: string): StartReply[] {
	return [...record.tasks].flatMap(([task, state]) => state.kind === 'ended' ? [executions.get(task)?.finalReply ?? evictedReply({claim, epoch: record.epoch}, task)] : []);
}

/** Returns the reply for a task whose answer was evicted. */
export function evictedReply({claim, epoch}: {claim: string; epoch: number}, task: number): StartReply {
	return create(StartReplySchema, {
		claim, task, epoch, state: 'unknown', code: results.unknown.code, detail: 'the answer is no longer held',
	});
}

function toHandedTask(claim: string, reply: StartReply, place: string): HandedTask {
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
