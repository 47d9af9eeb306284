import {isSameNode, type NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {Member} from '@buckthornpoint/types/membership.js';
import {formatNodeKey, type ControllerState, type Session} from './cell-state.js';

/** Returns the session of a node instance; creates it if there is none. */
export function getOrCreateSession(controller: ControllerState, node: NodeIdentity): Session {
	const key = formatNodeKey(node);
	const known = controller.sessions.get(key);
	if (known !== undefined) {
		return known;
	}

	controller.latestGrantsVersion += 1;
	const session = createSession(node, controller.latestGrantsVersion);
	controller.sessions.set(key, session);
	controller.staleOrderKeys.add(key);
	return session;
}

/** Returns the member of the cell that is this instance of the node. */
export function findMember(controller: ControllerState, node: NodeIdentity): Member | undefined {
	return controller.members.find(member => isSameNode(member, node));
}

function createSession(node: NodeIdentity, grantsVersion: number): Session {
	return {
		node: {vmId: node.vmId, incarnation: node.incarnation},
		description: undefined,
		descriptionVersion: 0,
		lastReceivedAtMs: Number.NEGATIVE_INFINITY,
		leaseEndAtMs: Number.NEGATIVE_INFINITY,
		promisedUntil: undefined,
		stamps: [],
		lost: false,
		superseded: false,
		orders: [],
		grantsVersion,
		confirmedGrantsVersion: 0,
		notifiedGrantsVersion: 0,
		notifiedMapVersion: 0,
		configurationVersion: 0,
		mapVersion: 0,
		load: undefined,
		weight: 1,
		slowReports: 0,
	};
}
