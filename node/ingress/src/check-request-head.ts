import type {IncomingMessage} from 'node:http';
import type {AccountIndex} from '@buckthornpoint/accounts/account-index.js';
import type {CallerHeaders} from '@buckthornpoint/fleet/headers.js';
import type {Route, RouteIndex, RouteTable} from '@buckthornpoint/routes/routes.js';
import type {AcceptedRequest} from './create-routed-request.js';
import {identifyAccount} from './identify-account.js';
import {nodeStatuses} from './node-statuses.js';

/** The configuration in force. */
export type ConfigurationInForce = {
	readonly table: RouteTable;
	readonly routeIndex: RouteIndex;
	readonly accountIndex: AccountIndex | undefined;
};

/** A request whose head is in order, a problem with its key, or the status that rejects it. */
export type CheckedHead = AcceptedRequest | {readonly route: Route; readonly keyProblem: string} | {readonly status: number; readonly reason: string};

/** Checks the head of a request against the configuration, before its body is read. */
export function checkRequestHead(incoming: IncomingMessage, headers: CallerHeaders, {table, routeIndex, accountIndex}: ConfigurationInForce): CheckedHead {
	const {host = ''} = incoming.headers;
	const path = incoming.url ?? '/';
	const route = routeIndex.findRoute(host, path);
	if (route === undefined) {
		return {status: nodeStatuses.notFound, reason: `no route for ${host} ${incoming.url ?? ''}`};
	}

	// No key that is longer than the operator's limit is hashed.
	const isTooLong = incoming.rawHeaders.join('').length > table.limits.headerBytes;
	const identified = isTooLong ? {account: undefined} : identifyAccount(incoming.rawHeaders, route, accountIndex);
	if ('problem' in identified) {
		return {route, keyProblem: identified.problem};
	}

	if (headers.requestId === undefined) {
		return {status: nodeStatuses.badRequest, reason: 'the request has no id'};
	}

	return isTooLong ? {status: nodeStatuses.headersTooLarge, reason: 'the headers are too long'} : {table, route, account: identified.account};
}
