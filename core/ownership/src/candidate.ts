import {isSameNode} from '@buckthornpoint/types/identity.js';
import type {TakeoverWrite} from './cell-state.js';
import {createController} from './create-controller.js';
import {replaceContact} from './member.js';
import type {CellRows, LeaseRecord, WriteOutcome} from './records.js';
import {
	drawWriteId, expectWake, requestRead, requestWrite, type StepScope,
} from './step-scope.js';

const searchIntervalMs = 200;
const unavailableIntervalMs = 300;
const rankDelayMs = 25;
const maxRankDelayMs = 200;
const jitterMs = 20;
const stalledRenewals = 1.1;
/** Stands for the number of an operation that was answered with an unknown outcome. */
const answeredOperation = -1;

/** Looks for the controller in the store, and takes the lease when nobody renews it. */
export function advanceCandidate(scope: StepScope): void {
	const {candidate, member} = scope.state;
	if (!isSearching(scope) || member.stopping) {
		candidate.rows = undefined;
		return;
	}

	if (candidate.takeover === undefined && candidate.rows !== undefined) {
		judgeTakeover(scope, candidate.rows);
	}

	if (candidate.readOperationId === undefined && scope.nowMs >= candidate.nextReadAtMs) {
		candidate.readOperationId = requestRead(scope);
		candidate.nextReadAtMs = scope.nowMs + searchIntervalMs;
	}

	if (candidate.readOperationId === undefined) {
		expectWake(scope, candidate.nextReadAtMs);
	}
}

/** Takes in what a read of the store showed. */
export function noteCandidateRows(scope: StepScope, rows: CellRows | undefined): void {
	const {candidate} = scope.state;
	candidate.readOperationId = undefined;
	if (rows === undefined) {
		candidate.nextReadAtMs = scope.nowMs + unavailableIntervalMs;
		return;
	}

	const {takeover} = candidate;
	candidate.takeover = takeover?.operationId === answeredOperation ? undefined : takeover;
	if (takeover?.write.writeId === rows.lease.writeId) {
		completeTakeover(scope, takeover);
		return;
	}

	if (candidate.rows?.lease.version !== rows.lease.version) {
		candidate.firstSeenAtMs = scope.nowMs;
	}

	candidate.rows = rows;
	noteLease(scope, rows.lease.value);
}

/** Takes in how the compare-and-set of a takeover ended. */
export function noteTakeoverWritten(scope: StepScope, takeover: TakeoverWrite, outcome: WriteOutcome): void {
	const {candidate} = scope.state;
	if (outcome === 'written') {
		completeTakeover(scope, takeover);
		return;
	}

	// A read decides what a lost answer meant.
	candidate.takeover = outcome === 'outcome-unknown' ? {...takeover, operationId: answeredOperation} : undefined;
	candidate.rows = undefined;
	candidate.nextReadAtMs = scope.nowMs;
}

function isSearching(scope: StepScope): boolean {
	const {member, node} = scope.state;
	const {contact} = member;
	return contact === undefined || member.missedReplies > 0 || isSameNode(contact.node, node);
}

function noteLease(scope: StepScope, lease: LeaseRecord | undefined): void {
	const {member, node} = scope.state;
	if (lease === undefined || lease.epoch < member.agreedEpoch || isSameNode(lease.controller, node)) {
		return;
	}

	replaceContact(scope, {node: lease.controller, peerOrigin: lease.peerOrigin});
}

function judgeTakeover(scope: StepScope, rows: CellRows): void {
	const {candidate, timing, node} = scope.state;
	const lease = rows.lease.value;
	const isOwn = lease !== undefined && isSameNode(lease.controller, node);
	const isFree = lease === undefined || isOwn || lease.resigned === true;
	const stallMs = isFree ? 0 : timing.renewalIntervalMs * stalledRenewals;
	const dueAtMs = candidate.firstSeenAtMs + stallMs + measureRankDelay(scope, rows);
	if (scope.nowMs < dueAtMs) {
		expectWake(scope, dueAtMs);
		return;
	}

	startTakeover(scope, rows);
}

function measureRankDelay(scope: StepScope, rows: CellRows): number {
	const {node} = scope.state;
	const members = rows.cell.value?.members ?? [];
	const rank = members.findIndex(member => isSameNode(member, node));
	const delayMs = rank === -1 ? maxRankDelayMs : Math.min(maxRankDelayMs, rank * rankDelayMs);
	return delayMs + scope.context.random.drawBelow(rank === -1 ? maxRankDelayMs : jitterMs);
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
		writeId: drawWriteId(scope), leaseVersion: rows.lease.version, cellVersion: rows.cell.version, lease,
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
