import type {BackendServer, Member} from '@buckthornpoint/types/membership.js';
import {updateExtension} from './authority.js';
import {advanceCandidate, handleCandidateRead, handleTakeoverWritten} from './candidate.js';
import type {CellState} from './cell-state.js';
import {applyConfiguration} from './configuration.js';
import {handleHeartbeat} from './controller-heartbeat.js';
import {advanceStore, handleReadResult, handleWriteResult} from './controller-store.js';
import {sendNotices, updateGrants} from './grants.js';
import {handleMessage, handleDeliveryFailure} from './handle-message.js';
import type {CellContext, CellEffect, CellInput} from './machine.js';
import {advanceHeartbeat, buildHeartbeat} from './member-heartbeat.js';
import {applyReply, expireLease, releaseDrained} from './member.js';
import {updateLosses} from './membership.js';
import {applyFailover} from './plan-cell.js';
import type {CellRows, WriteOutcome} from './records.js';
import {hasResignTimeoutPassed} from './resign.js';
import type {StepScope} from './step-scope.js';
import {advanceTakeover} from './takeover.js';

const maxWakeIntervalMs = 1000;

/** Applies one input to the state of a node and returns the effects to carry out. */
export function stepCell(state: CellState, input: CellInput, context: CellContext): readonly CellEffect[] {
	const nowMs = context.now.monotonicMs;
	const scope: StepScope = {
		state, context, effects: [], nowMs, wakeAtMs: nowMs + maxWakeIntervalMs,
	};
	if (state.member.stopped) {
		return [];
	}

	applyInput(scope, input);
	advanceAll(scope);
	publishView(scope);
	checkStopped(scope);
	const {effects} = scope;
	return [...effects, {kind: 'wake-at', monotonicMs: scope.wakeAtMs}];
}

function applyInput(scope: StepScope, input: CellInput): void {
	const {state} = scope;
	switch (input.kind) {
		case 'wake': {
			break;
		}

		case 'message': {
			handleMessage(scope, input.from, input.message);
			break;
		}

		case 'delivery-failed': {
			handleDeliveryFailure(scope, input.peerOrigin, input.message);
			break;
		}

		case 'store-read': {
			applyRead(scope, input.operationId, input.rows);
			break;
		}

		case 'store-written': {
			applyWritten(scope, input.operationId, input.outcome);
			break;
		}

		case 'backend-server-announced': {
			updateBackendServer(scope, input.backendServer);
			break;
		}

		case 'backend-server-silent': {
			updateBackendServer(scope, undefined);
			break;
		}

		case 'partition-drained': {
			releaseDrained(scope, input.partition);
			break;
		}

		case 'load-measured': {
			state.member.load = input.load;
			break;
		}

		case 'configuration-learned': {
			applyConfiguration(scope, input.configuration);
			break;
		}

		case 'stop-requested': {
			state.member.stopping = true;
			updateDescription(scope, {...state.member.description, phase: 'leaving'});
			break;
		}
	}
}

function advanceAll(scope: StepScope): void {
	const {state} = scope;
	expireLease(scope);
	advanceController(scope);
	if (state.controller === undefined) {
		advanceHeartbeat(scope);
		advanceCandidate(scope);
	}
}

function advanceController(scope: StepScope): void {
	const {controller} = scope.state;
	if (controller === undefined) {
		return;
	}

	advanceTakeover(scope, controller);
	if (controller.phase === 'active') {
		updateLosses(scope, controller);
		applyFailover(scope, controller);
	}

	advanceStore(scope, controller);
	if (scope.state.controller !== controller) {
		return;
	}

	updateGrants(scope, controller);
	exchangeOwnHeartbeat(scope);
	updateExtension(scope, controller);
	sendNotices(scope, controller);
}

/** Exchanges the heartbeat and the reply between the controller and itself as a member of its cell, without sending messages. */
function exchangeOwnHeartbeat(scope: StepScope): void {
	const {controller, member, node} = scope.state;
	const hasNewGrants = controller!.sessions.get(`${node.vmId}/${node.incarnation}`)?.grantsVersion !== member.grantsVersion && controller!.phase === 'active';
	if (scope.nowMs >= member.nextHeartbeatAtMs || hasNewGrants) {
		const heartbeat = buildHeartbeat(scope);
		member.awaitedSequence = heartbeat.sequence;
		applyReply(scope, node, handleHeartbeat(scope, controller!, node, heartbeat));
		member.nextHeartbeatAtMs = scope.nowMs + member.heartbeatIntervalMs;
		member.load = undefined;
	}

	scope.wakeAtMs = Math.min(scope.wakeAtMs, member.nextHeartbeatAtMs);
}

function applyRead(scope: StepScope, operationId: number, rows: CellRows | undefined): void {
	const {state} = scope;
	state.storeReachable = rows !== undefined;
	if (state.controller?.readOperationId === operationId) {
		handleReadResult(scope, rows);
		return;
	}

	if (state.controller === undefined && state.candidate.readOperationId === operationId) {
		handleCandidateRead(scope, rows);
	}
}

function applyWritten(scope: StepScope, operationId: number, outcome: WriteOutcome): void {
	const {state} = scope;
	state.storeReachable = outcome === 'written' || outcome === 'conflict';
	if (state.controller !== undefined) {
		handleWriteResult(scope, operationId, outcome);
		return;
	}

	const {takeover} = state.candidate;
	if (takeover?.operationId === operationId) {
		handleTakeoverWritten(scope, takeover, outcome);
	}
}

function updateBackendServer(scope: StepScope, backendServer: BackendServer | undefined): void {
	const {backendServer: known, ...rest} = scope.state.member.description;
	if (JSON.stringify(known) !== JSON.stringify(backendServer)) {
		updateDescription(scope, backendServer === undefined ? rest : {...rest, backendServer});
	}
}

function updateDescription(scope: StepScope, description: Member): void {
	const {member} = scope.state;
	member.description = description;
	member.descriptionVersion += 1;
	member.nextHeartbeatAtMs = scope.nowMs;
}

function publishView(scope: StepScope): void {
	const {state} = scope;
	const {leaseEnd, grants} = state.member;
	const known = state.publishedView;
	if (known !== undefined && known.leaseEnd === leaseEnd && known.grants === grants) {
		return;
	}

	state.publishedView = {node: state.node, leaseEnd, grants};
	scope.effects.push({kind: 'ownership-changed', view: state.publishedView});
}

/**
 * Reports that a stopping node may exit: it has handed over all partitions or its lease has ended, and it does not wait
 * to resign.
 */
function checkStopped(scope: StepScope): void {
	const {member, controller, node} = scope.state;
	if (!member.stopping) {
		return;
	}

	const session = controller?.sessions.get(`${node.vmId}/${node.incarnation}`);
	const hasHandedOver = member.grants.size === 0 && member.released.length === 0
		&& member.acknowledgedDescription >= member.descriptionVersion && (controller === undefined || session?.orders.length === 0);
	const mustResign = hasHandedOver && controller?.phase === 'active' && !hasResignTimeoutPassed(scope, controller);
	const mayStop = (hasHandedOver || member.leaseEnd === undefined) && !mustResign && controller?.phase !== 'resigning';
	if (mayStop) {
		member.stopped = true;
		scope.effects.push({kind: 'stopped'});
	}
}
