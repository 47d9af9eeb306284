import type {ClientAccount} from './client-account.js';

/** Decides for each request of an account with a rate limit whether it may go on. */
export type AccountLimits = {
	/** Returns undefined if the request may go on, or the milliseconds until it may be sent again. */
	readonly consume: (account: ClientAccount, nowMs: number) => number | undefined;
	/** Records that a request that was let through did not run. */
	readonly giveBack: (account: ClientAccount) => void;
};
