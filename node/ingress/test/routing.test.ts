import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import {createNotRun, type Outcome} from '@buckthornpoint/backend-link/outcome.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {formatBackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import {PeerLinks} from '@buckthornpoint/peers/peer-links.js';
import {PeerServer} from '@buckthornpoint/peers/peer-server.js';
import {FleetView} from '../src/fleet-view.js';
import {NodeStatisticsTable} from '../src/node-statistics.js';
import {encodeOutcome} from '../src/owner-messages.js';
import {RequestRouter} from '../src/request-router.js';
import type {RoutedRequest} from '../src/routing.js';

type Peer = {readonly server: PeerServer; readonly address: string; count: number};

async function openPeer(clock: SystemClock, answer?: Outcome): Promise<Peer> {
	const server = new PeerServer(clock, {
		onRequest(_received, reply) {
			peer.count++;
			if (answer !== undefined) {
				const encoded = encodeOutcome(answer, {
					outstanding: 0, slots: 4, serviceMs: 10, slowness: 1, failureShare: 0,
				});
				reply(encoded.meta, encoded.body);
			}

			return () => undefined;
		},
		onCall(_meta, reply) {
			reply({});
		},
		onNotice: () => undefined,
		onProblem: () => undefined,
	});
	await server.listen('127.0.0.1', 0);
	const peer: Peer = {server, address: `127.0.0.1:${server.getPort()}`, count: 0};
	return peer;
}

async function openRouter(t: TestContext, clock: SystemClock, peers: readonly Peer[]): Promise<{readonly router: RequestRouter; readonly links: PeerLinks}> {
	const links = new PeerLinks({
		clock, name: 'node', onUnreachable: () => undefined, onDisconnect: () => undefined, onProblem: () => undefined,
	});
	t.after(() => {
		links.close();
		for (const {server} of peers) {
			server.close();
		}
	});
	await Promise.all(peers.map(async ({address}) => links.call(address, 'hello', 1000)));
	const view = new FleetView();
	view.applyReply({
		epoch: 1,
		leaseMs: 0,
		assignmentVersion: '',
		directoryVersion: 'a',
		directory: peers.map(({address}, index) => ({
			vmId: `vm-${index}`, address, failureDomain: 'a', isStopping: false,
			backend: {
				key: formatBackendInstanceKey(`i-${index}`, 1), service: 'sklad', state: 'ready', slots: 4, isCold: false,
			},
		})),
		isDirectoryComplete: true,
		isStoreReached: true,
	});
	const router = new RequestRouter({
		ownAddress: '127.0.0.1:1',
		view,
		gate: new BackendGate({
			host: '127.0.0.1', port: 1, clock, isHeld: () => false, onServerEnded: () => undefined, onCold: () => undefined, onLimitChange: () => undefined, onLeaving: () => undefined,
		}),
		links,
		failureDomain: 'a',
		statistics: new NodeStatisticsTable(),
		leavingSendMs: 1000,
		clock,
		random: new SeededRandom(1),
		retryBudget: {ratio: 1, getMaxTokens: () => 100},
	});
	return {router, links};
}

function createRequest(requestId: string, nowMs: number): RoutedRequest {
	return {
		requestId, method: 'GET', path: '/', headers: [], body: new Uint8Array(), key: undefined, service: 'sklad', route: 'r', callerService: 'c',
		priority: 1, isIdempotent: true, isDivided: false, maxAttempts: 3, endMs: nowMs + 5000, targetEndMs: nowMs + 1000, lateEndMs: nowMs + 3000,
	};
}

test('a stopped router sends no further attempt to another node when its links are closed', async t => {
	const clock = new SystemClock();
	const peers = await Promise.all([openPeer(clock), openPeer(clock), openPeer(clock)]);
	const {router, links} = await openRouter(t, clock, peers);
	const nowMs = clock.readTimestamp().monotonicMs;
	const requests = 30;
	for (let index = 0; index < requests; index++) {
		router.route(createRequest(`id-${index}`, nowMs), () => undefined);
	}

	const countAll = (): number => peers.reduce((sum, {count}) => sum + count, 0);
	for (let waitedMs = 0; countAll() < requests && waitedMs < 1000; waitedMs += 10) {
		await clock.sleep(10);
	}

	assert.equal(countAll(), requests);
	router.stop();
	links.close();
	await clock.sleep(100);
	assert.equal(countAll(), requests);
});

test('a request reaches a server with room although all other servers of the service refuse it because of their limit', async t => {
	const clock = new SystemClock();
	const limited = createNotRun('limited', 400);
	const answer: Outcome = {
		kind: 'answer', status: 200, headers: [], body: new Uint8Array(), isFramed: true,
	};
	const peers = await Promise.all([limited, limited, limited, limited, limited, answer].map(async outcome => openPeer(clock, outcome)));
	const {router} = await openRouter(t, clock, peers);
	const nowMs = clock.readTimestamp().monotonicMs;
	const outcomes = await Promise.all(Array.from({length: 30}, async (_, index) => new Promise<Outcome>(resolve => {
		router.route(createRequest(`id-${index}`, nowMs), ({outcome}) => {
			resolve(outcome);
		});
	})));
	assert.deepEqual(outcomes.map(({kind}) => kind), Array.from({length: 30}, () => 'answer'));
});
