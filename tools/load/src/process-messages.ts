import type {BackendServerOpts} from '@buckthornpoint/backend-server/backend-server.js';
import type {NodeSettings} from '@buckthornpoint/settings/settings.js';
import type {ServicePlan} from './deployments.js';

/** The parts of a VM that one child process runs. */
export type ProcessSpec = {
	readonly node?: NodeSettings;
	/** `nodeOrigin` may be empty if the node runs in the same process, whose origin is then used. */
	readonly backendServer?: Omit<BackendServerOpts, 'random'> & {readonly seed: number};
};

/** A load that a child process sends. */
export type ProcessLoad = {
	readonly origin: string;
	readonly service: ServicePlan;
	readonly durationMs: number;
	readonly seed: number;
	/** Concurrent calls of a closed-loop load; 0 for an open-loop load at `ratePerSecond`. */
	readonly concurrency: number;
	readonly ratePerSecond: number;
};

/** A command from the parent to its child process. Each command is answered by one report. */
export type ProcessCommand
	= | {readonly kind: 'start'; readonly spec: ProcessSpec}
		| {readonly kind: 'load'; readonly load: ProcessLoad}
		| {readonly kind: 'measure'}
		| {readonly kind: 'stop'};

/** Resource usage of a process since its start. */
export type ProcessUsage = {
	readonly cpuMs: number;
	readonly residentBytes: number;
	/** Bytes read and written by system calls, including sockets. */
	readonly ioBytes: number;
};

/** The answer of a child process to a command. */
export type ProcessReport = {
	readonly callerOrigin?: string;
	readonly backendOrigin?: string;
	readonly use?: ProcessUsage;
	/** Latencies of the answers, in milliseconds. */
	readonly latencies?: readonly number[];
	readonly failures?: number;
	readonly error?: string;
};
