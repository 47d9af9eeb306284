import process from 'node:process';
import {createConsola, type ConsolaInstance} from 'consola';
import type {LogEvent, LogLevel} from './events.js';
import {Log} from './log.js';

/** Writes events to standard error in a readable form, one per line. */
export class HumanLog extends Log {
	readonly #consola: ConsolaInstance = createConsola({level: 5, stdout: process.stderr, stderr: process.stderr});

	protected override report(event: LogEvent, level: LogLevel): void {
		const {event: name, ...data} = event;
		this.#consola[level](`${name} ${Object.entries(data).map(([key, value]) => `${key}=${String(value)}`).join(' ')}`);
	}
}

/** Writes events to standard error as JSON, one document per line. */
export class JsonLog extends Log {
	readonly #consola: ConsolaInstance = createConsola({
		level: 5,
		reporters: [{
			log(logged) {
				const line = {time: logged.date.toISOString(), level: logged.type, data: logged.args};
				process.stderr.write(`${JSON.stringify(line)}\n`);
			},
		}],
	});

	protected override report(event: LogEvent, level: LogLevel): void {
		this.#consola[level](event);
	}
}

/** Drops all events. */
export class SilentLog extends Log {
	constructor() {
		super('error');
	}

	protected override report(): void {
		// Events are dropped.
	}
}
