import {appendFileSync, mkdirSync, rmSync} from 'node:fs';
import {join} from 'node:path';
import type {Clock} from '@buckthornpoint/clock/clock.js';

const msPerSecond = 1000;

/** Writes the events of a soak test to `trace.jsonl`, one JSON object per line, in the folder with the logs of the nodes. */
export class Trace {
	readonly startMs: number;
	readonly #clock: Clock;
	readonly #folder: string;

	constructor(clock: Clock, folder: string) {
		this.#clock = clock;
		this.#folder = folder;
		this.startMs = clock.readTimestamp().monotonicMs;
		mkdirSync(folder, {recursive: true});
	}

	/** Writes a line with the current time; `seconds` is the time since the start of the soak test. */
	write(line: Record<string, unknown>): void {
		const {monotonicMs, wallMs} = this.#clock.readTimestamp();
		const text = JSON.stringify({time: new Date(wallMs).toISOString(), seconds: this.toSeconds(monotonicMs), ...line});
		appendFileSync(join(this.#folder, 'trace.jsonl'), `${text}\n`);
	}

	/** Converts a timestamp to seconds since the start of the soak test. */
	toSeconds(atMs: number): number {
		return (atMs - this.startMs) / msPerSecond;
	}

	/** Removes the folder with the trace, logs and settings. */
	remove(): void {
		rmSync(this.#folder, {recursive: true});
	}
}
