import test from 'node:test';
import {checkBurst, checkTimeoutMs} from './check-burst.js';

// Refusing a connection takes about a millisecond of the processor.
test('1,500 new connections at once, on a route whose time-out was made shorter than the work of its server', {timeout: checkTimeoutMs}, async t => checkBurst(t, 1500));
