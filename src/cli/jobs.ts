import {readFileSync} from 'node:fs';
import process from 'node:process';
import {Command, Option} from 'clipanion';
import {ask, type Answer} from './ask.js';
import {exitOf, exits} from './exits.js';

abstract class CallerCommand extends Command {
	url = Option.String('--url', process.env.SNIPERIDGE_URL ?? 'http://127.0.0.1:8080', {description: 'the callers\' port of an entry'});
	tokenFile = Option.String('--token-file', {description: 'a file with the member\'s token; otherwise SNIPERIDGE_TOKEN'});
	json = Option.Boolean('--json', false, {description: 'one line of JSON'});
	key = Option.String({required: true, name: 'key'});

	protected async ask(method: 'GET' | 'PUT' | 'DELETE', headers?: Record<string, string>, body?: Uint8Array): Promise<number> {
		const token = this.tokenFile === undefined ? process.env.SNIPERIDGE_TOKEN : readFileSync(this.tokenFile, 'utf8').trim();
		return this.finish(await ask({
			method, url: `${this.url}/v1/jobs/${encodeURIComponent(this.key)}`, token, headers, body,
		}));
	}

	private finish(answer: Answer | undefined): number {
		if (!answer) {
			this.context.stderr.write('no answer: the outcome is not known; submit again under the same key\n');
			return exits.unknown;
		}

		const body = answer.body as {result: number; name: string; detail?: string; tasks?: Array<{place: string; body: string}>};
		if (this.json) {
			this.context.stdout.write(`${JSON.stringify(body)}\n`);
		} else if (body.tasks) {
			this.context.stdout.write(`complete: ${body.tasks.length} tasks\n${body.tasks.map((task, index) => `${index}\t${task.place}\t${task.body}`).join('\n')}\n`);
		} else {
			this.context.stdout.write(`${body.name} (${body.result})${body.detail === undefined ? '' : `: ${body.detail}`}\n`);
		}

		return exitOf(answer.result);
	}
}

/** Submits a job from a JSON file. */
export class JobsSubmitCommand extends CallerCommand {
	static override paths = [['jobs', 'submit']];
	static override usage = Command.Usage({category: 'Callers', description: 'submit a job; the file has route and tasks as in the OpenAPI document'});

	file = Option.String({required: true, name: 'file'});
	wait = Option.Boolean('--wait', true, {description: 'wait for the answer (--no-wait: until accepted)'});

	async execute(): Promise<number> {
		// The bytes go out as they are: the entry refuses what is not UTF-8.
		return this.ask('PUT', this.wait ? {} : {prefer: 'respond-async'}, readFileSync(this.file));
	}
}

/** Gets a job's answer. */
export class JobsGetCommand extends CallerCommand {
	static override paths = [['jobs', 'get']];
	static override usage = Command.Usage({category: 'Callers', description: 'get a job\'s answer'});

	async execute(): Promise<number> {
		return this.ask('GET');
	}
}

/** Cancels a job. */
export class JobsCancelCommand extends CallerCommand {
	static override paths = [['jobs', 'cancel']];
	static override usage = Command.Usage({category: 'Callers', description: 'cancel a job; the answer says whether anything had started'});

	async execute(): Promise<number> {
		return this.ask('DELETE');
	}
}
