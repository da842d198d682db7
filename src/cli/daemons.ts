import {existsSync} from 'node:fs';
import {Command, Option, UsageError} from 'clipanion';
import {pino} from 'pino';
import type * as z from 'zod';
import {loadSettings, readSecret, SettingsError} from '../settings/load.js';
import {entrySettings, platformSettings, sidecarSettings} from '../settings/schema.js';
import {deploymentSchema} from '../standin/tables.js';
import {exits} from './exits.js';
import {runEntry, runSidecar, stopped} from './run.js';

/** The environment variable of the operators' token, where no file is named. */
export const operatorTokenVariable = 'SNIPERIDGE_OPERATOR_TOKEN';

abstract class DaemonCommand extends Command {
	settings = Option.String('--settings', {required: true, description: 'the JSON settings file'});

	protected load<Schema extends z.ZodType>(schema: Schema): z.infer<Schema> {
		try {
			return loadSettings(schema, this.settings);
		} catch (error) {
			throw new UsageError((error as Error).message);
		}
	}
}

/** Runs an entry until it is told to stop. */
export class EntryCommand extends DaemonCommand {
	static override paths = [['entry']];
	static override usage = Command.Usage({description: 'run an entry'});

	async execute(): Promise<number> {
		const settings = this.load(entrySettings);
		return runEntry(settings, readSecret(settings.operatorTokenFile, operatorTokenVariable));
	}
}

/** Runs a sidecar until it is told to stop. */
export class SidecarCommand extends DaemonCommand {
	static override paths = [['sidecar']];
	static override usage = Command.Usage({description: 'run a sidecar'});

	async execute(): Promise<number> {
		return runSidecar(this.load(sidecarSettings));
	}
}

/** Runs the stand-in platform until it is told to stop. */
export class PlatformCommand extends Command {
	static override paths = [['platform']];
	static override usage = Command.Usage({
		description: 'run the stand-in platform: a table service and an object store in memory, for tests',
		details: 'Faults are switched with POST /v1/faults and a JSON body of down (boolean), slowMs and loseReplies (numbers).',
	});

	settings = Option.String('--settings', {description: 'the JSON settings file'});

	async execute(): Promise<number> {
		const module = await import('../standin/platform.js');
		const settings = this.settings === undefined ? platformSettings.parse({}) : loadSettings(platformSettings, this.settings);
		const log = pino({level: settings.log});
		const platform = await module.Platform.create(settings);
		log.info({url: platform.url}, 'platform stand-in listens');
		await stopped();
		await platform.close();
		return exits.done;
	}
}

const kinds = {
	entry: entrySettings, sidecar: sidecarSettings, platform: platformSettings, deployment: deploymentSchema,
} as const;

/** Checks a settings file and names every field that is wrong. */
export class CheckConfigCommand extends Command {
	static override paths = [['check-config']];
	static override usage = Command.Usage({
		description: 'check a settings file',
		examples: [['Check the settings of an entry', 'sniperidge check-config entry entry.json']],
	});

	kind = Option.String({required: true, name: 'kind'});
	file = Option.String({required: true, name: 'file'});
	json = Option.Boolean('--json', false, {description: 'one line of JSON'});

	async execute(): Promise<number> {
		const schema = kinds[this.kind as keyof typeof kinds] as z.ZodType | undefined;
		if (!schema) {
			throw new UsageError(`kind: one of ${Object.keys(kinds).join(', ')}, found ${this.kind}`);
		}

		const problems = existsSync(this.file) ? checkFile(schema, this.file) : [`${this.file}: there is no such file`];
		if (this.json) {
			this.context.stdout.write(`${JSON.stringify({file: this.file, ok: problems.length === 0, problems})}\n`);
		} else {
			this.context.stdout.write(problems.length === 0 ? `${this.file}: ok\n` : `${problems.join('\n')}\n`);
		}

		return problems.length === 0 ? exits.done : exits.usage;
	}
}

function checkFile(schema: z.ZodType, file: string): string[] {
	try {
		loadSettings(schema, file);
		return [];
	} catch (error) {
		return error instanceof SettingsError ? error.message.split('\n') : [(error as Error).message];
	}
}
