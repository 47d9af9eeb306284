/** Length limit of a line, in characters. Most log lines have about 300 characters; one that lists many planned moves has several thousand. */
export const maxLineLength = 1024 * 1024;

/** Splits text that arrives in chunks into lines. Yields undefined for a line that is too long. */
export async function * splitLines(chunks: AsyncIterable<string>, maxLength = maxLineLength): AsyncGenerator<string | undefined> {
	let rest = '';
	let isTooLong = false;
	for await (const chunk of chunks) {
		const lines = `${rest}${chunk}`.split('\n');
		rest = lines.pop() ?? '';
		for (const line of lines) {
			yield isTooLong || line.length > maxLength ? undefined : line;
			isTooLong = false;
		}

		if (rest.length > maxLength) {
			isTooLong = true;
			rest = '';
		}
	}

	if (isTooLong || rest !== '') {
		yield isTooLong ? undefined : rest;
	}
}
