import {addMilliseconds} from '@buckthornpoint/clock/clock.js';
import {isSameNode} from '@buckthornpoint/types/identity.js';
import {deriveLowerBound} from './bounds.js';
import type {ControllerState, PendingWrite} from './cell-state.js';
import {closeController} from './create-controller.js';
import {buildResignation, stopResigning, mayResign} from './resign.js';
import {planCell} from './plan-cell.js';
import type {CellRows, CellWrite, WriteOutcome} from './records.js';
import {
	createWriteId, scheduleWake, requestRead, requestWrite, type StepScope,
} from './step-scope.js';

const retryIntervalMs = 250;
const slowWriteMs = 600;
const abandonWriteAfterMs = 3000;

/**
 * Renews the lease in the store, writes the cell row when members or map change, and reads the rows when the outcome of
 * a write is unknown.
 */
export function advanceStore(scope: StepScope, controller: ControllerState): void {
	if (controller.phase === 'resigning' || controller.phase === 'resigned') {
		return;
	}

	checkSlowWrite(scope, controller);
	const isIdle = controller.writeOperationId === undefined && controller.readOperationId === undefined;
	if (isIdle && scope.nowMs >= controller.nextOperationAtMs) {
		startOperation(scope, controller);
	}

	if (controller.writeOperationId === undefined && controller.readOperationId === undefined) {
		scheduleWake(scope, scope.nowMs < controller.nextOperationAtMs ? controller.nextOperationAtMs : controller.nextRenewalAtMs);
	}
}

/** Handles the outcome of a write. */
export function handleWriteResult(scope: StepScope, operationId: number, outcome: WriteOutcome): void {
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
	controller.nextOperationAtMs = outcome === 'conflict' ? scope.nowMs : scope.nowMs + retryIntervalMs;
}

/**
 * Handles the rows that were read: they show which write took effect, or that another node took the lease. `rows` is
 * undefined when the read failed.
 */
export function handleReadResult(scope: StepScope, rows: CellRows | undefined): void {
	const controller = scope.state.controller!;
	controller.readOperationId = undefined;
	if (rows === undefined) {
		controller.storeFailing = true;
		controller.nextOperationAtMs = scope.nowMs + retryIntervalMs;
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

function checkSlowWrite(scope: StepScope, controller: ControllerState): void {
	const pending = controller.pending.find(({operationId}) => operationId === controller.writeOperationId);
	if (pending === undefined) {
		return;
	}

	const waitedMs = scope.nowMs - pending.sentAt.monotonicMs;
	controller.storeFailing ||= waitedMs >= slowWriteMs;
	if (waitedMs >= abandonWriteAfterMs) {
		controller.writeOperationId = undefined;
		controller.mustRead = true;
		return;
	}

	scheduleWake(scope, pending.sentAt.monotonicMs + (waitedMs >= slowWriteMs ? abandonWriteAfterMs : slowWriteMs));
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
		writeId: createWriteId(scope),
		leaseVersion: controller.rows.lease.version,
		cellVersion: controller.rows.cell.version,
		lease: {...controller.lease, renewal: controller.lease.renewal + 1},
		...(plan !== undefined && {cell: plan.cell}),
	};
	startWrite(scope, controller, {write, basis: plan?.basis});
}

function startWrite(scope: StepScope, controller: ControllerState, planned: Pick<PendingWrite, 'write' | 'basis'>): void {
	const {timing} = scope.state;
	const operationId = requestWrite(scope, planned.write);
	controller.writeOperationId = operationId;
	controller.nextRenewalAtMs = scope.nowMs + timing.renewalIntervalMs;
	controller.pending = [...controller.pending, {...planned, operationId, sentAt: scope.context.now}];
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
	controller.storeAuthorityEnd = addMilliseconds(sentAt, deriveLowerBound(write.lease!.authorityMs, timing));
	controller.nextOperationAtMs = scope.nowMs;
	if (write.cell !== undefined) {
		controller.members = write.cell.members;
		controller.basis = basis;
		controller.mustUpdateGrants = true;
		controller.map = write.cell.map.version >= controller.map.version ? write.cell.map : controller.map;
	}
}
