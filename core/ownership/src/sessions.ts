import {isSameNode, type NodeIdentity} from '@buckthornpoint/types/identity.js';
import type {Member} from '@buckthornpoint/types/membership.js';
import {formatNode, type ControllerState, type Session} from './cell-state.js';

/** Returns what the controller knows of a run of a node; a new one when it has not heard of it. */
export function findSession(controller: ControllerState, node: NodeIdentity): Session {
	const key = formatNode(node);
	const known = controller.sessions.get(key);
	if (known !== undefined) {
		return known;
	}

	controller.latestGrantsVersion += 1;
	const session = createSession(node, controller.latestGrantsVersion);
	controller.sessions.set(key, session);
	controller.staleOrders.add(key);
	return session;
}

/** Returns the row's member that is this very run of the node. */
export function findMember(controller: ControllerState, node: NodeIdentity): Member | undefined {
	return controller.members.find(member => isSameNode(member, node));
}

function createSession(node: NodeIdentity, grantsVersion: number): Session {
	return {
		node: {vmId: node.vmId, incarnation: node.incarnation},
		description: undefined,
		descriptionVersion: 0,
		lastHeardAtMs: Number.NEGATIVE_INFINITY,
		leaseUntilAtMs: Number.NEGATIVE_INFINITY,
		promisedUntil: undefined,
		stamps: [],
		lost: false,
		superseded: false,
		orders: [],
		grantsVersion,
		knownGrantsVersion: 0,
		noticedGrantsVersion: 0,
		noticedMapVersion: 0,
		configurationVersion: 0,
		mapVersion: 0,
		load: undefined,
		weight: 1,
		slowReports: 0,
	};
}
