import {isReadinessCall} from '@buckthornpoint/fleet/announcements.js';
import type {PlainAnswer, PlainCall} from './simple-http-server.js';

const statusOk = 200;
const statusNotFound = 404;
const statusUnavailable = 503;

/** Answers the question whether the node takes work. */
export function judgeReadiness({method, path}: PlainCall, isReady: boolean): PlainAnswer {
	if (!isReadinessCall(method, path)) {
		return {status: statusNotFound, body: ''};
	}

	return {status: isReady ? statusOk : statusUnavailable, body: ''};
}
