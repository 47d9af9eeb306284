import {hashString} from '@buckthornpoint/placement/partition-hash.js';
import {cooldownMs, deriveTotal, type AccountShare} from './account-messages.js';
import type {ClientAccount} from './client-account.js';
import {
	applyGrowth, assignQuotas, measureNeed, addUp,
} from './divide-limit.js';
import {
	convertQuota, estimateDemand, isKept, minKeptIfScarce, type Cell,
} from './share-cell.js';

/** What is known of a node when it is added. */
export type AddedNode = {
	/** The share that an earlier controller granted to it. */
	readonly held: AccountShare | undefined;
	readonly excess: number;
	readonly version: number;
};

const msPerSecond = 1000;

/** A share is sent again if the sum of all shares has changed by more than this part. */
const maxSumChange = 0.1;

/** Shortest interval between two divisions. Nodes without a share get one at once. */
const minIntervalMs = 600;

/** Interval at which shares are divided again if no node lacks any. */
const relaxedIntervalMs = 2000;

/** If there are more nodes with demand than requests to divide, these go to others after this time. */
const rotationMs = 2000;

const rankRange = 2 ** 32;

/** An account is near its limit from this part of the total on: what passes until all nodes know it stays within the bound of the limit. */
const minRestrictedShare = 0.7;

/** It stays so until less than this part was used for `minRestrictedMs`. */
const maxUnrestrictedShare = 0.6;
const minRestrictedMs = 3000;

/** A node that is offered fewer requests than this in a window needs no share while the account is far from its limit. */
const minOptimisticNeed = 3;

/**
 * Divides the limit of one account among the nodes. Two sums are kept: of the shares that each node was told last, and of the most that each
 * may use, since a smaller one counts only once the node has confirmed it. The second sum never grows beyond the limit.
 */
export class AccountDivision {
	readonly name: string;
	#account: ClientAccount;
	/** The sum to divide. A higher limit is applied once no node holds a share of a total above the present one: it would scale that share up again. */
	#total: number;
	readonly #cells = new Map<string, Cell>();
	/** Shares of nodes that ended, and until when requests that passed there count. */
	#ended: ReadonlyArray<{readonly quota: number; readonly untilMs: number}> = [];
	/** What this controller knows to be granted by itself or free: all, unless it waits for the shares of earlier controllers. */
	#known = 0;
	#dividedMs = Number.NEGATIVE_INFINITY;
	#mustDivide = true;
	#isWithdrawn = false;
	readonly #isOptimistic: boolean;
	/** The latest time at which the account was near its limit. */
	#nearLimitMs = Number.NEGATIVE_INFINITY;

	/** With `isOptimistic`, the limit is divided only while the account is near it. */
	constructor(account: ClientAccount, isOptimistic = false) {
		this.name = account.name;
		this.#account = account;
		this.#total = deriveTotal(account);
		this.#isOptimistic = isOptimistic;
	}

	/** Whether nodes must keep to their shares. */
	isRestricted(nowMs: number): boolean {
		return !this.#isOptimistic || this.#isWithdrawn || nowMs - this.#nearLimitMs < minRestrictedMs;
	}

	/** Records whether the account is near its limit. */
	recordUse(nowMs: number): void {
		const minShare = this.isRestricted(nowMs) ? maxUnrestrictedShare : minRestrictedShare;
		if (this.#estimateUse(nowMs) >= minShare * this.#total) {
			this.#mustDivide ||= !this.isRestricted(nowMs);
			this.#nearLimitMs = nowMs;
		}
	}

	/** Whether no node can use a share. */
	get isUnused(): boolean {
		return this.#ended.length === 0 && [...this.#cells.values()].every(cell => cell.quota === 0 && cell.excess === 0 && cell.earlier.every(({quota}) => quota === 0));
	}

	/** Continues with the account as configured now. */
	setAccount(account: ClientAccount): void {
		this.#mustDivide ||= account.ratePerS !== this.#account.ratePerS || account.burst !== this.#account.burst || this.#isWithdrawn;
		this.#account = account;
		const total = deriveTotal(account);
		if (total < this.#total) {
			this.#known = Math.floor(this.#known * total / this.#total);
			this.#total = total;
		}

		this.#isWithdrawn = false;
	}

	/** Takes all shares back: the account has no limit any more. */
	startWithdrawal(): void {
		this.#mustDivide ||= !this.#isWithdrawn;
		this.#isWithdrawn = true;
	}

	/** Records that others may hold shares of which nothing is known: only what the known nodes may use is divided. */
	recordUnknownHolders(): void {
		this.#known = this.#measureUsed();
	}

	/** Adds a node. Of the share that an earlier controller granted to it, what exceeds the limit is not confirmed. */
	add(vmId: string, {held, excess, version}: AddedNode): void {
		const [, quota = 0, total = 0, sharesSum = 0] = held ?? [];
		const limit = this.#total;
		// Rounded down, so that the sum over all nodes is not above the limit.
		const kept = Math.min(Math.floor(quota * Math.min(1, limit / Math.max(1, total))), Math.max(0, limit - this.#known));
		this.#known += kept;
		this.#cells.set(vmId, {
			vmId,
			quota: kept,
			total: limit,
			sharesSum,
			version,
			earlier: [{quota, total, version}],
			excess,
			demandPerS: 0,
			demandMs: Number.NEGATIVE_INFINITY,
			rank: hashString(`${this.name}/${vmId}`),
		});
		this.#mustDivide = true;
	}

	/** Removes a node that can't use its share any more. What may have passed there counts until `untilMs`. */
	remove(vmId: string, untilMs: number): void {
		const cell = this.#cells.get(vmId);
		const quota = cell === undefined ? 0 : this.#measurePossible(cell);
		this.#ended = quota === 0 ? this.#ended : [...this.#ended, {quota, untilMs}];

		this.#cells.delete(vmId);
		this.#mustDivide = true;
	}

	/** Records the offered rate. A rise counts at once. */
	recordDemand(vmId: string, perS: number, nowMs: number): void {
		const cell = this.#cells.get(vmId);
		if (cell !== undefined) {
			this.#cells.set(vmId, {...cell, demandPerS: Math.max(perS, estimateDemand(cell, nowMs)), demandMs: nowMs});
		}
	}

	/** Records that a node uses no share that was replaced up to this version, and the requests that passed there beyond its share. */
	recordConfirmed(vmId: string, version: number, excess: number): void {
		const cell = this.#cells.get(vmId);
		if (cell !== undefined && (cell.earlier.length > 0 || cell.excess !== excess)) {
			this.#cells.set(vmId, {...cell, excess, earlier: cell.earlier.filter(share => share.version > version)});
		}
	}

	/** Grants a first share to a node with demand, if some is free. Returns whether it did. */
	grantFirst(vmId: string, version: number, nowMs: number): boolean {
		const cell = this.#cells.get(vmId);
		if (cell === undefined || cell.quota > 0 || this.#isWithdrawn) {
			return false;
		}

		const {mean, ample} = measureNeed(estimateDemand(cell, nowMs));
		if (!this.isRestricted(nowMs) && mean < minOptimisticNeed) {
			return false;
		}

		const total = this.#total;
		const free = this.#known - this.#measureUsed();
		const quota = free < 0 ? 0 : Math.min(ample, total, this.#measurePossible(cell) + free);
		if (quota > 0) {
			this.#cells.set(vmId, {
				...cell, quota, total, sharesSum: this.#sharesSum + quota, version,
			});
		}

		return quota > 0;
	}

	/** Returns the share of a node; nothing if it has not changed after a version. */
	findShares(vmId: string, afterVersion: number): readonly AccountShare[] {
		const cell = this.#cells.get(vmId);
		return cell === undefined || cell.version <= afterVersion || (afterVersion === 0 && cell.quota === 0) ? [] : [[this.name, cell.quota, cell.total, cell.sharesSum]];
	}

	/** Divides the limit again, if the demand requires it. Returns the nodes whose shares changed. `isComplete`: nobody holds a share of an earlier controller that has not reported it. */
	plan(version: number, {nowMs, isComplete}: {readonly nowMs: number; readonly isComplete: boolean}): readonly string[] {
		this.#ended = this.#ended.length === 0 ? this.#ended : this.#ended.filter(({untilMs}) => nowMs < untilMs);
		this.#applyHigherLimit();
		if (isComplete) {
			this.#known = this.#total;
		}

		if (!this.#mustDivide && nowMs - this.#dividedMs < minIntervalMs) {
			return [];
		}

		const cells = [...this.#cells.values()];
		const demands = cells.map(cell => estimateDemand(cell, nowMs));
		if (!this.isRestricted(nowMs) && addUp(demands.map(perS => measureNeed(perS).ample)) > this.#total) {
			// The callers are at so many nodes that whole requests can't be divided among them.
			return [];
		}

		const isDue = this.#mustDivide || nowMs - this.#dividedMs >= relaxedIntervalMs;
		if (!isDue && demands.every((perS, index) => cells[index]!.quota >= measureNeed(perS).scant)) {
			return [];
		}

		const targets = this.#isWithdrawn ? cells.map(() => 0) : this.#createTargets(cells, demands, nowMs);
		const isShort = cells.some((cell, index) => cell.quota < Math.min(targets[index]! * minKeptIfScarce, measureNeed(demands[index]!).scant));
		if (!isDue && !isShort) {
			return [];
		}

		this.#mustDivide = false;
		this.#dividedMs = nowMs;
		return this.#applyTargets(cells, {targets, demands}, version);
	}

	#applyHigherLimit(): void {
		const isScaled = [...this.#cells.values()].some(cell => [cell, ...cell.earlier].some(({quota, total}) => quota > 0 && total > this.#total));
		if (deriveTotal(this.#account) > this.#total && !isScaled) {
			this.#total = deriveTotal(this.#account);
		}
	}

	get #sharesSum(): number {
		return addUp([...this.#cells.values()].map(({quota}) => quota));
	}

	#createTargets(cells: readonly Cell[], demands: readonly number[], nowMs: number): readonly number[] {
		const total = this.#total;
		const needs = demands.map(perS => measureNeed(perS));
		const activeCount = demands.filter(perS => perS > 0).length;
		const rotation = activeCount > total ? hashString(String(Math.floor(nowMs / rotationMs))) : 0;
		const order = [...cells.keys()].toSorted((left, right) => ((cells[left]!.rank + rotation) % rankRange) - ((cells[right]!.rank + rotation) % rankRange));
		const targets = assignQuotas(total, needs, order);
		const isScarce = addUp(needs.map(({scant}) => scant)) > total;
		const kept = targets.map((target, index) => isKept(cells[index]!.quota, target, isScarce) ? cells[index]!.quota : target);
		return addUp(kept) > total ? targets : kept;
	}

	#applyTargets(cells: readonly Cell[], {targets, demands}: {readonly targets: readonly number[]; readonly demands: readonly number[]}, version: number): readonly string[] {
		const free = this.#known - this.#measureUsed();
		// What a node may use can be granted to it for longer, but not while the sum exceeds the limit, as after a lower limit: then it must shrink.
		const bases = cells.map(cell => free < 0 ? cell.quota : this.#measurePossible(cell));
		const quotas = applyGrowth(bases, {targets, demands, free: Math.max(0, free)});
		const total = this.#total;
		const sharesSum = addUp(quotas);
		return cells.flatMap((cell, index) => {
			const quota = quotas[index]!;
			const isSameBasis = cell.total === total && Math.abs(cell.sharesSum - sharesSum) <= sharesSum * maxSumChange;
			if (quota === cell.quota && (isSameBasis || quota === 0)) {
				return [];
			}

			this.#cells.set(cell.vmId, {
				...cell, quota, total, sharesSum, version, earlier: quota < cell.quota ? [...cell.earlier, {quota: cell.quota, total: cell.total, version}] : cell.earlier,
			});
			return [cell.vmId];
		});
	}

	/** Returns the most that a node may use: of the shares that it may hold, as it scales them to the present limit, and of the requests that passed there. */
	#measurePossible(cell: Cell): number {
		const limit = this.#total;
		const shares = [cell, ...cell.earlier].map(({quota, total}) => convertQuota(quota, total, limit));
		return Math.max(cell.excess, ...shares);
	}

	/** Estimates the requests that passed in the latest window. */
	#estimateUse(nowMs: number): number {
		return addUp([...this.#cells.values()].map(cell => cell.excess > 0 ? cell.excess : Math.min(cell.quota, estimateDemand(cell, nowMs) * cooldownMs / msPerSecond)));
	}

	#measureUsed(): number {
		return addUp([...this.#cells.values()].map(cell => this.#measurePossible(cell))) + addUp(this.#ended.map(({quota}) => quota));
	}
}
