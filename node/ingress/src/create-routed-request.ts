import type {IncomingMessage} from 'node:http';
import type {ClientAccount} from '@buckthornpoint/accounts/client-account.js';
import {selectAccountRequestHeaders, selectForwardedRequestHeaders, type CallerHeaders} from '@buckthornpoint/fleet/headers.js';
import type {Body} from '@buckthornpoint/frames/body-blocks.js';
import type {Route, RouteTable} from '@buckthornpoint/routes/routes.js';
import type {RoutedRequest} from './routing.js';

/** A caller's request with its complete body. */
export type IncomingRequest = {
	readonly incoming: IncomingMessage;
	readonly headers: CallerHeaders;
	/** Time of arrival on the node's clock. */
	readonly arrivedMs: number;
	readonly body: Body;
};

/** What was decided about a request before its body is read, by the configuration in force then. */
export type AcceptedRequest = {
	readonly table: RouteTable;
	readonly route: Route;
	/** The account of the caller, if the configuration has accounts and the request carries the key of one. */
	readonly account: ClientAccount | undefined;
};

/** Routing decisions for a request. */
export type RoutingDecision = AcceptedRequest & {
	readonly service: string;
	/** The service that sent the request. */
	readonly callerService: string;
	/** Estimated time since the caller's first attempt. */
	readonly ageMs: number;
	/** The same with its noise; undefined if the caller states no deadline. */
	readonly exactAgeMs?: number | undefined;
};

/** Returns the priority of a request: that of its account, if it has one, takes precedence over that of the route. */
export function getPriority({route, account}: AcceptedRequest): number {
	return account?.priority ?? route.priority;
}

/** Creates the request to be routed, with its deadline and its target times. */
export function createRoutedRequest({incoming, headers, arrivedMs, body}: IncomingRequest, decision: RoutingDecision): RoutedRequest {
	const {table, route, service, account, callerService, ageMs, exactAgeMs} = decision;
	const timeoutMs = Math.min(headers.deadlineMs ?? route.timeoutMs, route.timeoutMs);
	return {
		requestId: headers.requestId ?? '',
		method: incoming.method ?? 'GET',
		path: incoming.url ?? '/',
		headers: (table.accounts ?? []).length === 0 ? selectForwardedRequestHeaders(incoming.rawHeaders) : selectAccountRequestHeaders(incoming.rawHeaders, account?.name),
		body,
		key: headers.key,
		service,
		route: route.name,
		callerService,
		priority: getPriority(decision),
		isIdempotent: route.kind === 'idempotent',
		isDivided: table.services.get(service)?.isDivided ?? false,
		maxAttempts: route.maxAttempts,
		endMs: arrivedMs + timeoutMs,
		targetEndMs: arrivedMs + Math.min(timeoutMs, route.targetMs - ageMs),
		lateEndMs: arrivedMs + Math.min(timeoutMs, route.targetMs),
		account: account?.name,
		ageMs: exactAgeMs,
	};
}
