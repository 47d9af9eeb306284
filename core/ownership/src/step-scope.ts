import type {CellState, ControllerContact} from './cell-state.js';
import type {CellContext, CellEffect, CellEvent} from './machine.js';
import type {CellMessage} from './messages.js';
import type {CellWrite} from './records.js';

const minWakeDelayMs = 2;

/** One step of a state machine: its state, its context, and the effects so far. */
export type StepScope = {
	readonly state: CellState;
	readonly context: CellContext;
	readonly effects: CellEffect[];
	/** Monotonic time of the step. */
	readonly nowMs: number;
	/** Earliest time at which the machine must be woken. */
	wakeAtMs: number;
};

/** Schedules a wake at the given time or earlier; after `minWakeDelayMs` if that time has passed. */
export function scheduleWake(scope: StepScope, atMs: number): void {
	scope.wakeAtMs = Math.min(scope.wakeAtMs, Math.max(atMs, scope.nowMs + minWakeDelayMs));
}

/** Sends a message to a node whose instance may be unknown. */
export function sendMessage(scope: StepScope, to: Partial<ControllerContact> & {readonly peerOrigin: string}, message: CellMessage): void {
	scope.effects.push({
		kind: 'send', to: to.node, peerOrigin: to.peerOrigin, message,
	});
}

/** Reports an event for the log and the metrics. */
export function reportEvent(scope: StepScope, event: CellEvent): void {
	scope.effects.push({kind: 'event', event});
}

/** Requests a read of both rows and returns the operation id. */
export function requestRead(scope: StepScope): number {
	const operationId = ++scope.state.operationId;
	scope.effects.push({kind: 'read-store', operationId});
	return operationId;
}

/** Requests a write and returns the operation id. */
export function requestWrite(scope: StepScope, write: CellWrite): number {
	const operationId = ++scope.state.operationId;
	scope.effects.push({kind: 'write-store', operationId, write});
	return operationId;
}

/** Creates the id of the next write: the node instance and the id of the operation. */
export function createWriteId(scope: StepScope): string {
	const {node} = scope.state;
	return `${node.vmId}-${node.incarnation}-${scope.state.operationId + 1}`;
}
