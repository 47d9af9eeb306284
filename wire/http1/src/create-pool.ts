import {Pool} from 'undici';
import {createCheckedConnector, type ConnectorOpts} from './checked-connector.js';

/** Options of a pool of connections to one server. */
export type PoolOpts = ConnectorOpts & Pick<Pool.Options, 'connections' | 'pipelining' | 'headersTimeout' | 'bodyTimeout'>;

/** Creates a pool of the HTTP library. Its answers are complete and follow the grammar. The owner destroys it. */
export function createPool(origin: string, {
	connections, pipelining, headersTimeout, bodyTimeout, ...connectorOpts
}: PoolOpts = {}): Pool {
	return new Pool(origin, {
		connect: createCheckedConnector(connectorOpts),
		...(connections !== undefined && {connections}),
		...(pipelining !== undefined && {pipelining}),
		...(headersTimeout !== undefined && {headersTimeout}),
		...(bodyTimeout !== undefined && {bodyTimeout}),
	});
}
