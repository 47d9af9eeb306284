import type {FailureReason} from '@buckthornpoint/types/requests.js';

/** All events that the processes log. `event` is the kind, the other members are its data. */
export type LogEvent
	= | {readonly event: 'node-started'; readonly vmId: string; readonly incarnation: string; readonly callerOrigin: string; readonly peerOrigin: string}
		| {readonly event: 'node-stopping'; readonly vmId: string}
		| {readonly event: 'node-stopped'; readonly vmId: string}
		| {readonly event: 'stop-step'; readonly step: string; readonly sinceMs: number; readonly open: number; readonly running: number}
		| {readonly event: 'backend-server-announced'; readonly name: string; readonly service: string; readonly incarnation: string}
		| {readonly event: 'backend-server-silent'; readonly name: string; readonly service: string}
		| {readonly event: 'store-failed'; readonly operation: string; readonly kind: string; readonly message: string}
		| {readonly event: 'request-failed'; readonly requestId: string; readonly outcome: string; readonly reason: FailureReason; readonly message: string}
		| {readonly event: 'peer-failed'; readonly vmId: string; readonly message: string}
		| {readonly event: 'cell-event'; readonly name: string; readonly detail: string}
		| {readonly event: 'configuration-in-force'; readonly version: number}
		| {readonly event: 'operator-request'; readonly command: string; readonly accepted: boolean; readonly detail: string}
		| {readonly event: 'request-refused'; readonly requestId: string | undefined} & RequestFacts
		| {readonly event: 'request-unknown'; readonly requestId: string | undefined} & RequestFacts
		| {readonly event: 'request-rejected'; readonly requestId: string | undefined} & RequestFacts
		| {readonly event: 'request-cancelled'; readonly requestId: string | undefined} & RequestFacts
		| {
			readonly event: 'owner-refused'; readonly requestId: string; readonly service: string; readonly key: number | undefined;
			readonly priority: number; readonly reason: string; readonly outstanding: number; readonly slots: number; readonly serviceMs: number;
			readonly retryAfterMs: number; readonly isPromised: boolean;
		}
		| {readonly event: 'owner-lost'; readonly requestId: string; readonly service: string; readonly key: number | undefined; readonly reason: string}
		| {readonly event: 'server-answer-invalid'; readonly requestId: string; readonly message: string}
		| {readonly event: 'control-event'; readonly kind: string; readonly detail: string}
		| {readonly event: 'store-lost'; readonly by: string; readonly message: string}
		| {readonly event: 'store-regained'; readonly by: string; readonly awayMs: number}
		| {readonly event: 'store-era'; readonly era: number; readonly earlierEra: number | undefined}
		| {readonly event: 'store-era-invalid'; readonly message: string}
		| {readonly event: 'evacuation-contradicted'; readonly failureDomain: string; readonly isEvacuated: boolean}
		| {readonly event: 'operator-row-ignored'; readonly key: string; readonly version: number; readonly appliedVersion: number}
		| {readonly event: 'routes-in-force'; readonly version: number; readonly routes: number; readonly accounts: number; readonly from: 'store' | 'peer'}
		| {readonly event: 'routes-behind'; readonly version: number; readonly versionInForce: number}
		| {readonly event: 'operator-row-invalid'; readonly message: string}
		| {readonly event: 'evacuation'; readonly failureDomains: readonly string[]; readonly version: number; readonly from: 'store' | 'controller'}
		| {readonly event: 'backend-state'; readonly key: string; readonly service: string; readonly state: string; readonly coldMs: number; readonly reason: string}
		| {
			readonly event: 'backend-limit'; readonly key: string; readonly service: string;
			readonly limitPerS: number | undefined; readonly sentPerS: number;
		}
		| {readonly event: 'announcement-ignored'; readonly id: string; readonly reason: string}
		| {readonly event: 'backend-proved'; readonly key: string; readonly by: 'health-check' | 'heartbeats'; readonly tookMs: number}
		| {readonly event: 'backend-not-proved'; readonly key: string; readonly message: string}
		| {readonly event: 'leave-recorded'; readonly key: string; readonly isConfirmed: boolean; readonly tookMs: number}
		| {readonly event: 'leave-not-recorded'; readonly key: string; readonly message: string}
		| {readonly event: 'ranges-assigned'; readonly epoch: number; readonly version: string; readonly ranges: number}
		| {readonly event: 'account-shares'; readonly epoch: number; readonly version: number; readonly changed: number; readonly shares: string}
		| {readonly event: 'account-lease'; readonly isValid: boolean}
		| {readonly event: 'grant-shortened'; readonly omitted: number}
		| {
			readonly event: 'process-stalled'; readonly stalledMs: number; readonly processorMs: number; readonly sinceMs: number; readonly heapShare: number;
			readonly message: string;
		}
		| {readonly event: 'accept-failed'; readonly message: string}
		| {readonly event: 'settings-reloaded'; readonly outcome: string}
		| {readonly event: 'internal-error'; readonly message: string};

/** Data of an event about a request: the outcome and the inputs that led to it. */
export type RequestFacts = {
	readonly route: string | undefined;
	readonly service: string | undefined;
	/** Name of the client account; absent without one. */
	readonly account?: string;
	readonly key: number | undefined;
	readonly status: number;
	readonly reason: string;
	readonly tries: readonly string[];
	readonly tookMs: number;
	readonly routesVersion: number | undefined;
	readonly retryAfterMs: number | undefined;
	readonly detail?: string;
};

/** Severity of an event. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

const levelsByEvent: Readonly<Record<LogEvent['event'], LogLevel>> = {
	'node-started': 'info',
	'node-stopping': 'info',
	'node-stopped': 'info',
	'stop-step': 'info',
	'backend-server-announced': 'info',
	'backend-server-silent': 'warn',
	'store-failed': 'warn',
	'request-failed': 'debug',
	'peer-failed': 'warn',
	'cell-event': 'info',
	'configuration-in-force': 'info',
	'operator-request': 'info',
	'request-refused': 'info',
	'request-unknown': 'warn',
	'request-rejected': 'info',
	'request-cancelled': 'debug',
	'owner-refused': 'info',
	'owner-lost': 'warn',
	'server-answer-invalid': 'warn',
	'control-event': 'info',
	'store-lost': 'warn',
	'store-regained': 'info',
	'store-era': 'warn',
	'store-era-invalid': 'error',
	'evacuation-contradicted': 'warn',
	'operator-row-ignored': 'info',
	'routes-in-force': 'info',
	'routes-behind': 'info',
	'operator-row-invalid': 'error',
	evacuation: 'info',
	'backend-state': 'info',
	'backend-limit': 'info',
	'announcement-ignored': 'warn',
	'backend-proved': 'info',
	'backend-not-proved': 'info',
	'leave-recorded': 'info',
	'leave-not-recorded': 'warn',
	'ranges-assigned': 'info',
	'account-shares': 'info',
	'account-lease': 'info',
	'grant-shortened': 'warn',
	'process-stalled': 'warn',
	'accept-failed': 'error',
	'settings-reloaded': 'info',
	'internal-error': 'error',
};

/** Returns the level of an event. */
export function getLevel(event: LogEvent): LogLevel {
	return levelsByEvent[event.event];
}
