import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {hasOverlap, type KeyRange} from '../src/key-ranges.js';
import {RangeIndex} from '../src/range-index.js';
import {TargetQueue} from '../src/target-queue.js';

const anyRange = fc.tuple(fc.nat({max: 100}), fc.nat({max: 10})).map(([from, length]): KeyRange => ({from, to: from + length}));

test('an index of ranges gives the same result as checking each range', () => {
	fc.assert(fc.property(fc.array(anyRange, {maxLength: 12}), anyRange, (ranges, queried) => {
		assert.equal(new RangeIndex(ranges).hasOverlap(queried), ranges.some(range => hasOverlap(range, queried)));
	}));
});

test('each assignment goes to the candidate with the lowest rank at that time, and to equal candidates in turn', () => {
	fc.assert(fc.property(fc.array(fc.nat({max: 5}), {minLength: 1, maxLength: 9}), fc.nat({max: 40}), (ranks, count) => {
		const load = ranks.map(rank => ({rank}));
		const queue = new TargetQueue(load, ({rank}) => rank);
		for (let index = 0; index < count; index++) {
			const lowest = Math.min(...load.map(({rank}) => rank));
			queue.assign(target => {
				assert.equal(target.rank, lowest);
				target.rank++;
			});
		}
	}));
	const order: string[] = [];
	const queue = new TargetQueue(['a', 'b', 'c'], () => 0);
	for (let index = 0; index < 6; index++) {
		queue.assign(target => {
			order.push(target);
		});
	}

	assert.deepEqual(order.toSorted(), ['a', 'a', 'b', 'b', 'c', 'c']);
	assert.equal(new TargetQueue<string>([], () => 0).assign(() => undefined), undefined);
});
