import type {Clock} from '@buckthornpoint/clock/clock.js';
import {BodyBlocks, releaseBody} from '@buckthornpoint/frames/body-blocks.js';
import {
	encodeFrame, encodeFrameHead, frameTypes, type Frame,
} from '@buckthornpoint/frames/frames.js';
import type {SentRequest, StartedRequest} from './peer-messages.js';
import type {ReceivedRequest, Reply, RequestMemory} from './peer-server.js';
import type {PeerSession} from './peer-session.js';
import type {ReceivedBodies} from './received-bodies.js';
import type {TransitMeter} from './transit-meter.js';

/** The parts of a connection that its requests use. */
export type RequestConnection = {
	readonly transitMeter: TransitMeter;
	readonly bodies: ReceivedBodies;
	readonly session: PeerSession;
};

/** Receives the requests of other nodes and passes them on once their bodies are complete. */
export class RequestReceiver {
	readonly #clock: Clock;
	readonly #onRequest: (received: ReceivedRequest, reply: Reply) => () => void;
	readonly #onOverload: RequestMemory['onOverload'];

	constructor(clock: Clock, onRequest: (received: ReceivedRequest, reply: Reply) => () => void, onOverload: RequestMemory['onOverload']) {
		this.#clock = clock;
		this.#onRequest = onRequest;
		this.#onOverload = onOverload;
	}

	/** Handles a request with its body. */
	handleRequest({id, meta, body, isBodyDropped}: Frame, {session, transitMeter}: RequestConnection): void {
		const {sentMs, request} = meta as SentRequest; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		const delayMs = transitMeter.measureDelay(sentMs, this.#clock.readTimestamp().monotonicMs);
		session.recordCall(id);
		if (isBodyDropped) {
			this.#onOverload(request, createReply(id, session));
		} else {
			this.#startRequest(id, session, {
				meta: request, body, delayMs,
			});
		}
	}

	/** Reserves the memory of the body; the request starts once its body is complete. */
	handleRequestStart({id, meta}: Frame, {session, transitMeter, bodies}: RequestConnection): void {
		const {sentMs, request, bodyBytes} = meta as StartedRequest; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
		const startMs = this.#clock.readTimestamp().monotonicMs;
		const delayMs = transitMeter.measureDelay(sentMs, startMs);
		session.recordCall(id);
		bodies.start(id, bodyBytes, {
			onComplete: body => {
				this.#startRequest(id, session, {
					meta: request, body, delayMs, transferMs: this.#clock.readTimestamp().monotonicMs - startMs,
				});
			},
			refuse: () => {
				this.#onOverload(request, createReply(id, session));
			},
		});
	}

	#startRequest(id: number, session: PeerSession, received: ReceivedRequest): void {
		let isEnded = false;
		const end = (): void => {
			if (!isEnded) {
				isEnded = true;
				releaseBody(received.body);
			}
		};

		let isAnswered = false;
		const reply = createReply(id, session);
		const cancel = this.#onRequest(received, (answer, answerBody) => {
			isAnswered = true;
			end();
			reply(answer, answerBody);
		});
		if (!isAnswered) {
			session.addRunning(id, () => {
				cancel();
				end();
			});
		}
	}
}

function createReply(id: number, session: PeerSession): Reply {
	return (answer, body) => {
		if (body instanceof BodyBlocks) {
			session.reply(id, encodeFrameHead(frameTypes.response, id, answer, body.length), body);
		} else {
			session.reply(id, encodeFrame(frameTypes.response, id, answer, body));
		}
	};
}
