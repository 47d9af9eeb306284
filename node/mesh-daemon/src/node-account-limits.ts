import {AccountLimiter, type AccountStatus} from '@buckthornpoint/accounts/account-limiter.js';
import type {AccountLimits} from '@buckthornpoint/accounts/account-limits.js';
import type {AccountReport, AccountShare} from '@buckthornpoint/accounts/account-messages.js';
import type {ClientAccount} from '@buckthornpoint/accounts/client-account.js';
import type {LeaseClock} from '@buckthornpoint/clock/lease-clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {HeartbeatReply} from '@buckthornpoint/key-ranges/messages.js';
import type {Log} from '@buckthornpoint/log/log.js';

/** Dependencies of `NodeAccountLimits`. */
export type NodeAccountLimitsOpts = {
	/** Counts suspensions of the VM, after which no lease may be in force. */
	readonly leaseClock: LeaseClock;
	readonly random: RandomSource;
	readonly log: Log;
	readonly requestHeartbeat: () => void;
};

/** Changes named in one line of the log. */
const maxLoggedChanges = 10;

/** The rate limits of accounts on this node: connects the limiter to the heartbeats and the log. */
export class NodeAccountLimits implements AccountLimits {
	readonly #opts: NodeAccountLimitsOpts;
	readonly #limiter: AccountLimiter;
	#hadLease = false;

	constructor(opts: NodeAccountLimitsOpts) {
		this.#opts = opts;
		this.#limiter = new AccountLimiter({
			rounding: opts.random.generateFraction(),
			onShareMissing() {
				opts.requestHeartbeat();
			},
		});
	}

	/** Applies the accounts of the configuration in force. */
	setAccounts(accounts: readonly ClientAccount[]): void {
		this.#limiter.setAccounts(accounts, this.#readNowMs());
	}

	/** Uses the lease clock in place of the given time, which does not count suspensions. */
	consume(account: ClientAccount): number | undefined {
		return this.#limiter.consume(account, this.#readNowMs());
	}

	giveBack(account: ClientAccount): void {
		this.#limiter.giveBack(account);
	}

	/** Creates the report for a heartbeat with the epoch `epoch`; undefined without limited accounts. */
	createReport(epoch: number): AccountReport | undefined {
		return this.#limiter.hasAccounts ? this.#limiter.createReport(epoch, this.#readNowMs()) : undefined;
	}

	/** Applies a reply of a controller whose epoch is not lower than that of a reply before. */
	applyReply(reply: HeartbeatReply, sentMs: number): void {
		const {changed, mustReport} = this.#limiter.applyReply(reply, sentMs, this.#readNowMs());
		if (mustReport) {
			this.#opts.requestHeartbeat();
		}

		if (changed.length > 0) {
			this.#opts.log.write({
				event: 'account-shares', epoch: reply.epoch, version: reply.accountShares?.version ?? 0, changed: changed.length, shares: formatShares(changed),
			});
		}
	}

	/** Logs the beginning and the end of the lease of shares. */
	refresh(): void {
		const hasLease = this.#limiter.hasAccounts && this.#limiter.hasLease(this.#readNowMs());
		if (hasLease !== this.#hadLease) {
			this.#hadLease = hasLease;
			this.#opts.log.write({event: 'account-lease', isValid: hasLease});
		}
	}

	listStatus(): readonly AccountStatus[] {
		return this.#limiter.listStatus(this.#readNowMs());
	}

	#readNowMs(): number {
		return this.#opts.leaseClock.readNowMs();
	}
}

function formatShares(shares: readonly AccountShare[]): string {
	return shares.slice(0, maxLoggedChanges).map(([account, quota, total]) => `${account} ${quota}/${total}`).join(', ');
}
