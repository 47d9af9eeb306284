import assert from 'node:assert/strict';
import test from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {RoutesFetch, RoutesSource, type RoutesCall} from '../src/routes-fetch.js';

const document = JSON.stringify(Array.from({length: 480}, (_, index) => ({
	name: `route-${index}`, prefix: `/x${index}/`, service: 'sklad', target: 0.2,
})));

type Fixture = {readonly fetch: RoutesFetch; readonly clock: ManualClock; readonly queriedPeers: string[]; readonly applied: string[]};

/** The node has version 3 of the document; nine of its ten peers have version 7. */
function openFetch(): Fixture {
	const clock = new ManualClock();
	const source = new RoutesSource();
	const queriedPeers: string[] = [];
	const applied: string[] = [];
	return {
		clock, queriedPeers, applied, fetch: new RoutesFetch({
			links: {
				async call(address, meta) {
					queriedPeers.push(address);
					return source.createAnswer(meta as RoutesCall, address === 'node-0' ? undefined : {version: 7, document}); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
				},
			},
			clock,
			random: new SeededRandom(2),
			listPeers: () => Array.from({length: 10}, (_, index) => `node-${index}`),
			getVersion: () => applied.length === 0 ? 3 : 7,
			apply(text) {
				applied.push(text);
			},
			onProblem(problem) {
				assert.equal(problem, '');
			},
		}),
	};
}

async function run(clock: ManualClock): Promise<void> {
	for (let step = 0; step < 100; step++) {
		clock.advance(50);
		await setImmediate();
	}
}

test('a node without the latest version of the operator\'s document fetches it once from another node', async () => {
	const {fetch, clock, queriedPeers, applied} = openFetch();
	fetch.request(7);
	fetch.request(7);
	await run(clock);
	fetch.request(7);
	await run(clock);
	assert.deepEqual(applied, [document]);
	assert.ok(queriedPeers.length < 5, queriedPeers.join(', '));
	fetch.close();
});

test('the number of queries for a version that no node has is bounded, and a new request starts over', async () => {
	const {fetch, clock, queriedPeers, applied} = openFetch();
	applied.push(document);
	fetch.request(8);
	await run(clock);
	const count = queriedPeers.length;
	assert.ok(count > 5 && count <= 20, `${count} calls`);
	fetch.request(8);
	await run(clock);
	assert.ok(queriedPeers.length > count);
	fetch.close();
});

test('a document with hundreds of routes is sent compressed', () => {
	const {packedRoutes} = new RoutesSource().createAnswer({routesAfter: 3}, {version: 7, document});
	assert.ok(packedRoutes!.length < document.length / 5, `${packedRoutes!.length} of ${document.length} bytes`);
	assert.deepEqual(new RoutesSource().createAnswer({routesAfter: 7}, {version: 7, document}), {});
});

test('a node that is known to have the version is queried first', async () => {
	const {fetch, clock, queriedPeers, applied} = openFetch();
	fetch.request(7, 'node-9');
	await run(clock);
	assert.deepEqual(queriedPeers, ['node-9']);
	assert.deepEqual(applied, [document]);
	fetch.close();
});
