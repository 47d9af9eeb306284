import assert from 'node:assert/strict';
import test from 'node:test';
import {checkSignals} from '../src/signals.js';

// A garbage collection removed the timer of a time-out that was combined with another signal; the call waited for ever.
test('a time-out that is combined with another abort signal is refused', () => {
	const text = 'const both = AbortSignal.any([\n\tstop,\n\tAbortSignal.timeout(100),\n]);\n';
	assert.deepEqual(checkSignals('node/a/src/b.ts', text).map(({place}) => place?.line), [1]);
	assert.deepEqual(checkSignals('node/a/src/b.ts', 'const signal = AbortSignal.timeout(100);\n'), []);
});
