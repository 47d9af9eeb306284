import {Buffer} from 'node:buffer';
import {BodyBlocks} from '@buckthornpoint/frames/body-blocks.js';
import type {ParsedResponse} from './response-parser.js';

/** What the form of an answer depends on. */
export type FormatOpts = {
	/** Method of the request. */
	readonly method: string;
	/** Whether the connection may carry another request. */
	readonly isReusable: boolean;
};

const statusNoContent = 204;
const statusNotModified = 304;

/** Fields that are replaced by those of the plain form. */
const replacedFields = new Set(['transfer-encoding', 'connection', 'trailer']);

/** Formats an answer in its plainest form: without interim answers, chunks and trailers, with a length if it may have a body. */
export function formatResponse({status, headers, body}: ParsedResponse, {method, isReusable}: FormatOpts): Buffer {
	const isHead = method === 'HEAD';
	let head = `HTTP/1.1 ${status} \r\n`;
	let hasLength = false;
	for (let index = 0; index + 1 < headers.length; index += 2) {
		const name = headers[index]!.toLowerCase();
		const isLength = name === 'content-length';
		// The length in an answer to HEAD is that of the content that it leaves out.
		if (!replacedFields.has(name) && (!isLength || (isHead && !hasLength))) {
			head += `${headers[index]!}: ${headers[index + 1]!}\r\n`;
		}

		hasLength ||= isLength;
	}

	if (!isHead && status !== statusNoContent && status !== statusNotModified) {
		head += `Content-Length: ${body.length}\r\n`;
	}

	head += `Connection: ${isReusable ? 'keep-alive' : 'close'}\r\n\r\n`;
	return Buffer.concat([Buffer.from(head, 'latin1'), ...body instanceof BodyBlocks ? body.listPieces() : [body]]);
}
