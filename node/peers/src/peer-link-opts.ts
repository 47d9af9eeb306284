import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {BodyMemory} from '@buckthornpoint/frames/body-blocks.js';

/** Settings and callbacks of a link. */
export type PeerLinkOpts = {
	/** Host and port of the other node's listener. */
	readonly address: string;
	/** Id of this link: unique among all links to the same node, including those of earlier processes of this node. */
	readonly session: string;
	readonly clock: Clock;
	/** The memory for the bodies of answers; without a limit by default. */
	readonly memory?: BodyMemory;
	/** Called when the other node becomes unreachable. */
	readonly onUnreachable: (reason: string) => void;
	/** Called when a connection broke and is being replaced. */
	readonly onDisconnect: (reason: string) => void;
	/** Called with an error thrown by the handler of an answer; other calls are not affected. */
	readonly onProblem: (problem: string) => void;
};
