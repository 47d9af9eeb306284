import type {AccountLimits} from '@buckthornpoint/accounts/account-limits.js';
import type {ClientAccount} from '@buckthornpoint/accounts/client-account.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {CallerConnections} from './caller-connections.js';
import type {PendingRequest} from './caller-responder.js';

/** Dependencies of `AccountCharges`. */
export type AccountChargesOpts = {
	readonly limits: AccountLimits | undefined;
	readonly clock: Clock;
	readonly connections: CallerConnections;
};

/** Counts the requests of client accounts against their limits, and gives back those that end as not run. */
export class AccountCharges {
	readonly #opts: AccountChargesOpts;

	constructor(opts: AccountChargesOpts) {
		this.#opts = opts;
	}

	/** Counts a request. Returns undefined if it may go on, otherwise the time until it may be sent again. */
	consume(account: ClientAccount | undefined): number | undefined {
		const {limits, clock} = this.#opts;
		return account === undefined ? undefined : limits?.consume(account, clock.readTimestamp().monotonicMs);
	}

	/** Takes back the count of a request that ended as not run. */
	release(account: ClientAccount | undefined): void {
		if (account !== undefined) {
			this.#opts.limits?.giveBack(account);
		}
	}

	/**
	 * Gives a request back if it ends while its body is being read: nothing else is called if the caller disconnects then. Returns the
	 * function that must be called when the reading ends.
	 */
	watchReading({incoming, response}: PendingRequest, account: ClientAccount | undefined): () => void {
		if (account === undefined || this.#opts.limits === undefined) {
			return () => undefined;
		}

		let isReading = true;
		this.#opts.connections.watchEnd(incoming.socket, response, () => {
			if (isReading) {
				this.release(account);
			}
		});
		return () => {
			isReading = false;
		};
	}
}
