import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';

/**
 * Types of frames between nodes, as encoded in the type byte. After a reconnect, `resume` lists the calls that are still pending
 * at the caller, and `missing` reports one whose answer is not known.
 */
export const frameTypes = {
	request: 1, response: 2, cancel: 3, call: 4, reply: 5, ping: 6, pong: 7, notice: 8, resume: 9, missing: 10,
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
	readonly body: Uint8Array;
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
	const metaJson = Buffer.from(meta === undefined ? '' : JSON.stringify(meta));
	const isDeflated = metaJson.length > minDeflatedBytes;
	const metaBytes = isDeflated ? deflateRawSync(metaJson, {level: deflateLevel}) : metaJson;
	const frame = Buffer.allocUnsafe(headerBytes + metaBytes.length + body.length);
	frame.writeUInt32BE(headerBytes - lengthBytes + metaBytes.length + body.length, 0);
	frame.writeUInt8(isDeflated ? type + deflatedFlag : type, typeOffset);
	frame.writeUInt32BE(id, idOffset);
	frame.writeUInt32BE(metaBytes.length, metaLengthOffset);
	frame.set(metaBytes, headerBytes);
	frame.set(body, headerBytes + metaBytes.length);
	return frame;
}

/** Splits the bytes of a connection into frames. */
export class FrameReader {
	#chunks: Buffer[] = [];
	#bufferedBytes = 0;

	/** Adds bytes and returns the frames that are complete now. Throws if the bytes are not valid frames. */
	read(chunk: Buffer): readonly Frame[] {
		this.#chunks.push(chunk);
		this.#bufferedBytes += chunk.length;
		const frames: Frame[] = [];
		while (this.#bufferedBytes >= lengthBytes) {
			const length = this.#peekLength();
			if (length > maxFrameBytes || length < headerBytes - lengthBytes) {
				throw new Error(`invalid frame header: a length of ${length} bytes is not possible`);
			}

			if (this.#bufferedBytes < length + lengthBytes) {
				break;
			}

			frames.push(decodeFrame(this.#pickBytes(length + lengthBytes)));
		}

		return frames;
	}

	#peekLength(): number {
		if (this.#chunks[0]!.length < lengthBytes) {
			this.#chunks = [Buffer.concat(this.#chunks)];
		}

		return this.#chunks[0]!.readUInt32BE(0);
	}

	#pickBytes(size: number): Buffer {
		if (this.#chunks[0]!.length < size) {
			this.#chunks = [Buffer.concat(this.#chunks)];
		}

		const first = this.#chunks[0]!;
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
