import type {ServiceConfiguration} from './configuration.js';
import type {CellMap, Member} from './membership.js';

/** Response of a node to `GET /v1/routing`: the data with which a caller sends requests directly to the owner of a key. */
export type RoutingDocument = {
	/** Version of the configuration that contains the services. */
	readonly configurationVersion: number;
	readonly services: readonly ServiceConfiguration[];
	readonly map: CellMap;
	readonly members: ReadonlyArray<Pick<Member, 'vmId' | 'incarnation' | 'callerOrigin'>>;
};
