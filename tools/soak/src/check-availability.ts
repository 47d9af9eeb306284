import {isSuccess} from './check-request.js';
import type {RequestRecord} from './requests.js';

/** Number of adjacent keys that are checked together. */
const keyBandLength = 65_536 / 16;

/** Minimum share of successful requests for the fleet to count as available. */
const minSuccessShare = 0.95;

/**
 * Finds nodes, routes and bands of keys without a successful request, and a low share of successes; undefined if there is
 * no such problem. Requests that have not ended yet count as failed.
 */
export function checkAvailability(records: readonly RequestRecord[], nodes: number): string | undefined {
	const served = records.filter(record => isSuccess(record.end));
	const servedParts = new Set(served.flatMap(record => listParts(record)));
	const requiredParts = new Set([
		...Array.from({length: nodes}, (_, node) => formatNode(node)),
		...records.flatMap(record => listParts(record)),
	]);
	const problems = [...requiredParts].filter(part => !servedParts.has(part));
	if (served.length < minSuccessShare * records.length) {
		problems.push(`${records.length - served.length} of ${records.length} requests`);
	}

	return problems.length === 0 ? undefined : problems.join(', ');
}

/** Lists the parts of the fleet that a request tests. All nodes are required; routes and keys only if requests were sent for them. */
function listParts({request: {entry, route, key}}: RequestRecord): readonly string[] {
	return [
		formatNode(entry),
		`${route.name} at node ${entry}`,
		...key === undefined ? [] : [`keys from ${Math.floor(key / keyBandLength) * keyBandLength}`],
	];
}

function formatNode(node: number): string {
	return `node ${node}`;
}
