import {Buffer, isUtf8} from 'node:buffer';
import {createHash} from 'node:crypto';
import fastify, {type FastifyInstance, type FastifyReply, type FastifyRequest} from 'fastify';
import * as z from 'zod';
import type {Item} from '../decide/claim.js';
import type {Clock} from '../ports/clock.js';
import {Failure, resultOf, results} from '../results.js';
import {nameSchema, type Route} from '../settings/schema.js';
import type {TableWatcher} from './table-watcher.js';
import type {JobService} from './jobs.js';
import {closeConnectionsWhenStopping} from './listener.js';
import type {EntryMetrics} from './metrics.js';
import {callerDocument} from './openapi.js';
import {
	bytesOf, parseBody, sendError, sendOutcome, setResultHeaders,
} from './problem.js';
import type {TaskInput} from './job-execution.js';
import type {JobAnswer, Submission} from './submission.js';

/** The most tasks that a job may have. */
export const taskLimit = 270;

const maxDeadlineMs = 600_000;

/** Returns whether a text is base64 (RFC 4648, sections 4 and 5), with or without padding and line breaks. `Buffer` passes over anything else in it. */
function isBase64(text: string): boolean {
	const digits = text.replaceAll(/\s/gv, '').replace(/={0,2}$/v, '');
	return /^[\w\-+\/]*$/v.test(digits) && digits.length % 4 !== 1;
}

/** The body of `PUT /v1/jobs/{key}`. */
export const jobSchema = z.strictObject({
	route: nameSchema,
	deadlineMs: z.number().positive().max(maxDeadlineMs).optional(),
	tasks: z.array(z.strictObject({
		body: z.string(),
		encoding: z.enum(['utf8', 'base64']).default('utf8'),
		expectMs: z.number().positive().max(maxDeadlineMs).optional(),
		contentType: z.string().max(200).regex(/^[\u0020-\u007E]+$/v, 'printable ASCII').default('application/json'),
	}).refine(({body, encoding}) => encoding === 'utf8' || isBase64(body), {path: ['body'], error: 'expected base64'})).min(1).max(taskLimit),
});

/** A job's key: no slash, no control character, at most 200 characters. */
export const keySchema = z.string().regex(/^[\w.:\-]{1,200}$/v, 'only letters, digits, dot, colon, dash and underscore, at most 200');

export type Dependencies = {clock: Clock; watcher: TableWatcher; jobs: JobService; metrics: EntryMetrics; maxBodyBytes: number; isJoined(): boolean; isReady(): boolean};

/** How long an idle connection is kept according to the `keep-alive` header, in milliseconds. */
export const keepAliveMs = 5000;
/** How long an idle connection is really kept, in milliseconds: far longer, so that a process that was suspended does not close it although a request arrived meanwhile. */
const idleMs = 72_000;

/** Builds the caller API: jobs, requests, health, metrics and the OpenAPI document. */
export function buildCallerApi(dependencies: Dependencies): FastifyInstance {
	const app = fastify({
		bodyLimit: dependencies.maxBodyBytes, routerOptions: {maxParamLength: 300}, forceCloseConnections: 'idle', keepAliveTimeout: idleMs,
	});
	app.removeAllContentTypeParsers();
	app.addContentTypeParser('*', {parseAs: 'buffer'}, (_request, body, done) => {
		done(null, body);
	});
	app.setErrorHandler(async (error: Error, _request, reply) => sendError(reply, error));
	app.setNotFoundHandler(async (_request, reply) => sendError(reply, Failure.create('notFound')));
	app.addHook('onResponse', async (request, reply) => {
		dependencies.metrics.countResponse(request.routeOptions.url ?? '', String(reply.getHeader('sniperidge-result') ?? ''));
	});
	closeConnectionsWhenStopping(app, () => dependencies.jobs.isDraining, {connection: 'keep-alive', 'keep-alive': `timeout=${keepAliveMs / 1000}`});
	const handlers = new CallerHandlers(dependencies);
	app.put('/v1/jobs/:key', async (request, reply) => handlers.put(request, reply));
	app.get('/v1/jobs/:key', async (request, reply) => handlers.get(request, reply));
	app.delete('/v1/jobs/:key', async (request, reply) => handlers.cancel(request, reply));
	app.post('/v1/routes/:route', async (request, reply) => handlers.post(request, reply));
	app.get('/openapi.json', async () => callerDocument());
	app.get('/livez', async () => 'ok\n');
	app.get('/readyz', async (_request, reply) => reply.code(dependencies.isReady() ? 200 : 503).send(dependencies.isReady() ? 'ready\n' : 'not ready\n'));
	app.get('/metrics', async (_request, reply) => reply.type(dependencies.metrics.contentType).send(await dependencies.metrics.text()));
	return app;
}

class CallerHandlers {
	constructor(private readonly dependencies: Dependencies) {}

	async put(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
		const member = this.memberOf(request);
		const key = keyOf(request);
		const job = parseBody(jobSchema, bytesOf(request), 'badInput');
		const settings = this.routeOf(job.route, member);
		const bodies = job.tasks.map(task => ({bytes: Buffer.from(task.body, task.encoding), contentType: task.contentType, expectMs: task.expectMs}));
		checkSizes(bodies, settings);
		const submission = {
			member,
			key,
			hash: hashOf(job.route, bodies),
			route: job.route,
			settings,
			repeatable: false,
			bodies,
			deadline: this.deadline(request, job.deadlineMs ?? settings.deadlineMs),
		};
		const {jobs} = this.dependencies;
		const prefersAsync = String(request.headers.prefer ?? '').includes('respond-async');
		const answer = prefersAsync ? await jobs.accept(submission) : await jobs.submit(submission);
		this.count(submission, answer);
		return this.answerJob(reply, key, answer);
	}

	async get(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
		const member = this.memberOf(request);
		const key = keyOf(request);
		return this.answerJob(reply, key, await this.dependencies.jobs.lookUp(member, key));
	}

	async cancel(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
		const member = this.memberOf(request);
		const key = keyOf(request);
		return this.answerJob(reply, key, await this.dependencies.jobs.cancel(member, key));
	}

	async post(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
		const member = this.memberOf(request);
		const {route} = (request.params as {route: string});
		const settings = this.routeOf(route, member);
		const bytes = bytesOf(request);
		const bodies = [{bytes, contentType: String(request.headers['content-type'] ?? 'application/octet-stream'), expectMs: milliseconds(request, 'sniperidge-expect-ms')}];
		checkSizes(bodies, settings);
		const idempotencyKey = request.headers['idempotency-key'];
		const key = idempotencyKey === undefined ? undefined : `request:${check(keySchema, String(idempotencyKey), 'Idempotency-Key')}`;
		const submission: Submission = {
			member,
			key,
			hash: hashOf(route, bodies),
			route,
			settings,
			repeatable: settings.repeatable && key === undefined,
			bodies,
			deadline: this.deadline(request, settings.deadlineMs),
		};
		const answer = await this.dependencies.jobs.submit(submission);
		this.count(submission, answer);
		const [item] = answer.items ?? [];
		if (answer.code !== results.complete.code || !item) {
			return sendOutcome(reply, answer);
		}

		setResultHeaders(reply, resultOf(answer.code));
		return reply.code(200).type(item.contentType).header('sniperidge-place', item.place).send(Buffer.from(item.body, 'base64'));
	}

	private async answerJob(reply: FastifyReply, key: string, answer: JobAnswer): Promise<FastifyReply> {
		const result = resultOf(answer.code);
		if (result.kind === 'complete') {
			setResultHeaders(reply, result);
			return reply.code(200).send({
				result: result.code, name: result.name, key, tasks: (answer.items ?? []).map(item => renderItem(item)),
			});
		}

		if (result.kind === 'pending') {
			setResultHeaders(reply, result);
			return reply.code(result.status).header('location', `/v1/jobs/${key}`).send({result: result.code, name: result.name, key});
		}

		return sendOutcome(reply, answer, {key});
	}

	private memberOf(request: FastifyRequest): string {
		if (!this.dependencies.isJoined()) {
			throw Failure.create('notReady');
		}

		const [, token] = /^Bearer (.+)$/v.exec(request.headers.authorization ?? '') ?? [];
		const member = token && this.dependencies.watcher.config.memberByTokenHash(createHash('sha256').update(token).digest('hex'));
		if (!member) {
			throw Failure.create('noToken');
		}

		return member;
	}

	private routeOf(route: string, member: string): Route {
		const settings = this.dependencies.watcher.config.tables.routes.get(check(nameSchema, route, 'route'))?.value;
		if (!settings) {
			throw Failure.create('noRoute', `there is no route ${route}`);
		}

		if (settings.members && !settings.members.includes(member)) {
			throw Failure.create('notAllowed');
		}

		return settings;
	}

	private deadline(request: FastifyRequest, defaultMs: number): number {
		return this.dependencies.clock.mono() + (milliseconds(request, 'sniperidge-deadline-ms') ?? defaultMs);
	}

	private count(submission: Submission, answer: JobAnswer): void {
		this.dependencies.metrics.countResult(submission.route, submission.member, answer.code);
	}
}

function keyOf(request: FastifyRequest): string {
	return check(keySchema, (request.params as {key: string}).key, 'key');
}

function milliseconds(request: FastifyRequest, header: string): number | undefined {
	const text = request.headers[header];
	if (text === undefined) {
		return undefined;
	}

	const ms = Number(text);
	if (!(ms > 0 && ms <= maxDeadlineMs)) {
		throw Failure.create('badInput', `${header}: a number of milliseconds, over 0 and up to ${maxDeadlineMs}, found ${JSON.stringify(text)}`);
	}

	return ms;
}

function check(schema: z.ZodString, value: string, field: string): string {
	const parsed = schema.safeParse(value);
	if (!parsed.success) {
		throw Failure.create('badInput', `${field}: ${parsed.error.issues[0]?.message ?? ''}, found ${JSON.stringify(value).slice(0, 100)}`);
	}

	return parsed.data;
}

function checkSizes(bodies: readonly TaskInput[], settings: Route): void {
	const large = bodies.findIndex(body => body.bytes.length > settings.maxBodyBytes);
	if (large !== -1) {
		throw Failure.create('bodyTooLarge', `task ${large}: at most ${settings.maxBodyBytes} bytes, found ${bodies[large]!.bytes.length}`);
	}
}

function hashOf(route: string, bodies: readonly TaskInput[]): string {
	const hash = createHash('sha256').update(route);
	for (const body of bodies) {
		hash.update(`\n${body.contentType} ${body.bytes.length}\n`).update(body.bytes);
	}

	return hash.digest('hex');
}

/** Returns an item as callers get it: as text if it is text in UTF-8, else in base64. */
function renderItem(item: Item): Item & {encoding: 'utf8' | 'base64'} {
	if (/^(?:text\/|application\/json)/v.test(item.contentType)) {
		const bytes = Buffer.from(item.body, 'base64');
		if (isUtf8(bytes)) {
			return {...item, body: bytes.toString(), encoding: 'utf8'};
		}
	}

	return {...item, encoding: 'base64'};
}

