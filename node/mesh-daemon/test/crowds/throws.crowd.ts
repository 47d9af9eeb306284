import {describe, test} from 'node:test';
import {checkThrow, checkTimeoutMs} from './check-throw.js';

const sites = [
	'setTimeout node/cell-link/lib/src/member-task',
	'setImmediate node/ingress/lib/src/later-turn',
	'data wire/http1/lib/src/checked-socket',
	'data node/peers/lib/src/peer-server',
	'request node/mesh-daemon/lib/src/simple-http-server',
];

// An uncaught exception was logged and the node went on, without the part, the request or the connection in whose handling it was thrown.
describe('each node goes on serving after an error that is thrown', {concurrency: 3}, () => {
	for (const site of sites) {
		test(site, {timeout: checkTimeoutMs}, async t => checkThrow(t, site));
	}
});
