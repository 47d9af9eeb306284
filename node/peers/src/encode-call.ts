import type {Buffer} from 'node:buffer';
import {BodyBlocks, type Body} from '@buckthornpoint/frames/body-blocks.js';
import {encodeFrame, frameTypes, type FrameType} from '@buckthornpoint/frames/frames.js';
import type {SentRequest, StartedRequest} from './peer-messages.js';

/** A call, its body and the time of its sending. */
export type Call = {readonly meta: unknown; readonly body: Body | undefined; readonly sentMs: number};

/** Encodes the first frame of a call, which is the only one unless the body is in blocks. */
export function encodeCall(type: FrameType, id: number, {meta, body, sentMs}: Call): Buffer {
	if (body instanceof BodyBlocks) {
		return encodeFrame(frameTypes.requestStart, id, {sentMs, request: meta, bodyBytes: body.length} satisfies StartedRequest);
	}

	return encodeFrame(type, id, type === frameTypes.request ? {sentMs, request: meta} satisfies SentRequest : meta, body);
}
