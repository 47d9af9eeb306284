import {Buffer} from 'node:buffer';
import type {Finding, SourceLocation} from '@buckthornpoint/errors/findings.js';
import {
	createScanner, findNodeAtLocation, parseTree, printParseErrorCode, SyntaxKind, type Node, type ParseError,
} from 'jsonc-parser';
import {err, ok, type Result} from 'neverthrow';

/** Maximum size of a document in UTF-8. */
export const maxDocumentBytes = 262_144;
/** Maximum nesting depth of objects and arrays. */
export const maxNesting = 32;

/** A parsed document that retains the location of each value. */
export type SourceDocument = {
	readonly file: string;
	/** Offset of the first character of each line. */
	readonly lineStarts: readonly number[];
	readonly root: Node;
};

/** Path of property names and array indexes from the root of a document to a value. */
export type DocumentPath = ReadonlyArray<string | number>;

/** Parses JSON with comments and trailing commas. Returns all syntax errors together. */
export function parseDocument(text: string, file: string): Result<SourceDocument, readonly Finding[]> {
	const lineStarts = listLineStarts(text);
	const limitFinding = checkSize(text, file) ?? checkNesting(text, file, lineStarts);
	if (limitFinding !== undefined) {
		return err([limitFinding]);
	}

	const errors: ParseError[] = [];
	const root = parseTree(text, errors, {allowTrailingComma: true});
	if (root === undefined || errors.length > 0) {
		return err(convertErrors(errors, file, lineStarts));
	}

	return ok({file, lineStarts, root});
}

/** Returns the location of the value at the path, or of its nearest existing ancestor. */
export function findLocation(document: SourceDocument, path: DocumentPath): SourceLocation {
	for (let {length} = path; length > 0; length--) {
		const node = findNodeAtLocation(document.root, path.slice(0, length));
		if (node !== undefined) {
			return getLocation(document, node.offset);
		}
	}

	return getLocation(document, document.root.offset);
}

/** Converts an offset to a location. Lines and columns count from 1. */
export function getLocation(document: Pick<SourceDocument, 'file' | 'lineStarts'>, offset: number): SourceLocation {
	const {file, lineStarts} = document;
	const next = lineStarts.findIndex(start => start > offset);
	const line = next === -1 ? lineStarts.length : next;
	return {file, line, column: offset - (lineStarts[line - 1] ?? 0) + 1};
}

function listLineStarts(text: string): readonly number[] {
	return [0, ...[...text.matchAll(/\r\n|[\r\n]/gv)].map(({index, 0: ending}) => index + ending.length)];
}

function checkSize(text: string, file: string): Finding | undefined {
	const sizeBytes = Buffer.byteLength(text);
	return sizeBytes <= maxDocumentBytes
		? undefined
		: {code: 'ERR_DOCUMENT_TOO_LARGE', message: `the document has ${sizeBytes} bytes; at most ${maxDocumentBytes} are read`, place: {file, line: 1, column: 1}};
}

function checkNesting(text: string, file: string, lineStarts: readonly number[]): Finding | undefined {
	const scanner = createScanner(text, true);
	let depth = 0;
	for (let token = scanner.scan(); token !== SyntaxKind.EOF; token = scanner.scan()) {
		if (token === SyntaxKind.OpenBraceToken || token === SyntaxKind.OpenBracketToken) {
			depth++;
		} else if (token === SyntaxKind.CloseBraceToken || token === SyntaxKind.CloseBracketToken) {
			depth--;
		}

		if (depth > maxNesting) {
			return {code: 'ERR_DOCUMENT_TOO_LARGE', message: `objects and lists are nested deeper than ${maxNesting}`, place: getLocation({file, lineStarts}, scanner.getTokenOffset())};
		}
	}

	return undefined;
}

function convertErrors(errors: readonly ParseError[], file: string, lineStarts: readonly number[]): readonly Finding[] {
	if (errors.length === 0) {
		return [{code: 'ERR_DOCUMENT_SYNTAX', message: 'the document is empty', place: {file, line: 1, column: 1}}];
	}

	return errors.map(({error, offset}) => ({
		code: 'ERR_DOCUMENT_SYNTAX',
		message: formatErrorCode(printParseErrorCode(error)),
		place: getLocation({file, lineStarts}, offset),
	}));
}

function formatErrorCode(code: string): string {
	return code.replaceAll(/\B([A-Z])/gv, ' $1').toLowerCase();
}
