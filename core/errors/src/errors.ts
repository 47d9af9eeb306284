import type {ErrorCode} from './codes.js';

/** What a caller of the constructor may add to an error. */
export type BuckthornpointErrorOpts = {
	/** What the reader can do about it, as one sentence. */
	readonly hint?: string;
	/** The error that led to this one. */
	readonly cause?: unknown;
};

/** The one error class of the project: a stable code, a message and, where there is one, a hint. */
export class BuckthornpointError extends Error {
	readonly code: ErrorCode;
	readonly hint: string | undefined;

	constructor(code: ErrorCode, message: string, opts: BuckthornpointErrorOpts = {}) {
		super(message, {cause: opts.cause});
		this.name = 'BuckthornpointError';
		this.code = code;
		this.hint = opts.hint;
	}
}

/** Turns any thrown value into a `BuckthornpointError`; one that already is one is returned as it is. */
export function toBuckthornpointError(thrown: unknown, code: ErrorCode = 'ERR_INTERNAL'): BuckthornpointError {
	if (thrown instanceof BuckthornpointError) {
		return thrown;
	}

	const message = thrown instanceof Error ? thrown.message : String(thrown);
	return new BuckthornpointError(code, message, {cause: thrown});
}
