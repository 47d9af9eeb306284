import {Buffer} from 'node:buffer';
import {constants, type ClientHttp2Stream} from 'node:http2';
import {fromBinary, toBinary} from '@bufbuild/protobuf';
import {BuckthornpointError} from '@buckthornpoint/errors/errors.js';
import {
	ForwardRequestSchema, ForwardResponseSchema, type ForwardRequest, type ForwardResponse,
} from '@buckthornpoint/protocol/generated/buckthornpoint/v1/peer_pb.js';
import type {Http2SessionManager} from '@connectrpc/connect-node';
import {forwardContentType, forwardPath} from './forward-path.js';

const statusOk = 200;

/**
 * Sends a request to another node over one HTTP/2 stream. The bodies are a ForwardRequest and a ForwardResponse without the
 * framing of connect-es, which takes more time than all other steps of forwarding together. All other calls use connect-es.
 */
export async function exchangeForward(sessions: Http2SessionManager, request: ForwardRequest, signal: AbortSignal): Promise<ForwardResponse> {
	signal.throwIfAborted();
	const stream = await sessions.request('POST', forwardPath, {'content-type': forwardContentType}, {});
	const cancel = (): void => {
		stream.close(constants.NGHTTP2_CANCEL);
	};

	signal.addEventListener('abort', cancel, {once: true});
	try {
		const bytes = readAnswer(stream, () => {
			sessions.notifyResponseByteRead(stream);
		});
		if (signal.aborted) {
			cancel();
		}

		stream.end(toBinary(ForwardRequestSchema, request));
		return fromBinary(ForwardResponseSchema, await bytes);
	} finally {
		signal.removeEventListener('abort', cancel);
	}
}

async function readAnswer(stream: ClientHttp2Stream, onRead: () => void): Promise<Uint8Array> {
	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let status = 0;
		let hasEnded = false;
		stream.on('response', headers => {
			status = headers[':status'] ?? 0;
		});
		stream.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
			onRead();
		});
		stream.on('end', () => {
			hasEnded = true;
		});
		stream.on('error', reject);
		stream.on('close', () => {
			if (hasEnded && !stream.aborted && stream.rstCode === constants.NGHTTP2_NO_ERROR && status === statusOk) {
				resolve(Buffer.concat(chunks));
			} else {
				reject(new BuckthornpointError('ERR_PEER_UNREACHABLE', `the stream ended without a whole answer, with status ${status}`));
			}
		});
	});
}
