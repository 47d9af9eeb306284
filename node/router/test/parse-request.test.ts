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

test('all findings about a request are reported at once', () => {
	const parsed = parseRequest(createRequest({
		'buckthornpoint-service': 'sklad', 'buckthornpoint-deadline-ms': '-1', 'buckthornpoint-class': 'urgent', 'buckthornpoint-attempt': 'x', 'buckthornpoint-request-id': 'order 7',
	}), configuration, wallMs);
	const failure = parsed._unsafeUnwrapErr();
	assert.deepEqual([failure.outcome, failure.reason], ['not-run', 'invalid-request']);
	for (const name of ['key', 'deadline-ms', 'class', 'attempt', 'request-id']) {
		assert.ok(failure.message.includes(`buckthornpoint-${name}`), failure.message);
	}
});

test('a class of higher priority than the rule allows, an unknown service and an id without a time are refused', () => {
	const cases: ReadonlyArray<Readonly<Record<string, string>>> = [
		{'buckthornpoint-service': 'fakturacia', 'buckthornpoint-class': 'interactive'},
		{'buckthornpoint-service': 'nothing'},
		{'buckthornpoint-service': 'fakturacia', 'buckthornpoint-request-id': 'order-7'},
	];
	const refusals = cases.map(headers => parseRequest(createRequest(headers), configuration, wallMs)._unsafeUnwrapErr().reason);
	assert.deepEqual(refusals, ['invalid-request', 'service-unknown', 'invalid-request']);
});

test('a request to a service that is not partitioned by key is placed by its id, regardless of its key, and a later attempt gets a larger number', () => {
	const headers = {'buckthornpoint-service': 'fakturacia', 'buckthornpoint-request-id': requestId, 'buckthornpoint-key': 'farm-3'};
	const first = parseRequest(createRequest(headers), configuration, wallMs)._unsafeUnwrap();
	const second = parseRequest(createRequest(headers), configuration, wallMs + 500)._unsafeUnwrap();
	assert.deepEqual([first.placementKey, first.key, first.isFirstCallerAttempt], [requestId, 'farm-3', false]);
	assert.ok(second.attempt > first.attempt);
});

test('an id that the node generates is proved to be new, and a first attempt of the caller is recorded as such', () => {
	const generated = parseRequest(createRequest({'buckthornpoint-service': 'fakturacia'}), configuration, wallMs)._unsafeUnwrap();
	const numbered = parseRequest(createRequest({
		'buckthornpoint-service': 'fakturacia', 'buckthornpoint-request-id': requestId, 'buckthornpoint-attempt': '1',
	}), configuration, wallMs)._unsafeUnwrap();
	assert.ok(generated.isProvedNew && numbered.isFirstCallerAttempt && !numbered.isProvedNew);
});
