import type {FastifyReply, FastifyRequest} from 'fastify';
import type * as z from 'zod';
import type {Outcome} from '../decide/claim.js';
import {
	Failure, resultOf, results, type Result,
} from '../results.js';
import {describeIssue} from '../settings/load.js';
import {decodeJson} from '../text.js';

/** Details of a problem document: what was wrong, additional members, and the delay before a retry in milliseconds. */
export type ProblemDetails = {detail?: string; extra?: Record<string, unknown>; retryMs?: number};

/** Sends a problem document (RFC 9457) with the result code. */
export async function sendProblem(reply: FastifyReply, result: Result, {detail = result.text, extra, retryMs}: ProblemDetails = {}): Promise<FastifyReply> {
	setResultHeaders(reply, result, retryMs);
	return reply.code(result.status).type('application/problem+json').send({
		type: `urn:sniperidge:result:${result.code}`,
		title: result.text,
		status: result.status,
		detail,
		result: result.code,
		name: result.name,
		kind: result.kind,
		resubmit: result.resubmit,
		...(retryMs === undefined ? {} : {retryMs: Math.ceil(retryMs)}),
		...extra,
	});
}

/** Sends the problem document of an outcome other than complete. */
export async function sendOutcome(reply: FastifyReply, outcome: Outcome & {retryMs?: number}, extra: Record<string, unknown> = {}): Promise<FastifyReply> {
	const result = resultOf(outcome.code);
	return sendProblem(reply, result, {detail: outcome.detail, extra, retryMs: outcome.retryMs});
}

/** Sets the headers of the result code and, where a retry makes sense, of the delay before it. */
export function setResultHeaders(reply: FastifyReply, result: Result, retryMs?: number): void {
	void reply.header('sniperidge-result', String(result.code));
	if (result.resubmit === 'later' || retryMs !== undefined) {
		void reply.header('retry-after', String(Math.max(1, Math.ceil((retryMs ?? 1000) / 1000))));
	}
}

/** Sends the problem document of a thrown error: of a `Failure` its own result, otherwise the result that fits the error. */
export async function sendError(reply: FastifyReply, error: Error & {code?: string; statusCode?: number}): Promise<FastifyReply> {
	if (error instanceof Failure) {
		return sendProblem(reply, error.result, {detail: error.message, extra: error.extra});
	}

	if (error.name === 'StoreError') {
		return sendProblem(reply, resultOf(results.storeUnavailable.code), {detail: error.message});
	}

	if (error.code === 'FST_ERR_CTP_BODY_TOO_LARGE') {
		return sendProblem(reply, resultOf(results.bodyTooLarge.code), {detail: error.message});
	}

	const code = (error.statusCode ?? 500) < 500 ? results.badInput.code : results.unknown.code;
	return sendProblem(reply, resultOf(code), {detail: error.message});
}

/** Returns the body of a request that is read as bytes. */
export function bytesOf({body}: FastifyRequest): Uint8Array {
	return body instanceof Uint8Array ? body : new Uint8Array();
}

/** Decodes JSON and validates it against a schema. Throws `Failure` that names the invalid fields. */
export function parseBody<Schema extends z.ZodType>(schema: Schema, body: Uint8Array, name: 'badInput' | 'badChange'): z.infer<Schema> {
	let value: unknown;
	try {
		value = decodeJson(body);
	} catch (error) {
		throw Failure.create(name, `the body is not JSON: ${(error as Error).message}`);
	}

	return checkValue(schema, value, name);
}

/** Validates a value against a schema. Throws `Failure` that names the invalid fields. */
export function checkValue<Schema extends z.ZodType>(schema: Schema, value: unknown, name: 'badInput' | 'badChange'): z.infer<Schema> {
	const parsed = schema.safeParse(value);
	if (!parsed.success) {
		throw Failure.create(name, parsed.error.issues.map(issue => describeIssue(issue, value)).join('; '));
	}

	return parsed.data;
}
