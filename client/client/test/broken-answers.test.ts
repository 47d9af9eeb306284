// A node, or what answers at its address, sends bytes that are no answer by the grammar of HTTP/1.1. The client returned some of them as
// answers, or as a node's statement that the request was not run.
import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {departures} from '@buckthornpoint/answers/departures.js';
import {legalAnswers} from '@buckthornpoint/answers/legal-answers.js';
import {openRawServer, type RawAnswer} from '@buckthornpoint/answers/raw-server.js';
import type {RequestResult} from '@buckthornpoint/types/requests.js';
import {NodeConnections} from '../src/node-connections.js';

const deadlineMs = 2000;
const fields = 'buckthornpoint-request-id: a\r\n';
const refusal = 'buckthornpoint-outcome: not-run\r\n';

async function run(t: TestContext, answer: RawAnswer): Promise<RequestResult> {
	const server = await openRawServer(answer);
	const connections = new NodeConnections(2);
	t.after(async () => {
		await connections.close();
		server.close();
	});
	return connections.send(`http://127.0.0.1:${server.port}`, {
		requestId: 'a', method: 'POST', path: '/lots', headers: {}, body: 'body of the request',
	}, AbortSignal.timeout(deadlineMs));
}

for (const {name, format} of departures) {
	test(`the outcome is unknown: ${name}`, async t => {
		for (const lines of [fields, fields + refusal]) {
			const result = await run(t, socket => socket.end(format(lines), 'latin1'));
			assert.deepEqual(result.kind === 'failure' ? [result.outcome, result.reason] : result, ['outcome-unknown', 'lost-answer']);
		}
	});
}

for (const {name, format, status, body, endsConnection} of legalAnswers) {
	test(`a legal answer is returned: ${name}`, async t => {
		const result = await run(t, socket => endsConnection ? socket.end(format(fields), 'latin1') : socket.write(format(fields), 'latin1'));
		assert.deepEqual(result.kind === 'answer' ? [result.status, new TextDecoder().decode(result.body)] : result, [status, body]);
	});
}
