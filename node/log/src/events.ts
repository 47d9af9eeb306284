import type {FailureReason} from '@buckthornpoint/types/requests.js';

/** All events that the processes log. `event` names the kind; the other members are its data. */
export type LogEvent
	= | {readonly event: 'node-started'; readonly vmId: string; readonly incarnation: string; readonly callerOrigin: string; readonly peerOrigin: string}
		| {readonly event: 'node-stopping'; readonly vmId: string}
		| {readonly event: 'node-stopped'; readonly vmId: string}
		| {readonly event: 'backend-server-announced'; readonly name: string; readonly service: string; readonly incarnation: string}
		| {readonly event: 'backend-server-silent'; readonly name: string; readonly service: string}
		| {readonly event: 'store-failed'; readonly operation: string; readonly kind: string; readonly message: string}
		| {readonly event: 'request-failed'; readonly requestId: string; readonly outcome: string; readonly reason: FailureReason; readonly message: string}
		| {readonly event: 'peer-failed'; readonly vmId: string; readonly message: string}
		| {readonly event: 'cell-event'; readonly name: string; readonly detail: string}
		| {readonly event: 'configuration-in-force'; readonly version: number}
		| {readonly event: 'operator-request'; readonly command: string; readonly accepted: boolean; readonly detail: string}
		| {readonly event: 'internal-error'; readonly message: string};

/** How much an event matters to the reader of the log. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

const levels: Readonly<Record<LogEvent['event'], LogLevel>> = {
	'node-started': 'info',
	'node-stopping': 'info',
	'node-stopped': 'info',
	'backend-server-announced': 'info',
	'backend-server-silent': 'warn',
	'store-failed': 'warn',
	'request-failed': 'debug',
	'peer-failed': 'warn',
	'cell-event': 'info',
	'configuration-in-force': 'info',
	'operator-request': 'info',
	'internal-error': 'error',
};

/** Returns the level of an event. */
export function getLevel(event: LogEvent): LogLevel {
	return levels[event.event];
}
