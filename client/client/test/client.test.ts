import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, test} from 'node:test';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import type {RoutingDocument} from '@buckthornpoint/types/routing-document.js';
import {createClient, type Client, type ClientRequest} from '../src/client.js';
import {chooseNode} from '../src/choose-node.js';

type Reply = {readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly body: string};
type FakeNode = {readonly origin: string; readonly ids: string[]};

const servers: Server[] = [];
const clients: Client[] = [];
/** Long enough that no test times out on a machine that is overloaded for seconds; none of these tests is about time. */
const generousTimeoutMs = 60_000;

const request: ClientRequest = {
	service: 'sklad', key: 'lot-1', method: 'POST', path: '/lots', body: 'x', deadlineMs: generousTimeoutMs,
};

afterEach(async () => {
	await Promise.all(clients.splice(0).map(async client => client.close()));
	for (const server of servers.splice(0)) {
		server.close();
		server.closeAllConnections();
	}
});

async function startNode(readDocument: () => RoutingDocument, readReply: (requestId: string) => Reply): Promise<FakeNode> {
	const ids: string[] = [];
	const server = createServer((incoming, outgoing) => {
		if (incoming.url === '/v1/routing') {
			outgoing.end(JSON.stringify(readDocument()));
			return;
		}

		const requestId = String(incoming.headers['buckthornpoint-request-id']);
		ids.push(requestId);
		const {status, headers, body} = readReply(requestId);
		outgoing.writeHead(status, {'buckthornpoint-request-id': requestId, ...headers}).end(body);
	});
	servers.push(server);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, ids}; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

function createDocument(version: number, owner: string, origins: Readonly<Record<string, string>>, divided = true): RoutingDocument {
	const vmIds = Object.keys(origins);
	return {
		configurationVersion: 1,
		services: [{
			name: 'sklad', tenant: 't', divided, partitionCount: 1, maxConnections: 1, coldConcurrency: 1, rules: [],
		}],
		map: {version, vmIds, placements: [{service: 'sklad', owners: [vmIds.indexOf(owner)], exceptions: []}]},
		members: vmIds.map(vmId => ({vmId, incarnation: '1', callerOrigin: origins[vmId] ?? ''})),
	};
}

function openClient(origin: string): Client {
	const client = createClient({
		nodes: [origin], clock: new SystemClock(), random: new SeededRandom(1), routingTimeoutMs: generousTimeoutMs,
	});
	clients.push(client);
	return client;
}

function createFailureReply(outcome: string, reason: string): Reply {
	return {status: 503, headers: {'buckthornpoint-outcome': outcome}, body: JSON.stringify({reason, message: reason})};
}

test('a request that a former owner did not run is sent to the new owner under the same id', async () => {
	let document: RoutingDocument;
	const first = await startNode(() => document, () => {
		document = createDocument(2, 'b', {a: first.origin, b: second.origin});
		return createFailureReply('not-run', 'lease-not-held');
	});
	const second = await startNode(() => document, () => ({status: 200, headers: {}, body: 'done'}));
	document = createDocument(1, 'a', {a: first.origin, b: second.origin});
	const result = await openClient(first.origin).request(request);
	assert.equal(result.kind, 'answer');
	assert.deepEqual(second.ids, first.ids);
});

test('a request whose outcome is unknown is not sent again', async () => {
	const node = await startNode(() => createDocument(1, 'a', {a: node.origin}), () => createFailureReply('outcome-unknown', 'lost-answer'));
	const result = await openClient(node.origin).request(request);
	assert.ok(result.kind === 'failure' && result.outcome === 'outcome-unknown');
	assert.equal(node.ids.length, 1);
});

test('an answer to another request is dropped', async () => {
	const node = await startNode(() => createDocument(1, 'a', {a: node.origin}), () => ({status: 200, headers: {'buckthornpoint-request-id': 'other'}, body: 'theirs'}));
	const result = await openClient(node.origin).request(request);
	assert.ok(result.kind === 'failure' && result.outcome === 'outcome-unknown');
});

test('requests without a key, to an unknown service or to an unreachable node fail as not run', async () => {
	const node = await startNode(() => createDocument(1, 'a', {a: 'http://127.0.0.1:1'}), () => ({status: 200, headers: {}, body: ''}));
	const client = openClient(node.origin);
	const results = [await client.request({...request, key: undefined}), await client.request({...request, service: 'x'}), await client.request(request)];
	assert.ok(results.every(result => result.kind === 'failure' && result.outcome === 'not-run'));
	assert.deepEqual(results.map(result => result.kind === 'failure' ? result.reason : ''), ['invalid-request', 'service-unknown', 'peer-unreachable']);
});

test('an idempotent request to an undivided service goes to the less loaded of two owners, a hot key to its own owner', () => {
	const divided = createDocument(1, 'a', {a: 'A', b: 'B'});
	const [service] = divided.services;
	assert.ok(service);
	const placement = {service: 'sklad', owners: [0, 1], exceptions: [{key: 'hot', owner: 'b'}]};
	const document = {...divided, map: {...divided.map, placements: [placement]}};
	const random = new SeededRandom(3);
	const chosen = Array.from({length: 50}, () => chooseNode({
		requestId: 'r', service: {...service, divided: false}, key: undefined, idempotent: true,
	}, document, origin => origin === 'A' ? 5 : 0, random));
	assert.ok(chosen.filter(origin => origin === 'B').length > 30);
	assert.equal(chooseNode({
		requestId: 'r', service, key: 'hot', idempotent: false,
	}, document, () => 0, random), 'B');
});
