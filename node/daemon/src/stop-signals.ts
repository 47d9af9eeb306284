import process from 'node:process';

const signals = ['SIGTERM', 'SIGINT'] as const;

/** Actions on stop signals. */
export type StopSignalOpts = {
	/** Called at the first signal to start a planned stop. */
	readonly onStop: () => void;
	/** Called at each later signal to end the process at once. */
	readonly onStopAtOnce: () => void;
};

/** Starts a planned stop on the first signal and an immediate stop on the second. Returns a function that removes the signal handlers. */
export function watchStopSignals(opts: StopSignalOpts): () => void {
	let count = 0;
	const listener = () => {
		count++;
		if (count === 1) {
			opts.onStop();
		} else {
			opts.onStopAtOnce();
		}
	};

	for (const signal of signals) {
		process.on(signal, listener);
	}

	return () => {
		for (const signal of signals) {
			process.off(signal, listener);
		}
	};
}
