import type {AccountIndex} from '@buckthornpoint/accounts/account-index.js';
import type {ClientAccount} from '@buckthornpoint/accounts/client-account.js';
import {readPresentedKey, type RawHeaders} from '@buckthornpoint/fleet/headers.js';
import type {Route} from '@buckthornpoint/routes/routes.js';

/** The account of a request, undefined for none, or why it must be refused. */
export type Identification = {readonly account: ClientAccount | undefined} | {readonly problem: string};

const keyProblems = {missing: 'the key is missing', malformed: 'the key is malformed', unknown: 'the key is unknown'} as const;

/** Identifies the account of a request by its key. Costs one hash if the request carries a key, and nothing without accounts. */
export function identifyAccount(raw: RawHeaders, route: Route, accounts: AccountIndex | undefined): Identification {
	if (accounts === undefined) {
		return {account: undefined};
	}

	const presented = readPresentedKey(raw);
	const account = presented.kind === 'key' ? accounts.findByKey(presented.key) : undefined;
	return account === undefined && route.isKeyExempt !== true
		? {problem: keyProblems[presented.kind === 'key' ? 'unknown' : presented.kind]}
		: {account};
}
