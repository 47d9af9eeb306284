import {describe, test} from 'node:test';
import {checkThrow, checkTimeoutMs} from './check-throw.js';

const sites = [
	'connection node/ingress/lib/src/connection-intake',
	'data node/ingress/lib/src/caller-connections',
	'request node/ingress/lib/src/caller-listener',
];

// The event of a new connection or request is lost before any code of the node has seen it: its caller is held until it gives up, or cut.
describe('each node goes on serving after an error in the first handler of an event', {concurrency: 3}, () => {
	for (const site of sites) {
		test(site, {timeout: checkTimeoutMs}, async t => checkThrow(t, site));
	}
});
