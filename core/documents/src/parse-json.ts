import {err, ok, type Result} from 'neverthrow';

/** Parses JSON received from another process; the error describes what is invalid. */
export function parseJson(text: string): Result<unknown, string> {
	try {
		return ok(JSON.parse(text) as unknown);
	} catch (error) {
		return err(String(error));
	}
}
