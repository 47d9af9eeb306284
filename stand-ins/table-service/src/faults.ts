import {
	boolean, Codec, number, optional, type Either,
} from 'purify-ts';

/** What the stand-in does wrong at present. Operators of a test change it while it runs. */
export type StoreFaults = {
	/** Answers every request with 503. */
	readonly down: boolean;
	/** Delay before each answer, in milliseconds. */
	readonly delayMs: number;
	/** How many of the next writes take effect before their connection is closed without an answer. */
	readonly loseAnswers: number;
	/** How many of the next writes take effect while their answers never come, on a connection that stays open. */
	readonly silenceAnswers: number;
	/** Writes a second that are accepted; more are answered with 503. */
	readonly maxWritesPerSecond: number;
	/** Reads a second that are accepted; more are answered with 503. */
	readonly maxReadsPerSecond: number;
};

/** A store without faults, at the rates that the platform is said to bear. */
export const noFaults: StoreFaults = {
	down: false, delayMs: 0, loseAnswers: 0, silenceAnswers: 0, maxWritesPerSecond: 500, maxReadsPerSecond: 2000,
};

const faultsCodec = Codec.interface({
	down: optional(boolean),
	delayMs: optional(number),
	loseAnswers: optional(number),
	silenceAnswers: optional(number),
	maxWritesPerSecond: optional(number),
	maxReadsPerSecond: optional(number),
});

/** Decodes a change of some of the faults. */
export function decodeFaults(document: unknown): Either<string, Partial<StoreFaults>> {
	return faultsCodec.decode(document).map(faults =>
		Object.fromEntries(Object.entries(faults).filter(([, value]) => value !== undefined)));
}
