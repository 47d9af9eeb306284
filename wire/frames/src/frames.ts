import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {
	blockBytes, type Body, type BodyBlocks, type BodyMemory,
} from './body-blocks.js';

/**
 * Types of frames between nodes, as encoded in the type byte. After a reconnect, `resume` lists the calls that are still pending
 * at the caller, and `missing` reports one whose answer is not known. `requestStart` is a request whose body follows in `body`
 * frames with the id of the call, so that other messages are not delayed by it. Nodes of earlier versions close the connection
 * at these two types.
 */
export const frameTypes = {
	request: 1, response: 2, cancel: 3, call: 4, reply: 5, ping: 6, pong: 7, notice: 8, resume: 9, missing: 10, requestStart: 11, body: 12,
} as const;

/** Type byte of a frame, without the deflate flag. */
export type FrameType = typeof frameTypes[keyof typeof frameTypes];

/** One message on a connection between nodes. */
export type Frame = {
	readonly type: FrameType;
	/** Id of the call that the frame belongs to; 0 if it belongs to none. */
	readonly id: number;
	/** The content of the message, a JSON value; undefined if it has none. */
	readonly meta: unknown;
	/** In blocks if it is large and the reader has a memory; the receiver of the frame then releases it. Frames of type `body` are returned in pieces as they arrive. */
	readonly body: Body;
	/** Set if the body was dropped because it did not fit into the memory. */
	readonly isBodyDropped?: true;
};

/** Layout of the fixed-size header: length of the rest of the frame, type, id, length of the encoded meta value. */
const lengthBytes = 4;
const headerBytes = 13;
const typeOffset = 4;
const idOffset = 5;
const metaLengthOffset = 9;

/** A larger frame is rejected as invalid: the limit covers the largest body of a caller and its headers. */
export const maxFrameBytes = 72 * 1024 * 1024;

/** Longer meta values are deflated: these are directories and lists of ranges, which are highly repetitive. */
const minDeflatedBytes = 4096;

/** Flag in the type byte of a frame whose meta value is deflated. */
const deflatedFlag = 0x80;

/** The fastest level already removes most of the repetition. */
const deflateLevel = 1;

const emptyBody = Buffer.alloc(0);

export function encodeFrame(type: FrameType, id: number, meta: unknown, body: Uint8Array = emptyBody): Buffer {
	return encodeStart(type, id, {meta, bodyLength: body.length, first: body});
}

/** Encodes a frame without its body, whose bytes are to follow. */
export function encodeFrameHead(type: FrameType, id: number, meta: unknown, bodyLength: number): Buffer {
	return encodeStart(type, id, {meta, bodyLength, first: emptyBody});
}

/** Encodes a frame up to the first bytes of its body. */
function encodeStart(type: FrameType, id: number, {meta, bodyLength, first}: {readonly meta: unknown; readonly bodyLength: number; readonly first: Uint8Array}): Buffer {
	const metaJson = Buffer.from(meta === undefined ? '' : JSON.stringify(meta));
	const isDeflated = metaJson.length > minDeflatedBytes;
	const metaBytes = isDeflated ? deflateRawSync(metaJson, {level: deflateLevel}) : metaJson;
	const frame = Buffer.allocUnsafe(headerBytes + metaBytes.length + first.length);
	frame.writeUInt32BE(headerBytes - lengthBytes + metaBytes.length + bodyLength, 0);
	frame.writeUInt8(isDeflated ? type + deflatedFlag : type, typeOffset);
	frame.writeUInt32BE(id, idOffset);
	frame.writeUInt32BE(metaBytes.length, metaLengthOffset);
	frame.set(metaBytes, headerBytes);
	frame.set(first, headerBytes + metaBytes.length);
	return frame;
}

/** A frame whose body is being read. */
type OpenFrame = {
	/** The frame; undefined for a `body` frame, which is returned in pieces. */
	readonly frame: Frame | undefined;
	readonly id: number;
	readonly blocks: BodyBlocks | undefined;
	remainingBytes: number;
};

/** Splits the bytes of a connection into frames. */
export class FrameReader {
	readonly #memory: BodyMemory | undefined;
	#chunks: Buffer[] = [];
	#bufferedBytes = 0;
	#open: OpenFrame | undefined;

	/** With `memory`, large bodies are held in its blocks. */
	constructor(memory?: BodyMemory) {
		this.#memory = memory;
	}

	/** Adds bytes and returns the frames that are complete now. Throws if the bytes are not valid frames. */
	read(chunk: Buffer): readonly Frame[] {
		this.#chunks.push(chunk);
		this.#bufferedBytes += chunk.length;
		const frames: Frame[] = [];
		while (this.#bufferedBytes > 0) {
			if (this.#open === undefined) {
				const frame = this.#readFrame();
				if (frame === undefined && this.#open === undefined) {
					break;
				}

				frames.push(...frame === undefined ? [] : [frame]);
			} else {
				frames.push(...this.#readBody(this.#open));
			}
		}

		return frames;
	}

	/** Drops the frame whose body is being read. */
	close(): void {
		this.#open?.blocks?.release();
		this.#open = undefined;
		this.#chunks = [];
		this.#bufferedBytes = 0;
	}

	/** Reads a whole frame, or starts one whose body is read as it arrives. Returns undefined if neither is complete. */
	#readFrame(): Frame | undefined {
		if (this.#bufferedBytes < lengthBytes) {
			return undefined;
		}

		const length = this.#peek(lengthBytes).readUInt32BE(0);
		if (length > maxFrameBytes || length < headerBytes - lengthBytes) {
			throw new Error(`invalid frame header: a length of ${length} bytes is not possible`);
		}

		if (this.#bufferedBytes >= headerBytes && this.#startOpenFrame(length + lengthBytes)) {
			return undefined;
		}

		return this.#bufferedBytes < length + lengthBytes ? undefined : decodeFrame(this.#pickBytes(length + lengthBytes));
	}

	/** Returns whether a frame was started whose body is read as it arrives. */
	#startOpenFrame(frameBytes: number): boolean {
		const header = this.#peek(headerBytes);
		const type = header.readUInt8(typeOffset);
		const id = header.readUInt32BE(idOffset);
		const headBytes = headerBytes + header.readUInt32BE(metaLengthOffset);
		const bodyBytes = frameBytes - headBytes;
		if (type === frameTypes.body && headBytes === headerBytes) {
			this.#pickBytes(headerBytes);
			this.#open = {
				frame: undefined, id, blocks: undefined, remainingBytes: bodyBytes,
			};
		} else if (this.#memory !== undefined && bodyBytes > blockBytes && this.#bufferedBytes >= headBytes) {
			const frame = decodeFrame(this.#pickBytes(headBytes));
			const blocks = this.#memory.startBody({announcedBytes: bodyBytes});
			this.#open = {
				frame, id, blocks, remainingBytes: bodyBytes,
			};
		}

		return this.#open !== undefined;
	}

	#readBody(open: OpenFrame): readonly Frame[] {
		const {frame, id, blocks} = open;
		const piece = this.#pickBytes(Math.min(open.remainingBytes, this.#chunks[0]!.length));
		open.remainingBytes -= piece.length;
		blocks?.add(piece);
		if (open.remainingBytes === 0) {
			this.#open = undefined;
		}

		if (frame === undefined) {
			return [{
				type: frameTypes.body, id, meta: undefined, body: piece,
			}];
		}

		if (open.remainingBytes > 0) {
			return [];
		}

		blocks?.complete();
		return [blocks === undefined ? {...frame, isBodyDropped: true} : {...frame, body: blocks}];
	}

	/** Returns the first buffered chunk, which holds at least `size` bytes. */
	#peek(size: number): Buffer {
		if (this.#chunks[0]!.length < size) {
			this.#chunks = [Buffer.concat(this.#chunks)];
		}

		return this.#chunks[0]!;
	}

	#pickBytes(size: number): Buffer {
		const first = this.#peek(size);
		const remaining = first.subarray(size);
		this.#bufferedBytes -= size;
		if (remaining.length > 0) {
			this.#chunks[0] = remaining;
		} else {
			this.#chunks.shift();
		}

		return first.subarray(0, size);
	}
}

function decodeFrame(bytes: Buffer): Frame {
	const metaEnd = headerBytes + bytes.readUInt32BE(metaLengthOffset);
	if (metaEnd > bytes.length) {
		throw new Error('the meta value of a frame exceeds the frame');
	}

	const typeByte = bytes.readUInt8(typeOffset);
	const isDeflated = typeByte >= deflatedFlag;
	const type = isDeflated ? typeByte - deflatedFlag : typeByte;
	if (!isFrameType(type)) {
		throw new Error(`the frame type ${type} is not known`);
	}

	const metaBytes = bytes.subarray(headerBytes, metaEnd);
	const metaJson = (isDeflated ? inflateRawSync(metaBytes, {maxOutputLength: maxFrameBytes}) : metaBytes).toString('utf8');
	const meta: unknown = metaJson === '' ? undefined : JSON.parse(metaJson);
	return {
		type, id: bytes.readUInt32BE(idOffset), meta, body: bytes.subarray(metaEnd),
	};
}

function isFrameType(type: number): type is FrameType {
	return Object.values<number>(frameTypes).includes(type);
}
