// The record of a case: what was sent, answered and run, a line each, and the verdict.
import {writeFileSync} from 'node:fs';
import process from 'node:process';

/** The longest spec that is recorded, in characters; of a longer one its length is. */
const longestSpec = 1000;

/** Returns a spec as it is recorded. */
export function shortened(spec) {
	return spec.length > longestSpec ? {specLength: spec.length} : {spec};
}

/** Record collects lines with the time since the start in milliseconds. */
export class Record {
	static create(file) {
		return new Record(file);
	}

	events = [];
	startedAt = performance.now();

	constructor(file) {
		this.file = file;
	}

	get now() {
		return Math.round(performance.now() - this.startedAt);
	}

	note(event, what = {}) {
		this.events.push({at: this.now, event, ...what});
	}

	/** Writes the record to its file and sets the exit code of the process. */
	end(code, verdict) {
		this.note('verdict', {verdict, code});
		writeFileSync(this.file, `${this.events.map(line => JSON.stringify(line)).join('\n')}\n`);
		console.log(verdict);
		process.exitCode = code;
	}
}

/** Runs a case. It could not run where it throws. */
export async function runCase(file, play) {
	const record = Record.create(file);
	try {
		const broken = await play(record);
		record.end(broken === undefined ? 0 : 1, broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`);
	} catch (error) {
		record.end(2, `the case could not run: ${error.stack}`);
	}
}
