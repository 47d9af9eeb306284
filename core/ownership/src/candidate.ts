import {isSameNode} from '@buckthornpoint/types/identity.js';
import type {TakeoverWrite} from './cell-state.js';
import {createController} from './create-controller.js';
import {replaceContact} from './member.js';
import type {CellRows, LeaseRecord, WriteOutcome} from './records.js';
import {
	createWriteId, scheduleWake, requestRead, requestWrite, type StepScope,
} from './step-scope.js';

const searchIntervalMs = 200;
const unavailableRetryMs = 300;
const rankDelayMs = 25;
const maxRankDelayMs = 200;
const maxJitterMs = 20;
/** Number of renewal intervals without a change of the lease row after which a candidate takes over the lease. */
const stallIntervalFactor = 1.1;
/** Operation id of a takeover write whose outcome is unknown until the next read. */
const unknownOutcomeOperationId = -1;

/** Reads the rows to find the controller, and takes over the lease when the controller no longer renews it. */
export function advanceCandidate(scope: StepScope): void {
	const {candidate, member} = scope.state;
	if (!isSearching(scope) || member.stopping) {
		candidate.rows = undefined;
		return;
	}

	if (candidate.takeover === undefined && candidate.rows !== undefined) {
		evaluateTakeover(scope, candidate.rows);
	}

	if (candidate.readOperationId === undefined && scope.nowMs >= candidate.nextReadAtMs) {
		candidate.readOperationId = requestRead(scope);
		candidate.nextReadAtMs = scope.nowMs + searchIntervalMs;
	}

	if (candidate.readOperationId === undefined) {
		scheduleWake(scope, candidate.nextReadAtMs);
	}
}

/** Handles the result of a read of the store; `rows` is undefined when the read failed. */
export function handleCandidateRead(scope: StepScope, rows: CellRows | undefined): void {
	const {candidate} = scope.state;
	candidate.readOperationId = undefined;
	if (rows === undefined) {
		candidate.nextReadAtMs = scope.nowMs + unavailableRetryMs;
		return;
	}

	const {takeover} = candidate;
	candidate.takeover = takeover?.operationId === unknownOutcomeOperationId ? undefined : takeover;
	if (takeover?.write.writeId === rows.lease.writeId) {
		completeTakeover(scope, takeover);
		return;
	}

	if (candidate.rows?.lease.version !== rows.lease.version) {
		candidate.firstSeenAtMs = scope.nowMs;
	}

	candidate.rows = rows;
	applyObservedLease(scope, rows.lease.value);
}

/** Handles the outcome of the compare-and-set by which the candidate tries to take the lease. */
export function handleTakeoverWritten(scope: StepScope, takeover: TakeoverWrite, outcome: WriteOutcome): void {
	const {candidate} = scope.state;
	if (outcome === 'written') {
		completeTakeover(scope, takeover);
		return;
	}

	// If the answer was lost, the next read shows whether the write took effect.
	candidate.takeover = outcome === 'outcome-unknown' ? {...takeover, operationId: unknownOutcomeOperationId} : undefined;
	candidate.rows = undefined;
	candidate.nextReadAtMs = scope.nowMs;
}

function isSearching(scope: StepScope): boolean {
	const {member, node} = scope.state;
	const {contact} = member;
	return contact === undefined || member.missedReplies > 0 || isSameNode(contact.node, node);
}

function applyObservedLease(scope: StepScope, lease: LeaseRecord | undefined): void {
	const {member, node} = scope.state;
	if (lease === undefined || lease.epoch < member.agreedEpoch || isSameNode(lease.controller, node)) {
		return;
	}

	replaceContact(scope, {node: lease.controller, peerOrigin: lease.peerOrigin});
}

function evaluateTakeover(scope: StepScope, rows: CellRows): void {
	const {candidate, timing, node} = scope.state;
	const lease = rows.lease.value;
	const isOwn = lease !== undefined && isSameNode(lease.controller, node);
	const isFree = lease === undefined || isOwn || lease.resigned === true;
	const stallMs = isFree ? 0 : timing.renewalIntervalMs * stallIntervalFactor;
	const dueAtMs = candidate.firstSeenAtMs + stallMs + measureRankDelay(scope, rows);
	if (scope.nowMs < dueAtMs) {
		scheduleWake(scope, dueAtMs);
		return;
	}

	startTakeover(scope, rows);
}

/** Returns a delay by the node's position in the cell row, with random jitter, so that candidates rarely compete for the lease. */
function measureRankDelay(scope: StepScope, rows: CellRows): number {
	const {node} = scope.state;
	const members = rows.cell.value?.members ?? [];
	const rank = members.findIndex(member => isSameNode(member, node));
	const delayMs = rank === -1 ? maxRankDelayMs : Math.min(maxRankDelayMs, rank * rankDelayMs);
	return delayMs + scope.context.random.generateIntegerBelow(rank === -1 ? maxRankDelayMs : maxJitterMs);
}

function startTakeover(scope: StepScope, rows: CellRows): void {
	const {candidate, member, node, timing} = scope.state;
	const lease: LeaseRecord = {
		epoch: (rows.lease.value?.epoch ?? 0) + 1,
		controller: node,
		peerOrigin: member.description.peerOrigin,
		renewal: 0,
		authorityMs: timing.authorityMs,
	};
	const write = {
		writeId: createWriteId(scope), leaseVersion: rows.lease.version, cellVersion: rows.cell.version, lease,
	};
	candidate.takeover = {
		operationId: requestWrite(scope, write), write, sentAt: scope.context.now, rows, firstSeenAtMs: candidate.firstSeenAtMs,
	};
}

function completeTakeover(scope: StepScope, takeover: TakeoverWrite): void {
	const {candidate} = scope.state;
	candidate.takeover = undefined;
	candidate.rows = undefined;
	createController(scope, takeover);
}
