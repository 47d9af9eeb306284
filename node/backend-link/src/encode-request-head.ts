import {Buffer} from 'node:buffer';
import type {BackendRequest} from './backend-connection.js';

/** Encodes the head of a request, with a length if the request has a body or its method allows for one. */
export function encodeRequestHead({method, path, headers, body}: BackendRequest): Buffer {
	let head = `${method} ${path} HTTP/1.1\r\n`;
	for (let index = 0; index + 1 < headers.length; index += 2) {
		head += `${headers[index]!}: ${headers[index + 1]!}\r\n`;
	}

	if (body.length > 0 || method === 'POST' || method === 'PUT' || method === 'PATCH') {
		head += `Content-Length: ${body.length}\r\n`;
	}

	head += '\r\n';
	return Buffer.from(head, 'latin1');
}
