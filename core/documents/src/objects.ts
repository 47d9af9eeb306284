import type {Finding} from '@buckthornpoint/errors/findings.js';
import {closest, distance} from 'fastest-levenshtein';
import type {Node} from 'jsonc-parser';
import {err, ok, type Result} from 'neverthrow';
import {createFinding, createTypeFinding, type Decoder} from './decoders.js';
import type {SourceDocument} from './documents.js';

const maxSuggestionDistance = 3;

/** A property of an object: the decoder of its value and the default if it is absent. */
export type Field<T> = {
	readonly decoder: Decoder<T>;
	readonly fallback?: {readonly value: T};
};

/** The properties of an object of type `T`. */
export type Fields<T> = {readonly [Name in keyof T]-?: Field<T[Name]>};

/** Creates a required property. */
export function expectRequired<T>(decoder: Decoder<T>): Field<T> {
	return {decoder};
}

/** Creates an optional property. */
export function expectOptional<T>(decoder: Decoder<T>, fallback: T): Field<T>;
export function expectOptional<T>(decoder: Decoder<T>): Field<T | undefined>;
export function expectOptional<T>(decoder: Decoder<T>, fallback?: T): Field<T | undefined> {
	return {decoder, fallback: {value: fallback}};
}

/** Expects an object with the given properties and no others. Returns the findings of all properties together. */
export function expectObject<T extends Record<string, unknown>>(fields: Fields<T>): Decoder<T> {
	const names = Object.keys(fields);
	return (document, node) => {
		if (node.type !== 'object') {
			return err([createTypeFinding(document, node, 'an object')]);
		}

		const properties = listProperties(node);
		const results = names.map(name => decodeField(document, node, {name, field: fields[name as keyof T], properties}));
		const findings = [
			...checkNames(document, properties, names),
			...results.flatMap(result => result.isErr() ? result.error : []),
		];
		return findings.length > 0 ? err(findings) : ok(createObject<T>(names, results));
	};
}

/** Returns a hint with the known name closest to an unknown one; undefined if none is similar. */
export function findSuggestion(unknownName: string, names: readonly string[]): string | undefined {
	if (names.length === 0) {
		return undefined;
	}

	const nearest = closest(unknownName, names);
	return distance(unknownName, nearest) <= maxSuggestionDistance ? `did you mean "${nearest}"?` : undefined;
}

type Property = {
	readonly name: string;
	readonly key: Node;
	readonly value: Node | undefined;
};

type FieldOpts<T> = {
	readonly name: string;
	readonly field: Field<T>;
	readonly properties: readonly Property[];
};

function listProperties(node: Node): readonly Property[] {
	return (node.children ?? []).flatMap(({children}) => {
		const [key, value] = children ?? [];
		return key === undefined ? [] : [{name: String(key.value), key, value}];
	});
}

function checkNames(document: SourceDocument, properties: readonly Property[], names: readonly string[]): readonly Finding[] {
	const seenNames = new Set<string>();
	return properties.flatMap(({name, key}) => {
		if (seenNames.has(name)) {
			return [createFinding(document, key, 'ERR_DOCUMENT_VALUE', `"${name}" is given twice`)];
		}

		seenNames.add(name);
		return names.includes(name)
			? []
			: [{...createFinding(document, key, 'ERR_DOCUMENT_UNKNOWN_NAME', `"${name}" is not known here`), hint: findSuggestion(name, names) ?? `known are ${names.join(', ')}`}];
	});
}

function decodeField<T>(document: SourceDocument, node: Node, opts: FieldOpts<T>): Result<T, readonly Finding[]> {
	const value = opts.properties.find(({name}) => name === opts.name)?.value;
	if (value !== undefined) {
		return opts.field.decoder(document, value);
	}

	return opts.field.fallback === undefined
		? err([createFinding(document, node, 'ERR_DOCUMENT_VALUE', `"${opts.name}" is missing`)])
		: ok(opts.field.fallback.value);
}

function createObject<T extends Record<string, unknown>>(names: readonly string[], results: ReadonlyArray<Result<unknown, readonly Finding[]>>): T {
	const entries = results.flatMap((result, index): ReadonlyArray<readonly [string, unknown]> =>
		result.isOk() && result.value !== undefined ? [[names[index] ?? '', result.value]] : []);
	return Object.fromEntries(entries) as T; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}
