import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseHopsSettings} from '../src/hops-settings.js';
import {measurePercentile} from '../src/percentile.js';

test('parsing the settings of the hops benchmark reports all findings at once, with their position', () => {
	const parsed = parseHopsSettings('{\n"seed": 1, "slots": 0,\n"sender": 2}', 'hops.jsonc');
	const findings = parsed._unsafeUnwrapErr();
	assert.ok(findings.some(({code, place}) => code === 'ERR_DOCUMENT_UNKNOWN_NAME' && place?.line === 3));
	assert.ok(findings.some(({message}) => message.startsWith('0 is not a whole number')));
});

test('a percentile is the value of its nearest rank', () => {
	const values = Array.from({length: 100}, (_, index) => 100 - index);
	assert.deepEqual([50, 99, 100].map(percentile => measurePercentile(values, percentile)), [50, 99, 100]);
	assert.equal(measurePercentile([], 99), 0);
});
