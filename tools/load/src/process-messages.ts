import type {BackendServerOpts} from '@buckthornpoint/backend-server/backend-server.js';
import type {NodeSettings} from '@buckthornpoint/settings/settings.js';
import type {ServicePlan} from './deployments.js';

/** The parts of a VM that one operating system process runs. */
export type ProcessSpec = {
	readonly node?: NodeSettings;
	/** `nodeOrigin` may be empty when the node runs in the same process. */
	readonly backendServer?: Omit<BackendServerOpts, 'random'> & {readonly seed: number};
};

/** A load that a process sends. */
export type ProcessLoad = {
	readonly origin: string;
	readonly service: ServicePlan;
	readonly durationMs: number;
	readonly seed: number;
	/** Calls that run at once in a closed load; 0 for an open load at `ratePerSecond`. */
	readonly concurrency: number;
	readonly ratePerSecond: number;
};

/** What a parent asks of its process. Each order is answered by one report. */
export type ProcessOrder
	= | {readonly kind: 'start'; readonly spec: ProcessSpec}
		| {readonly kind: 'load'; readonly load: ProcessLoad}
		| {readonly kind: 'measure'}
		| {readonly kind: 'stop'};

/** What a process used since it started. */
export type ProcessUse = {
	readonly cpuMs: number;
	readonly residentBytes: number;
	/** Bytes read and written by system calls, sockets included. */
	readonly ioBytes: number;
};

/** The answer of a process to an order. */
export type ProcessReport = {
	readonly callerOrigin?: string;
	readonly backendOrigin?: string;
	readonly use?: ProcessUse;
	/** Latencies of the answers in milliseconds. */
	readonly latencies?: readonly number[];
	readonly failures?: number;
	readonly error?: string;
};
