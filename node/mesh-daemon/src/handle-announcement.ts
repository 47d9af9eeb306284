import type {Leave} from '@buckthornpoint/backend-link/backend-registration.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {decodeAnnouncement, encodeHeartbeatAnswer, type BackendHeartbeat} from '@buckthornpoint/fleet/announcements.js';
import type {Log} from '@buckthornpoint/log/log.js';
import type {BackendWatch} from './backend-watch.js';
import type {SimpleHttpResponse, SimpleHttpRequest} from './simple-http-server.js';

const statusOk = 200;
const statusBadRequest = 400;
const statusNotFound = 404;
const statusUnavailable = 503;

const unavailable: SimpleHttpResponse = {status: statusUnavailable, body: ''};

/** The part of `BackendWatch` that handles announcements. */
export type AnnouncementWatch = Pick<BackendWatch, 'handleHeartbeat' | 'handleLeave'> & {readonly member: Pick<BackendWatch['member'], 'recordOmitted'>};

/** Dependencies of `handleAnnouncement`. */
export type AnnouncementOpts = {
	readonly watch: AnnouncementWatch;
	readonly log: Log;
	readonly clock: Clock;
	/** Records an announcement that the server leaves. Returns whether later processes of this node will find it. */
	readonly recordLeave: (leave: Leave) => Promise<boolean>;
	/** Whether the process is about to end and may not be able to notify the controller. */
	readonly isEnding: () => boolean;
};

/** Answers a call of the local backend server: a heartbeat, a leave call or an invalid call. */
export async function handleAnnouncement({method, path, body}: SimpleHttpRequest, opts: AnnouncementOpts): Promise<SimpleHttpResponse> {
	const {watch, log} = opts;
	const announcement = decodeAnnouncement(method, path, body);
	const isLeave = announcement.kind === 'leave' || (announcement.kind === 'heartbeat' && announcement.heartbeat.isDraining);
	if (isLeave && opts.isEnding()) {
		return unavailable;
	}

	switch (announcement.kind) {
		case 'heartbeat': {
			return handleHeartbeat(announcement.heartbeat, opts);
		}

		case 'leave': {
			const isRecorded = await opts.recordLeave(watch.handleLeave(announcement.id, announcement.bornMs));
			return isRecorded ? {status: statusOk, body: '{}'} : unavailable;
		}

		case 'malformed': {
			log.write({event: 'announcement-ignored', id: path, reason: announcement.problem});
			return {status: statusBadRequest, body: JSON.stringify({reason: announcement.problem})};
		}

		case 'unknown': {
			return {status: statusNotFound, body: ''};
		}
	}
}

async function handleHeartbeat(heartbeat: BackendHeartbeat, {watch, log, clock, recordLeave}: AnnouncementOpts): Promise<SimpleHttpResponse> {
	const {result, grant} = watch.handleHeartbeat(heartbeat);
	if (result.kind === 'refused') {
		return {status: statusBadRequest, body: JSON.stringify({reason: result.reason})};
	}

	const {id, bornMs, isDraining} = heartbeat;
	if (isDraining && !await recordLeave({id, bornMs, leftAtMs: clock.readTimestamp().wallMs})) {
		return unavailable;
	}

	const answer = encodeHeartbeatAnswer(grant);
	if (grant !== undefined && answer.omitted > 0) {
		watch.member.recordOmitted(grant.ranges.slice(-answer.omitted));
		log.write({event: 'grant-shortened', omitted: answer.omitted});
	}

	return answer;
}
