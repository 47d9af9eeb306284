import {isOlderPosition, type HeartbeatReply, type MemberHeartbeat} from '@buckthornpoint/key-ranges/messages.js';
import type {ControlTaskOpts} from './control-task-opts.js';

/** Creates the part of the reply to a heartbeat that tells its node what it lacks of the operator's rows. */
export function createOperatorReply(
	{routesVersion, ordersEra = 0, ordersVersion}: MemberHeartbeat,
	opts: Pick<ControlTaskOpts, 'getRoutesVersion' | 'getEvacuation' | 'listRetainedEvacuations'>,
): Pick<HeartbeatReply, 'routesVersion' | 'evacuation' | 'retainedEvacuations'> {
	const latestRoutesVersion = opts.getRoutesVersion();
	const evacuation = opts.getEvacuation();
	const retainedEvacuations = opts.listRetainedEvacuations();
	return {
		...(latestRoutesVersion > routesVersion && {routesVersion: latestRoutesVersion}),
		...(isOlderPosition({era: ordersEra, version: ordersVersion}, evacuation) && {evacuation}),
		...(retainedEvacuations.length > 0 && {retainedEvacuations}),
	};
}
