import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import test from 'node:test';
import {metrics} from '../src/names.js';

test('docs/METRICS.md lists each metric with its kind and unit', () => {
	const page = readFileSync(new URL('../../../../docs/METRICS.md', import.meta.url), 'utf8');
	for (const [name, {kind, unit}] of Object.entries(metrics)) {
		assert.ok(page.includes(`| \`${name}\` | ${kind} | ${unit} |`), name);
	}

	assert.equal(page.match(/^\| `/gmv)?.length, Object.keys(metrics).length);
});
