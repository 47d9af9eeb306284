import {addMilliseconds} from '@buckthornpoint/clock/clock.js';
import type {CellMap} from '@buckthornpoint/types/membership.js';
import {deriveUpperBound, deriveLowerBound} from './bounds.js';
import type {ControllerState, TakeoverWrite} from './cell-state.js';
import {applyEpoch, replaceContact} from './member.js';
import type {LeaseRecord} from './records.js';
import {reportEvent, type StepScope} from './step-scope.js';

const emptyMap: CellMap = {version: 0, vmIds: [], placements: []};

/**
 * Makes the node the controller of the epoch that it has written. It grants nothing until every lease and promise of
 * the older epochs has ended.
 */
export function createController(scope: StepScope, takeover: TakeoverWrite): void {
	const {state} = scope;
	const lease = takeover.write.lease!;
	if (lease.epoch <= state.member.agreedEpoch) {
		return;
	}

	applyEpoch(scope, lease.epoch);
	replaceContact(scope, {node: state.node, peerOrigin: lease.peerOrigin});
	state.controller = buildController(scope, takeover, lease);
	reportEvent(scope, {name: 'controller-lease-acquired', epoch: lease.epoch});
}

/** Ends the node's role as controller. The lease that it holds as a member stays valid until it ends. */
export function closeController(scope: StepScope, reason: string): void {
	const {state} = scope;
	if (state.controller === undefined) {
		return;
	}

	reportEvent(scope, {name: 'controller-lease-lost', epoch: state.controller.epoch, reason});
	state.controller = undefined;
	state.member.contact = undefined;
	state.candidate.nextReadAtMs = scope.nowMs;
}

function buildController(scope: StepScope, takeover: TakeoverWrite, lease: LeaseRecord): ControllerState {
	const {timing} = scope.state;
	const {rows, sentAt, write} = takeover;
	const members = rows.cell.value?.members ?? [];
	return {
		epoch: lease.epoch,
		phase: 'waiting',
		resignDeadlineAtMs: undefined,
		isHandover: rows.lease.value?.resigned === true,
		rows: {...rows, lease: {version: rows.lease.version + 1, writeId: write.writeId, value: lease}},
		lease,
		storeAuthorityEnd: addMilliseconds(sentAt, deriveLowerBound(lease.authorityMs, timing)),
		renewedAt: sentAt,
		pending: [],
		writeOperationId: undefined,
		readOperationId: undefined,
		mustRead: false,
		nextOperationAtMs: scope.nowMs,
		nextRenewalAtMs: sentAt.monotonicMs + timing.renewalIntervalMs,
		storeFailing: false,
		extended: false,
		terminatedSince: new Map(),
		earliestGrantAtMs: findEarliestGrant(scope, takeover),
		lossGraceEndAtMs: 0,
		isQuorumWaived: scope.nowMs - takeover.firstSeenAtMs > deriveUpperBound(timing.maxExtensionMs + timing.promiseMs, timing),
		nextRequestAtMs: scope.nowMs,
		agreements: new Map(),
		sessions: new Map(),
		holders: new Map(),
		predecessors: new Map(),
		map: rows.cell.value?.map ?? emptyMap,
		members,
		minMapVersion: 0,
		fenceCounter: 0,
		latestGrantsVersion: 0,
		mustUpdateGrants: true,
		nextGrantUpdateAtMs: Number.POSITIVE_INFINITY,
		staleOrderKeys: new Set(),
		joinPendingSinceMs: undefined,
		eligibleVms: new Set(),
		basis: undefined,
		failoverKey: '',
		nextBalanceAtMs: undefined,
	};
}

/**
 * Returns the earliest time of the first grant. The older controller's authority is counted from when this version of the
 * lease row was first seen: the successful compare-and-set proves that no renewal took effect after that.
 */
function findEarliestGrant(scope: StepScope, takeover: TakeoverWrite): number {
	const {timing} = scope.state;
	const older = takeover.rows.lease.value;
	return older === undefined || older.resigned === true ? scope.nowMs : takeover.firstSeenAtMs + deriveUpperBound(older.authorityMs + timing.inFlightAllowanceMs, timing);
}
