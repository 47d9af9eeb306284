import {Agent, request, type Dispatcher} from 'undici';
import {createCheckedConnector} from './checked-connector.js';

/** A request of the HTTP library, without the choice of its connections. */
export type RequestOpts = Omit<Dispatcher.RequestOptions, 'origin' | 'path' | 'method'> & Partial<Pick<Dispatcher.RequestOptions, 'method'>>;

/** The connections of the process. Idle ones let it end, as those of the library's own agent do. */
const agent = new Agent({connect: createCheckedConnector()});

/** Sends a request of the HTTP library. The answer is complete and follows the grammar, or the promise rejects. */
export async function sendRequest(url: string | URL, opts: RequestOpts = {}): Promise<Dispatcher.ResponseData> {
	return request(url, {...opts, dispatcher: agent});
}
