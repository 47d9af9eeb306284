import {Buffer} from 'node:buffer';
import {BodyReader} from './body-reader.js';
import {parseFieldLine} from './field-lines.js';

/** Limit for the line with the size and the extensions of a chunk, and for each line of the trailer. */
const maxLineBytes = 4096;

/** Limit for all lines of the trailer together. */
const maxTrailerBytes = 64 * 1024;

/** Hexadecimal digits of a size that may be within the limit for a body, without leading zeros. */
const maxSizeDigits = 8;

const lineEnd = Buffer.from('\r\n');
const lineFeed = 0x0A;

/** RFC 9110, section 5.6: optional blanks, a token, and a quoted string. */
const blanks = String.raw`[\t ]*`;
const token = String.raw`[!#$%\u0026'*+\-.^_\u0060\|~\dA-Za-z]+`;
const quotedString = String.raw`"(?:[\t \u0021\u0023-\u005B\u005D-\u007E\u0080-\u00FF]|\\[\t\u0020-\u007E\u0080-\u00FF])*"`;

/** The size and the extensions of a chunk (RFC 9112, section 7.1). */
const sizeLine = new RegExp(String.raw`^([\dA-Fa-f]+)(?:${blanks};${blanks}${token}(?:${blanks}=${blanks}(?:${token}|${quotedString}))?)*$`, 'v');
const leadingZeros = /^0+(?=.)/v;

/** A body with chunked transfer coding. Extensions and trailer fields are checked and dropped. */
export class ChunkedBody extends BodyReader {
	#state: 'size' | 'data' | 'data-end' | 'trailer' = 'size';
	#remainingBytes = 0;
	#trailerBytes = 0;

	override read(bytes: Buffer): {readonly rest: Buffer; readonly isComplete: boolean} {
		let rest = bytes;
		while (true) {
			if (this.#state === 'data') {
				rest = this.#readData(rest);
				if (this.#remainingBytes > 0) {
					return {rest, isComplete: false};
				}

				this.#state = 'data-end';
			}

			if (this.#state === 'data-end') {
				checkDataEnd(rest);
			}

			const length = findLineEnd(rest);
			if (length === undefined) {
				return {rest, isComplete: false};
			}

			const line = rest.toString('latin1', 0, length);
			rest = rest.subarray(length + lineEnd.length);
			if (this.#readLine(line)) {
				return {rest, isComplete: true};
			}
		}
	}

	#readData(bytes: Buffer): Buffer {
		const dataBytes = bytes.subarray(0, this.#remainingBytes);
		this.add(dataBytes);
		this.#remainingBytes -= dataBytes.length;
		return bytes.subarray(dataBytes.length);
	}

	/** Parses one line. Returns whether it ends the body: the empty line at the end of the trailer. */
	#readLine(line: string): boolean {
		switch (this.#state) {
			case 'trailer': {
				this.#trailerBytes += line.length;
				if (this.#trailerBytes > maxTrailerBytes) {
					throw new Error('the trailer of the answer exceeds the maximum length');
				}

				if (line !== '') {
					parseFieldLine(line);
				}

				return line === '';
			}

			case 'size': {
				this.#remainingBytes = parseSize(line);
				this.#state = this.#remainingBytes === 0 ? 'trailer' : 'data';
				return false;
			}

			case 'data':
			case 'data-end': {
				this.#state = 'size';
				return false;
			}
		}
	}
}

function parseSize(line: string): number {
	const digits = sizeLine.exec(line)?.[1]?.replace(leadingZeros, '');
	if (digits === undefined || digits.length > maxSizeDigits) {
		throw new Error('the size line of a chunk is invalid, or the size exceeds the maximum length of a body');
	}

	return Number.parseInt(digits, 16);
}

function checkDataEnd(bytes: Buffer): void {
	const length = Math.min(bytes.length, lineEnd.length);
	if (bytes.compare(lineEnd, 0, length, 0, length) !== 0) {
		throw new Error('the data of a chunk does not end with CR and LF at the stated size');
	}
}

/** Returns the length of the first line; undefined while it is incomplete. */
function findLineEnd(bytes: Buffer): number | undefined {
	const length = bytes.indexOf(lineEnd);
	if (length > maxLineBytes || (length === -1 && bytes.length > maxLineBytes)) {
		throw new Error('the size line of a chunk or a line of the trailer exceeds the maximum length');
	}

	if (length === -1 && bytes.includes(lineFeed)) {
		throw new Error('a line of the answer does not end with CR and LF');
	}

	return length === -1 ? undefined : length;
}
