import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';

/** Encodes a string in deflated base64. This is compact for repetitive content, such as JSON arrays. */
export function encodePacked(text: string): string {
	return deflateRawSync(text).toString('base64');
}

/** Decodes a string that was encoded with `encodePacked` and has at most `maxBytes` bytes when inflated. */
export function decodePacked(packed: string, maxBytes: number): Result<string, string> {
	try {
		return ok(inflateRawSync(Buffer.from(packed, 'base64'), {maxOutputLength: maxBytes}).toString('utf8'));
	} catch (error) {
		return err(`cannot decode deflated base64: ${String(error)}`);
	}
}
