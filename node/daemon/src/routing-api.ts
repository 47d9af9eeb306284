import type {ObservableValue} from '@buckthornpoint/tasks/observable-value.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {RoutingTable} from '@buckthornpoint/types/membership.js';
import type {RoutingDocument} from '@buckthornpoint/types/routing-document.js';
import {Hono} from 'hono';

/** Creates the HTTP interface from which client libraries fetch the routing table. */
export function createRoutingApi(routing: ObservableValue<RoutingTable>, configuration: ObservableValue<Configuration>): Hono {
	const app = new Hono();
	app.get('/v1/routing', context => {
		const {map, members} = routing.read();
		const {version, services} = configuration.read();
		const document: RoutingDocument = {
			configurationVersion: version,
			services,
			map,
			members: members.map(({vmId, incarnation, callerOrigin}) => ({vmId, incarnation, callerOrigin})),
		};
		return context.json(document);
	});
	return app;
}
