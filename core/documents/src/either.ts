import {err, ok, type Result} from 'neverthrow';
import type {Either} from 'purify-ts';

/** Turns the outcome of a decoder into a `Result`. */
export function toResult<L, R>(either: Either<L, R>): Result<R, L> {
	return either
		.map((value): Result<R, L> => ok(value))
		.mapLeft((failure): Result<R, L> => err(failure))
		.extract();
}
