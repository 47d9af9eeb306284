import {isReadinessRequest} from '@buckthornpoint/fleet/announcements.js';
import type {SimpleHttpResponse, SimpleHttpRequest} from './simple-http-server.js';

const statusOk = 200;
const statusNotFound = 404;
const statusUnavailable = 503;

/** Answers a readiness check: whether the node accepts requests. */
export function createReadinessResponse({method, path}: SimpleHttpRequest, isReady: boolean): SimpleHttpResponse {
	if (!isReadinessRequest(method, path)) {
		return {status: statusNotFound, body: ''};
	}

	return {status: isReady ? statusOk : statusUnavailable, body: ''};
}
