import type {Outcome, OutcomeReason} from '@buckthornpoint/backend-link/outcome.js';

/** A finished request, as reported to logs and metrics. */
export type FinishedRequest = {
	readonly requestId: string | undefined;
	readonly route: string | undefined;
	readonly service: string | undefined;
	readonly key: number | undefined;
	readonly priority?: number | undefined;
	/** Name of the client account; absent without one. */
	readonly account?: string;
	readonly status: number;
	readonly outcome: Outcome['kind'] | 'bad-request' | 'cancelled';
	readonly reason: OutcomeReason | 'answered' | string;
	readonly tries: readonly string[];
	readonly tookMs: number;
	/** Version of the route table that was used. */
	readonly routesVersion: number | undefined;
	readonly retryAfterMs: number | undefined;
	/** The facts behind a refusal for lack of a resource. */
	readonly detail?: string;
};
