import process from 'node:process';
import {readFileSync} from 'node:fs';
import {type z} from 'zod';
import {decodeJson} from '../text.js';

/** SettingsError names the file and every invalid field, with the value found and the rule that it breaks. */
export class SettingsError extends Error {
	static create(file: string, problems: readonly string[]): SettingsError {
		return new SettingsError(file, problems);
	}

	private constructor(readonly file: string, readonly problems: readonly string[]) {
		super(problems.map(problem => `${file}: ${problem}`).join('\n'));
		this.name = 'SettingsError';
	}
}

/** Reads a JSON settings file and validates it. Throws `SettingsError`. */
export function loadSettings<Schema extends z.ZodType>(schema: Schema, file: string): z.infer<Schema> {
	let value: unknown;
	try {
		value = decodeJson(readFileSync(file));
	} catch (error) {
		throw SettingsError.create(file, [(error as Error).message]);
	}

	return checkSettings(schema, value, file);
}

/** Validates a value against a schema. Throws `SettingsError`, which names `file` as the source. */
export function checkSettings<Schema extends z.ZodType>(schema: Schema, value: unknown, file: string): z.infer<Schema> {
	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return parsed.data;
	}

	throw SettingsError.create(file, parsed.error.issues.map(issue => describeIssue(issue, value)));
}

/** Formats one validation error: the field's path, the rule, and the value found. */
export function describeIssue(issue: z.core.$ZodIssue, value: unknown): string {
	let foundValue: unknown = value;
	for (const step of issue.path) {
		foundValue = (foundValue as Record<PropertyKey, unknown> | undefined)?.[step];
	}

	const field = issue.path.join('.') || '(top)';
	const foundText = typeof foundValue === 'object' ? '' : `, found ${JSON.stringify(foundValue)?.slice(0, 60) ?? 'nothing'}`;
	return `${field}: ${issue.message}${foundText}`;
}

/** Reads a secret from a file or, without a file name, from an environment variable. */
export function readSecret(file: string | undefined, variable: string): string | undefined {
	return file ? readFileSync(file, 'utf8').trim() : process.env[variable];
}
