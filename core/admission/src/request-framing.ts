import {Buffer} from 'node:buffer';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const digitZero = 0x30;
const digitNine = 0x39;
const letterA = 0x61;
const letterF = 0x66;
/** Turns a capital letter into a small one. */
const smallLetterBit = 0x20;
const headerSeparator = ':';

/** What the next byte of a connection belongs to. */
type FramingState = 'between' | 'head' | 'body' | 'chunk-size' | 'chunk' | 'chunk-end' | 'trailers';

/**
 * Follows the framing of HTTP/1.1 requests on one connection, byte by byte: where heads and trailers begin and end, whatever the
 * lengths of chunk lines, extensions and spaces, and however the bytes are split into reads. It does not validate requests; a
 * request that is framed ambiguously is refused by the HTTP parser.
 */
export class RequestFraming {
	#state: FramingState = 'between';
	/** Bytes left of the body or of the current chunk. */
	#remainingBytes = 0;
	#sectionBytes = 0;
	#headCount = 0;
	#bodyLength = 0;
	#isInChunks = false;
	/** Whether the current line has no bytes but its line end so far. */
	#isLineEmpty = true;
	/** The part of the current line that earlier reads held, if the line may declare how the body is framed. */
	#linePart = '';
	#isFramingLine = false;
	#chunkBytes = 0;
	#isChunkSizeOver = false;

	/** Bytes of the head or the trailers that are incomplete; 0 if none are. */
	get sectionBytes(): number {
		return this.#sectionBytes;
	}

	/** Number of complete heads so far. */
	get headCount(): number {
		return this.#headCount;
	}

	/** Reads the next bytes of the connection. */
	read(bytes: Uint8Array): void {
		let position = 0;
		while (position < bytes.length) {
			position = this.#readPart(bytes, position);
		}
	}

	/** Reads bytes that belong to the current state and returns the position after them. */
	#readPart(bytes: Uint8Array, position: number): number {
		switch (this.#state) {
			case 'between': {
				return this.#readBetween(bytes, position);
			}

			case 'head':
			case 'trailers': {
				return this.#readLine(bytes, position);
			}

			case 'body':
			case 'chunk': {
				return this.#readBody(bytes, position);
			}

			case 'chunk-size': {
				return this.#readChunkSize(bytes, position);
			}

			case 'chunk-end': {
				const end = bytes.indexOf(lineFeed, position);
				if (end !== -1) {
					this.#startChunkSize();
				}

				return end === -1 ? bytes.length : end + 1;
			}
		}
	}

	/** Empty lines may precede a request; the HTTP parser discards them. */
	#readBetween(bytes: Uint8Array, start: number): number {
		let position = start;
		while (position < bytes.length && (bytes[position] === carriageReturn || bytes[position] === lineFeed)) {
			position++;
		}

		if (position < bytes.length) {
			this.#startSection('head');
			this.#bodyLength = 0;
			this.#isInChunks = false;
		}

		return position;
	}

	#readLine(bytes: Uint8Array, start: number): number {
		const end = bytes.indexOf(lineFeed, start);
		const next = end === -1 ? bytes.length : end + 1;
		this.#sectionBytes += next - start;
		if (this.#isLineEmpty) {
			this.#isFramingLine = this.#state === 'head' && mayDeclareFraming(bytes[start]!);
		}

		const textEnd = end === -1 ? next : end;
		const returnBytes = bytes[textEnd - 1] === carriageReturn ? 1 : 0;
		if (textEnd - start > returnBytes) {
			this.#isLineEmpty = false;
		}

		if (this.#isFramingLine) {
			this.#linePart += Buffer.from(bytes.buffer, bytes.byteOffset + start, textEnd - start).toString('latin1');
		}

		if (end !== -1) {
			this.#handleLineEnd();
		}

		return next;
	}

	#handleLineEnd(): void {
		if (this.#isFramingLine) {
			this.#handleFramingLine(this.#linePart);
		}

		const isSectionOver = this.#isLineEmpty;
		this.#startLine();
		if (!isSectionOver) {
			return;
		}

		this.#sectionBytes = 0;
		if (this.#state === 'trailers') {
			this.#state = 'between';
			return;
		}

		this.#headCount++;
		if (this.#isInChunks) {
			this.#startChunkSize();
		} else {
			this.#remainingBytes = this.#bodyLength;
			this.#state = this.#bodyLength > 0 ? 'body' : 'between';
		}
	}

	#handleFramingLine(line: string): void {
		const separator = line.indexOf(headerSeparator);
		const value = line.slice(separator + 1).trim();
		switch (line.slice(0, Math.max(0, separator)).toLowerCase()) {
			case 'content-length': {
				this.#bodyLength = /^\d+$/v.test(value) ? Number(value) : 0;
				break;
			}

			case 'transfer-encoding': {
				this.#isInChunks = /(?:^|[\t ,])chunked$/iv.test(value);
				break;
			}

			default: {
				break;
			}
		}
	}

	#readBody(bytes: Uint8Array, start: number): number {
		const count = Math.min(this.#remainingBytes, bytes.length - start);
		this.#remainingBytes -= count;
		if (this.#remainingBytes === 0) {
			this.#state = this.#state === 'body' ? 'between' : 'chunk-end';
		}

		return start + count;
	}

	#readChunkSize(bytes: Uint8Array, start: number): number {
		let position = start;
		while (position < bytes.length) {
			const byte = bytes[position]!;
			position++;
			if (byte === lineFeed) {
				this.#startChunk();
				break;
			}

			const digit = this.#isChunkSizeOver ? undefined : decodeHexDigit(byte);
			if (digit === undefined) {
				// An extension may follow the size.
				this.#isChunkSizeOver = true;
			} else {
				this.#chunkBytes = (this.#chunkBytes * 16) + digit;
			}
		}

		return position;
	}

	#startChunkSize(): void {
		this.#state = 'chunk-size';
		this.#chunkBytes = 0;
		this.#isChunkSizeOver = false;
	}

	#startChunk(): void {
		if (this.#chunkBytes === 0) {
			this.#startSection('trailers');
		} else {
			this.#remainingBytes = this.#chunkBytes;
			this.#state = 'chunk';
		}
	}

	#startSection(state: 'head' | 'trailers'): void {
		this.#state = state;
		this.#sectionBytes = 0;
		this.#startLine();
	}

	#startLine(): void {
		this.#isLineEmpty = true;
		this.#isFramingLine = false;
		this.#linePart = '';
	}
}

/** Whether a line with this first byte may be a Content-Length or Transfer-Encoding header. */
function mayDeclareFraming(byte: number): boolean {
	const letter = String.fromCodePoint(byte).toLowerCase();
	return letter === 'c' || letter === 't';
}

function decodeHexDigit(byte: number): number | undefined {
	if (byte >= digitZero && byte <= digitNine) {
		return byte - digitZero;
	}

	const letter = byte | smallLetterBit; // eslint-disable-line no-bitwise
	return letter >= letterA && letter <= letterF ? letter - letterA + 10 : undefined;
}
