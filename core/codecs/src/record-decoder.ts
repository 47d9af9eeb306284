import type {Either} from 'purify-ts';

/** Decodes a record, or returns a description of what is invalid. */
export type RecordDecoder<T> = {
	readonly decode: (value: unknown) => Either<string, T>;
};
