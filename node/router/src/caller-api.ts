import {Buffer} from 'node:buffer';
import type {RequestResult} from '@buckthornpoint/types/requests.js';
import {Hono} from 'hono';
import type {Router} from './router.js';

const outcomeHeader = 'buckthornpoint-outcome';
const requestIdHeader = 'buckthornpoint-request-id';
const msPerSecond = 1000;
const statusNotRun = 503;
const statusOutcomeUnknown = 504;
const bodylessStatuses = new Set([204, 205, 304]);

/** Creates the HTTP interface for callers: every path goes to the router. */
export function createCallerApi(router: Router): Hono {
	const app = new Hono();
	app.all('/*', async context => {
		const url = new URL(context.req.url);
		const body = new Uint8Array(await context.req.arrayBuffer());
		const result = await router.route({
			method: context.req.method, path: url.pathname + url.search, headers: context.req.raw.headers, body,
		}, context.req.raw.signal);
		return createResponse(result);
	});
	return app;
}

function createResponse(result: RequestResult): Response {
	if (result.kind === 'answer') {
		const headers = new Headers();
		for (const [name, value] of result.headers) {
			headers.append(name, value);
		}

		headers.set(requestIdHeader, result.requestId);
		return new Response(bodylessStatuses.has(result.status) ? null : Buffer.from(result.body), {status: result.status, headers});
	}

	const headers: Record<string, string> = {[requestIdHeader]: result.requestId, [outcomeHeader]: result.outcome};
	if (result.retryAfterMs !== undefined) {
		headers['retry-after'] = String(Math.ceil(result.retryAfterMs / msPerSecond));
	}

	const {outcome, reason, message, requestId, retryAfterMs} = result;
	return Response.json({
		requestId, outcome, reason, message, retryAfterMs,
	}, {status: outcome === 'not-run' ? statusNotRun : statusOutcomeUnknown, headers});
}
