import type {ErrorCode} from './codes.js';

/** Optional properties of an error. */
export type BuckthornpointErrorOpts = {
	/** One sentence on how the user can resolve the error. */
	readonly hint?: string;
	/** The underlying error. */
	readonly cause?: unknown;
};

/** The only error class of the project, with a stable code, a message and an optional hint. */
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

/** Converts any thrown value to a `BuckthornpointError`; an existing one is returned unchanged. */
export function toBuckthornpointError(thrown: unknown, code: ErrorCode = 'ERR_INTERNAL'): BuckthornpointError {
	if (thrown instanceof BuckthornpointError) {
		return thrown;
	}

	const message = thrown instanceof Error ? thrown.message : String(thrown);
	return new BuckthornpointError(code, message, {cause: thrown});
}
