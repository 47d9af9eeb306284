import {planPlacement, type PlacementPlan} from '@buckthornpoint/placement/plan-placement.js';
import type {VmId} from '@buckthornpoint/types/identity.js';
import type {CellMap, Member} from '@buckthornpoint/types/membership.js';
import {formatNodeKey, type ControllerState, type PlanBasis} from './cell-state.js';
import {canOwnPartitions, isLive, listDesiredMembers} from './membership.js';
import type {CellRecord} from './records.js';
import {scheduleWake, reportEvent, type StepScope} from './step-scope.js';

const joinSettleMs = 500;
const balanceIntervalMs = 2000;
const maxBalanceMoveShare = 0.05;

/** A cell row to be written, and the inputs that it was planned from. */
export type CellPlan = {
	readonly cell: CellRecord;
	readonly basis: PlanBasis;
};

/** Plans the cell row; returns undefined when the stored one needs no change. */
export function planCell(scope: StepScope, controller: ControllerState): CellPlan | undefined {
	const members = listDesiredMembers(scope, controller);
	const eligibleVms = selectEligibleVms(scope, controller, members);
	const weights = listWeights(controller, members);
	const basis: PlanBasis = {
		configurationVersion: scope.state.configuration.version, members, eligibleVms, weights,
	};
	const isSame = isSameBasis(basis, controller.basis);
	const stored = controller.rows.cell.value;
	const isStored = stored?.epoch === controller.epoch && stored.map.version === controller.map.version && controller.map.version >= controller.minMapVersion;
	if (isStored && isSame && !isBalanceDue(scope, controller)) {
		return undefined;
	}

	const plan = planPlacement(
		{
			previous: controller.map, members, eligibleVms, configuration: scope.state.configuration, weights, hotKeys: [],
		},
		{maxBalanceMoves: Math.ceil(countPartitions(controller.map) * maxBalanceMoveShare)},
	);
	recordPlan(scope, controller, plan, eligibleVms);
	if (isStored && isSame && plan.moves.length === 0) {
		return undefined;
	}

	return {basis, cell: {members, map: {...plan.map, version: findNextVersion(controller)}, epoch: controller.epoch}};
}

/**
 * Reassigns the partitions of lost members while the store cannot be written. The resulting map takes effect at once and
 * is stored when the store is available again.
 */
export function applyFailover(scope: StepScope, controller: ControllerState): void {
	const lost = controller.members.filter(member => !isLive(controller, member));
	const failoverKey = lost.map(member => formatNodeKey(member)).join(' ');
	if (!controller.storeFailing || failoverKey === controller.failoverKey || !lost.some(({vmId}) => isOwner(controller.map, vmId))) {
		return;
	}

	const {configuration} = scope.state;
	const remaining = controller.members.filter(member => !lost.includes(member) && canOwnPartitions(member, configuration));
	const plan = planPlacement(
		{
			previous: controller.map, members: controller.members, eligibleVms: new Set(remaining.map(({vmId}) => vmId)), configuration, weights: new Map(), hotKeys: [],
		},
		{maxBalanceMoves: 0},
	);
	controller.failoverKey = failoverKey;
	controller.map = {...plan.map, version: findNextVersion(controller)};
	controller.mustUpdateGrants = true;
	reportEvent(scope, {name: 'partitions-moved', count: plan.moves.length, reason: 'loss while the store is down'});
}

/**
 * Selects the VMs that may own partitions now. VMs that became eligible recently are left out for `joinSettleMs`, so that
 * the start of a whole cell leads to one plan instead of several.
 */
function selectEligibleVms(scope: StepScope, controller: ControllerState, members: readonly Member[]): ReadonlySet<VmId> {
	const eligible = members.filter(member => canOwnPartitions(member, scope.state.configuration) && isLive(controller, member)).map(({vmId}) => vmId);
	const settled = eligible.filter(vmId => controller.eligibleVms.has(vmId) || isOwner(controller.map, vmId));
	if (settled.length === eligible.length) {
		controller.joinPendingSinceMs = undefined;
		return new Set(eligible);
	}

	controller.joinPendingSinceMs ??= scope.nowMs;
	const settledAtMs = controller.joinPendingSinceMs + joinSettleMs;
	if (scope.nowMs >= settledAtMs) {
		return new Set(eligible);
	}

	scheduleWake(scope, settledAtMs);
	return new Set(settled);
}

function listWeights(controller: ControllerState, members: readonly Member[]): ReadonlyMap<VmId, number> {
	const weights = members.map((member): [VmId, number] => [member.vmId, controller.sessions.get(formatNodeKey(member))?.weight ?? 1]);
	return new Map(weights.filter(([, weight]) => weight !== 1));
}

function isSameBasis(left: PlanBasis, right: PlanBasis | undefined): boolean {
	return left.configurationVersion === right?.configurationVersion
		&& isSameList(left.members, right.members)
		&& isSameList([...left.eligibleVms], [...right.eligibleVms])
		&& isSameList([...left.weights].flat(), [...right.weights].flat());
}

function isSameList(left: readonly unknown[], right: readonly unknown[]): boolean {
	return left.length === right.length && left.every((item, index) => item === right[index]);
}

function recordPlan(scope: StepScope, controller: ControllerState, plan: PlacementPlan, eligibleVms: ReadonlySet<VmId>): void {
	controller.eligibleVms = eligibleVms;
	controller.nextBalanceAtMs = plan.moves.length === 0 ? undefined : scope.nowMs + balanceIntervalMs;
	if (plan.moves.length > 0) {
		reportEvent(scope, {name: 'partitions-moved', count: plan.moves.length, reason: 'members, configuration or balance changed'});
	}
}

function isBalanceDue(scope: StepScope, controller: ControllerState): boolean {
	const {nextBalanceAtMs} = controller;
	const isReleasing = [...controller.holders.values()].some(holder => holder.release);
	return nextBalanceAtMs !== undefined && scope.nowMs >= nextBalanceAtMs && !isReleasing;
}

function findNextVersion(controller: ControllerState): number {
	const pending = controller.pending.map(({write}) => write.cell?.map.version ?? 0);
	return Math.max(controller.map.version, controller.minMapVersion, controller.rows.cell.value?.map.version ?? 0, ...pending) + 1;
}

function isOwner(map: CellMap, vmId: VmId): boolean {
	const index = map.vmIds.indexOf(vmId);
	return index !== -1 && map.placements.some(({owners}) => owners.includes(index));
}

function countPartitions(map: CellMap): number {
	return map.placements.reduce((sum, {owners}) => sum + owners.length, 0);
}
