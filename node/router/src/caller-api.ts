import {Buffer} from 'node:buffer';
import {
	createNotRun, type FailureReason, type RequestFailure, type RequestResult,
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

/** Creates the HTTP interface for callers: every path goes to the router. */
export function createCallerApi(router: Router): Hono {
	const app = new Hono();
	app.all('/*', async context => {
		const url = new URL(context.req.url);
		const requestId = context.req.header(requestIdHeader) ?? '';
		const body = await readBody(context.req.raw, requestId);
		return createResponse(body.isOk()
			? await router.route({
				method: context.req.method, path: url.pathname + url.search, headers: context.req.raw.headers, body: body.value,
			}, context.req.raw.signal)
			: body.error);
	});
	return app;
}

/** Reads the whole body, up to the limit. */
async function readBody(request: Request, requestId: string): Promise<Result<Uint8Array, RequestFailure>> {
	const chunks: Uint8Array[] = [];
	let length = 0;
	try {
		const body: AsyncIterable<Uint8Array> | readonly Uint8Array[] = request.body ?? [];
		for await (const chunk of body) {
			length += chunk.length;
			if (length > maxBodyBytes) {
				return err(createNotRun(requestId, 'body-too-large', `the body is longer than ${maxBodyBytes} bytes`));
			}

			chunks.push(chunk);
		}
	} catch {
		return err(createNotRun(requestId, 'body-cut-short', 'the body of the request was cut short'));
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
