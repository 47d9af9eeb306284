import {formatPartitionId} from '@buckthornpoint/types/identity.js';
import {deriveUpperBound} from './bounds.js';
import type {ControllerState} from './cell-state.js';
import {addHolder} from './grants.js';
import {getOrCreateSession} from './sessions.js';
import type {StepScope} from './step-scope.js';

/**
 * Records the holders after the previous controller has resigned: each partition is held by its owner in the stored map,
 * or by no node. These owners continue without interruption; any other new owner waits for their leases to end as usual.
 */
export function applyHandover(scope: StepScope, controller: ControllerState): void {
	const {timing} = scope.state;
	const leaseUntilAtMs = scope.nowMs + deriveUpperBound(timing.leaseMs, timing);
	for (const member of controller.members) {
		const session = getOrCreateSession(controller, member);
		session.leaseEndAtMs = Math.max(session.leaseEndAtMs, leaseUntilAtMs);
	}

	for (const {service, owners} of controller.map.placements) {
		for (const [partition, owner] of owners.entries()) {
			const member = controller.members.find(({vmId}) => vmId === controller.map.vmIds[owner]);
			if (member !== undefined) {
				const node = {vmId: member.vmId, incarnation: member.incarnation};
				addHolder(controller, formatPartitionId({service, partition}), {node, released: true});
			}
		}
	}
}
