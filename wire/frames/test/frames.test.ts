import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import test from 'node:test';
import fc from 'fast-check';
import {encodeFrame, FrameReader, frameTypes} from '../src/frames.js';

const directory = Array.from({length: 195}, (_, index) => ({
	vmId: `sidecar-sk-east-a-${index}`, address: `10.1.0.${index}:7600`, failureDomain: 'sk-east-a', isStopping: false, backend: {
		key: `i-${index}/1764846000000`, service: 'sklad', state: 'ready', slots: 12, isCold: false,
	},
}));

test('encoded frames are decoded unchanged, however their bytes are split', () => {
	const anyMessage = fc.record({meta: fc.option(fc.jsonValue(), {nil: undefined}), body: fc.uint8Array({maxLength: 40})});
	fc.assert(fc.property(fc.array(anyMessage, {maxLength: 5}), fc.integer({min: 1, max: 50}), (messages, pieceLength) => {
		const expected = messages.map(({meta, body}, index) => {
			const text = JSON.stringify(meta) as string | undefined;
			return {
				type: frameTypes.request, id: index, meta: text === undefined ? undefined : JSON.parse(text) as unknown, body: Buffer.from(body),
			};
		});
		const bytes = Buffer.concat(messages.map(({meta, body}, index) => encodeFrame(frameTypes.request, index, meta, body)));
		const reader = new FrameReader();
		const read = [];
		for (let start = 0; start < bytes.length; start += pieceLength) {
			read.push(...reader.read(bytes.subarray(start, start + pieceLength)));
		}

		assert.deepEqual(read, expected);
	}));
});

test('a long repetitive meta value is compressed to less than a fifth', () => {
	const frame = encodeFrame(frameTypes.reply, 7, {directory}, Buffer.from('body'));
	assert.ok(frame.length < JSON.stringify({directory}).length / 5, `${frame.length} bytes`);
	const [read] = new FrameReader().read(frame);
	assert.deepEqual(read, {
		type: frameTypes.reply, id: 7, meta: {directory}, body: Buffer.from('body'),
	});
});

test('bytes that are not valid frames are rejected', () => {
	const valid = encodeFrame(frameTypes.reply, 7, {directory});
	for (const change of [
		(bytes: Buffer) => bytes.writeUInt32BE(2 ** 31, 0),
		(bytes: Buffer) => bytes.writeUInt32BE(3, 0),
		(bytes: Buffer) => bytes.writeUInt8(0, 4),
		(bytes: Buffer) => bytes.writeUInt8(77, 4),
		(bytes: Buffer) => bytes.writeUInt32BE(bytes.length, 9),
		(bytes: Buffer) => bytes.fill(0xFF, 13, 40),
	]) {
		const bytes = Buffer.from(valid);
		change(bytes);
		assert.throws(() => new FrameReader().read(bytes));
	}
});
