import process from 'node:process';
import {pino, type Logger} from 'pino';

/** How often buffered lines are written to the output, in milliseconds. */
const flushIntervalMs = 200;
/** The maximum lines and bytes in the buffer; further lines are dropped and counted. */
const maxLines = 2000;
const maxBytes = 1_000_000;

/**
 * LogSink writes log lines to an output without ever waiting for it: lines are buffered and written a
 * few times a second. While the output is blocked, lines beyond the buffer are dropped and counted.
 */
export class LogSink {
	static create(output: NodeJS.WritableStream & {writableLength: number}): LogSink {
		return new LogSink(output);
	}

	/** The number of lines dropped since the start. */
	droppedLines = 0;

	private lines: string[] = [];
	private bytes = 0;
	private readonly timer: NodeJS.Timeout;

	private constructor(private readonly output: NodeJS.WritableStream & {writableLength: number}) {
		this.timer = setInterval(() => {
			this.flush();
		}, flushIntervalMs);
		this.timer.unref();
	}

	/** Buffers one line, or drops it when the buffer is full. */
	write(line: string): void {
		if (this.lines.length >= maxLines || this.bytes + line.length > maxBytes) {
			this.droppedLines++;
			return;
		}

		this.lines.push(line);
		this.bytes += line.length;
	}

	/** Writes the buffered lines, unless the output still has too many bytes to write. */
	flush(): void {
		if (this.lines.length === 0 || this.output.writableLength > maxBytes) {
			return;
		}

		this.output.write(this.lines.join(''));
		this.lines = [];
		this.bytes = 0;
	}
}

/** Returns a logger that never blocks the process, and its sink. */
export function openLog(name: string, level = 'info'): {log: Logger; sink: LogSink} {
	const sink = LogSink.create(process.stdout);
	return {log: pino({level, base: {process: name}}, sink), sink};
}
