import {AccountDivision} from './account-division.js';
import {
	cooldownMs, hasRateLimit, shareLeaseMs, type AccountReport, type AccountShare, type AccountSharesUpdate,
} from './account-messages.js';
import type {ClientAccount} from './client-account.js';

/** Initial state of the shares of a controller. */
export type AccountSharesStart = {
	readonly epoch: number;
	/** The VMs whose nodes may hold shares of earlier controllers; undefined if these are not known. */
	readonly holders: readonly string[] | undefined;
	/** Greatest relative drift between the clocks of two machines. */
	readonly maxClockDrift: number;
	/**
	 * Whether nodes let requests of an account pass without a share while the account is far from its limit. Callers of one account enter
	 * at most nodes, with less than one request in a window at each: whole requests can't be divided among so many.
	 */
	readonly isOptimistic?: boolean;
};

/** The part of a heartbeat that concerns shares. */
export type MemberReport = {
	readonly vmId: string;
	readonly incarnation: string;
	/** The highest controller epoch that the node has received. */
	readonly epoch: number;
	readonly accountLoads?: AccountReport | undefined;
};

/** Summary of the shares, for the log. */
export type SharesSummary = {readonly members: number; readonly changes: number; readonly isComplete: boolean};

type Member = {
	readonly incarnation: string;
	/** The latest time at which a share of the node may be in force. */
	leaseEndMs: number;
	/** The version of the list with which this record began. A node that confirms less gets the full list. */
	readonly baseVersion: number;
	/** The version of the last change of a share. */
	version: number;
	confirmedVersion: number;
	/** Whether more requests passed than the shares allow, as last reported. */
	hasExcess: boolean;
	/** What the node holds of an earlier controller, until it has replaced it by the list of this one. */
	held: ReadonlyMap<string, AccountShare>;
};

type WithdrawnDivision = {readonly division: AccountDivision; readonly sinceMs: number};

/** Shares of an account without a limit are taken back after this time: until then some nodes may have the previous configuration. */
const withdrawalDelayMs = 3000;

/**
 * Divides the limits of accounts among the nodes, on the controller. What a node may use counts until the node has confirmed a smaller share or its
 * lease has ended for certain. Times are those of the controller's monotonic clock.
 */
export class AccountShares {
	readonly #epoch: number;
	readonly #isOptimistic: boolean;
	/** Time from a heartbeat until no request that passes under the share of its reply counts any more. */
	readonly #waitMs: number;
	/** The same from the end of a process. */
	readonly #cooldownMs: number;
	readonly #divisions = new Map<string, AccountDivision>();
	readonly #withdrawn = new Map<string, WithdrawnDivision>();
	readonly #members = new Map<string, Member>();
	/** The process of each VM that was heard last, and those that it replaced. */
	readonly #processes = new Map<string, {readonly incarnation: string; readonly replaced: ReadonlySet<string>}>();
	/** VMs whose nodes may hold shares of earlier controllers and have not reported; undefined if not known. */
	#awaited: Set<string> | undefined;
	/** When the latest of these reported: until then, an earlier process of its VM may have passed requests. */
	#lastAwaitedMs = Number.NEGATIVE_INFINITY;
	#isComplete = false;
	#version = 0;
	#changes = 0;

	constructor({epoch, holders, maxClockDrift, isOptimistic = false}: AccountSharesStart) {
		this.#epoch = epoch;
		this.#isOptimistic = isOptimistic;
		this.#awaited = holders === undefined ? undefined : new Set(holders);
		this.#waitMs = (shareLeaseMs + cooldownMs) * (1 + maxClockDrift);
		this.#cooldownMs = cooldownMs * (1 + maxClockDrift);
	}

	get hasAccounts(): boolean {
		return this.#divisions.size > 0;
	}

	/** Counts since the start. */
	get summary(): SharesSummary {
		return {members: this.#members.size, changes: this.#changes, isComplete: this.#isComplete};
	}

	/** Replaces the accounts by those of the configuration in force. */
	setAccounts(accounts: readonly ClientAccount[], nowMs: number): void {
		const limited = new Map(accounts.filter(account => hasRateLimit(account)).map(account => [account.name, account]));
		for (const [name, division] of this.#divisions) {
			if (!limited.has(name)) {
				this.#divisions.delete(name);
				this.#withdrawn.set(name, {division, sinceMs: nowMs});
			}
		}

		for (const [name, account] of limited) {
			const division = this.#divisions.get(name) ?? this.#withdrawn.get(name)?.division ?? this.#createDivision(account);
			division.setAccount(account);
			this.#divisions.set(name, division);
			this.#withdrawn.delete(name);
		}
	}

	/** Records a heartbeat. */
	recordReport(heartbeat: MemberReport, nowMs: number): void {
		const {vmId, incarnation, epoch, accountLoads: report} = heartbeat;
		if (!this.#recordProcess(heartbeat, nowMs) || epoch !== this.#epoch) {
			return;
		}

		if (report !== undefined) {
			this.#recordMember(vmId, incarnation, {report, nowMs});
		}

		// A node that follows this controller accepts no reply of an earlier one: it holds what it reports and nothing else.
		if (this.#awaited?.delete(vmId) === true) {
			this.#lastAwaitedMs = nowMs;
		}
	}

	/** Records that another controller, of which this one does not know, may have granted shares. They are waited for as those of earlier controllers. */
	recordUnknownController(): void {
		this.#awaited = undefined;
		this.#isComplete = false;
		for (const division of this.#listDivisions()) {
			division.recordUnknownHolders();
		}
	}

	/** Lists the VMs whose nodes may hold shares, or wait for some. Only a VM in the controller's row may get a share. */
	listHolders(): readonly string[] {
		return [...new Set([...this.#awaited ?? [], ...this.#members.keys()])].toSorted((left, right) => left.localeCompare(right));
	}

	/**
	 * Ends the shares of silent nodes and divides the limits again. Returns the number of changed shares. `earlierSharesEndMs` is the latest end of
	 * shares that earlier controllers granted. `renewedMs` is when the last acknowledged renewal of the controller's row was sent: a share counts as
	 * ended only if it ended before that, and the requests that passed under it have left the window. Otherwise a successor may exist that has confirmed the share, unknown to this controller.
	 */
	plan(nowMs: number, {earlierSharesEndMs, renewedMs}: {readonly earlierSharesEndMs: number; readonly renewedMs: number}): number {
		for (const [vmId, member] of this.#members) {
			if (renewedMs >= member.leaseEndMs) {
				this.#removeMember(vmId, nowMs);
			}
		}

		if (renewedMs >= earlierSharesEndMs + this.#cooldownMs) {
			this.#awaited = new Set();
			this.#lastAwaitedMs = Number.NEGATIVE_INFINITY;
		}

		this.#isComplete = this.#awaited?.size === 0 && nowMs >= this.#lastAwaitedMs + this.#cooldownMs;
		for (const [name, {division, sinceMs}] of this.#withdrawn) {
			if (division.isUnused) {
				this.#withdrawn.delete(name);
			} else if (nowMs - sinceMs >= withdrawalDelayMs) {
				division.startWithdrawal();
			}
		}

		let changes = 0;
		const version = this.#version + 1;
		for (const division of this.#listDivisions()) {
			division.recordUse(nowMs);
			for (const vmId of division.plan(version, {nowMs, isComplete: this.#isComplete})) {
				this.#members.get(vmId)!.version = version;
				changes++;
			}
		}

		this.#version = changes > 0 ? version : this.#version;
		this.#changes += changes;
		return changes;
	}

	/** Creates the shares for the reply to a heartbeat that was recorded; none without a configuration of limited accounts, which must not replace what the node holds. `leaseMs` is how long the controller may grant shares; undefined is returned if it may not. */
	createShares({vmId, incarnation, accountLoads: report}: MemberReport, leaseMs: number, nowMs: number): AccountSharesUpdate | undefined {
		const member = this.#members.get(vmId);
		if (member?.incarnation !== incarnation || report === undefined || leaseMs <= 0 || !this.hasAccounts) {
			return undefined;
		}

		const isCurrent = report.epoch === this.#epoch && report.version >= member.baseVersion;
		const baseVersion = isCurrent ? report.version : 0;
		const version = Math.max(member.version, baseVersion);
		const divisions = version === baseVersion ? [] : this.#listDivisions();
		const shares = divisions.flatMap(division => division.findShares(vmId, baseVersion));
		return {
			version,
			baseVersion,
			leaseMs: Math.min(shareLeaseMs, leaseMs),
			shares,
			...(this.#isOptimistic && {restricted: this.#listDivisions().filter(division => division.isRestricted(nowMs)).map(({name}) => name), members: this.#members.size}),
		};
	}

	/** Returns whether the heartbeat is of the latest process of its VM. */
	#recordProcess({vmId, incarnation, epoch}: MemberReport, nowMs: number): boolean {
		const known = this.#processes.get(vmId);
		if (known === undefined || known.incarnation === incarnation) {
			this.#processes.set(vmId, known ?? {incarnation, replaced: new Set()});
			return true;
		}

		const member = this.#members.get(vmId);
		// A process that has just started has followed no controller. Another one may be an earlier process of the VM whose heartbeat came late.
		const isEarlierPossible = epoch !== 0 && member !== undefined && nowMs < member.leaseEndMs;
		if (known.replaced.has(incarnation) || isEarlierPossible) {
			return false;
		}

		this.#processes.set(vmId, {incarnation, replaced: new Set([...known.replaced, known.incarnation])});
		this.#removeMember(vmId, nowMs + this.#cooldownMs);
		return true;
	}

	#recordMember(vmId: string, incarnation: string, {report, nowMs}: {readonly report: AccountReport; readonly nowMs: number}): void {
		const excess = new Map(report.excess);
		const member = this.#members.get(vmId) ?? this.#addMember(vmId, {incarnation, report, nowMs});
		// The lease counts from when the node sent the heartbeat, which was earlier.
		member.leaseEndMs = Math.max(member.leaseEndMs, nowMs + this.#waitMs);
		if (report.epoch === this.#epoch && report.version >= member.confirmedVersion && (report.version > member.confirmedVersion || excess.size > 0 || member.hasExcess)) {
			member.confirmedVersion = report.version;
			member.hasExcess = excess.size > 0;
			member.held = new Map();
			for (const division of this.#listDivisions()) {
				division.recordConfirmed(vmId, report.version, excess.get(division.name) ?? 0);
			}
		}

		for (const [name, perS] of report.offered) {
			const division = this.#divisions.get(name);
			division?.recordDemand(vmId, perS, nowMs);
			if (division?.grantFirst(vmId, this.#version + 1, nowMs) === true) {
				this.#version++;
				this.#changes++;
				member.version = this.#version;
			}
		}
	}

	#addMember(vmId: string, {incarnation, report, nowMs}: {readonly incarnation: string; readonly report: AccountReport; readonly nowMs: number}): Member {
		this.#version++;
		const excess = new Map(report.excess);
		const member = {
			incarnation,
			leaseEndMs: nowMs,
			baseVersion: this.#version,
			version: this.#version,
			confirmedVersion: 0,
			hasExcess: excess.size > 0,
			held: new Map((report.held ?? []).map(share => [share[0], share])),
		};
		this.#members.set(vmId, member);
		for (const division of this.#listDivisions()) {
			division.add(vmId, {held: member.held.get(division.name), excess: excess.get(division.name) ?? 0, version: member.baseVersion});
		}

		return member;
	}

	#removeMember(vmId: string, untilMs: number): void {
		this.#members.delete(vmId);
		for (const division of this.#listDivisions()) {
			division.remove(vmId, untilMs);
		}
	}

	#createDivision(account: ClientAccount): AccountDivision {
		const division = new AccountDivision(account, this.#isOptimistic);
		this.#version++;
		for (const [vmId, member] of this.#members) {
			division.add(vmId, {held: member.held.get(account.name), excess: 0, version: this.#version});
			member.version = this.#version;
		}

		return division;
	}

	#listDivisions(): readonly AccountDivision[] {
		return [...this.#divisions.values(), ...[...this.#withdrawn.values()].map(({division}) => division)];
	}
}
