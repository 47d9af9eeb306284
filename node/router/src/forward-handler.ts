import {Buffer} from 'node:buffer';
import {constants, type Http2ServerRequest, type Http2ServerResponse} from 'node:http2';
import {fromBinary, toBinary} from '@bufbuild/protobuf';
import type {Guard} from '@buckthornpoint/guard/guard.js';
import {ForwardRequestSchema, ForwardResponseSchema, type ForwardResponse} from '@buckthornpoint/protocol/generated/buckthornpoint/v1/peer_pb.js';
import {decodeRequest, encodeResult} from './peer-codec.js';
import {forwardContentType, forwardPath} from './forward-path.js';

const maxMessageBytes = 33_554_432;
const statusOk = 200;
const statusInvalid = 400;
const statusTooLarge = 413;

/** Handles a call from another node. */
export type PeerRequestHandler = (request: Http2ServerRequest, response: Http2ServerResponse) => void;

/** Creates the handler of all calls between nodes: handles Forward itself and passes the others to `next`. */
export function createPeerHandler(guard: Guard, next: PeerRequestHandler): PeerRequestHandler {
	return (request, response) => {
		if (request.url !== forwardPath) {
			next(request, response);
			return;
		}

		handleForward(guard, request, response).catch(() => {
			response.stream.close(constants.NGHTTP2_INTERNAL_ERROR);
		});
	};
}

async function handleForward(guard: Guard, request: Http2ServerRequest, response: Http2ServerResponse): Promise<void> {
	const cancelled = new AbortController();
	response.on('close', () => {
		cancelled.abort();
	});
	const bytes = await readMessage(request);
	if (bytes === undefined) {
		replyEmpty(response, statusTooLarge);
		return;
	}

	const answer = await handleMessage(guard, bytes, cancelled.signal);
	if (answer === undefined) {
		replyEmpty(response, statusInvalid);
		return;
	}

	response.writeHead(statusOk, {'content-type': forwardContentType});
	response.end(toBinary(ForwardResponseSchema, answer));
}

async function handleMessage(guard: Guard, bytes: Uint8Array, signal: AbortSignal): Promise<ForwardResponse | undefined> {
	const routed = decodeMessage(bytes);
	if (routed === undefined) {
		return undefined;
	}

	return encodeResult(routed.isOk() ? await guard.handle(routed.value, signal) : routed.error);
}

function decodeMessage(bytes: Uint8Array): ReturnType<typeof decodeRequest> | undefined {
	try {
		return decodeRequest(fromBinary(ForwardRequestSchema, bytes));
	} catch {
		return undefined;
	}
}

async function readMessage(request: Http2ServerRequest): Promise<Uint8Array | undefined> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > maxMessageBytes) {
			return undefined;
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

function replyEmpty(response: Http2ServerResponse, status: number): void {
	response.writeHead(status);
	response.end();
}
