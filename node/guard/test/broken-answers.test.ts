// A backend server of the older daemon sends bytes that are no answer by the grammar of HTTP/1.1. The HTTP library took some of them
// for answers, also for refusals, after which the request was run again although it may have run.
import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {departures} from '@buckthornpoint/answers/departures.js';
import {legalAnswers} from '@buckthornpoint/answers/legal-answers.js';
import {openRawServer, type RawAnswer} from '@buckthornpoint/answers/raw-server.js';
import type {RequestResult} from '@buckthornpoint/types/requests.js';
import {BackendClient} from '../src/backend-client.js';
import {createReservation} from './fake-backend.js';

const deadlineMs = 2000;
const fields = 'buckthornpoint-request-id: a\r\n';
const refusal = 'buckthornpoint-refused: overloaded\r\n';

async function run(t: TestContext, answer: RawAnswer): Promise<RequestResult> {
	const server = await openRawServer(answer);
	const client = new BackendClient({
		name: 'b', service: 'rezervacie', origin: `http://127.0.0.1:${server.port}`, slots: 2, checksFence: false, incarnation: '1', leaving: false,
	}, {maxConnections: 2});
	t.after(async () => {
		await client.close();
		server.close();
	});
	return client.send(createReservation('a', '1'), {fence: undefined, deadlineMs, signal: AbortSignal.timeout(deadlineMs)});
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
