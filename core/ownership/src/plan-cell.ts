import {planPlacement, type PlacementPlan} from '@buckthornpoint/placement/plan-placement.js';
import type {VmId} from '@buckthornpoint/types/identity.js';
import type {CellMap, Member} from '@buckthornpoint/types/membership.js';
import {formatNode, type ControllerState, type PlanBasis} from './cell-state.js';
import {canBear, isLive, listWantedMembers} from './membership.js';
import type {CellRecord} from './records.js';
import {expectWake, reportEvent, type StepScope} from './step-scope.js';

const settleMs = 500;
const balanceIntervalMs = 2000;
const balanceShare = 0.05;

/** A cell row to be written, and what it was planned from. */
export type CellPlan = {
	readonly cell: CellRecord;
	readonly basis: PlanBasis;
};

/** Plans the cell row; undefined when the stored one is as it should be. */
export function planCell(scope: StepScope, controller: ControllerState): CellPlan | undefined {
	const members = listWantedMembers(scope, controller);
	const bearers = chooseBearers(scope, controller, members);
	const weights = listWeights(controller, members);
	const basis: PlanBasis = {
		configurationVersion: scope.state.configuration.version, members, bearers, weights,
	};
	const isSame = isSameBasis(basis, controller.basis);
	const stored = controller.rows.cell.value;
	const isStored = stored?.epoch === controller.epoch && stored.map.version === controller.map.version && controller.map.version >= controller.minMapVersion;
	if (isStored && isSame && !isBalanceDue(scope, controller)) {
		return undefined;
	}

	const plan = planPlacement(
		{
			previous: controller.map, members, bearers, configuration: scope.state.configuration, weights, hotKeys: [],
		},
		{maxBalanceMoves: Math.ceil(countPartitions(controller.map) * balanceShare)},
	);
	notePlan(scope, controller, plan, bearers);
	if (isStored && isSame && plan.moves.length === 0) {
		return undefined;
	}

	return {basis, cell: {members, map: {...plan.map, version: findNextVersion(controller)}, epoch: controller.epoch}};
}

/**
 * Puts the assignment in force that follows from the stored one when the lost members are taken out, while the store
 * cannot be written. It is recorded when the store returns.
 */
export function applyFailover(scope: StepScope, controller: ControllerState): void {
	const lost = controller.members.filter(member => !isLive(controller, member));
	const failoverKey = lost.map(member => formatNode(member)).join(' ');
	if (!controller.storeFailing || failoverKey === controller.failoverKey || !lost.some(({vmId}) => isOwner(controller.map, vmId))) {
		return;
	}

	const {configuration} = scope.state;
	const remaining = controller.members.filter(member => !lost.includes(member) && canBear(member, configuration));
	const plan = planPlacement(
		{
			previous: controller.map, members: controller.members, bearers: new Set(remaining.map(({vmId}) => vmId)), configuration, weights: new Map(), hotKeys: [],
		},
		{maxBalanceMoves: 0},
	);
	controller.failoverKey = failoverKey;
	controller.map = {...plan.map, version: findNextVersion(controller)};
	controller.areGrantsDue = true;
	reportEvent(scope, {name: 'partitions-moved', count: plan.moves.length, reason: 'loss while the store is down'});
}

/** VMs that may newly own partitions wait a settle time, so that a cell that starts as a whole is planned once. */
function chooseBearers(scope: StepScope, controller: ControllerState, members: readonly Member[]): ReadonlySet<VmId> {
	const able = members.filter(member => canBear(member, scope.state.configuration) && isLive(controller, member)).map(({vmId}) => vmId);
	const known = able.filter(vmId => controller.bearers.has(vmId) || isOwner(controller.map, vmId));
	if (known.length === able.length) {
		controller.joinPendingSinceMs = undefined;
		return new Set(able);
	}

	controller.joinPendingSinceMs ??= scope.nowMs;
	const settledAtMs = controller.joinPendingSinceMs + settleMs;
	if (scope.nowMs >= settledAtMs) {
		return new Set(able);
	}

	expectWake(scope, settledAtMs);
	return new Set(known);
}

function listWeights(controller: ControllerState, members: readonly Member[]): ReadonlyMap<VmId, number> {
	const weights = members.map((member): [VmId, number] => [member.vmId, controller.sessions.get(formatNode(member))?.weight ?? 1]);
	return new Map(weights.filter(([, weight]) => weight !== 1));
}

function isSameBasis(left: PlanBasis, right: PlanBasis | undefined): boolean {
	return left.configurationVersion === right?.configurationVersion
		&& isSameList(left.members, right.members)
		&& isSameList([...left.bearers], [...right.bearers])
		&& isSameList([...left.weights].flat(), [...right.weights].flat());
}

function isSameList(left: readonly unknown[], right: readonly unknown[]): boolean {
	return left.length === right.length && left.every((item, index) => item === right[index]);
}

function notePlan(scope: StepScope, controller: ControllerState, plan: PlacementPlan, bearers: ReadonlySet<VmId>): void {
	controller.bearers = bearers;
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
