import type {Row} from '../src/ports/table.js';
import type {Claim} from '../src/decide/claim.js';
import type {AuditEntry} from '../src/entry/operator-api.js';
import {resultOf} from '../src/results.js';
import type {Start} from '../src/standin/backend.js';

/** Promise names what must always hold. */
export type PromiseName = 'startsOnce' | 'whole' | 'zoneOut' | 'upstreamOut' | 'notRunTrue' | 'answered' | 'graceful' | 'configKept' | 'usageExact';

/** Submission is one try of a job or request, and what its caller was told. */
export type Told = {
	claim: string;
	entry: string;
	/** The bodies that were sent, in order. */
	bodies: readonly string[];
	/** Whether the route allows more than one start. */
	repeatable: boolean;
	/** Nothing when no answer came. */
	answer?: {result: number; tasks: readonly string[]};
	/** The code of the error that came instead of an answer. */
	error?: string;
	/** Whether the entry was only ever asked to stop gracefully, so that it owed an answer. */
	owed: boolean;
};

/** Removal is a time during which a zone or an upstream was out, in wall-clock milliseconds: from the accepted change to the next request to bring it back. */
export type Removal = {kind: 'zone' | 'upstream'; name: string; from: number; to: number};

/** AcceptedChange is a change that an operator was told is accepted. */
export type AcceptedChange = {change: string; row: string; version: number; value: unknown};

/** Evidence is all that the witnesses recorded in one run. */
export type Evidence = {
	starts: ReadonlyArray<Start & {zone: string; place: string}>;
	told: readonly Told[];
	removals: readonly Removal[];
	accepted: readonly AcceptedChange[];
	claims: ReadonlyArray<Row<Claim>>;
	usage: readonly Row[];
	audit: ReadonlyArray<Row<AuditEntry>>;
	config: readonly Row[];
};

/** Violations counts what broke, by promise. */
export type Violations = Record<PromiseName, number>;

/** How long after its removal a zone or an upstream may still start work, in milliseconds: the stated bound. */
const removalMs = 3000;

/** Judges a run by its witnesses. `notes` takes a line for each violation. */
export function check(evidence: Evidence, notes: string[] = []): Violations {
	const violations: Violations = {
		startsOnce: 0, whole: 0, zoneOut: 0, upstreamOut: 0, notRunTrue: 0, answered: 0, graceful: 0, configKept: 0, usageExact: 0,
	};
	const found = (promise: PromiseName, note: string) => {
		violations[promise]++;
		notes.push(`${promise}: ${note}`);
	};

	checkStarts(evidence, found);
	checkAnswers(evidence, found);
	checkRemovals(evidence, found);
	checkConfig(evidence, found);
	checkUsage(evidence, found);
	return violations;
}

type Found = (promise: PromiseName, note: string) => void;

function checkStarts({starts, told}: Evidence, found: Found): void {
	const repeatable = new Set(told.filter(one => one.repeatable).map(one => one.claim));
	const counts = new Map<string, number>();
	for (const {claim, task} of starts) {
		const id = `${claim}#${task}`;
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	for (const [id, count] of counts) {
		if (count > 1 && !id.startsWith('~') && !repeatable.has(id.slice(0, id.lastIndexOf('#')))) {
			found('startsOnce', `${id} started ${count} times`);
		}
	}
}

function checkAnswers({starts, told}: Evidence, found: Found): void {
	const started = new Set(starts.map(({claim}) => claim));
	const byClaim = group(told);
	for (const one of told) {
		if (!one.answer) {
			if (one.owed) {
				found('graceful', `${one.claim} at ${one.entry} got no answer (${one.error})`);
			}

			continue;
		}

		const {result, tasks} = one.answer;
		if (resultOf(result).kind === 'complete' && !isWhole(one.bodies, tasks)) {
			found('whole', `${one.claim}: ${tasks.length} of ${one.bodies.length} tasks, or another's`);
		}

		if (resultOf(result).kind === 'pending') {
			found('answered', `${one.claim} was left pending`);
		}
	}

	for (const [claim, tries] of byClaim) {
		const allNotRun = tries.every(one => one.answer !== undefined && resultOf(one.answer.result).kind === 'not-run');
		if (allNotRun && started.has(claim)) {
			found('notRunTrue', `${claim} was told not run ${tries.length} times and was started`);
		}
	}
}

function group(told: readonly Told[]): Map<string, Told[]> {
	const groups = new Map<string, Told[]>();
	for (const one of told) {
		groups.set(one.claim, [...groups.get(one.claim) ?? [], one]);
	}

	return groups;
}

/** The sample back ends answer with the size and the digest of what they were sent. */
function isWhole(bodies: readonly string[], tasks: readonly string[]): boolean {
	return bodies.length === tasks.length && bodies.every((digest, index) => (JSON.parse(tasks[index]!) as {digest: string}).digest === digest);
}

function checkRemovals({starts, removals}: Evidence, found: Found): void {
	for (const {kind, name, from, to} of removals) {
		const late = starts.filter(start => (kind === 'zone' ? start.zone : start.place) === name && start.at > from + removalMs && start.at < to);
		for (const start of late) {
			found(kind === 'zone' ? 'zoneOut' : 'upstreamOut', `${start.claim}#${start.task} started at ${name} ${start.at - from} ms after its removal`);
		}
	}
}

function checkConfig({accepted, audit, config}: Evidence, found: Found): void {
	for (const change of accepted) {
		const entries = audit.filter(row => row.key === change.change);
		if (entries.length !== 1) {
			found('configKept', `change ${change.change} stands ${entries.length} times in the audit trail`);
		}

		const row = config.find(({key}) => key === change.row);
		const newer = row !== undefined && row.version > change.version;
		if (!newer && JSON.stringify(row?.value) !== JSON.stringify(change.value)) {
			found('configKept', `${change.row} is not as change ${change.change} left it`);
		}
	}
}

function checkUsage({claims, usage, told}: Evidence, found: Found): void {
	const complete = claims.filter(row => row.value.state === 'closed' && row.value.outcome?.code === 0);
	const members = new Set([...complete.map(row => memberOf(row.key)), ...usage.map(row => row.key)]);
	for (const member of members) {
		const billed = (usage.find(row => row.key === member)?.value ?? {jobs: 0, tasks: 0}) as {jobs: number; tasks: number};
		const own = complete.filter(row => memberOf(row.key) === member);
		const unkeyed = told.filter(one => one.claim.startsWith('~') && one.claim.includes(`${member}:`) && one.answer?.result === 0).length;
		if (billed.jobs !== own.length + unkeyed && unkeyed === 0) {
			found('usageExact', `${member} is billed ${billed.jobs} jobs and has ${own.length} complete`);
		}
	}

	for (const one of told) {
		const row = claims.find(claim => claim.key === one.claim);
		if (one.answer?.result === 0 && row && (row.value.state !== 'closed' || row.value.outcome?.code !== 0)) {
			found('usageExact', `${one.claim} was told complete and stands as ${row.value.state} ${row.value.outcome?.code}`);
		}
	}
}

function memberOf(key: string): string {
	return key.slice(0, key.indexOf('/'));
}
