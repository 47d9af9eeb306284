import {addMilliseconds} from '@buckthornpoint/clock/clock.js';
import type {CellMap} from '@buckthornpoint/types/membership.js';
import {measureLongest, measureShortest} from './bounds.js';
import type {ControllerState, TakeoverWrite} from './cell-state.js';
import {applyEpoch, replaceContact} from './member.js';
import type {LeaseRecord} from './records.js';
import {reportEvent, type StepScope} from './step-scope.js';

const emptyMap: CellMap = {version: 0, vmIds: [], placements: []};

/** Makes the node the controller of the epoch that it has written; it grants nothing until the old epoch is over. */
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

/** Ends the node's part as controller. Its own lease as a member lasts as long as it was granted for. */
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
		resignByMs: undefined,
		isSuccession: rows.lease.value?.resigned === true,
		rows: {...rows, lease: {version: rows.lease.version + 1, writeId: write.writeId, value: lease}},
		lease,
		storeAuthorityEnd: addMilliseconds(sentAt, measureShortest(lease.authorityMs, timing)),
		renewedAt: sentAt,
		pending: [],
		writeOperationId: undefined,
		readOperationId: undefined,
		mustRead: false,
		nextStoreAtMs: scope.nowMs,
		nextRenewalAtMs: sentAt.monotonicMs + timing.renewalIntervalMs,
		storeFailing: false,
		extended: false,
		goneSince: new Map(),
		earliestGrantAtMs: findEarliestGrant(scope, takeover),
		lossGraceUntilAtMs: 0,
		isMajorityNeedless: scope.nowMs - takeover.firstSeenAtMs > measureLongest(timing.maxExtensionMs + timing.promiseMs, timing),
		nextRequestAtMs: scope.nowMs,
		agreements: new Map(),
		sessions: new Map(),
		holders: new Map(),
		predecessors: new Map(),
		map: rows.cell.value?.map ?? emptyMap,
		members,
		minMapVersion: 0,
		counter: 0,
		latestGrantsVersion: 0,
		areGrantsDue: true,
		grantsDueAtMs: Number.POSITIVE_INFINITY,
		staleOrders: new Set(),
		joinPendingSinceMs: undefined,
		bearers: new Set(),
		basis: undefined,
		failoverKey: '',
		nextBalanceAtMs: undefined,
	};
}

/** No renewal of the older epoch was sent after this version of the row was seen: the compare-and-set proves it. */
function findEarliestGrant(scope: StepScope, takeover: TakeoverWrite): number {
	const {timing} = scope.state;
	const older = takeover.rows.lease.value;
	return older === undefined || older.resigned === true ? scope.nowMs : takeover.firstSeenAtMs + measureLongest(older.authorityMs + timing.inFlightAllowanceMs, timing);
}
