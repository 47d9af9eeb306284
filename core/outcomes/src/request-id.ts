const uuidV7Pattern = /^[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/v;
const timestampHexDigits = 12;
const hexRadix = 16;

/**
 * Returns when a UUIDv7 was issued, in milliseconds since the Unix epoch by its issuer's clock; undefined for any other
 * string.
 */
export function readIssueTime(requestId: string): number | undefined {
	if (!uuidV7Pattern.test(requestId)) {
		return undefined;
	}

	return Number.parseInt(requestId.replaceAll('-', '').slice(0, timestampHexDigits), hexRadix);
}
