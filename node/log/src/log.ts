import {getLevel, type LogEvent, type LogLevel} from './events.js';

const levelOrder: readonly LogLevel[] = ['error', 'warn', 'info', 'debug'];

/** Interface for logging events. Subclasses format and write them. */
export abstract class Log {
	readonly #minLevel: LogLevel;

	/** Events that are less severe than `minLevel` are dropped. */
	constructor(minLevel: LogLevel) {
		this.#minLevel = minLevel;
	}

	/** Reports the event if it is at least as severe as the minimum level. */
	write(event: LogEvent): void {
		if (levelOrder.indexOf(getLevel(event)) <= levelOrder.indexOf(this.#minLevel)) {
			this.report(event, getLevel(event));
		}
	}

	protected abstract report(event: LogEvent, level: LogLevel): void;
}
