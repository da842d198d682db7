import {results} from '../results.js';

/** TaskRecord is what a sidecar remembers of one task. */
export type TaskRecord
	= | {kind: 'queued'; attempt: number}
		| {kind: 'running'; attempt: number}
		| {kind: 'ended'; attempt: number}
		| {kind: 'refused'; attempt: number; code: number};

/** ClaimRecord is what a sidecar remembers of one claim. */
export type ClaimRecord = {
	/** The highest epoch heard; a lower one is refused. */
	epoch: number;
	/** A released claim is over: nothing more starts under it. */
	released: boolean;
	tasks: ReadonlyMap<number, TaskRecord>;
};

/** Ask is a request to start a task. */
export type StartAttempt = {task: number; epoch: number; attempt: number};

/** Standing is what must hold for any start at a place. */
export type PlaceConditions = {
	draining: boolean;
	isZoneInService: boolean;
	isUpstreamInService: boolean;
	/** Whether the configuration was confirmed lately enough. */
	isConfigConfirmed: boolean;
};

/** Conditions are what else must hold at the moment of a start. */
export type StartConditions = PlaceConditions & {
	/** Whether the place could begin the task now. */
	hasFreeSlot: boolean;
	/** Whether the place's queue has room. */
	hasQueueSpace: boolean;
};

/** Verdict is what to do with a request to start. */
export type StartDecision
	= | {kind: 'run'}
		| {kind: 'queue'}
	/** The task was started before: answer with what it came to, when it has. */
		| {kind: 'join'}
		| {kind: 'refuse'; code: number};

/** The record of a claim not heard of before. */
export const emptyRecord: ClaimRecord = {epoch: 0, released: false, tasks: new Map()};

/**
 * Judges a request to start a task: the last gate before work begins.
 *
 * A refusal holds for every copy of the same attempt, so that a copy delayed on the way cannot
 * start a task that its owner has placed elsewhere since.
 */
export function decideStart(record: ClaimRecord, ask: StartAttempt, conditions: StartConditions): StartDecision {
	if (ask.epoch < record.epoch || record.released) {
		return {kind: 'refuse', code: results.staleEpoch.code};
	}

	const task = record.tasks.get(ask.task);
	switch (task?.kind) {
		case 'queued':
		case 'running':
		case 'ended': {
			return {kind: 'join'};
		}

		case 'refused': {
			if (ask.epoch === record.epoch && ask.attempt <= task.attempt) {
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

/** Returns the code of what forbids any start now, if anything does. It is asked again when a queued task's turn comes. */
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

/** Returns the record with one task set, under the epoch of the request if that is higher. */
export function withTask(record: ClaimRecord, task: number, state: TaskRecord, epoch = record.epoch): ClaimRecord {
	return {...record, epoch: Math.max(epoch, record.epoch), tasks: new Map(record.tasks).set(task, state)};
}

/** Returns the record under at least this epoch. Refusals under a lower epoch stop counting. */
export function withEpoch(record: ClaimRecord, epoch: number): ClaimRecord {
	if (epoch <= record.epoch) {
		return record;
	}

	return {...record, epoch, tasks: new Map([...record.tasks].filter(([, task]) => task.kind !== 'refused'))};
}
