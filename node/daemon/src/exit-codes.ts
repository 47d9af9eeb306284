/** Exit codes of `buckthornpoint-node`. The meaning of a code must not change. */
export const exitCodes = {
	/** The node completed a planned stop, or `--check` found no errors. */
	ok: 0,
	/** An unexpected error. */
	internal: 1,
	/** The arguments or the settings are invalid; the findings are on standard error. */
	invalid: 2,
	/** An address could not be bound. */
	cannotListen: 3,
	/** A second signal interrupted a planned stop; running requests may have been aborted. */
	stoppedAtOnce: 4,
} as const;
