import type {Finding} from '@buckthornpoint/errors/findings.js';
import {readIssueTime} from '@buckthornpoint/outcomes/request-id.js';
import {findPolicy, mayRequestClass, parseRequestClass} from '@buckthornpoint/routing/find-rule.js';
import type {Configuration, RequestClass, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import {
	createNotRunFailure, type Header, type RequestFailure, type RoutedRequest,
} from '@buckthornpoint/types/requests.js';
import {err, ok, type Result} from 'neverthrow';
import {v7 as createUuid} from 'uuid';

/** How many attempt numbers are reserved for retries by nodes between two consecutive attempts of the caller. */
const nodeAttemptsPerCallerAttempt = 1000;
const maxCallerAttempts = 4_000_000;
const maxDeadlineMs = 600_000;
const maxKeyLength = 1024;
const maxRequestIdLength = 128;
const internalHeaderPrefix = 'buckthornpoint-';
const numberPattern = /^\d{1,9}$/v;
const requestIdPattern = /^[\w.:\-]+$/v;

/** A request from a caller, before a target node is chosen. */
export type ParsedRequest = Omit<RoutedRequest, 'target' | 'partition'> & {
	readonly service: string;
	readonly divided: boolean;
	/** The value hashed to choose the partition: the key, or the request id if the service is not partitioned by key. */
	readonly placementKey: string;
	/** Whether this is the first attempt with the id, or the caller states that the earlier attempts did not run. */
	readonly isFirstCallerAttempt: boolean;
};

/** HTTP request of a caller with its complete body. */
export type CallerRequest = {
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers: Headers;
	readonly body: Uint8Array;
};

/** Parses the headers of a caller's request, or returns a failure that lists all findings. */
export function parseRequest(request: CallerRequest, configuration: Configuration, wallMs: number): Result<ParsedRequest, RequestFailure> {
	const findings: Finding[] = [];
	const callerRequestId = request.headers.get('buckthornpoint-request-id');
	const requestId = callerRequestId ?? createUuid();
	const service = findService(request, configuration, findings);
	const policy = service === undefined ? undefined : findPolicy(service, request.method, request.path);
	const key = parseKey(request, service, findings);
	const callerAttempt = parseNumber(request, 'buckthornpoint-attempt', maxCallerAttempts, findings);
	const deadlineMs = parseNumber(request, 'buckthornpoint-deadline-ms', maxDeadlineMs, findings);
	const requestClass = parseClass(request, policy?.requestClass, findings);
	checkRequestId(requestId, policy?.idempotent ?? true, findings);
	if (service === undefined || policy === undefined || findings.length > 0) {
		return err(createFailure(requestId, findings));
	}

	const isProvedNew = callerRequestId === null || request.headers.get('buckthornpoint-earlier-outcome') === 'not-run';
	return ok({
		requestId,
		attempt: (callerAttempt ?? estimateCallerAttempt(requestId, wallMs)) * nodeAttemptsPerCallerAttempt,
		service: service.name,
		key: key ?? requestId,
		tenant: service.tenant,
		idempotent: policy.idempotent,
		requestClass: requestClass ?? policy.requestClass,
		remainingMs: deadlineMs ?? policy.defaultDeadlineMs,
		method: request.method,
		path: request.path,
		headers: listHeaders(request.headers),
		body: request.body,
		divided: service.divided,
		placementKey: service.divided ? key ?? requestId : requestId,
		isProvedNew,
		isFirstCallerAttempt: isProvedNew || callerAttempt === 1,
	});
}

/** Derives the number of an attempt that the caller did not number from the age of the request id in milliseconds, so later attempts get larger numbers. */
function estimateCallerAttempt(requestId: string, wallMs: number): number {
	const ageMs = wallMs - (readIssueTime(requestId) ?? wallMs);
	return Math.max(1, Math.min(maxCallerAttempts, Math.ceil(ageMs)));
}

function findService(request: CallerRequest, configuration: Configuration, findings: Finding[]): ServiceConfiguration | undefined {
	const name = request.headers.get('buckthornpoint-service');
	const service = configuration.services.find(candidate => candidate.name === name);
	if (name === null) {
		findings.push({code: 'ERR_HEADER_MISSING', message: 'the header buckthornpoint-service is missing'});
	} else if (service === undefined) {
		findings.push({code: 'ERR_SERVICE_UNKNOWN', message: `no service is called ${name}`});
	}

	return service;
}

function parseKey(request: CallerRequest, service: ServiceConfiguration | undefined, findings: Finding[]): string | undefined {
	const key = request.headers.get('buckthornpoint-key') ?? undefined;
	if (service?.divided === true && (key === undefined || key === '')) {
		findings.push({code: 'ERR_HEADER_MISSING', message: 'the service is divided by key, and the header buckthornpoint-key is missing'});
	}

	if (key !== undefined && key.length > maxKeyLength) {
		findings.push({code: 'ERR_HEADER_INVALID', message: `buckthornpoint-key is longer than ${maxKeyLength} characters`});
	}

	return key;
}

function parseNumber(request: CallerRequest, name: string, max: number, findings: Finding[]): number | undefined {
	const text = request.headers.get(name);
	if (text === null) {
		return undefined;
	}

	const value = numberPattern.test(text) ? Number(text) : 0;
	if (value < 1 || value > max) {
		findings.push({code: 'ERR_HEADER_INVALID', message: `${name} is not a whole number from 1 to ${max}: ${text}`});
	}

	return value;
}

function parseClass(request: CallerRequest, allowed: RequestClass | undefined, findings: Finding[]): RequestClass | undefined {
	const text = request.headers.get('buckthornpoint-class');
	if (text === null) {
		return undefined;
	}

	const requestedClass = parseRequestClass(text);
	if (requestedClass === undefined) {
		findings.push({code: 'ERR_HEADER_INVALID', message: `buckthornpoint-class names no class: ${text}`});
	} else if (allowed !== undefined && !mayRequestClass(requestedClass, allowed)) {
		findings.push({code: 'ERR_HEADER_INVALID', message: `buckthornpoint-class asks to be served before the class of the rule, ${allowed}: ${text}`});
	}

	return requestedClass;
}

function checkRequestId(requestId: string, isIdempotent: boolean, findings: Finding[]): void {
	if (requestId.length > maxRequestIdLength || !requestIdPattern.test(requestId)) {
		findings.push({code: 'ERR_HEADER_INVALID', message: `buckthornpoint-request-id is longer than ${maxRequestIdLength} characters, or has others than letters, digits and -_.:`});
	} else if (!isIdempotent && readIssueTime(requestId) === undefined) {
		findings.push({code: 'ERR_HEADER_INVALID', message: 'the id of a request that is not idempotent must be a UUIDv7 in lower case'});
	}
}

function createFailure(requestId: string, findings: readonly Finding[]): RequestFailure {
	const isUnknownService = findings.length === 1 && findings[0]?.code === 'ERR_SERVICE_UNKNOWN';
	const message = findings.map(finding => `${finding.code}: ${finding.message}`).join('; ');
	return createNotRunFailure(requestId, isUnknownService ? 'service-unknown' : 'invalid-request', message);
}

function listHeaders(headers: Headers): readonly Header[] {
	return [...headers.entries()].filter(([name]) => !name.startsWith(internalHeaderPrefix));
}
