import process from 'node:process';
import {pino, type Logger} from 'pino';

/** How often lines are handed to the output, in milliseconds. */
const flushMs = 200;
/** Lines and bytes that may wait for the output; more are dropped and counted. */
const waitingLines = 2000;
const waitingBytes = 1_000_000;

/**
 * Sink hands log lines to an output without ever waiting for it: lines are gathered and written a few
 * times a second, and dropped, with a count, while the output is stuck.
 */
export class LogSink {
	static create(output: NodeJS.WritableStream & {writableLength: number}): LogSink {
		return new LogSink(output);
	}

	/** Lines dropped since the start. */
	droppedLines = 0;

	private lines: string[] = [];
	private bytes = 0;
	private readonly timer: NodeJS.Timeout;

	private constructor(private readonly output: NodeJS.WritableStream & {writableLength: number}) {
		this.timer = setInterval(() => {
			this.flush();
		}, flushMs);
		this.timer.unref();
	}

	/** Takes one line. */
	write(line: string): void {
		if (this.lines.length >= waitingLines || this.bytes + line.length > waitingBytes) {
			this.droppedLines++;
			return;
		}

		this.lines.push(line);
		this.bytes += line.length;
	}

	/** Hands over what waits, unless the output still holds that much. */
	flush(): void {
		if (this.lines.length === 0 || this.output.writableLength > waitingBytes) {
			return;
		}

		this.output.write(this.lines.join(''));
		this.lines = [];
		this.bytes = 0;
	}
}

/** Returns a logger that never blocks, and its sink. */
export function openLog(name: string, level = 'info'): {log: Logger; sink: LogSink} {
	const sink = LogSink.create(process.stdout);
	return {log: pino({level, base: {process: name}}, sink), sink};
}
