import type {RankedEntry} from './ranked-queue.js';

/** A request for a slot of the local backend server. */
export type SlotRequest = {
	/** Requests of priority 0 come first. */
	readonly priority: number;
	/** Whether the request may be queued. Otherwise it is refused if no slot is free, so that the caller can try another server. */
	readonly mayWait: boolean;
	/** Requests of the same kind have similar service times, for example those of one route. */
	readonly kind: string;
	/** When the latency target ends, on the queue's clock: a later response is worth less. */
	readonly targetEndMs: number;
	/** Until when a response that misses the target is still of use, on the queue's clock. */
	readonly lateEndMs: number;
	/** Deadline of the caller on the queue's clock. */
	readonly endMs: number;
	/** Estimated time of the caller's first attempt on the queue's clock; undefined if unknown. Callers that come back as told are recognised by it. */
	readonly firstMs?: number;
	/** Called once when the request gets a slot. */
	readonly start: () => void;
	/** Called once instead of `start` if the request gets no slot. */
	readonly refuse: (refusal: SlotRefusal) => void;
};

/** Why a request got no slot, and after what time the caller may retry. */
export type SlotRefusal = {
	readonly reason: 'overloaded' | 'cold' | 'limited' | 'expired' | 'closed' | 'displaced';
	readonly retryAfterMs: number;
	/** Whether capacity is set aside for the caller at that time. */
	readonly isPromised?: boolean;
};

/** Current load of a queue. */
export type SlotQueueLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	readonly serviceMs: number;
};

/** What a first attempt of a kind has to expect at a server whose capacity is shared. */
export type KindWait = {
	readonly kind: string;
	/** Time until its answer. */
	readonly answerMs: number;
	/** Time until the earliest retry that can be promised. */
	readonly retryAfterMs: number;
	/** Time that a start must come before the end of the target of the request. */
	readonly serviceMs: number;
};

/** A request while it waits. `isClaimed` marks that of a caller that came back at its promised time. */
export type WaitingRequest = SlotRequest & RankedEntry & {isLate: boolean; readonly isClaimed: boolean};

/** What the wait of a request depends on. */
export type QueuePosition = Pick<WaitingRequest, 'kind' | 'rank' | 'isLate'>;
