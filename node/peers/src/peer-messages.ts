import type {Body} from '@buckthornpoint/frames/body-blocks.js';

/** Failure of a call to another node. */
export type CallFailure = {
	/** Whether the call may have reached the other node. */
	readonly wasSent: boolean;
	readonly reason: string;
};

/** Callbacks of a call, at most one of which is called, once. */
export type CallHandler = {
	/**
	 * Whether the call stays pending while the other node is silent, until it is answered or cancelled, because no other node
	 * may run it. Other calls fail when the node becomes silent.
	 */
	readonly waitsForReconnect: boolean;
	/** The receiver releases a body in blocks. */
	readonly onAnswer: (meta: unknown, body: Body) => void;
	readonly onFailure: (failure: CallFailure) => void;
};

/** A request, with the sender's clock at the time of sending. */
export type SentRequest = {
	readonly sentMs: number;
	readonly request: unknown;
};

/** A request whose body follows in further frames. */
export type StartedRequest = SentRequest & {readonly bodyBytes: number};

/** A ping, with the sender's clock at the time of sending and the id of its link. */
export type SentPing = Pick<SentRequest, 'sentMs'> & {
	readonly session: string;
	/** Id of the link's next call: calls with lower ids may have been sent on earlier connections. Nodes of earlier versions don't send it. */
	readonly nextId?: number;
};

/** Sent on the replacement of a broken connection: the ids of the calls that are still pending. */
export type ResumedCalls = {readonly ids: readonly number[]};

/** Reply to a resumed call whose answer is not known. `hasCome` is false if the call never arrived and will not start, true if it may have arrived. */
export type MissingCall = {readonly hasCome: boolean};
