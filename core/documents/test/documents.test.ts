import assert from 'node:assert/strict';
import test from 'node:test';
import {formatFindings} from '@buckthornpoint/errors/findings.js';
import fc from 'fast-check';
import {
	decodeDocument, expectBoolean, expectArray, expectInteger, expectString, expectLiteral,
} from '../src/decoders.js';
import {findLocation, maxDocumentBytes, parseDocument} from '../src/documents.js';
import {expectRequired, expectObject, expectOptional} from '../src/objects.js';

type Lot = {readonly name: string; readonly sheets: number; readonly grade: 'A' | 'B'; readonly isSold: boolean; readonly presses: readonly string[]};

const lotDecoder = expectObject<Lot>({
	name: expectRequired(expectString()),
	sheets: expectRequired(expectInteger({min: 1, max: 50})),
	grade: expectOptional(expectLiteral(['A', 'B']), 'A'),
	isSold: expectOptional(expectBoolean(), false),
	presses: expectOptional(expectArray(expectString(), 3), []),
});

function formatLot(text: string): string {
	return parseDocument(text, 'lot.jsonc').andThen(document => decodeDocument(document, lotDecoder))
		.match(lot => JSON.stringify(lot), formatFindings);
}

test('comments and trailing commas are accepted, and absent properties get their defaults', () => {
	assert.equal(formatLot('{"name": "x", // lot\n "sheets": 2,}'), '{"name":"x","sheets":2,"grade":"A","isSold":false,"presses":[]}');
});

test('all findings are reported at once with line and column', () => {
	assert.equal(formatLot('{\n  "nam": "x",\n  "sheets": 99,\n  "grade": "C", "isSold": 1,\r\n  "presses": [1, ""], "isSold": true\n}'), [
		'lot.jsonc:1:1: ERR_DOCUMENT_VALUE: "name" is missing',
		'lot.jsonc:2:3: ERR_DOCUMENT_UNKNOWN_NAME: "nam" is not known here (did you mean "name"?)',
		'lot.jsonc:3:13: ERR_DOCUMENT_VALUE: 99 is not a whole number from 1 to 50',
		'lot.jsonc:4:12: ERR_DOCUMENT_VALUE: expected one of "A", "B"',
		'lot.jsonc:4:27: ERR_DOCUMENT_TYPE: expected true or false, found a number',
		'lot.jsonc:5:15: ERR_DOCUMENT_TYPE: expected a text, found a number',
		'lot.jsonc:5:18: ERR_DOCUMENT_VALUE: the text has 0 characters; expected 1 to 1024',
		'lot.jsonc:5:23: ERR_DOCUMENT_VALUE: "isSold" is given twice',
	].join('\n'));
});

test('malformed, empty, oversized and deeply nested documents are rejected', () => {
	assert.match(formatLot('{"name": }'), /lot\.jsonc:1:10: ERR_DOCUMENT_SYNTAX: value expected/v);
	assert.match(formatLot(''), /1:1: ERR_DOCUMENT_SYNTAX/v);
	assert.match(formatLot(`"${'x'.repeat(maxDocumentBytes)}"`), /ERR_DOCUMENT_TOO_LARGE/v);
	assert.match(formatLot('['.repeat(100_000)), /1:33: ERR_DOCUMENT_TOO_LARGE/v);
});

test('the location of an absent value is that of its nearest existing ancestor', () => {
	const document = parseDocument('{\n "a": {\n  "b": 1}}', 'x')._unsafeUnwrap();
	assert.deepEqual(findLocation(document, ['a', 'b']), {file: 'x', line: 3, column: 8});
	assert.deepEqual(findLocation(document, ['a', 'c', 1]), {file: 'x', line: 2, column: 7});
});

test('the decoder does not throw for any input', () => {
	fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), text => {
		formatLot(text);
	}), {seed: 6, numRuns: 300});
});
