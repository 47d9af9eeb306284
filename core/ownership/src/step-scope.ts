import type {CellState, ControllerContact} from './cell-state.js';
import type {CellContext, CellEffect, CellEvent} from './machine.js';
import type {CellMessage} from './messages.js';
import type {CellWrite} from './records.js';

const minWakeMs = 2;

/** One step of a machine: its state, what it may look at, and the effects so far. */
export type StepScope = {
	readonly state: CellState;
	readonly context: CellContext;
	readonly effects: CellEffect[];
	/** Monotonic time of the step, in milliseconds. */
	readonly nowMs: number;
	/** Earliest time at which something is due. */
	wakeAtMs: number;
};

/** Lets the machine be woken at the time, or earlier; soon when the time has passed. */
export function expectWake(scope: StepScope, atMs: number): void {
	scope.wakeAtMs = Math.min(scope.wakeAtMs, Math.max(atMs, scope.nowMs + minWakeMs));
}

/** Sends a message to a node whose run may be unknown. */
export function sendMessage(scope: StepScope, to: Partial<ControllerContact> & {readonly peerOrigin: string}, message: CellMessage): void {
	scope.effects.push({
		kind: 'send', to: to.node, peerOrigin: to.peerOrigin, message,
	});
}

/** Reports an event for the log and the metrics. */
export function reportEvent(scope: StepScope, event: CellEvent): void {
	scope.effects.push({kind: 'event', event});
}

/** Requests a read of both rows and returns the number of the operation. */
export function requestRead(scope: StepScope): number {
	const operationId = ++scope.state.operationId;
	scope.effects.push({kind: 'read-store', operationId});
	return operationId;
}

/** Requests a write and returns the number of the operation. */
export function requestWrite(scope: StepScope, write: CellWrite): number {
	const operationId = ++scope.state.operationId;
	scope.effects.push({kind: 'write-store', operationId, write});
	return operationId;
}

/** Draws the id of a write: unique to the run of the node. */
export function drawWriteId(scope: StepScope): string {
	const {node} = scope.state;
	return `${node.vmId}-${node.incarnation}-${scope.state.operationId + 1}`;
}
