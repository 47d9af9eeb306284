import {findPartition} from '@buckthornpoint/placement/partition-hash.js';
import type {Configuration, RequestRule, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import {
	createNotRun, type Header, type RequestFailure, type RoutedRequest,
} from '@buckthornpoint/types/requests.js';
import {err, ok, type Result} from 'neverthrow';
import {v7 as createUuid} from 'uuid';

const attemptsPerSending = 1000;
const fallbackDeadlineMs = 1000;
const ownHeaders = 'buckthornpoint-';

/** A caller's request before the router has chosen a node for it. */
export type ParsedRequest = Omit<RoutedRequest, 'target'> & {
	readonly divided: boolean;
};

/** A caller's HTTP request with its whole body. */
export type CallerRequest = {
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers: Headers;
	readonly body: Uint8Array;
};

/** Reads the headers of a caller's request, or says why it can't be routed. */
export function parseRequest(request: CallerRequest, configuration: Configuration): Result<ParsedRequest, RequestFailure> {
	const requestId = request.headers.get('buckthornpoint-request-id') ?? createUuid();
	const serviceName = request.headers.get('buckthornpoint-service');
	const service = configuration.services.find(({name}) => name === serviceName);
	if (service === undefined) {
		return err(createNotRun(requestId, 'service-unknown', `no service is called ${serviceName ?? '(header missing)'}`));
	}

	const key = request.headers.get('buckthornpoint-key') ?? (service.divided ? undefined : requestId);
	if (key === undefined) {
		return err(createNotRun(requestId, 'invalid-request', 'the service is divided by key, and the header buckthornpoint-key is missing'));
	}

	const rule = findRule(service, request);
	const deadline = request.headers.get('buckthornpoint-deadline-ms');
	const remainingMs = deadline === null ? rule?.defaultDeadlineMs ?? fallbackDeadlineMs : Number(deadline);
	if (!Number.isFinite(remainingMs) || remainingMs <= 0) {
		return err(createNotRun(requestId, 'invalid-request', `buckthornpoint-deadline-ms is not a positive number: ${deadline ?? ''}`));
	}

	return ok({
		requestId,
		attempt: attemptsPerSending,
		service: service.name,
		key,
		partition: findPartition(key, service.partitionCount),
		tenant: service.tenant,
		idempotent: rule?.idempotent ?? false,
		requestClass: rule?.requestClass ?? 'transactional',
		remainingMs,
		method: request.method,
		path: request.path,
		headers: listHeaders(request.headers),
		body: request.body,
		divided: service.divided,
	});
}

function findRule(service: ServiceConfiguration, request: CallerRequest): RequestRule | undefined {
	return service.rules.find(rule => (rule.method === '*' || rule.method === request.method) && request.path.startsWith(rule.pathPrefix));
}

function listHeaders(headers: Headers): readonly Header[] {
	return [...headers.entries()].filter(([name]) => !name.startsWith(ownHeaders));
}
