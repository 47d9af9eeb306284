import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {BodyMemory} from '@buckthornpoint/frames/body-blocks.js';
import type {BackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';

/** Dependencies of a gate. */
export type BackendGateOpts = {
	readonly host: string;
	readonly port: number;
	readonly clock: Clock;
	/** The memory for the bodies of answers; without a limit by default. */
	readonly memory?: BodyMemory;
	/** Whether the backend server holds a grant for the key. */
	readonly isHeld: (key: number) => boolean;
	/** Called when no process listens at the server's address: the server instance has ended. */
	readonly onServerEnded: () => void;
	/** Called when bytes in place of the answer to a request were no answer, with what was wrong. */
	readonly onInvalidAnswer?: (requestId: string, problem: string) => void;
	/** Called with each answer that reports how long the server stays cold. */
	readonly onCold: (coldMs: number) => void;
	/** Called when the server starts, changes or stops advertising a request limit, and with the rate that was sent to it last. */
	readonly onLimitChange: (limitPerS: number | undefined, sentPerS: number) => void;
	/** Called once for a server instance that states that it is leaving, with the time of the first statement. */
	readonly onLeaving: (key: BackendInstanceKey, sinceMs: number) => void;
};
