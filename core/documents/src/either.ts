import {err, ok, type Result} from 'neverthrow';
import type {Either} from 'purify-ts';

/** Converts an `Either` of purify-ts to a `Result` of neverthrow. */
export function toResult<L, R>(either: Either<L, R>): Result<R, L> {
	return either
		.map((value): Result<R, L> => ok(value))
		.mapLeft((failure): Result<R, L> => err(failure))
		.extract();
}
