import type {AccountLimits} from './account-limits.js';
import {
	cooldownMs, deriveTotal, hasRateLimit, type AccountReport, type AccountShare, type AccountSharesUpdate,
} from './account-messages.js';
import type {ClientAccount} from './client-account.js';
import {OfferedRate} from './offered-rate.js';
import {ShareCounter} from './share-counter.js';

/** Dependencies of an `AccountLimiter`. */
export type AccountLimiterOpts = {
	/** Called when an account finds no share, at most once each 100 ms: a heartbeat should be sent now. */
	readonly onShareMissing?: () => void;
	/** Between 0 and 1, different on each node: with it a scaled share is rounded, so that the sum over all nodes is scaled alike. */
	readonly rounding?: number;
};

/** What a reply changed. */
export type AppliedShares = {
	/** The shares that changed. */
	readonly changed: readonly AccountShare[];
	/** Whether the controller is a new one, which waits for a report of the shares that the node holds. */
	readonly mustReport: boolean;
};

/** State of an account on this node, for metrics. */
export type AccountStatus = {
	readonly name: string;
	readonly offered: number;
	readonly passed: number;
	readonly refused: number;
	readonly givenBack: number;
	/** The share in force: its part of the rate, and the requests of a window; 0 without a lease. */
	readonly sharePerS: number;
	readonly shareQuota: number;
};

type AccountState = {
	account: ClientAccount;
	readonly counter: ShareCounter;
	readonly rate: OfferedRate;
	offered: number;
	passed: number;
	refused: number;
	givenBack: number;
	/** When this account may ask for a heartbeat again, and the interval to the time after that. */
	nextRequestMs: number;
	requestIntervalMs: number;
	/** Usual number of requests in a window, from how many windows, and when it was updated. */
	usualCount: number;
	usualWindows: number;
	usualMs: number;
};

/** Retry time of a request whose account has no share here: a heartbeat and its reply take less. */
const noShareRetryMs = 100;

/** Longest retry time: shares follow the demand within a second or two, so that a small share need not be waited for. */
const maxRetryMs = 1000;

/** A share that needs more than this until its next token is as good as none. */
const lowShareWaitMs = 500;

/** Shortest interval of heartbeats that a missing share causes. */
const minRequestIntervalMs = 100;

/** Longest such interval of one account. It grows up to here while no share is found: an account over its limit must not multiply the heartbeats. */
const maxRequestIntervalMs = 1600;

/** While an account is far from its limit, a node lets pass its usual requests in a window, this multiple of their standard deviation, and this number more: demand moves between nodes. */
const optimisticDeviations = 2;
const optimisticExtra = 4;

/** Weight of the latest window in the usual number of requests. */
const latestWindowWeight = 0.25;

/** Rates are reported in hundredths, which keeps heartbeats short. */
const reportedSteps = 100;

/**
 * Counts the requests that enter at this node against its shares of the limits of accounts. Without a valid lease nothing of a limited
 * account passes. Times are those of a clock that counts suspensions of the VM.
 */
export class AccountLimiter implements AccountLimits {
	readonly #onShareMissing: () => void;
	readonly #rounding: number;
	readonly #accounts = new Map<string, AccountState>();
	/** Accounts that lost their limit while requests that passed under it still count. */
	readonly #former = new Map<string, AccountState>();
	/** Shares of accounts that the configuration lacks are kept: the controller may know another version of it. */
	readonly #shares = new Map<string, AccountShare>();
	/** Epoch of the controller that granted the shares. */
	#sharesEpoch = 0;
	#version = 0;
	/** The highest epoch of a reply. */
	#epoch = 0;
	#leaseEndMs = Number.NEGATIVE_INFINITY;
	/** The accounts that must keep to their shares; undefined for all. */
	#restricted: ReadonlySet<string> | undefined;
	#members = 1;
	#nextRequestMs = Number.NEGATIVE_INFINITY;

	constructor({onShareMissing = () => undefined, rounding = 0}: AccountLimiterOpts = {}) {
		this.#onShareMissing = onShareMissing;
		this.#rounding = rounding;
	}

	get hasAccounts(): boolean {
		return this.#accounts.size > 0;
	}

	/** Returns whether the shares are in force. */
	hasLease(nowMs: number): boolean {
		return nowMs < this.#leaseEndMs;
	}

	/** Lists the shares in force, as they were granted. */
	listShares(nowMs: number): readonly AccountShare[] {
		return this.hasLease(nowMs) ? [...this.#shares.values()] : [];
	}

	/** Replaces the accounts by those of the configuration in force. */
	setAccounts(accounts: readonly ClientAccount[], nowMs: number): void {
		const limited = new Map(accounts.filter(account => hasRateLimit(account)).map(account => [account.name, account]));
		for (const [name, state] of this.#accounts) {
			if (!limited.has(name)) {
				this.#accounts.delete(name);
				this.#former.set(name, state);
			}
		}

		for (const [name, account] of limited) {
			const state = this.#accounts.get(name) ?? this.#former.get(name) ?? createState(account);
			state.account = account;
			this.#former.delete(name);
			this.#accounts.set(name, state);
			this.#applyShare(state, nowMs);
		}
	}

	consume(account: ClientAccount, nowMs: number): number | undefined {
		if (!hasRateLimit(account)) {
			return undefined;
		}

		const state = this.#accounts.get(account.name);
		if (state === undefined) {
			// The account was removed from the configuration while the request was read.
			return noShareRetryMs;
		}

		state.offered++;
		state.rate.record(nowMs);
		const waitMs = this.hasLease(nowMs) ? this.#consumeShare(state, nowMs) : Number.POSITIVE_INFINITY;
		if (waitMs === undefined) {
			state.passed++;
			state.requestIntervalMs = minRequestIntervalMs;
			return undefined;
		}

		state.refused++;
		if (waitMs > lowShareWaitMs) {
			this.#requestShare(state, nowMs);
		}

		return Number.isFinite(waitMs) ? Math.min(waitMs, maxRetryMs) : noShareRetryMs;
	}

	giveBack({name}: ClientAccount): void {
		const state = this.#accounts.get(name);
		if (state !== undefined) {
			state.counter.giveBack();
			state.givenBack++;
		}
	}

	/** Creates the report for a heartbeat with the epoch `epoch`; undefined if the configuration has no limited account. */
	createReport(epoch: number, nowMs: number): AccountReport | undefined {
		if (!this.hasAccounts) {
			return undefined;
		}

		const offered = [...this.#accounts].flatMap(([name, {rate}]) => {
			const perS = Math.ceil(rate.read(nowMs) * reportedSteps) / reportedSteps;
			return perS === 0 ? [] : [[name, perS] as const];
		});
		const excess = [...this.#accounts, ...this.#former].flatMap(([name, {counter}]) => {
			const passed = counter.readPassed(nowMs);
			if (passed === 0) {
				this.#former.delete(name);
			}

			return passed > (this.hasLease(nowMs) ? counter.quota : 0) ? [[name, passed] as const] : [];
		});
		return {
			epoch: this.#sharesEpoch, version: this.#version, offered, ...(excess.length > 0 && {excess}), ...(this.#sharesEpoch !== epoch && {held: this.listShares(nowMs)}),
		};
	}

	/** Applies the reply to a heartbeat that was sent at `sentMs`. The caller has left out replies of controllers with an epoch below that of a reply before. */
	applyReply({epoch, accountShares: update}: {readonly epoch: number; readonly accountShares?: AccountSharesUpdate | undefined}, sentMs: number, nowMs: number): AppliedShares {
		const mustReport = epoch > this.#epoch && this.hasAccounts;
		if (epoch < this.#epoch) {
			return {changed: [], mustReport: false};
		}

		this.#epoch = epoch;
		const known = this.#sharesEpoch === epoch ? this.#version : 0;
		// A late reply may be based on a later version than the node holds, or lead to an earlier one.
		if (update === undefined || update.version < known || update.baseVersion > known) {
			return {changed: [], mustReport};
		}

		const isFull = update.baseVersion === 0;
		// A full list of the version that the node has already is a repetition.
		const changed = isFull && update.version === known ? [] : this.#storeShares(update.shares, isFull);
		// The lease of an earlier controller ends with its shares.
		this.#leaseEndMs = Math.max(this.#sharesEpoch === epoch ? this.#leaseEndMs : Number.NEGATIVE_INFINITY, sentMs + update.leaseMs);
		this.#sharesEpoch = epoch;
		this.#version = update.version;
		this.#restricted = update.restricted === undefined ? undefined : new Set(update.restricted);
		this.#members = Math.max(1, update.members ?? 1);
		for (const [name] of changed) {
			const state = this.#accounts.get(name);
			if (state !== undefined) {
				this.#applyShare(state, nowMs);
			}
		}

		return {changed, mustReport};
	}

	/** Lists the limited accounts with their counts since the start and the shares in force. */
	listStatus(nowMs: number): readonly AccountStatus[] {
		const isLeased = this.hasLease(nowMs);
		return [...this.#accounts].map(([name, {counter, offered, passed, refused, givenBack}]) => ({
			name, offered, passed, refused, givenBack, sharePerS: isLeased ? counter.perS : 0, shareQuota: isLeased ? counter.quota : 0,
		}));
	}

	#consumeShare(state: AccountState, nowMs: number): number | undefined {
		const {account, counter} = state;
		if (this.#restricted === undefined || this.#restricted.has(account.name)) {
			return counter.consume(nowMs);
		}

		if (nowMs - state.usualMs >= cooldownMs) {
			const weight = Math.max(latestWindowWeight, 1 / Math.max(1, state.usualWindows));
			state.usualCount += weight * (counter.readPassed(nowMs) - state.usualCount);
			state.usualWindows++;
			state.usualMs = nowMs;
		}

		const equalPart = Math.ceil(deriveTotal(account) / this.#members);
		return counter.consumeUpTo(Math.max(counter.quota, equalPart, Math.ceil(state.usualCount + (optimisticDeviations * Math.sqrt(state.usualCount))) + optimisticExtra), nowMs);
	}

	#storeShares(shares: readonly AccountShare[], isFull: boolean): readonly AccountShare[] {
		const next = new Map(shares.map(share => [share[0], share]));
		const removed = isFull ? [...this.#shares.keys()].filter(name => !next.has(name)) : [];
		const changed = [...next.values()].filter(([name, quota, total, sharesSum]) => {
			const known = this.#shares.get(name);
			return known?.[1] !== quota || known[2] !== total || known[3] !== sharesSum;
		});
		for (const name of removed) {
			this.#shares.delete(name);
		}

		for (const share of changed) {
			this.#shares.set(share[0], share);
		}

		return [...changed, ...removed.map(name => [name, 0, 0, 0] as const)];
	}

	#applyShare({account, counter}: AccountState, nowMs: number): void {
		const [, quota, grantedTotal, sharesSum] = this.#shares.get(account.name) ?? [account.name, 0, 0, 0];
		const total = deriveTotal(account);
		const scale = grantedTotal === 0 ? 0 : Math.min(1, total / grantedTotal);
		const scaled = Math.floor((quota * scale) + (scale < 1 ? this.#rounding : 0));
		counter.update(scaled, sharesSum === 0 ? 0 : account.ratePerS * quota / sharesSum, nowMs);
	}

	#requestShare(state: AccountState, nowMs: number): void {
		if (nowMs >= state.nextRequestMs && nowMs >= this.#nextRequestMs) {
			state.nextRequestMs = nowMs + state.requestIntervalMs;
			state.requestIntervalMs = Math.min(maxRequestIntervalMs, 2 * state.requestIntervalMs);
			this.#nextRequestMs = nowMs + minRequestIntervalMs;
			this.#onShareMissing();
		}
	}
}

function createState(account: ClientAccount): AccountState {
	return {
		account, counter: new ShareCounter(), rate: new OfferedRate(), offered: 0, passed: 0, refused: 0, givenBack: 0,
		nextRequestMs: Number.NEGATIVE_INFINITY, requestIntervalMs: minRequestIntervalMs, usualCount: 0, usualWindows: 0, usualMs: Number.NEGATIVE_INFINITY,
	};
}
