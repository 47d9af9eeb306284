/** Where messages of purify-ts begin to quote the value that they are about. */
const quotedValue = / (?:with value|in received object) .*$/sv;

/** Removes the quoted value, and all that follows it, from the message of a codec: documents contain keys of client accounts, which must not be logged. */
export function removeValues(message: string): string {
	return message.replace(quotedValue, '');
}
