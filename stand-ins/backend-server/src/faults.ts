import {
	boolean, Codec, number, optional, type Either,
} from 'purify-ts';

/** Faults that the stand-in injects; they can be changed at run time, also through `PUT /buckthornpoint/faults`. */
export type BackendServerFaults = {
	/** Accepts connections, but answers no requests, load queries or health checks, and sends no announcements. */
	readonly frozen: boolean;
	/** Factor by which each request takes longer. */
	readonly slowdown: number;
	/** Maximum delay between the end of the work and the answer; uniformly random, so that answers overtake each other. */
	readonly answerDelayMs: number;
	/** Fraction of the answers whose connection is closed before any byte is sent. */
	readonly loseAnswers: number;
	/** Fraction of the answers whose connection is closed after half of the body. */
	readonly cutAnswers: number;
	/** Fraction of the answers that are never sent while the connection stays open. */
	readonly silenceAnswers: number;
	/** Fraction of the answers that are replaced by the answer to an earlier request. */
	readonly crossAnswers: number;
	/** Minimum age at which the load report is renewed. */
	readonly loadLagMs: number;
	/** Whether the server announces that it is about to stop, and refuses new requests. */
	readonly leaving: boolean;
};

/** No injected faults. */
export const noFaults: BackendServerFaults = {
	frozen: false,
	slowdown: 1,
	answerDelayMs: 0,
	loseAnswers: 0,
	cutAnswers: 0,
	silenceAnswers: 0,
	crossAnswers: 0,
	loadLagMs: 0,
	leaving: false,
};

const faultsCodec = Codec.interface({
	frozen: optional(boolean),
	slowdown: optional(number),
	answerDelayMs: optional(number),
	loseAnswers: optional(number),
	cutAnswers: optional(number),
	silenceAnswers: optional(number),
	crossAnswers: optional(number),
	loadLagMs: optional(number),
	leaving: optional(boolean),
});

/** Decodes an update of some of the faults. */
export function decodeFaults(document: unknown): Either<string, Partial<BackendServerFaults>> {
	return faultsCodec.decode(document).map(faults =>
		Object.fromEntries(Object.entries(faults).filter(([, value]) => value !== undefined)));
}
