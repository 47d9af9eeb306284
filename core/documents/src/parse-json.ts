import {err, ok, type Result} from 'neverthrow';

/** Parses a JSON document of another process; the error says what is wrong with it. */
export function parseJson(text: string): Result<unknown, string> {
	try {
		return ok(JSON.parse(text) as unknown);
	} catch (error) {
		return err(String(error));
	}
}
