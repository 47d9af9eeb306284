import {addMilliseconds} from '@buckthornpoint/clock/clock.js';
import {isSameNode} from '@buckthornpoint/types/identity.js';
import {measureShortest} from './bounds.js';
import type {ControllerState, PendingWrite} from './cell-state.js';
import {closeController} from './create-controller.js';
import {buildResignation, stopResigning, mayResign} from './resign.js';
import {planCell} from './plan-cell.js';
import type {CellRows, CellWrite, WriteOutcome} from './records.js';
import {
	drawWriteId, expectWake, requestRead, requestWrite, type StepScope,
} from './step-scope.js';

const retryIntervalMs = 250;
const slowWriteMs = 600;
const abandonedWriteMs = 3000;

/** Renews the lease in the store and writes members and map when they change; reads back what is in doubt. */
export function advanceStore(scope: StepScope, controller: ControllerState): void {
	if (controller.phase === 'resigning' || controller.phase === 'resigned') {
		return;
	}

	noteSlowWrite(scope, controller);
	const isIdle = controller.writeOperationId === undefined && controller.readOperationId === undefined;
	if (isIdle && scope.nowMs >= controller.nextStoreAtMs) {
		startOperation(scope, controller);
	}

	if (controller.writeOperationId === undefined && controller.readOperationId === undefined) {
		expectWake(scope, scope.nowMs < controller.nextStoreAtMs ? controller.nextStoreAtMs : controller.nextRenewalAtMs);
	}
}

/** Takes in how a write ended. */
export function noteWritten(scope: StepScope, operationId: number, outcome: WriteOutcome): void {
	const controller = scope.state.controller!;
	const pending = controller.pending.find(write => write.operationId === operationId);
	if (controller.writeOperationId === operationId) {
		controller.writeOperationId = undefined;
	}

	if (controller.phase === 'resigning') {
		stopResigning(scope, controller);
		return;
	}

	if (pending === undefined) {
		return;
	}

	if (outcome === 'written') {
		recordWrite(scope, controller, pending);
		return;
	}

	if (outcome === 'conflict' || outcome === 'unavailable') {
		controller.pending = controller.pending.filter(write => write !== pending);
	}

	controller.storeFailing ||= outcome !== 'conflict';
	controller.mustRead ||= outcome !== 'unavailable';
	controller.nextStoreAtMs = outcome === 'conflict' ? scope.nowMs : scope.nowMs + retryIntervalMs;
}

/** Takes in what a read back showed: which write took effect, or that another node took the lease. */
export function noteRows(scope: StepScope, rows: CellRows | undefined): void {
	const controller = scope.state.controller!;
	controller.readOperationId = undefined;
	if (rows === undefined) {
		controller.storeFailing = true;
		controller.nextStoreAtMs = scope.nowMs + retryIntervalMs;
		return;
	}

	if (rows.lease.version < controller.rows.lease.version) {
		return;
	}

	const own = controller.pending.find(({write}) => write.writeId === rows.lease.writeId);
	if (own !== undefined) {
		controller.mustRead = false;
		recordWrite(scope, controller, own);
		return;
	}

	if (rows.lease.version === controller.rows.lease.version) {
		controller.mustRead = false;
		return;
	}

	const reason = rows.lease.value !== undefined && isSameNode(rows.lease.value.controller, scope.state.node)
		? 'the lease row was changed'
		: 'another node took the lease';
	closeController(scope, reason);
}

function noteSlowWrite(scope: StepScope, controller: ControllerState): void {
	const pending = controller.pending.find(({operationId}) => operationId === controller.writeOperationId);
	if (pending === undefined) {
		return;
	}

	const waitedMs = scope.nowMs - pending.sentAt.monotonicMs;
	controller.storeFailing ||= waitedMs >= slowWriteMs;
	if (waitedMs >= abandonedWriteMs) {
		controller.writeOperationId = undefined;
		controller.mustRead = true;
		return;
	}

	expectWake(scope, pending.sentAt.monotonicMs + (waitedMs >= slowWriteMs ? abandonedWriteMs : slowWriteMs));
}

function startOperation(scope: StepScope, controller: ControllerState): void {
	if (controller.mustRead) {
		controller.readOperationId = requestRead(scope);
		return;
	}

	const plan = controller.phase === 'active' ? planCell(scope, controller) : undefined;
	if (plan === undefined && mayResign(scope, controller)) {
		controller.phase = 'resigning';
		startWrite(scope, controller, {write: buildResignation(scope, controller), basis: undefined});
		return;
	}

	if (plan === undefined && scope.nowMs < controller.nextRenewalAtMs) {
		return;
	}

	const write: CellWrite = {
		writeId: drawWriteId(scope),
		leaseVersion: controller.rows.lease.version,
		cellVersion: controller.rows.cell.version,
		lease: {...controller.lease, renewal: controller.lease.renewal + 1},
		...(plan !== undefined && {cell: plan.cell}),
	};
	startWrite(scope, controller, {write, basis: plan?.basis});
}

function startWrite(scope: StepScope, controller: ControllerState, wish: Pick<PendingWrite, 'write' | 'basis'>): void {
	const {timing} = scope.state;
	const operationId = requestWrite(scope, wish.write);
	controller.writeOperationId = operationId;
	controller.nextRenewalAtMs = scope.nowMs + timing.renewalIntervalMs;
	controller.pending = [...controller.pending, {...wish, operationId, sentAt: scope.context.now}];
}

function recordWrite(scope: StepScope, controller: ControllerState, {write, sentAt, basis}: PendingWrite): void {
	const {timing} = scope.state;
	const {rows} = controller;
	controller.lease = write.lease!;
	controller.rows = {
		lease: {version: write.leaseVersion + 1, writeId: write.writeId, value: write.lease},
		cell: write.cell === undefined ? rows.cell : {version: write.cellVersion + 1, writeId: write.writeId, value: write.cell},
	};
	controller.pending = [];
	controller.mustRead = false;
	controller.storeFailing = false;
	controller.renewedAt = sentAt;
	controller.storeAuthorityEnd = addMilliseconds(sentAt, measureShortest(write.lease!.authorityMs, timing));
	controller.nextStoreAtMs = scope.nowMs;
	if (write.cell !== undefined) {
		controller.members = write.cell.members;
		controller.basis = basis;
		controller.areGrantsDue = true;
		controller.map = write.cell.map.version >= controller.map.version ? write.cell.map : controller.map;
	}
}
