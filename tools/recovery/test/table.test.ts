import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findPartition} from '@buckthornpoint/placement/partition-hash.js';
import {formatTable} from '../src/table.js';
import {listProbeKeys, partitionCount} from '../src/workload.js';

test('records are formatted as a table with at most two decimals', () => {
	assert.equal(formatTable([{name: 'a', value: 1.234}, {name: 'b', value: 2}]), '| name | value |\n| --- | --- |\n| a | 1.23 |\n| b | 2 |');
});

test('each partition is monitored through one key', () => {
	const partitions = listProbeKeys().map(key => findPartition(key, partitionCount));
	assert.equal(new Set(partitions).size, partitionCount);
});
