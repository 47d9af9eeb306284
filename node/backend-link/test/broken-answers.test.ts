// A server in trouble sends bytes that are no answer by the grammar of HTTP/1.1. Callers got some of them as complete answers, with
// lines passed on that are no fields, or with a body that was not the server's. Each row of the tables is one departure or one
// unusual legal answer, sent by a stand-in over a real connection.
import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {departures} from '@buckthornpoint/answers/departures.js';
import {legalAnswers} from '@buckthornpoint/answers/legal-answers.js';
import {openRawServer, type RawAnswer} from '@buckthornpoint/answers/raw-server.js';
import {formatAnswer, readRequestHead} from '@buckthornpoint/fleet-stand-in/stand-in-messages.js';
import type {BackendGate} from '../src/backend-gate.js';
import type {Outcome} from '../src/outcome.js';
import {openGate, sendRequest} from './open-gate.js';

const remainingMs = 5000;

type Fixture = {readonly gate: BackendGate; readonly problems: string[]};

async function openFixture(t: TestContext, answer: RawAnswer): Promise<Fixture> {
	const problems: string[] = [];
	const server = await openRawServer(answer);
	t.after(() => {
		server.close();
	});
	const gate = openGate(t, server.port, {
		onInvalidAnswer(requestId, problem) {
			problems.push(`${requestId}: ${problem}`);
		},
	});
	return {gate, problems};
}

async function run(gate: BackendGate, requestId: string): Promise<Outcome> {
	return sendRequest(gate, {requestId, body: new Uint8Array(), remainingMs});
}

/** The field lines that a server's own answer to a request has. */
function formatFields(request: string): string {
	const {requestId = ''} = readRequestHead(request);
	return formatAnswer(requestId, '', {isFramed: false}).replace(/^[^\n]*\n/v, '').replace(/\r\n$/v, '');
}

const refusalField = 'Buckthornpoint-Not-Executed: 1\r\n';

for (const {name, format, needsEnd} of departures) {
	test(`${name}: the request has no answer and may have run`, async t => {
		const {gate} = await openFixture(t, (socket, request) => {
			const bytes = format(formatFields(request));
			socket.end(bytes, 'latin1');
		});
		assert.deepEqual(await run(gate, 'a'), {kind: 'unknown', reason: 'connection-lost'});
	});

	test(`${name}, in a refusal: it does not prove that the request did not run`, async t => {
		const {gate} = await openFixture(t, (socket, request) => {
			const bytes = format(formatFields(request) + refusalField);
			socket.end(bytes, 'latin1');
		});
		assert.deepEqual(await run(gate, 'a'), {kind: 'unknown', reason: 'connection-lost'});
	});

	if (needsEnd !== true) {
		test(`${name}, on a connection that stays open: the caller does not wait for its deadline`, async t => {
			const {gate, problems} = await openFixture(t, (socket, request) => socket.write(format(formatFields(request)), 'latin1'));
			assert.deepEqual(await run(gate, 'a'), {kind: 'unknown', reason: 'connection-lost'});
			assert.equal(problems.length, 1);
			assert.match(problems[0] ?? '', /^a: /v);
		});
	}
}

for (const legal of legalAnswers) {
	test(`a legal answer is served: ${legal.name}`, async t => {
		const {gate} = await openFixture(t, (socket, request) => {
			const bytes = legal.format(formatFields(request));
			if (legal.endsConnection) {
				socket.end(bytes, 'latin1');
			} else {
				socket.write(bytes, 'latin1');
			}
		});
		// The second request shows that the connection carries further requests, or is replaced.
		for (const id of ['a', 'b']) {
			const outcome = await run(gate, id);
			assert.deepEqual(outcome.kind === 'answer' ? [outcome.status, String(outcome.body)] : outcome, [legal.status, legal.body]);
		}
	});
}

test('an answer that names two requests reaches the caller of neither', async t => {
	const {gate} = await openFixture(t, (socket, request) => {
		const {requestId = ''} = readRequestHead(request);
		socket.end(formatAnswer('other', 'body', {headers: `Buckthornpoint-Request-Id: ${requestId}\r\n`}));
	});
	assert.deepEqual(await run(gate, 'a'), {kind: 'unknown', reason: 'connection-lost'});
});
