import type {NodeSettings} from '@buckthornpoint/settings/settings.js';

/** What decides who owns what: the product, or plain store leases. */
export type Policy = 'buckthornpoint' | 'naive';

/** What a parent asks of a process. Each order is answered by one report. */
export type ProcessOrder
	= | {readonly kind: 'start'; readonly policy: Policy; readonly settings: NodeSettings}
		| {readonly kind: 'measure'};

/** What a process used since it started. */
export type ProcessUse = {
	readonly cpuMs: number;
	readonly residentBytes: number;
	/** Bytes written by system calls, sockets included. */
	readonly writtenBytes: number;
};

/** The answer of a process to an order. */
export type ProcessReport = {
	readonly callerOrigin?: string;
	readonly use?: ProcessUse;
	readonly error?: string;
};
