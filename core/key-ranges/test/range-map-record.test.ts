import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import test from 'node:test';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {keyCount} from '../src/key-ranges.js';
import {
	decodeRangeMap, decodeRangeMapRecord, encodeRangeMap, encodeRangeMapChanges,
} from '../src/range-map-record.js';
import {
	applyMapChanges, applyOwnerChanges, createRangeMap, type OwnerChange, type RangeMap,
} from '../src/range-map.js';

const owners = Array.from({length: 100}, (_, index) => ({key: `i-${(index + 4_000_000_000).toString(16)}/176484600${index + 1000}`, vmId: `sidecar-sk-east-a-${index}`}));

/** Limit of the platform for the value of a row, in bytes of base64. */
const maxValueBytes = 65_536;

/** Nearly all segments have another owner than initially, and as many as planning allows are split. */
function createMixedMap(): RangeMap {
	const random = new SeededRandom(7);
	let map = createRangeMap('s', owners);
	for (let round = 0; round < 60; round++) {
		map = applyOwnerChanges(map, generateChanges(map, random));
	}

	return map;
}

function generateChanges({segments}: RangeMap, random: SeededRandom): readonly OwnerChange[] {
	return Array.from({length: 200}, (_, index): OwnerChange => {
		const {from, to} = segments[random.generateIntegerBelow(segments.length)]!;
		const {key, vmId} = owners[random.generateIntegerBelow(owners.length)]!;
		return {
			from: index < 30 ? Math.ceil((from + to) / 2) : from, to, owner: key, vmId,
		};
	});
}

test('encoding and decoding a map returns the same map, even after many changes', () => {
	for (const map of [createRangeMap('s', owners), createRangeMap('s', []), createMixedMap()]) {
		assert.deepEqual(decodeRangeMap(JSON.stringify(encodeRangeMap(map)))._unsafeUnwrap(), map);
	}
});

test('the map of a large service fits into a row of the store, even after many changes', () => {
	const map = createMixedMap();
	const size = Buffer.from(JSON.stringify(encodeRangeMap(map))).toString('base64').length;
	assert.ok(map.segments.length > 9000, `${map.segments.length} segments`);
	assert.ok(size < maxValueBytes, `${size} bytes for ${map.segments.length} segments`);
});

test('a map in the format of earlier releases can be decoded', () => {
	const record = {
		service: 's', version: 3, owners: [['a/1', 'a'], ['b/1', 'b']], segments: [[0, 0, 1], [100, 1, 3], [200, -1, 2]],
	};
	const map = decodeRangeMapRecord(record)._unsafeUnwrap();
	assert.deepEqual(map.segments, [
		{
			from: 0, to: 99, owner: 'a/1', fence: 1,
		}, {
			from: 100, to: 199, owner: 'b/1', fence: 3,
		}, {
			from: 200, to: keyCount - 1, owner: undefined, fence: 2,
		},
	]);
});

test('decoding an invalid record returns an error', () => {
	const {packed, ...rest} = encodeRangeMap(createRangeMap('s', owners));
	for (const value of [null, {}, {...rest, packed: 'AAAA'}, {...rest, packed: packed.slice(0, 20)}]) {
		assert.ok(decodeRangeMapRecord(value).isErr(), JSON.stringify(value));
	}
});

test('applying the changes since an earlier version gives the same owners as the full map, and the changes are small', () => {
	const earlier = createRangeMap('s', owners);
	let later = earlier;
	for (const [index, from] of [100, 20_004, 60_000].entries()) {
		later = applyOwnerChanges(later, [{
			from, to: from + 30, owner: owners[index]!.key, vmId: owners[index]!.vmId,
		}]);
	}

	const changes = encodeRangeMapChanges(later, earlier.version)!;
	assert.ok(JSON.stringify(changes).length < 1000);
	const applied = applyMapChanges(earlier, changes.version, changes.segments.map(([from, to, index]) => ({
		from, to, owner: changes.owners[index]![0], vmId: changes.owners[index]![1],
	})));
	const listOwners = (map: RangeMap): ReadonlyArray<string | undefined> => map.segments.flatMap(({from, to, owner}) => Array.from({length: to - from + 1}, () => owner));
	assert.deepEqual(listOwners(applied), listOwners(later));
	assert.equal(applied.version, later.version);
	assert.equal(encodeRangeMapChanges(later, 0), undefined);
});
