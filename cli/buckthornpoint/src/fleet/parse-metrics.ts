import {err, ok, type Result} from 'neverthrow';

/** One value of a metric. */
export type Sample = {
	readonly name: string;
	readonly labels: Readonly<Record<string, string>>;
	readonly value: number;
};

const namePattern = /[a-zA-Z_:][a-zA-Z0-9_:]*/vy;
const labelPattern = /[ \t]*([a-zA-Z_][a-zA-Z0-9_]*)[ \t]*=[ \t]*"((?:[^"\\]|\\.)*)"[ \t]*/vy;
const labelStartPattern = /[ \t]*\{/vy;
const labelEndPattern = /[ \t]*\}/vy;
const valuePattern = /(?:[ \t]+|(?<=\}))(\S+)(?:[ \t]+-?\d+)?[ \t]*$/vy;
const numberPattern = /^[+\-]?(?:\d+\.?\d*|\.\d+)(?:e[+\-]?\d+)?$/iv;
const maxShownLength = 60;

const specialValues: ReadonlyMap<string, number> = new Map([
	['+inf', Number.POSITIVE_INFINITY], ['inf', Number.POSITIVE_INFINITY], ['-inf', Number.NEGATIVE_INFINITY], ['nan', Number.NaN],
]);

/**
 * Parses the Prometheus text format. Comments are skipped. A line that cannot be parsed makes the whole text unreadable:
 * without it, sums would be wrong without a sign of it.
 */
export function parseMetrics(text: string): Result<readonly Sample[], string> {
	const samples: Sample[] = [];
	for (const [index, line] of text.split(/\r?\n/v).entries()) {
		const trimmed = line.trim();
		if (trimmed === '' || trimmed.startsWith('#')) {
			continue;
		}

		const sample = parseSample(trimmed);
		if (sample === undefined) {
			return err(`line ${index + 1} is not a metric: ${JSON.stringify(trimmed.slice(0, maxShownLength))}`);
		}

		samples.push(sample);
	}

	return ok(samples);
}

function parseSample(line: string): Sample | undefined {
	const name = findAt(namePattern, line, 0)?.[0];
	if (name === undefined) {
		return undefined;
	}

	const labelStart = findAt(labelStartPattern, line, name.length)?.[0];
	const labels = labelStart === undefined ? {values: {}, end: name.length} : parseLabels(line, name.length + labelStart.length);
	const valueText = labels === undefined ? undefined : findAt(valuePattern, line, labels.end)?.[1];
	const value = valueText === undefined ? undefined : parseValue(valueText);
	return labels === undefined || value === undefined ? undefined : {name, labels: labels.values, value};
}

/** Parses labels from `start`, which follows the opening brace, up to and including the closing brace. */
function parseLabels(line: string, start: number): {readonly values: Readonly<Record<string, string>>; readonly end: number} | undefined {
	const values = new Map<string, string>();
	let position = start;
	for (let label = findAt(labelPattern, line, position); label !== null; label = findAt(labelPattern, line, position)) {
		const [text, name = '', value = ''] = label;
		if (values.has(name)) {
			return undefined;
		}

		values.set(name, value.replaceAll(/\\(.)/gv, (_, character: string) => character === 'n' ? '\n' : character));
		position += text.length;
		if (line[position] !== ',') {
			break;
		}

		position++;
	}

	const end = findAt(labelEndPattern, line, position)?.[0];
	return end === undefined ? undefined : {values: Object.fromEntries(values), end: position + end.length};
}

function parseValue(text: string): number | undefined {
	return numberPattern.test(text) ? Number(text) : specialValues.get(text.toLowerCase());
}

function findAt(pattern: RegExp, text: string, position: number): RegExpExecArray | null { // eslint-disable-line @typescript-eslint/no-restricted-types
	pattern.lastIndex = position;
	return pattern.exec(text);
}
