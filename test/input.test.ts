import {Buffer} from 'node:buffer';
import {spawnSync} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import anyTest, {type TestFn} from 'ava';
import {request} from 'undici';
import {results, resultOf} from '../src/results.js';
import {Cluster, members} from './cluster.js';

const test = anyTest as TestFn<{cluster: Cluster}>;

test.before(async t => {
	t.context.cluster = await Cluster.create({entries: 1, sidecars: ['zone-0', 'zone-1'], workers: ['zone-0']});
});
test.after.always(async t => {
	await t.context.cluster.close();
});

const one = [{body: '{"ms":5}'}];
const job = (fields: Record<string, unknown>) => JSON.stringify({route: 'task', tasks: one, ...fields});
type Row = {title: string; method?: 'PUT' | 'POST' | 'GET' | 'DELETE'; path?: string; body?: string | Uint8Array; headers?: Record<string, string>; code: number};
const rows: Row[] = [
	{title: 'broken JSON', body: '{"route":', code: results.badInput.code},
	{title: 'a body that is not UTF-8', body: Buffer.from(job({tasks: [{body: '\u00E9'}]}), 'latin1'), code: results.badInput.code},
	{title: 'a task with an unpaired surrogate', body: job({tasks: [{body: '\uD800'}]}), code: results.badInput.code},
	{title: 'a task that is said to be base64 and is not', body: job({tasks: [{body: '{"ms":5}', encoding: 'base64'}]}), code: results.badInput.code},
	{title: 'a task whose base64 is cut', body: job({tasks: [{body: 'eyJtc', encoding: 'base64'}]}), code: results.badInput.code},
	{title: 'no body', body: '', code: results.badInput.code},
	{title: 'no tasks', body: job({tasks: []}), code: results.badInput.code},
	{title: '271 tasks', body: job({tasks: Array.from({length: 271}, () => one[0])}), code: results.badInput.code},
	{title: 'an unknown field', body: job({hurry: true}), code: results.badInput.code},
	{title: 'an unknown route', body: job({route: 'nowhere'}), code: results.noRoute.code},
	{title: 'a route with a slash', body: job({route: 'a/b'}), code: results.badInput.code},
	{title: 'a deadline in the past', body: job({deadlineMs: -1}), code: results.badInput.code},
	{
		title: 'a deadline header that is no number', body: job({}), headers: {'sniperidge-deadline-ms': 'soon'}, code: results.badInput.code,
	},
	{
		title: 'a deadline header in the past', body: job({}), headers: {'sniperidge-deadline-ms': '-5'}, code: results.badInput.code,
	},
	{title: 'a deadline that cannot be met', body: job({deadlineMs: 1}), code: results.deadline.code},
	{
		title: 'a key with a slash', path: '/v1/jobs/a%2Fb', body: job({}), code: results.badInput.code,
	},
	{
		title: 'a key with a control character', path: '/v1/jobs/a%07b', body: job({}), code: results.badInput.code,
	},
	{
		title: 'a wrong token', body: job({}), headers: {authorization: 'Bearer nobody'}, code: results.noToken.code,
	},
	{
		title: 'a token of another scheme', body: job({}), headers: {authorization: 'Basic dG9rZW4='}, code: results.noToken.code,
	},
	{title: 'a task over its route\'s limit', body: job({tasks: [{body: 'x'.repeat(1_100_000)}]}), code: results.bodyTooLarge.code},
	{title: 'a body over the entry\'s limit', body: 'x'.repeat(34_000_000), code: results.bodyTooLarge.code},
	{title: 'a task that no worker is large enough for', body: job({route: 'giant'}), code: results.neverFits.code},
	{
		title: 'a job that nobody submitted', method: 'GET', path: '/v1/jobs/nothing', code: results.noJob.code,
	},
	{
		title: 'cancelling a job that nobody submitted', method: 'DELETE', path: '/v1/jobs/nothing', code: results.noJob.code,
	},
	{
		title: 'a request to an unknown route', method: 'POST', path: '/v1/routes/nowhere', body: 'x', code: results.noRoute.code,
	},
	{
		title: 'an idempotency key with a space',
		method: 'POST',
		path: '/v1/routes/task',
		body: 'x',
		headers: {'idempotency-key': 'a b'},
		code: results.badInput.code,
	},
	{
		title: 'a path that is not there', method: 'GET', path: '/v1/nothing', code: results.notFound.code,
	},
];

for (const [index, {title, method = 'PUT', path = `/v1/jobs/bad-${index}`, body, headers, code}] of rows.entries()) {
	test.serial(`callers: ${title} gets ${resultOf(code).name}`, async t => {
		const {cluster} = t.context;
		const before = cluster.starts.length;
		if (title.includes('no worker')) {
			await cluster.admin(cluster.entries[0]!, 'PUT', 'routes/giant?waitMs=3000', {pool: 'heavy', repeatable: false, cores: 1000}, {'if-none-match': '*'});
		}

		const reply = await cluster.ask(cluster.entries[0]!.urls.callers!, {
			method, path, body, headers,
		});
		t.is(reply?.result, code, `${JSON.stringify(reply)}`);
		t.is(reply?.status, resultOf(code).status);
		t.is(reply?.body.result, code);
		t.is(cluster.starts.length, before);
	});
}

test.serial('callers: the same key with another payload is refused, and the first answer stands', async t => {
	const {cluster: {entries: [entry], ...rest}, cluster} = t.context;
	t.truthy(rest);
	t.is((await cluster.put(entry!, 'reuse', [{ms: 5}]))?.result, 0);
	t.is((await cluster.put(entry!, 'reuse', [{ms: 6}]))?.result, results.keyReused.code);
	t.is((await cluster.put(entry!, 'reuse', [{ms: 5}]))?.result, 0);
	t.is((await cluster.put(entry!, 'reuse', [{ms: 6}], {member: 'beta'}))?.result, 0);
});

for (const [index, body] of ['eyJtcyI6NX0=', 'eyJtcyI6NX0', 'eyJt\r\ncyI6\r\nNX0=\r\n'].entries()) {
	// Guards against a check of base64 that refuses the forms in use: with padding, without, and in lines.
	test.serial(`callers: a task in base64 is run: ${JSON.stringify(body)}`, async t => {
		const {cluster} = t.context;
		const reply = await cluster.ask(cluster.entries[0]!.urls.callers!, {method: 'PUT', path: `/v1/jobs/base64-${index}`, body: job({tasks: [{body, encoding: 'base64'}]})});
		t.is(reply?.result, 0);
		t.is((JSON.parse(reply!.body.tasks![0]!.body) as {size: number}).size, '{"ms":5}'.length);
	});
}

test.serial('callers: an async job is accepted and cancelled, and the answer says whether it had started', async t => {
	const {cluster} = t.context;
	const [entry] = cluster.entries;
	const accepted = await cluster.put(entry!, 'later', [{ms: 400}], {headers: {prefer: 'respond-async'}});
	t.is(accepted?.status, 202);
	t.is((await cluster.ask(entry!.urls.callers!, {method: 'GET', path: '/v1/jobs/later'}))?.status, 202);
	const cancelled = await cluster.ask(entry!.urls.callers!, {method: 'DELETE', path: '/v1/jobs/later'});
	t.is(cancelled?.result, results.cancelled.code);
});

test.serial('callers: a client account over its quota is refused', async t => {
	const {cluster} = t.context;
	const [entry] = cluster.entries;
	const before = await cluster.admin(entry!, 'GET', 'members/beta');
	const value = before!.body.value as Record<string, unknown>;
	const limited = await cluster.admin(entry!, 'PUT', 'members/beta?waitMs=3000', {...value, concurrent: 1}, {'if-match': before!.etag});
	t.is((await cluster.put(entry!, 'quota', [{ms: 5}, {ms: 5}], {member: 'beta'}))?.result, results.overQuota.code);
	await cluster.admin(entry!, 'PUT', 'members/beta?waitMs=3000', value, {'if-match': limited!.etag});
});

type Change = {title: string; path: string; value?: unknown; headers?: Record<string, string>; status: number};
const changes: Change[] = [
	{
		title: 'a change without a version', path: 'availability-zones/zone-0', value: {state: 'out'}, status: 428,
	},
	{
		title: 'a change to a stale version', path: 'availability-zones/zone-0', value: {state: 'out'}, headers: {'if-match': '"999999"'}, status: 412,
	},
	{
		title: 'a change with an unknown field',
		path: 'availability-zones/zone-0',
		value: {state: 'out', why: 'storm'},
		headers: {'if-match': '"1"'},
		status: 400,
	},
	{
		title: 'a route to an unknown pool', path: 'routes/lost', value: {pool: 'nowhere', repeatable: true}, headers: {'if-none-match': '*'}, status: 400,
	},
	{
		title: 'a name with a slash', path: 'routes/a%2Fb', value: {pool: 'main', repeatable: true}, headers: {'if-none-match': '*'}, status: 400,
	},
	{
		title: 'a wrong operator token', path: 'routes/task', value: {}, headers: {authorization: 'Bearer wrong'}, status: 401,
	},
	{title: 'a row that is not there', path: 'routes/nowhere', status: 404},
];
for (const {title, path, value, headers, status} of changes) {
	test.serial(`operators: ${title} gets ${status}`, async t => {
		const {cluster} = t.context;
		const reply = await cluster.admin(cluster.entries[0]!, value === undefined ? 'GET' : 'PUT', path, value, headers);
		t.is(reply?.status, status, `${JSON.stringify(reply?.body)}`);
	});
}

test.serial('operators: the audit trail is read in pages', async t => {
	const {cluster} = t.context;
	const [entry] = cluster.entries;
	for (const state of ['out', 'in', 'out', 'in'] as const) {
		t.true(await cluster.switch(entry!, 'upstreams', 'minion-0', state));
	}

	type Page = {changes: Array<{version: number}>; more: boolean};
	const page = async (query: string) => (await cluster.admin(entry!, 'GET', `audit?${query}`))!.body as Page;
	const first = await page('after=0&limit=3');
	const rest = await page(`after=${first.changes.at(-1)!.version}&limit=1000`);
	const newest = await page('limit=1');
	t.is(first.changes.length, 3);
	t.true(first.more);
	t.false(rest.more);
	t.deepEqual(newest.changes, rest.changes.slice(-1));
	t.is((await cluster.admin(entry!, 'GET', 'audit?limit=0'))?.status, 400);
});

test.serial('health, metrics and the OpenAPI documents are served', async t => {
	const {urls} = t.context.cluster.entries[0]!;
	for (const [path, words] of [['/readyz', 'ready'], ['/livez', 'ok'], ['/metrics', 'sniperidge_requests_total'], ['/openapi.json', '"/v1/jobs/{key}"']] as const) {
		const reply = await request(`${urls.callers!}${path}`);
		t.true((await reply.body.text()).includes(words));
	}
});

const program = fileURLToPath(new URL('../src/cli/main.js', import.meta.url));
const command = (words: string[], environment: Record<string, string> = {}) => spawnSync(process.execPath, [program, ...words], {encoding: 'utf8', env: {...process.env, ...environment}});

test.serial('command line: exit codes tell done, refused, unknown and wrong use apart', t => {
	const {urls} = t.context.cluster.entries[0]!;
	const operator = {SNIPERIDGE_OPERATORS_URL: urls.operators!, SNIPERIDGE_OPERATOR_TOKEN: 'test-operator-token'};
	t.is(command(['status'], operator).status, 0);
	t.is(command(['routes', 'set', 'lost', '{"pool":"nowhere","repeatable":true}'], operator).status, 3);
	t.is(command(['status'], {...operator, SNIPERIDGE_OPERATORS_URL: 'http://127.0.0.1:1'}).status, 5);
	t.is(command(['routes', 'set', 'lost', '{'], operator).status, 1);
	const job = join(mkdtempSync(join(tmpdir(), 'sniperidge-')), 'job.json');
	writeFileSync(job, '{"route":"task","tasks":[{"body":"\u00E9"}]}', 'latin1');
	// A file in another encoding reaches the entry as it is, and is refused there.
	const submitted = command(['jobs', 'submit', '--json', 'latin-1', job], {SNIPERIDGE_URL: urls.callers!, SNIPERIDGE_TOKEN: members.alpha});
	t.is(submitted.status, 3);
	t.regex(submitted.stdout, /UTF-8/v);
	const file = join(mkdtempSync(join(tmpdir(), 'sniperidge-')), 'entry.json');
	writeFileSync(file, JSON.stringify({
		name: 'entry', zone: 'a/b', store: {url: 'http://127.0.0.1:1', timeoutMs: -1}, hurry: 1,
	}));
	const checked = command(['check-config', 'entry', file]);
	t.is(checked.status, 2);
	for (const words of ['zone', 'a/b', 'store.timeoutMs', 'hurry']) {
		t.true(checked.stdout.includes(words), `${checked.stdout}`);
	}
});
