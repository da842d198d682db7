import * as z from 'zod';
import {resultOf, results} from '../results.js';
import {schemas} from '../settings/schema.js';
import {jobSchema} from './caller-api.js';

type Document = Record<string, unknown>;

const version = '0.1.0';
/** Codes from here up to 199 are used between processes only. */
const firstInternalCode = 150;

/** Returns the OpenAPI document of the caller API, built from the schemas that validate requests. */
export function callerDocument(): Document {
	const key = parameter('key', 'path', 'The caller\'s name for the job, unique within the member.');
	return {
		openapi: '3.1.0',
		info: {title: 'sniperidge', version},
		components: {securitySchemes: {token: {type: 'http', scheme: 'bearer'}}},
		security: [{token: []}],
		paths: {
			'/v1/jobs/{key}': {
				put: {
					summary: 'Submits a job and waits for its whole answer.',
					parameters: [key, parameter('Prefer', 'header', 'respond-async: answer 202 once the job is accepted.'), deadline()],
					requestBody: json(jobSchema),
					responses: responses('complete', 'pending', 'not-run', 'failed'),
				},
				get: {summary: 'Returns the job\'s answer, or 202 while it runs.', parameters: [key], responses: responses('complete', 'pending', 'not-run', 'failed')},
				delete: {summary: 'Cancels the job; the answer says whether anything had started.', parameters: [key], responses: responses('complete', 'pending', 'not-run', 'failed')},
			},
			'/v1/routes/{route}': {
				post: {
					summary: 'Sends one body to the route\'s pool and returns its answer.',
					parameters: [parameter('route', 'path', 'The name of the route.'), parameter('Idempotency-Key', 'header', 'Makes the request run at most once under this key.'), deadline()],
					requestBody: {content: {'*/*': {}}},
					responses: responses('complete', 'not-run', 'failed'),
				},
			},
		},
	};
}

/** Returns the OpenAPI document of the operator API. */
export function operatorDocument(): Document {
	const name = parameter('name', 'path', 'The row\'s name.');
	const change = parameter('Sniperidge-Change-Id', 'header', 'Makes a change apply once however often it is sent.');
	const paths: Document = {};
	for (const [table, schema] of Object.entries(schemas)) {
		paths[`/v1/admin/${table}`] = {get: {summary: `Lists ${table}.`, responses: responses('operator')}};
		paths[`/v1/admin/${table}/{name}`] = {
			get: {summary: 'Returns a row; its ETag is its version.', parameters: [name], responses: responses('operator')},
			put: {
				summary: 'Writes a row if its version is still the one named.',
				parameters: [name, change, parameter('If-Match', 'header', 'The version to replace.'), parameter('If-None-Match', 'header', '* to make a new row.')],
				requestBody: json(schema),
				responses: responses('operator'),
			},
			delete: {
				summary: 'Deletes a row if its version is still the one named.',
				parameters: [name, change, parameter('If-Match', 'header', 'The version to delete.')],
				responses: responses('operator'),
			},
		};
	}

	for (const [path, summary] of [
		['audit', 'Lists the newest changes, or those after the version `after`; at most `limit`.'],
		['status', 'Returns the processes and the configuration in force.'],
		['usage', 'Returns the usage of each member.'],
	] as const) {
		paths[`/v1/admin/${path}`] = {get: {summary, responses: responses('operator')}};
	}

	return {
		openapi: '3.1.0',
		info: {title: 'sniperidge, for operators', version},
		components: {securitySchemes: {token: {type: 'http', scheme: 'bearer'}}},
		security: [{token: []}],
		paths,
	};
}

function parameter(name: string, location: 'path' | 'header', description: string): Document {
	return {
		name, in: location, description, required: location === 'path', schema: {type: 'string'},
	};
}

function deadline(): Document {
	return parameter('Sniperidge-Deadline-Ms', 'header', 'Milliseconds from now by which the answer is of use.');
}

function json(schema: z.ZodType): Document {
	return {required: true, content: {'application/json': {schema: z.toJSONSchema(schema, {io: 'input'})}}};
}

function responses(...kinds: string[]): Document {
	const found: Document = {};
	for (const {code} of Object.values(results)) {
		const {status, kind, name, text} = resultOf(code);
		if (kinds.includes(kind) && (code < firstInternalCode || code >= results.taskFailed.code)) {
			const known = found[status] as {description: string} | undefined;
			found[status] = {description: `${known ? `${known.description} ` : ''}${code} ${name}: ${text}`};
		}
	}

	return {200: {description: 'Done.'}, ...found};
}
