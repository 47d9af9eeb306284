import type {Clock} from '@buckthornpoint/clock/clock.js';
import sonicBoom, {type SonicBoom} from 'sonic-boom';
import type {LogEvent, LogLevel} from './events.js';
import {Log} from './log.js';

/** Dependencies and settings of a `BoundedJsonLog`. */
export type BoundedJsonLogOpts = {
	readonly clock: Clock;
	readonly minLevel: LogLevel;
	/** Written in each line. */
	readonly vmId: string;
	/** Writes a line. By default lines are written to standard output, asynchronously. */
	readonly writeLine?: (line: string) => void;
};

/** Limit over all kinds of events. At about 200 bytes a line it amounts to 20 KB per second. */
const maxLinesPerSecond = 100;

/** Limit for each kind of event. Further lines are omitted and counted. */
const maxLinesPerKindPerSecond = 20;

/** Limit for the lines that are buffered while the reader of standard output does not keep up. Further lines are dropped and counted. */
const maxBufferedBytes = 256 * 1024;

/** Lines are buffered and written together once they reach this size. */
const minWriteBytes = 4096;

/** Longest time that lines are buffered. A process that is killed loses at most the lines of this time. */
const flushIntervalMs = 500;

const rateIntervalMs = 1000;

/** Longest time that `close` waits for the reader: a small part of the grace time of a planned stop. */
const maxDrainMs = 300;

/** Writes events as JSON lines to standard output. Limits the rate of events below level `error`, never blocks on the reader, and logs how many lines it left out. */
export class BoundedJsonLog extends Log {
	readonly #opts: BoundedJsonLogOpts;
	readonly #writeLine: (line: string) => void;
	readonly #stdout: SonicBoom | undefined;
	readonly #omittedByKind = new Map<string, number>();
	readonly #linesByKind = new Map<string, number>();
	#lineCount = 0;
	#droppedCount = 0;
	#intervalStartMs = Number.NEGATIVE_INFINITY;

	constructor(opts: BoundedJsonLogOpts) {
		super(opts.minLevel);
		this.#opts = opts;
		this.#stdout = opts.writeLine === undefined ? this.#openStdout() : undefined;
		this.#writeLine = opts.writeLine ?? (line => this.#stdout?.write(line));
	}

	/** Reports omitted lines and writes all buffered lines. */
	writeBuffered(): void {
		this.#closeInterval();
		this.#stdout?.flush();
	}

	/** Writes all buffered lines at the end of the process. The wait for a reader that does not keep up is bounded. */
	async close(): Promise<void> {
		await this.#drain();
		this.#closeInterval();
		await this.#drain();
	}

	protected override report(event: LogEvent, level: LogLevel): void {
		const {monotonicMs, wallMs} = this.#opts.clock.readTimestamp();
		if (monotonicMs - this.#intervalStartMs >= rateIntervalMs) {
			this.#closeInterval();
			this.#intervalStartMs = monotonicMs;
		}

		const kindCount = this.#linesByKind.get(event.event) ?? 0;
		if ((kindCount >= maxLinesPerKindPerSecond || this.#lineCount >= maxLinesPerSecond) && level !== 'error') {
			this.#omittedByKind.set(event.event, (this.#omittedByKind.get(event.event) ?? 0) + 1);
			return;
		}

		this.#linesByKind.set(event.event, kindCount + 1);
		this.#lineCount++;
		this.#writeLine(`${JSON.stringify({
			time: new Date(wallMs).toISOString(), level, vmId: this.#opts.vmId, ...event,
		})}\n`);
	}

	#closeInterval(): void {
		this.#linesByKind.clear();
		this.#lineCount = 0;
		if (this.#omittedByKind.size > 0 || this.#droppedCount > 0) {
			const {wallMs} = this.#opts.clock.readTimestamp();
			const omitted = Object.fromEntries(this.#omittedByKind);
			const line = JSON.stringify({
				time: new Date(wallMs).toISOString(), level: 'warn', vmId: this.#opts.vmId, event: 'log-omitted', omitted, dropped: this.#droppedCount,
			});
			this.#reportOmitted(line);
		}
	}

	/** Writes the line that reports omissions. The counts are kept until such a line has fit into the buffer. */
	#reportOmitted(line: string): void {
		const dropped = this.#droppedCount;
		this.#writeLine(`${line}\n`);
		if (this.#droppedCount === dropped) {
			this.#omittedByKind.clear();
			this.#droppedCount = 0;
		} else {
			this.#droppedCount = dropped;
		}
	}

	async #drain(): Promise<void> {
		const sink = this.#stdout;
		if (sink === undefined) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = this.#opts.clock.startTimer(maxDrainMs, resolve);
			// The callback's error is ignored: standard output cannot be fsynced, which says nothing about the write.
			sink.flush(() => {
				timer.close();
				resolve();
			});
		});
	}

	#openStdout(): SonicBoom {
		const sink = new sonicBoom.SonicBoom({
			fd: 1, sync: false, minLength: minWriteBytes, periodicFlush: flushIntervalMs, maxLength: maxBufferedBytes, contentMode: 'utf8',
		});
		sink.on('drop', () => {
			this.#droppedCount++;
		});
		sink.on('error', () => {
			// The reader of standard output has closed it. The node continues without a log.
			this.#droppedCount++;
		});
		return sink;
	}
}
