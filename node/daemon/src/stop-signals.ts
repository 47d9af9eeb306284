import process from 'node:process';

const signals = ['SIGTERM', 'SIGINT'] as const;

/** What the signals lead to. */
export type StopSignalOpts = {
	/** Called at the first signal: begins a planned stop. */
	readonly onStop: () => void;
	/** Called at the second signal: ends the process at once. */
	readonly onStopAtOnce: () => void;
};

/** Turns signals into a planned stop, and a second signal into a stop at once. Returns the function that ends this. */
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
