import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {type ServiceConfiguration, emptyConfiguration} from '@buckthornpoint/types/configuration.js';
import type {Member, RoutingTable} from '@buckthornpoint/types/membership.js';
import fc from 'fast-check';
import {BackendStatistics} from '../src/backend-statistics.js';
import {chooseBackend} from '../src/choose-backend.js';
import {findDestination, listEligibleMembers} from '../src/find-owner.js';
import {fallbackPolicy, findPolicy, mayRequestClass} from '../src/find-rule.js';

const service: ServiceConfiguration = {
	name: 'katalogus', tenant: 'kartonpont', divided: true, partitionCount: 2, maxConnections: 100, coldConcurrency: 4, rules: [
		{
			method: 'GET', pathPrefix: '/designs', idempotent: true, requestClass: 'interactive', defaultDeadlineMs: 300,
		},
	],
};

function createMember(vmId: string, changes: Partial<Member> = {}): Member {
	return {
		vmId,
		incarnation: vmId,
		failureDomain: 'fd-1',
		phase: 'active',
		callerOrigin: vmId,
		peerOrigin: vmId,
		backendServer: {
			name: vmId, service: 'katalogus', origin: vmId, slots: 18, checksFence: false, incarnation: vmId, leaving: false,
		},
		...changes,
	};
}

function chooseMany(statistics: BackendStatistics, candidates: readonly string[]): ReadonlyMap<string, number> {
	const random = new SeededRandom(2);
	const counts = new Map<string, number>();
	for (let index = 0; index < 10_000; index++) {
		const vmId = chooseBackend({candidates, statistics, random}) ?? '';
		counts.set(vmId, (counts.get(vmId) ?? 0) + 1);
	}

	return counts;
}

test('a request without a rule is not idempotent, and a caller may only request the same or a lower class', () => {
	assert.equal(findPolicy(service, 'POST', '/designs/7'), fallbackPolicy);
	assert.equal(findPolicy(service, 'GET', '/designs?page=2').idempotent, true);
	assert.equal(findPolicy(service, 'GET', '/prices?from=/designs').idempotent, false);
	assert.ok(mayRequestClass('service-to-service', 'interactive') && !mayRequestClass('interactive', 'transactional'));
});

test('a key exception has its own owner and partition', () => {
	const table: RoutingTable = {
		map: {version: 1, vmIds: ['a', 'b'], placements: [{service: 'katalogus', owners: [0, 0], exceptions: [{key: 'hot', owner: 'b'}]}]}, members: [createMember('a'), createMember('b')],
	};
	const hot = findDestination(table, service, 'hot');
	assert.deepEqual([hot.partition, hot.owner?.vmId], [2, 'b']);
	assert.equal(findDestination(table, service, 'other').owner?.vmId, 'a');
});

test('no new requests go to a VM that is leaving, stopping, dead or in a failure domain that is out', () => {
	const leaving = createMember('c');
	const members = [
		createMember('a'),
		createMember('b', {phase: 'leaving'}),
		{...leaving, backendServer: {...leaving.backendServer!, leaving: true}},
		createMember('d', {failureDomain: 'fd-2'}),
		createMember('e'),
		createMember('f'),
	];
	const configuration = {
		...emptyConfiguration, failureDomains: [{name: 'fd-2', out: true}], stoppingVms: ['e'], deadVms: ['f'],
	};
	const table = {map: {version: 1, vmIds: [], placements: []}, members};
	assert.deepEqual(listEligibleMembers(table, configuration, 'katalogus').map(({vmId}) => vmId), ['a']);
});

test('a straggler gets only probe requests, and gets its share back when it answers quickly again', () => {
	const statistics = new BackendStatistics();
	const candidates = ['a', 'b', 'c', 'd'];
	for (const vmId of candidates) {
		statistics.recordStart(vmId);
		statistics.recordEnd(vmId, vmId === 'd' ? 100 : 10, 'answered');
	}

	const slow = chooseMany(statistics, candidates).get('d') ?? 0;
	assert.ok(slow > 0 && slow < 150, `${slow}`);
	for (let answer = 0; answer < 40; answer++) {
		statistics.recordEnd('d', 10, 'answered');
	}

	assert.ok((chooseMany(statistics, candidates).get('d') ?? 0) > 1000);
});

test('for any latencies, one of the candidates is chosen', () => {
	const latencies = fc.array(fc.double({min: 0, max: 10_000, noNaN: true}), {minLength: 1, maxLength: 12});
	fc.assert(fc.property(latencies, latenciesMs => {
		const statistics = new BackendStatistics();
		const candidates = latenciesMs.map((latencyMs, index) => {
			statistics.recordEnd(`vm-${index}`, latencyMs, 'answered');
			return `vm-${index}`;
		});
		const random = new SeededRandom(4);
		assert.ok(candidates.includes(chooseBackend({candidates, statistics, random}) ?? ''));
	}), {seed: 9, numRuns: 200});
});
