/** A signal that aborts with the first of several others. */
export type LinkedSignal = {
	readonly signal: AbortSignal;
	/** Ends the link, so that the other signals keep nothing of it. */
	close(): void;
};

/** Links signals for a bounded time. Cheaper than `AbortSignal.any`, because the caller says when the link ends. */
export function createLinkedSignal(sources: readonly AbortSignal[]): LinkedSignal {
	const controller = new AbortController();
	const abort = (event: Event): void => {
		const {target} = event;
		controller.abort(target instanceof AbortSignal ? target.reason : undefined);
	};

	for (const source of sources) {
		if (source.aborted) {
			controller.abort(source.reason);
		}

		source.addEventListener('abort', abort, {once: true});
	}

	return {
		signal: controller.signal,
		close() {
			for (const source of sources) {
				source.removeEventListener('abort', abort);
			}
		},
	};
}
