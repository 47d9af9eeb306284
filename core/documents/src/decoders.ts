import type {ErrorCode} from '@buckthornpoint/errors/codes.js';
import type {Finding} from '@buckthornpoint/errors/findings.js';
import type {Node} from 'jsonc-parser';
import {err, ok, type Result} from 'neverthrow';
import {getLocation, type SourceDocument} from './documents.js';

/** Decodes a value of a document into a typed value, or returns all findings. */
export type Decoder<T> = (document: SourceDocument, node: Node) => Result<T, readonly Finding[]>;

/** Constraints on a string. */
export type StringOpts = {
	readonly minLength?: number;
	readonly maxLength?: number;
	readonly pattern?: RegExp;
	/** Description of strings that match the pattern, used in the finding, for example `a name in lower case`. */
	readonly description?: string;
	/** Whether the value must not appear in findings. */
	readonly isSecret?: boolean;
};

/** Inclusive bounds of a number. */
export type NumberBounds = {
	readonly min: number;
	readonly max: number;
};

const defaultMaxLength = 1024;
const maxShownLength = 60;

/** Decodes a document from its root. */
export function decodeDocument<T>(document: SourceDocument, decoder: Decoder<T>): Result<T, readonly Finding[]> {
	return decoder(document, document.root);
}

/** Expects a string within the constraints. */
export function expectString(opts: StringOpts = {}): Decoder<string> {
	const minLength = opts.minLength ?? 1;
	const maxLength = opts.maxLength ?? defaultMaxLength;
	return (document, node) => {
		const value = getValue(node);
		if (node.type !== 'string' || typeof value !== 'string') {
			return err([createTypeFinding(document, node, 'a text')]);
		}

		if (value.length < minLength || value.length > maxLength) {
			return err([createFinding(document, node, 'ERR_DOCUMENT_VALUE', `the text has ${value.length} characters; expected ${minLength} to ${maxLength}`)]);
		}

		if (opts.pattern?.test(value) === false) {
			const shown = opts.isSecret === true ? 'the value' : JSON.stringify(value.slice(0, maxShownLength));
			return err([createFinding(document, node, 'ERR_DOCUMENT_VALUE', `${shown} is not ${opts.description ?? 'of the expected form'}`)]);
		}

		return ok(value);
	};
}

/** Expects an integer within the bounds. */
export function expectInteger(opts: NumberBounds): Decoder<number> {
	return (document, node) => {
		const value = getValue(node);
		if (node.type !== 'number' || typeof value !== 'number') {
			return err([createTypeFinding(document, node, 'a number')]);
		}

		return Number.isSafeInteger(value) && value >= opts.min && value <= opts.max
			? ok(value)
			: err([createFinding(document, node, 'ERR_DOCUMENT_VALUE', `${value} is not a whole number from ${opts.min} to ${opts.max}`)]);
	};
}

/** Expects a number within the bounds, which may have a fraction. */
export function expectDecimal(opts: NumberBounds): Decoder<number> {
	return (document, node) => {
		const value = getValue(node);
		if (node.type !== 'number' || typeof value !== 'number') {
			return err([createTypeFinding(document, node, 'a number')]);
		}

		return value >= opts.min && value <= opts.max
			? ok(value)
			: err([createFinding(document, node, 'ERR_DOCUMENT_VALUE', `${value} is not a number from ${opts.min} to ${opts.max}`)]);
	};
}

export function expectBoolean(): Decoder<boolean> {
	return (document, node) => {
		const value = getValue(node);
		return typeof value === 'boolean' ? ok(value) : err([createTypeFinding(document, node, 'true or false')]);
	};
}

/** Expects one of the given string literals. */
export function expectLiteral<const Word extends string>(words: readonly Word[]): Decoder<Word> {
	return (document, node) => {
		const value = getValue(node);
		const found = words.find(word => word === value);
		return found === undefined
			? err([createFinding(document, node, 'ERR_DOCUMENT_VALUE', `expected one of ${words.map(word => `"${word}"`).join(', ')}`)])
			: ok(found);
	};
}

/** Expects an array of at most `maxCount` values, each decoded by `decoder`. */
export function expectArray<T>(decoder: Decoder<T>, maxCount: number): Decoder<readonly T[]> {
	return (document, node) => {
		if (node.type !== 'array') {
			return err([createTypeFinding(document, node, 'a list')]);
		}

		const children = node.children ?? [];
		if (children.length > maxCount) {
			return err([createFinding(document, node, 'ERR_DOCUMENT_TOO_LARGE', `the list has ${children.length} entries; at most ${maxCount} are allowed`)]);
		}

		const results = children.map(child => decoder(document, child));
		const findings = results.flatMap(result => result.isErr() ? result.error : []);
		return findings.length > 0 ? err(findings) : ok(results.flatMap(result => result.isOk() ? [result.value] : []));
	};
}

/** Creates a finding at the location of a value. */
export function createFinding(document: SourceDocument, node: Node, code: ErrorCode, message: string): Finding {
	return {code, message, place: getLocation(document, node.offset)};
}

/** Creates a finding for a value of an unexpected type. */
export function createTypeFinding(document: SourceDocument, node: Node, expected: string): Finding {
	return createFinding(document, node, 'ERR_DOCUMENT_TYPE', `expected ${expected}, found ${typeNames[node.type]}`);
}

const typeNames: Readonly<Record<Node['type'], string>> = {
	array: 'a list', boolean: 'true or false', null: 'null', number: 'a number', object: 'an object', property: 'a property', string: 'a text',
};

function getValue(node: Node): unknown {
	return node.value as unknown;
}
