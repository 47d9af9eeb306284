import type {BackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';

/** The local backend server as seen by the gate. */
export type GateBackend = {
	readonly id: string;
	readonly key: BackendInstanceKey;
	readonly service: string;
	/** Number of requests that the server runs at the same time. */
	readonly slots: number;
	/** Whether the keys of its service are divided among its servers. */
	readonly isDivided: boolean;
	/** Maximum request rate while the server is cold; undefined while it is warm. */
	readonly coldPerS: number | undefined;
	/** Whether the capacity of its service is shared among requests of several priorities. */
	readonly isShared?: boolean;
	/** Set while the server leaves: the reason, and the time on the node's clock until which requests may still be sent. */
	readonly leaving?: {readonly reason: 'leaving' | 'evacuated'; readonly lastSendMs: number};
};
