import type {ControlTaskOpts} from '../src/control-task-opts.js';

/** State of an operator that changes nothing. */
export const simulatedOperatorState: Pick<ControlTaskOpts, 'getRoutesVersion' | 'onLaterRoutes' | 'getEvacuation' | 'listRetainedEvacuations'> = {
	getRoutesVersion: () => 0, onLaterRoutes: () => undefined, getEvacuation: () => ({era: 0, version: 0, domains: []}), listRetainedEvacuations: () => [],
};
