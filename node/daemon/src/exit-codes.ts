/** Exit codes of `buckthornpoint-node`. A code never changes its meaning. */
export const exitCodes = {
	/** The node stopped as planned, or `--check` found nothing. */
	ok: 0,
	/** An error that nobody expected. */
	internal: 1,
	/** The arguments or the settings are invalid; the findings are on standard error. */
	invalid: 2,
	/** An address could not be bound. */
	cannotListen: 3,
	/** A second signal ended a planned stop; requests may have been cut off. */
	stoppedAtOnce: 4,
} as const;
