import assert from 'node:assert/strict';
import test from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {checkFleet, startFleet} from './check-fleet.js';
import {crowdPrefix, openCrowd, splitBody} from './crowd.js';

// A server in trouble sends bytes that are no answer without end, on many connections at a time. Its node must not keep them all, and
// ordinary requests to the same server are answered meanwhile.

const testTimeoutMs = 240_000;
const crowdSize = 40;
const bodyBytes = 1000;
const kibibyte = 1024;

/** Bound for the descriptors of a node beside a crowd of 40 connections. */
const maxDescriptors = 400;

/** Time in which the server sends and connections are replaced. */
const waitMs = 3000;

const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const endless: ReadonlyArray<readonly [name: string, begin: string, piece: string]> = [
	['a line of a head', 'HTTP/1.1 200 OK\r\nX-A: ', 'a'.repeat(16 * kibibyte)],
	['lines of a head', 'HTTP/1.1 200 OK\r\n', 'X-A: b\r\n'.repeat(2 * kibibyte)],
	['interim answers', '', 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(kibibyte)],
	['a body without a length', 'HTTP/1.1 200 OK\r\n\r\n', 'a'.repeat(64 * kibibyte)],
	['a body in large chunks', chunkedHead, `10000\r\n${'a'.repeat(64 * kibibyte)}\r\n`],
	['a body in chunks of a byte', chunkedHead, '1;a=b\r\na\r\n'.repeat(4 * kibibyte)],
	['a trailer', `${chunkedHead}0\r\n`, 'X-A: b\r\n'.repeat(2 * kibibyte)],
];

for (const [name, begin, piece] of endless) {
	test(`${name} without end, on many connections`, {timeout: testTimeoutMs}, async t => {
		let count = 0;
		const fleet = await startFleet(t, {
			bodyBytes,
			slots: crowdSize,
			timeoutSeconds: 10,
			getEndlessAnswer(requestId) {
				if (!requestId.startsWith(crowdPrefix)) {
					return undefined;
				}

				count++;
				return {begin, piece};
			},
		});
		t.after(await openCrowd(fleet, crowdSize, () => ({announcedBytes: bodyBytes, pieces: splitBody(bodyBytes, kibibyte)})));
		await checkFleet(t, fleet, maxDescriptors);
		await sleep(waitMs);
		await checkFleet(t, fleet, maxDescriptors);
		assert.ok(count >= crowdSize, `the server sent only ${count} endless answers`);
	});
}
