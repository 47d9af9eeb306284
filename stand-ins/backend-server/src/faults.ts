import {
	boolean, Codec, number, optional, type Either,
} from 'purify-ts';

/** What the stand-in does wrong at present. Whoever runs a test changes it while the stand-in runs. */
export type BackendServerFaults = {
	/** Accepts connections, but neither begins nor answers anything, and does not announce itself. */
	readonly frozen: boolean;
	/** How many times longer each request takes. */
	readonly slowdown: number;
	/** Longest delay between the end of the work and the answer, in milliseconds; drawn evenly, so that answers overtake each other. */
	readonly answerDelayMs: number;
	/** Fraction of the answers whose connection is closed before the answer begins. */
	readonly loseAnswers: number;
	/** Fraction of the answers whose connection is closed in the middle of the body. */
	readonly cutAnswers: number;
	/** Fraction of the answers that never come, on a connection that stays open. */
	readonly silenceAnswers: number;
	/** Fraction of the answers that are those to another request. */
	readonly crossAnswers: number;
	/** Age of the load report, in milliseconds. */
	readonly loadLagMs: number;
	/** Whether it announces that it is about to stop. */
	readonly leaving: boolean;
};

/** A backend server without faults. */
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

/** Decodes a change of some of the faults. */
export function decodeFaults(document: unknown): Either<string, Partial<BackendServerFaults>> {
	return faultsCodec.decode(document).map(faults =>
		Object.fromEntries(Object.entries(faults).filter(([, value]) => value !== undefined)));
}
