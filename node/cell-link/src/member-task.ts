import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import type {LeaseClock} from '@buckthornpoint/clock/lease-clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {BackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {HeartbeatReply, MemberHeartbeat} from '@buckthornpoint/key-ranges/messages.js';
import {ReplyHistory} from '@buckthornpoint/key-ranges/reply-history.js';
import type {PeerLinks} from '@buckthornpoint/peers/peer-links.js';
import type {ControlTask} from './control-task.js';

/** Sends a heartbeat to the controller; `ControlAnswer` is the answer. */
export type ControlCall = {readonly heartbeat: MemberHeartbeat};
export type ControlAnswer = {readonly reply?: HeartbeatReply};

/** One-way message that requests an immediate heartbeat. It names the new controller after a takeover. */
export type NodeNotice = {readonly controller?: {readonly address: string; readonly epoch: number}};

/** Events that a member task emits, for the log. */
export type MemberEvent
	= | {readonly kind: 'controller-found'; readonly address: string}
		| {readonly kind: 'controller-lost'; readonly address: string; readonly silentMs: number};

/** Dependencies and settings of a `MemberTask`. */
export type MemberTaskOpts = {
	readonly address: string;
	readonly control: Pick<ControlTask, 'isLeading' | 'findController' | 'handleHeartbeat'>;
	readonly links: Pick<PeerLinks, 'call'>;
	readonly clock: Clock;
	/** Clock of leases and grants, by which `sentMs` is measured. */
	readonly leaseClock: LeaseClock;
	readonly random: RandomSource;
	readonly createHeartbeat: () => MemberHeartbeat;
	/** Applies a reply. `sentMs` is when its heartbeat was sent, `backend` the backend server instance that the heartbeat reported. */
	readonly applyReply: (reply: HeartbeatReply, sentMs: number, backend: BackendInstanceKey | undefined) => void;
	readonly onEvent: (event: MemberEvent) => void;
	/** The highest controller epoch that the node has received. */
	readonly getEpoch: () => number;
	/** Counts the known nodes, this one included. */
	readonly countNodes: () => number;
};

/** Two intervals fit into the time after which the controller treats a node as silent. */
const heartbeatIntervalMs = 500;

/** Shortest time between two heartbeats, however many changes there are to report. */
const minHeartbeatIntervalMs = 40;

/** Timeout of a heartbeat call. A reply that arrives later is still applied. */
const replyTimeoutMs = 450;

/** How long a node that starts waits for a controller, which usually replies within 50 ms. */
const firstReplyTimeoutMs = 500;

/** A controller that has not replied for this long, or not reached the store for this long, is looked up again. */
const controllerTimeoutMs = 1200;

/** Base interval between controller lookups of one node. It is randomized so that the nodes do not query the store all at once. */
const searchIntervalMs = 500;

/**
 * Above this number of nodes the lookup interval grows in proportion to it, which keeps the load on the store constant. It
 * is enough that one node detects the loss of the controller.
 */
const maxNodesAtBaseInterval = 40;

/** Finds the controller and sends heartbeats to it. */
export class MemberTask {
	readonly #opts: MemberTaskOpts;
	#controllerAddress: string | undefined;
	#lastReplyMs = Number.NEGATIVE_INFINITY;
	#lastSentMs = Number.NEGATIVE_INFINITY;
	#timer: Timer | undefined;
	#isSending = false;
	#isHeartbeatRequested = false;
	#isClosed = false;
	#nextSearchMs = Number.NEGATIVE_INFINITY;
	#storeUnreachableSinceMs: number | undefined;
	readonly #firstReply = new AbortController();
	readonly #replies = new ReplyHistory();

	constructor(opts: MemberTaskOpts) {
		this.#opts = opts;
	}

	start(): void {
		this.#startTimer(0);
	}

	/** Waits for the first reply of a controller, for a limited time. */
	async waitForReply(): Promise<void> {
		if (!this.#firstReply.signal.aborted) {
			await this.#opts.clock.sleep(firstReplyTimeoutMs, this.#firstReply.signal);
		}
	}

	/** Sends a heartbeat soon, to report a change to the controller. */
	requestHeartbeat(): void {
		this.#isHeartbeatRequested = true;
		if (!this.#isSending) {
			this.#startTimer(Math.max(0, minHeartbeatIntervalMs - (this.#readNowMs() - this.#lastSentMs)));
		}
	}

	/** Whether another node is the controller, has replied recently and reaches the store. */
	get isFollowing(): boolean {
		return !this.#opts.control.isLeading && this.#storeUnreachableSinceMs === undefined && this.#readNowMs() - this.#lastReplyMs < controllerTimeoutMs;
	}

	/**
	 * Switches to the controller that the notice names, if any, and sends a heartbeat soon. If that node is not the
	 * controller, the missing replies lead to a new lookup.
	 */
	handleNotice({controller}: NodeNotice): void {
		const {address, epoch} = controller ?? {address: undefined, epoch: 0};
		if (address !== undefined && address !== this.#controllerAddress && epoch >= this.#opts.getEpoch() && !this.#opts.control.isLeading) {
			this.#opts.onEvent({kind: 'controller-found', address});
			this.#controllerAddress = address;
			this.#lastReplyMs = this.#readNowMs();
			this.#storeUnreachableSinceMs = undefined;
		}

		this.requestHeartbeat();
	}

	/** Answers a heartbeat of another node. The answer is empty if this node is not the controller. */
	handleCall(call: ControlCall): ControlAnswer {
		const reply = this.#opts.control.handleHeartbeat(call.heartbeat);
		return reply === undefined ? {} : {reply};
	}

	close(): void {
		this.#isClosed = true;
		this.#timer?.close();
	}

	#startTimer(delayMs: number): void {
		this.#timer?.close();
		if (!this.#isClosed) {
			this.#timer = this.#opts.clock.startTimer(delayMs, () => {
				void this.#exchangeAndReschedule();
			});
		}
	}

	async #exchangeAndReschedule(): Promise<void> {
		this.#isSending = true;
		this.#isHeartbeatRequested = false;
		try {
			const search = this.#findController();
			if (this.#controllerAddress === undefined) {
				await search;
			}

			// A lookup may have to wait for the store. Meanwhile the known controller can still renew leases.
			await this.#exchangeHeartbeat();
		} finally {
			this.#isSending = false;
			this.#startTimer(this.#isHeartbeatRequested ? minHeartbeatIntervalMs : heartbeatIntervalMs * (0.9 + (0.2 * this.#opts.random.generateFraction())));
		}
	}

	/** Looks up the controller if none is known, or if the known one no longer replies or no longer reaches the store. */
	async #findController(): Promise<void> {
		const nowMs = this.#readNowMs();
		const isLost = this.#controllerAddress === undefined || nowMs - this.#lastReplyMs >= controllerTimeoutMs;
		const isStoreUnreachable = this.#storeUnreachableSinceMs !== undefined && nowMs - this.#storeUnreachableSinceMs >= controllerTimeoutMs;
		if ((!isLost && !isStoreUnreachable) || this.#opts.control.isLeading || nowMs < this.#nextSearchMs) {
			return;
		}

		const intervalMs = searchIntervalMs * Math.max(1, this.#opts.countNodes() / maxNodesAtBaseInterval);
		this.#nextSearchMs = nowMs + (intervalMs * (0.5 + this.#opts.random.generateFraction()));
		const found = await this.#opts.control.findController();
		if (found !== undefined && found !== this.#controllerAddress) {
			if (this.#controllerAddress !== undefined) {
				this.#opts.onEvent({kind: 'controller-lost', address: this.#controllerAddress, silentMs: Math.round(nowMs - this.#lastReplyMs)});
			}

			this.#controllerAddress = found;
			this.#storeUnreachableSinceMs = undefined;
			this.#opts.onEvent({kind: 'controller-found', address: found});
			this.requestHeartbeat();
		}
	}

	async #exchangeHeartbeat(): Promise<void> {
		const address = this.#opts.control.isLeading ? this.#opts.address : this.#controllerAddress;
		if (address === undefined) {
			return;
		}

		const created = this.#opts.createHeartbeat();
		const heartbeat: MemberHeartbeat = {...created, ...this.#replies.createFields(created.epoch, this.#readNowMs())};
		const sentMs = this.#opts.leaseClock.readNowMs();
		this.#lastSentMs = this.#readNowMs();
		const apply = (answer: unknown): void => {
			this.#applyAnswer(answer as ControlAnswer | undefined, sentMs, {address, backend: heartbeat.backend?.key}); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		};

		if (address === this.#opts.address) {
			apply(this.handleCall({heartbeat}));
		} else {
			apply(await this.#opts.links.call(address, {heartbeat} satisfies ControlCall, replyTimeoutMs, apply));
		}
	}

	/** A reply, even a late one, counts from the time at which its heartbeat was sent. */
	#applyAnswer(answer: ControlAnswer | undefined, sentMs: number, {address, backend}: {readonly address: string; readonly backend: BackendInstanceKey | undefined}): void {
		if (answer?.reply === undefined) {
			return;
		}

		if (address === this.#controllerAddress || address === this.#opts.address) {
			this.#lastReplyMs = this.#readNowMs();
			this.#storeUnreachableSinceMs = answer.reply.isStoreReached ? undefined : this.#storeUnreachableSinceMs ?? this.#lastReplyMs;
		}

		this.#replies.record(answer.reply, this.#readNowMs());
		this.#opts.applyReply(answer.reply, sentMs, backend);
		this.#firstReply.abort();
		if (answer.reply.mustReportHeld === true) {
			this.requestHeartbeat();
		}
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}
