import {results} from '../results.js';

/** TaskRecord is the state of one task at a sidecar. */
export type TaskRecord
	= | {kind: 'queued'; attempt: number}
		| {kind: 'running'; attempt: number}
		| {kind: 'ended'; attempt: number}
		| {kind: 'refused'; attempt: number; code: number};

/** ClaimRecord is the state of one claim at a sidecar. */
export type ClaimRecord = {
	/** The highest epoch received; requests with a lower one are refused. */
	epoch: number;
	/** Whether the claim was released: nothing more starts under it. */
	released: boolean;
	tasks: ReadonlyMap<number, TaskRecord>;
};

/** StartAttempt identifies one attempt to start a task. */
export type StartAttempt = {task: number; epoch: number; attempt: number};

/** PlaceConditions are the conditions for any start at a place. */
export type PlaceConditions = {
	draining: boolean;
	isZoneInService: boolean;
	isUpstreamInService: boolean;
	/** Whether the configuration was confirmed recently enough. */
	isConfigConfirmed: boolean;
};

/** StartConditions add the conditions that are checked for one task. */
export type StartConditions = PlaceConditions & {
	/** Whether the place can begin the task now. */
	hasFreeSlot: boolean;
	/** Whether the place's queue has room. */
	hasQueueSpace: boolean;
};

/** StartDecision is how a start request is answered. */
export type StartDecision
	= | {kind: 'run'}
		| {kind: 'queue'}
	/** The task was accepted before: answer with its result once it has one. */
		| {kind: 'join'}
		| {kind: 'refuse'; code: number};

/** The record of a claim that is not known yet. */
export const emptyRecord: ClaimRecord = {epoch: 0, released: false, tasks: new Map()};

/**
 * Decides whether a requested task starts, as the last check before it runs.
 *
 * A refusal applies to every copy of the same attempt, so that a copy delayed in transit cannot
 * start a task that its owner has placed elsewhere since.
 */
export function decideStart(record: ClaimRecord, request: StartAttempt, conditions: StartConditions): StartDecision {
	if (request.epoch < record.epoch || record.released) {
		return {kind: 'refuse', code: results.staleEpoch.code};
	}

	const task = record.tasks.get(request.task);
	switch (task?.kind) {
		case 'queued':
		case 'running':
		case 'ended': {
			return {kind: 'join'};
		}

		case 'refused': {
			if (request.epoch === record.epoch && request.attempt <= task.attempt) {
				return {kind: 'refuse', code: task.code};
			}

			break;
		}

		case undefined: {
			break;
		}
	}

	const code = refusalCode(conditions);
	if (code !== undefined) {
		return {kind: 'refuse', code};
	}

	if (conditions.hasFreeSlot) {
		return {kind: 'run'};
	}

	return conditions.hasQueueSpace ? {kind: 'queue'} : {kind: 'refuse', code: results.full.code};
}

/** Returns the result code of the condition that forbids starts now, if any. Checked again when a queued task reaches the head of the queue. */
export function refusalCode(conditions: PlaceConditions): number | undefined {
	if (conditions.draining) {
		return results.sidecarDraining.code;
	}

	if (!conditions.isConfigConfirmed) {
		return results.unconfirmed.code;
	}

	if (!conditions.isZoneInService) {
		return results.zoneOut.code;
	}

	return conditions.isUpstreamInService ? undefined : results.upstreamOut.code;
}

/** Returns the record with the state of one task set, and the epoch raised to that of the request if that is higher. */
export function withTask(record: ClaimRecord, task: number, state: TaskRecord, epoch = record.epoch): ClaimRecord {
	return {...record, epoch: Math.max(epoch, record.epoch), tasks: new Map(record.tasks).set(task, state)};
}

/** Returns the record with its epoch raised to at least this one. Refusals from a lower epoch are dropped. */
export function withEpoch(record: ClaimRecord, epoch: number): ClaimRecord {
	if (epoch <= record.epoch) {
		return record;
	}

	return {...record, epoch, tasks: new Map([...record.tasks].filter(([, task]) => task.kind !== 'refused'))};
}
