import {
	boolean, Codec, number, optional, type Either,
} from 'purify-ts';

/** Faults that the stand-in injects; they can be changed at run time, also through `PUT /v1/faults`. */
export type StoreFaults = {
	/** Answers every request with 503. */
	readonly down: boolean;
	/** Delay before each request is processed. */
	readonly delayMs: number;
	/** Number of the next transactions that are processed but whose connection is closed without an answer. */
	readonly loseAnswers: number;
	/** Number of the next transactions that are processed but never answered while the connection stays open. */
	readonly silenceAnswers: number;
	/** Limit of writes per second; further writes are answered with 503. */
	readonly maxWritesPerSecond: number;
	/** Limit of reads per second; further reads are answered with 503. */
	readonly maxReadsPerSecond: number;
};

/** No injected faults; the rate limits are those stated for the table service of the platform. */
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

/** Decodes an update of some of the faults. */
export function decodeFaults(document: unknown): Either<string, Partial<StoreFaults>> {
	return faultsCodec.decode(document).map(faults =>
		Object.fromEntries(Object.entries(faults).filter(([, value]) => value !== undefined)));
}
