import assert from 'node:assert/strict';
import test from 'node:test';
import {formatFindings} from '@buckthornpoint/errors/findings.js';
import {parseNodeSettings} from '../src/parse-settings.js';

const text = `{
	// One node of the cell.
	"vmId": "sklad-1",
	"cell": "sk-east-1",
	"failureDomain": "kosice-a",
	"caller": {"host": "10.0.0.1", "port": 7100},
	"peer": {"port": 7101},
	"tableStore": "http://10.0.0.9:7000",
	"objectStore": "http://10.0.0.9:7000",
	"operatorKey": "0123456789abcdef",
}`;

test('missing settings get their default values', () => {
	const settings = parseNodeSettings(text, 'node.jsonc')._unsafeUnwrap();
	assert.deepEqual(settings.peer, {host: '0.0.0.0', port: 7101});
	assert.deepEqual(settings.log, {level: 'info', reporter: 'json'});
	assert.equal(settings.metrics, undefined);
});

test('a finding about the operator key does not show the key', () => {
	const findings = parseNodeSettings(text.replace('0123456789abcdef', 'short secret'), 'node.jsonc')._unsafeUnwrapErr();
	assert.equal(formatFindings(findings), 'node.jsonc:10:17: ERR_DOCUMENT_VALUE: the text has 12 characters; expected 16 to 1024');
	const spaced = parseNodeSettings(text.replace('0123456789abcdef', 'a secret with spaces'), 'node.jsonc')._unsafeUnwrapErr();
	assert.equal(formatFindings(spaced), 'node.jsonc:10:17: ERR_DOCUMENT_VALUE: the value is not of printable ASCII characters without spaces');
});

test('all invalid addresses are reported', () => {
	const wrong = text.replace('7100', '70000').replaceAll('http://10.0.0.9:7000', '10.0.0.9').replace('"vmId"', '"vmID"');
	assert.equal(parseNodeSettings(wrong, 'node.jsonc')._unsafeUnwrapErr().length, 5);
});
