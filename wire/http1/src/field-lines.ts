/** Field names and values, alternately. */
export type RawFields = readonly string[];

const fieldName = /^[!#$%\u0026'*+\-.^_`\|~\dA-Za-z]+$/v;
const fieldValue = /^[\t\u0020-\u007E\u0080-\u00FF]*$/v;
const space = 0x20;
const tab = 0x09;

/** Parses a field line without its line end (RFC 9112, section 5). Throws if it is none; a folded line is none. */
export function parseFieldLine(line: string): readonly [name: string, value: string] {
	const colon = line.indexOf(':');
	const name = line.slice(0, Math.max(0, colon));
	if (!fieldName.test(name)) {
		throw new Error('a line of the answer is not a field: its name is missing or invalid');
	}

	const value = removeOuterBlanks(line, colon + 1);
	if (!fieldValue.test(value)) {
		throw new Error('the value of a field contains invalid characters');
	}

	return [name, value];
}

/** Parses the values of all lines of a list-based field into its elements. Empty elements are ignored (RFC 9110, section 5.6.1). */
export function parseList(values: readonly string[]): readonly string[] {
	return values.flatMap(value => value.split(',')).map(element => removeOuterBlanks(element)).filter(element => element !== '');
}

/** Removes blanks and tabs at both ends; other white space is not optional in HTTP. */
export function removeOuterBlanks(text: string, from = 0): string {
	let start = from;
	let end = text.length;
	while (start < end && isBlank(text.charCodeAt(start))) { // eslint-disable-line unicorn/prefer-code-point -- the text holds bytes
		start++;
	}

	while (end > start && isBlank(text.charCodeAt(end - 1))) { // eslint-disable-line unicorn/prefer-code-point -- the text holds bytes
		end--;
	}

	return text.slice(start, end);
}

function isBlank(code: number): boolean {
	return code === space || code === tab;
}
