import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Configuration, emptyConfiguration} from '@buckthornpoint/types/configuration.js';
import {parseRequest, type CallerRequest} from '../src/parse-request.js';

const wallMs = 0x01_8B_CF_E5_68_00;
const requestId = '018bcfe5-6800-7000-8000-000000000001';
const configuration: Configuration = {
	...emptyConfiguration,
	services: ['sklad', 'fakturacia'].map(name => ({
		name, tenant: 'medoplech', divided: name === 'sklad', partitionCount: 16, maxConnections: 110, coldConcurrency: 4, rules: [],
	})),
};

function createRequest(headers: Readonly<Record<string, string>>): CallerRequest {
	return {
		method: 'POST', path: '/lots', headers: new Headers(headers), body: new Uint8Array(),
	};
}

test('all faults of a request are reported at once', () => {
	const parsed = parseRequest(createRequest({
		'buckthornpoint-service': 'sklad', 'buckthornpoint-deadline-ms': '-1', 'buckthornpoint-class': 'urgent', 'buckthornpoint-attempt': 'x', 'buckthornpoint-request-id': 'order 7',
	}), configuration, wallMs);
	const failure = parsed._unsafeUnwrapErr();
	assert.deepEqual([failure.outcome, failure.reason], ['not-run', 'invalid-request']);
	for (const name of ['key', 'deadline-ms', 'class', 'attempt', 'request-id']) {
		assert.ok(failure.message.includes(`buckthornpoint-${name}`), failure.message);
	}
});

test('a class before that of the rule, an unknown service and an id that tells no time are refused', () => {
	const cases: ReadonlyArray<Readonly<Record<string, string>>> = [
		{'buckthornpoint-service': 'fakturacia', 'buckthornpoint-class': 'interactive'},
		{'buckthornpoint-service': 'nothing'},
		{'buckthornpoint-service': 'fakturacia', 'buckthornpoint-request-id': 'order-7'},
	];
	const refusals = cases.map(headers => parseRequest(createRequest(headers), configuration, wallMs)._unsafeUnwrapErr().reason);
	assert.deepEqual(refusals, ['invalid-request', 'service-unknown', 'invalid-request']);
});

test('a request of an undivided service is placed by its id, whatever its key, and a later sending gets a larger number', () => {
	const headers = {'buckthornpoint-service': 'fakturacia', 'buckthornpoint-request-id': requestId, 'buckthornpoint-key': 'farm-3'};
	const first = parseRequest(createRequest(headers), configuration, wallMs)._unsafeUnwrap();
	const second = parseRequest(createRequest(headers), configuration, wallMs + 500)._unsafeUnwrap();
	assert.deepEqual([first.placementKey, first.key, first.isFirstSending], [requestId, 'farm-3', false]);
	assert.ok(second.attempt > first.attempt);
});

test('an id that the node draws, or that the caller sends for the first time, is proved to be new', () => {
	const drawn = parseRequest(createRequest({'buckthornpoint-service': 'fakturacia'}), configuration, wallMs)._unsafeUnwrap();
	const numbered = parseRequest(createRequest({
		'buckthornpoint-service': 'fakturacia', 'buckthornpoint-request-id': requestId, 'buckthornpoint-attempt': '1',
	}), configuration, wallMs)._unsafeUnwrap();
	assert.ok(drawn.isProvedNew && numbered.isFirstSending && !numbered.isProvedNew);
});
