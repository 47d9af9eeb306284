import {err, ok, type Result} from 'neverthrow';

/** Deepest nesting of lists and objects that is accepted. Code that walks or formats a much deeper value overflows its stack. */
const maxDepth = 64;

const quote = '"'.codePointAt(0);
const backslash = '\\'.codePointAt(0);
const openings = new Set([...'[{'].map(character => character.codePointAt(0)));
const closings = new Set([...']}'].map(character => character.codePointAt(0)));

/** Parses JSON received from another process. The error says where it is invalid, and quotes nothing: documents contain keys of client accounts, which must not be logged. */
export function parseJson(text: string): Result<unknown, string> {
	if (measureDepth(text) > maxDepth) {
		return err(`the lists and objects are nested more than ${maxDepth} deep`);
	}

	try {
		return ok(JSON.parse(text) as unknown);
	} catch (error) {
		return err(formatProblem(String(error)));
	}
}

/** Formats an error of `JSON.parse` without the excerpt of the text that it may contain. */
function formatProblem(message: string): string {
	const position = /in JSON at position \d+/v.exec(message)?.[0];
	return position === undefined ? 'the text is not valid JSON' : `the text is not valid JSON: error ${position}`;
}

/** Measures how deep the lists and objects of a JSON text are nested. */
function measureDepth(text: string): number {
	let depth = 0;
	let deepest = 0;
	let isInString = false;
	for (let index = 0; index < text.length; index++) {
		const code = text.charCodeAt(index); // eslint-disable-line unicorn/prefer-code-point -- the structure of JSON is ASCII
		if (isInString) {
			if (code === backslash) {
				index++;
			} else if (code === quote) {
				isInString = false;
			}
		} else if (code === quote) {
			isInString = true;
		} else if (openings.has(code)) {
			depth++;
			deepest = Math.max(deepest, depth);
		} else if (closings.has(code)) {
			depth--;
		}
	}

	return deepest;
}
