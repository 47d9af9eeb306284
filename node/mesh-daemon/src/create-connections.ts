import type {Clock} from '@buckthornpoint/clock/clock.js';
import {RowStore} from '@buckthornpoint/fleet/row-store.js';
import type {BodyMemory} from '@buckthornpoint/frames/body-blocks.js';
import type {Log} from '@buckthornpoint/log/log.js';
import {PeerLinks} from '@buckthornpoint/peers/peer-links.js';
import {logEraEvent} from './log-decisions.js';

/** Creates the client of the platform's store at `address`, host and port. `onReturn` is called when the store returned from an older copy. */
export function createStore(address: string, {clock, log}: {readonly clock: Clock; readonly log: Log}, onReturn: () => void): RowStore {
	return new RowStore(address, {
		clock,
		onEraEvent(event) {
			logEraEvent(log, event);
			if (event.kind === 'era-began' && event.earlierEra !== undefined) {
				onReturn();
			}
		},
	});
}

/** Creates the links to the other nodes. `incarnation` identifies this node process. */
export function createPeerLinks(incarnation: string, {clock, log, memory}: {readonly clock: Clock; readonly log: Log; readonly memory: BodyMemory}): PeerLinks {
	return new PeerLinks({
		clock,
		memory,
		name: incarnation,
		onDisconnect(address, reason) {
			log.write({event: 'peer-failed', vmId: address, message: `${reason}; a new connection takes its place`});
		},
		onUnreachable(address, reason) {
			log.write({event: 'peer-failed', vmId: address, message: reason});
		},
		onProblem(address, message) {
			log.write({event: 'internal-error', message: `${address}: ${message}`});
		},
	});
}
