import assert from 'node:assert/strict';
import test from 'node:test';
import {BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {formatBackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import {PeerLinks} from '@buckthornpoint/peers/peer-links.js';
import {PeerServer} from '@buckthornpoint/peers/peer-server.js';
import {FleetView} from '../src/fleet-view.js';
import {NodeStatisticsTable} from '../src/node-statistics.js';
import {RequestRouter} from '../src/request-router.js';

type Peer = {readonly server: PeerServer; readonly address: string; count: number};

async function openPeer(clock: SystemClock): Promise<Peer> {
	const server = new PeerServer(clock, {
		onRequest() {
			peer.count++;
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

test('a stopped router sends no further attempt to another node when its links are closed', async t => {
	const clock = new SystemClock();
	const peers = await Promise.all([openPeer(clock), openPeer(clock), openPeer(clock)]);
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
	const nowMs = clock.readTimestamp().monotonicMs;
	const requests = 30;
	for (let index = 0; index < requests; index++) {
		router.route({
			requestId: `id-${index}`, method: 'GET', path: '/', headers: [], body: new Uint8Array(), key: undefined, service: 'sklad', route: 'r', callerService: 'c',
			priority: 1, isIdempotent: true, isDivided: false, maxAttempts: 3, endMs: nowMs + 5000, targetEndMs: nowMs + 1000, lateEndMs: nowMs + 3000,
		}, () => undefined);
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
