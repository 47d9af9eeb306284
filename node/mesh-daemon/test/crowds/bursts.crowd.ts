import test from 'node:test';
import {checkBurst, checkTimeoutMs} from './check-burst.js';

// The time-out of a request began when it was read, after those of all connections before it.
test('600 new connections at once, on a route whose time-out was made shorter than the work of its server', {timeout: checkTimeoutMs}, async t => checkBurst(t, 600));
