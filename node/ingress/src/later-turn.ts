import {setImmediate} from 'node:timers';

/** Runs a function after the next turn of the event loop, in which everything is read that waits now. */
export function runInLaterTurn(run: () => void): void {
	setImmediate(() => {
		setImmediate(run);
	});
}
