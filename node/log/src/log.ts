import {getLevel, type LogEvent, type LogLevel} from './events.js';

const order: readonly LogLevel[] = ['error', 'warn', 'info', 'debug'];

/** Takes log events. Reporters print them; the code that logs knows none of them. */
export abstract class Log {
	readonly #lowest: LogLevel;

	/** Events below `lowest` are dropped. */
	constructor(lowest: LogLevel) {
		this.#lowest = lowest;
	}

	/** Reports the event if its level is high enough. */
	write(event: LogEvent): void {
		if (order.indexOf(getLevel(event)) <= order.indexOf(this.#lowest)) {
			this.report(event, getLevel(event));
		}
	}

	protected abstract report(event: LogEvent, level: LogLevel): void;
}
