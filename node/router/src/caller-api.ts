import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {HttpBindings} from '@hono/node-server';
import {
	createNotRunFailure, type FailureReason, type RequestFailure, type RequestResult,
} from '@buckthornpoint/types/requests.js';
import {Hono} from 'hono';
import {err, ok, type Result} from 'neverthrow';
import type {Router} from './router.js';

const outcomeHeader = 'buckthornpoint-outcome';
const requestIdHeader = 'buckthornpoint-request-id';
const msPerSecond = 1000;
const statusNotRun = 503;
const statusOutcomeUnknown = 504;
const maxBodyBytes = 8_388_608;
const failureStatuses: ReadonlyMap<FailureReason, number> = new Map([
	['invalid-request', 400], ['service-unknown', 404], ['body-too-large', 413], ['request-id-reused', 409],
]);
const bodylessStatuses = new Set([204, 205, 304]);

type Environment = {Bindings: HttpBindings};

/** Creates the HTTP interface for callers, to be served by `@hono/node-server`. Every path is passed to the router. */
export function createCallerApi(router: Router): Hono<Environment> {
	const app = new Hono<Environment>();
	app.all('/*', async context => {
		const {incoming, outgoing} = context.env;
		const cancelled = new AbortController();
		outgoing.once('close', () => {
			cancelled.abort();
		});
		const headers = listHeaders(incoming);
		const body = await readBody(incoming, headers.get(requestIdHeader) ?? '');
		return createResponse(body.isOk()
			? await router.route({
				method: context.req.method, path: readPath(incoming), headers, body: body.value,
			}, cancelled.signal)
			: body.error);
	});
	return app;
}

/** Returns the path with query. A request target may also be an absolute URL. */
function readPath({url = '/'}: IncomingMessage): string {
	if (url.startsWith('/')) {
		return url;
	}

	const {pathname, search} = new URL(url, 'http://localhost');
	return pathname + search;
}

function listHeaders({headers}: IncomingMessage): Headers {
	const list = new Headers();
	for (const [name, value] of Object.entries(headers)) {
		for (const single of Array.isArray(value) ? value : [value ?? '']) {
			list.append(name, single);
		}
	}

	return list;
}

/** Reads the whole body, up to the limit. */
async function readBody(incoming: IncomingMessage, requestId: string): Promise<Result<Uint8Array, RequestFailure>> {
	const chunks: Uint8Array[] = [];
	let length = 0;
	try {
		for await (const chunk of incoming as AsyncIterable<Uint8Array>) {
			length += chunk.length;
			if (length > maxBodyBytes) {
				return err(createNotRunFailure(requestId, 'body-too-large', `the body is longer than ${maxBodyBytes} bytes`));
			}

			chunks.push(chunk);
		}
	} catch {
		return err(createNotRunFailure(requestId, 'body-cut-short', 'the body of the request was cut short'));
	}

	return ok(Buffer.concat(chunks));
}

function getFailureStatus({outcome, reason}: RequestFailure): number {
	return failureStatuses.get(reason) ?? (outcome === 'not-run' ? statusNotRun : statusOutcomeUnknown);
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
	}, {status: getFailureStatus(result), headers});
}
