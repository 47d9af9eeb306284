import {shareLeaseMs, type AccountSharesUpdate} from '@buckthornpoint/accounts/account-messages.js';
import {AccountShares} from '@buckthornpoint/accounts/account-shares.js';
import type {ClientAccount} from '@buckthornpoint/accounts/client-account.js';
import {maxClockDrift} from '@buckthornpoint/key-ranges/clock-drift.js';
import type {MemberHeartbeat} from '@buckthornpoint/key-ranges/messages.js';
import type {ControlTaskOpts} from './control-task-opts.js';
import type {ControllerLease} from './controller-lease.js';
import type {Takeover} from './controller-lease-types.js';

const noAccounts: readonly ClientAccount[] = [];

/** Interval of the events about changed shares. */
const eventIntervalMs = 10_000;

/** Dependencies and settings of `ControllerShares`. */
export type ControllerSharesOpts = {
	/** Duration of a lease of keys. */
	readonly keyLeaseMs: number;
	readonly getAccounts: () => readonly ClientAccount[];
	/** Returns whether the row in the store lists a VM as a holder of shares. */
	readonly isHolder: (vmId: string) => boolean;
	readonly onChanged: (summary: AccountShares['summary']) => void;
};

/** The shares of rate limits that a controller grants, bound to its leases of keys: shares end at most a fixed time after the latest end of these. */
export class ControllerShares {
	readonly #opts: ControllerSharesOpts;
	readonly #shares: AccountShares;
	#accounts: readonly ClientAccount[];
	#loggedChanges = 0;
	#loggedMs = Number.NEGATIVE_INFINITY;

	constructor({record, previousRecord, isAfterReturn}: Pick<Takeover, 'record' | 'previousRecord' | 'isAfterReturn'>, opts: ControllerSharesOpts) {
		this.#opts = opts;
		// A copy of the store may lack holders.
		const holders = isAfterReturn && previousRecord !== undefined ? undefined : record.shareHolders ?? [];
		this.#shares = new AccountShares({
			epoch: record.epoch, holders, maxClockDrift, isOptimistic: true,
		});
		this.#accounts = opts.getAccounts();
		this.#shares.setAccounts(this.#accounts, 0);
	}

	/** Records a heartbeat and creates the shares for its reply. `maxLeaseMs` is the longest lease of keys that the controller may grant. */
	handleHeartbeat(heartbeat: MemberHeartbeat, nowMs: number, maxLeaseMs: number): AccountSharesUpdate | undefined {
		this.#shares.recordReport(heartbeat, nowMs);
		if (heartbeat.accountLoads === undefined || maxLeaseMs <= 0 || !this.#opts.isHolder(heartbeat.vmId)) {
			return undefined;
		}

		const {keyLeaseMs} = this.#opts;
		return this.#shares.createShares(heartbeat, Math.min(keyLeaseMs, maxLeaseMs) + Math.max(0, shareLeaseMs - keyLeaseMs), nowMs);
	}

	/** Divides the limits. `earlierLeasesEndMs` is the latest end of leases of keys that earlier controllers granted, `renewedMs` when the last acknowledged renewal was sent. */
	plan(nowMs: number, {earlierLeasesEndMs, renewedMs}: {readonly earlierLeasesEndMs: number; readonly renewedMs: number}): void {
		const accounts = this.#opts.getAccounts();
		if (accounts !== this.#accounts) {
			this.#accounts = accounts;
			this.#shares.setAccounts(accounts, nowMs);
		}

		const earlierSharesEndMs = earlierLeasesEndMs + (Math.max(0, shareLeaseMs - this.#opts.keyLeaseMs) * (1 + maxClockDrift));
		this.#shares.plan(nowMs, {earlierSharesEndMs, renewedMs});
		const {summary} = this.#shares;
		if (summary.changes !== this.#loggedChanges && nowMs - this.#loggedMs >= eventIntervalMs) {
			this.#loggedMs = nowMs;
			this.#opts.onChanged({...summary, changes: summary.changes - this.#loggedChanges});
			this.#loggedChanges = summary.changes;
		}
	}

	/** Records that a controller of which this one does not know may have granted shares. */
	recordUnknownController(): void {
		this.#shares.recordUnknownController();
	}

	/** Lists the VMs whose nodes may hold shares; undefined if none may. */
	listHolders(): readonly string[] | undefined {
		const holders = this.#shares.listHolders();
		return holders.length === 0 ? undefined : holders;
	}
}

/** Creates the shares of a controller that took over. */
export function createControllerShares(takeover: Takeover, opts: Pick<ControlTaskOpts, 'times' | 'getAccounts' | 'onEvent'>, lease: Pick<ControllerLease, 'shareHolders'>): ControllerShares {
	return new ControllerShares(takeover, {
		keyLeaseMs: opts.times.leaseMs,
		getAccounts: opts.getAccounts ?? (() => noAccounts),
		isHolder: vmId => lease.shareHolders.every(list => list.includes(vmId)),
		onChanged(summary) {
			opts.onEvent({kind: 'account-shares', epoch: takeover.record.epoch, ...summary});
		},
	});
}
