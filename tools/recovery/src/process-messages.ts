import type {NodeSettings} from '@buckthornpoint/settings/settings.js';

/** How owners are assigned: by the product, or by plain leases in the store as the baseline. */
export type Policy = 'buckthornpoint' | 'naive';

/** A command from the parent to its child process. Each command is answered by one report. */
export type ProcessCommand
	= | {readonly kind: 'start'; readonly policy: Policy; readonly settings: NodeSettings}
		| {readonly kind: 'measure'};

/** Resource usage of a process since its start. */
export type ProcessUsage = {
	readonly cpuMs: number;
	readonly residentBytes: number;
	/** Bytes written by system calls, including sockets. */
	readonly writtenBytes: number;
};

/** The answer of a child process to a command. */
export type ProcessReport = {
	readonly callerOrigin?: string;
	readonly use?: ProcessUsage;
	readonly error?: string;
};
