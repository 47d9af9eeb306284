import {formatPartitionId} from '@buckthornpoint/types/identity.js';
import {measureLongest} from './bounds.js';
import type {ControllerState} from './cell-state.js';
import {addHolder} from './grants.js';
import {findSession} from './sessions.js';
import type {StepScope} from './step-scope.js';

/**
 * Takes the partitions over from a controller that resigned: each is held by the owner that the stored map names, or by
 * nobody. Those owners go on without a break; whoever else is to own a partition waits for their leases as always.
 */
export function applySuccession(scope: StepScope, controller: ControllerState): void {
	const {timing} = scope.state;
	const leaseUntilAtMs = scope.nowMs + measureLongest(timing.leaseMs, timing);
	for (const member of controller.members) {
		const session = findSession(controller, member);
		session.leaseUntilAtMs = Math.max(session.leaseUntilAtMs, leaseUntilAtMs);
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
