import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLinkedSignal} from '../src/linked-signal.js';

test('a linked signal aborts with the first of its sources, for the same reason', () => {
	const [left, right] = [new AbortController(), new AbortController()];
	const linked = createLinkedSignal([left.signal, right.signal]);
	right.abort('cancelled');
	left.abort('late');
	assert.equal(linked.signal.reason, 'cancelled');
});

test('a signal that is linked to an aborted one is aborted', () => {
	assert.ok(createLinkedSignal([AbortSignal.abort()]).signal.aborted);
});

test('a closed link does not forward an abort', () => {
	const source = new AbortController();
	const linked = createLinkedSignal([source.signal]);
	linked.close();
	source.abort();
	assert.equal(linked.signal.aborted, false);
});
