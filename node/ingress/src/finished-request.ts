import type {Outcome, OutcomeReason} from '@buckthornpoint/backend-link/outcome.js';

/** A request that got its final answer, for logs and metrics. */
export type FinishedRequest = {
	readonly requestId: string | undefined;
	readonly route: string | undefined;
	readonly service: string | undefined;
	readonly key: number | undefined;
	readonly status: number;
	readonly outcome: Outcome['kind'] | 'bad-request' | 'cancelled';
	readonly reason: OutcomeReason | 'answered' | string;
	readonly tries: readonly string[];
	readonly tookMs: number;
	/** The version of the routes that decided. */
	readonly routesVersion: number | undefined;
	readonly retryAfterMs: number | undefined;
};
