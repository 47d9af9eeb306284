const uuidV7Pattern = /^[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/v;
const timestampDigits = 12;
const hexadecimal = 16;

/** Reads when a UUIDv7 was issued, in milliseconds since the Unix epoch by its issuer's clock; undefined for any other text. */
export function readIssueTime(requestId: string): number | undefined {
	if (!uuidV7Pattern.test(requestId)) {
		return undefined;
	}

	return Number.parseInt(requestId.replaceAll('-', '').slice(0, timestampDigits), hexadecimal);
}
