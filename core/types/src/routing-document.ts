import type {ServiceConfiguration} from './configuration.js';
import type {CellMap, Member} from './membership.js';

/** What a node answers to `GET /v1/routing`: all that a caller needs to go straight to the owner of a key. */
export type RoutingDocument = {
	/** Version of the configuration that the services are from. */
	readonly configurationVersion: number;
	readonly services: readonly ServiceConfiguration[];
	readonly map: CellMap;
	readonly members: ReadonlyArray<Pick<Member, 'vmId' | 'incarnation' | 'callerOrigin'>>;
};
