import type {Either} from 'purify-ts';

/** Decodes a record, or says what is wrong with it. */
export type RecordDecoder<T> = {
	readonly decode: (value: unknown) => Either<string, T>;
};
