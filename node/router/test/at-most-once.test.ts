import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {CountingBackend} from './counting-backend.js';
import {FaultBench} from './fault-bench.js';

const requestCount = 10_000;
const callerCount = 96;
const maxCallerAttempts = 3;
const requestsPerFault = 125;
const maxPauseMs = 8;
const delayedArrivalMs = 60;
const vmIds = ['vm-1', 'vm-2', 'vm-3'];

type OutcomeCounts = {answered: number; unknown: number; readonly notRunIds: string[]};

test('with lost and delayed messages, restarts and handovers, each of 10,000 print jobs runs at most once and none reported as not-run has run', async context => {
	const random = new SeededRandom(11);
	const backend = new CountingBackend(random, {refusals: 0.03, lostAnswers: 0.02});
	const bench = new FaultBench({
		backendOrigin: await backend.open(),
		random,
		faults: {
			lostRequests: 0.03, delayedRequests: 0.03, lostAnswers: 0.05, lostQueries: 0.1,
		},
	});
	const counts: OutcomeCounts = {answered: 0, unknown: 0, notRunIds: []};
	let serial = 0;
	let fault = Promise.resolve();
	const callNext = async (): Promise<void> => {
		while (serial < requestCount) {
			const requestId = createId(bench.clock.readTimestamp().wallMs, serial++);
			if (serial % requestsPerFault === 0) {
				fault = applyNextFault(fault, bench, random);
				await fault;
			}

			await sendUntilAnswered(bench, backend, {requestId, random, counts});
		}
	};

	await Promise.all(Array.from({length: callerCount}, callNext));
	await bench.clock.sleep(delayedArrivalMs);
	await bench.close();
	await backend.close();
	const reported = `answered ${counts.answered}, not-run ${counts.notRunIds.length}, unknown ${counts.unknown}`;
	assert.deepEqual(counts.notRunIds.filter(requestId => backend.runs.has(requestId)), []);
	assert.deepEqual([...backend.runs].filter(([, runs]) => runs > 1), []);
	assert.equal(counts.answered + counts.notRunIds.length + counts.unknown, requestCount);
	context.diagnostic(reported);
	assert.ok(counts.answered > requestCount / 2, reported);
});

type Call = {readonly requestId: string; readonly random: SeededRandom; readonly counts: OutcomeCounts};

/** Sends the same request id through random nodes until it is answered or the attempts are used up. */
async function sendUntilAnswered(bench: FaultBench, backend: CountingBackend, call: Call): Promise<void> {
	const {requestId, random, counts} = call;
	let earlierOutcome = 'not-run';
	for (let attempt = 1; attempt <= maxCallerAttempts; attempt++) {
		const result = await bench.send(vmIds[random.generateIntegerBelow(vmIds.length)] ?? '', {
			'buckthornpoint-request-id': requestId, 'buckthornpoint-attempt': String(attempt), 'buckthornpoint-earlier-outcome': earlierOutcome,
		});
		if (result.kind === 'answer') {
			assert.equal(backend.runs.get(requestId), 1);
			assert.equal(new TextDecoder().decode(result.body), requestId);
			counts.answered++;
			return;
		}

		await bench.clock.sleep(random.generateIntegerBelow(maxPauseMs));
		earlierOutcome = result.outcome === 'not-run' ? earlierOutcome : 'outcome-unknown';
		if (result.outcome === 'not-run') {
			assert.equal(backend.runs.get(requestId), undefined, `${requestId} was reported not-run (${result.reason}) and ran`);
		}
	}

	if (earlierOutcome === 'not-run') {
		counts.notRunIds.push(requestId);
	} else {
		counts.unknown++;
	}
}

async function applyNextFault(earlier: Promise<void>, bench: FaultBench, random: SeededRandom): Promise<void> {
	await earlier;
	await applyFault(bench, random);
}

async function applyFault(bench: FaultBench, random: SeededRandom): Promise<void> {
	const owners = bench.listOwners();
	const from = owners[random.generateIntegerBelow(owners.length)] ?? 'vm-1';
	const to = vmIds[(vmIds.indexOf(from) + 1 + random.generateIntegerBelow(2)) % vmIds.length] ?? 'vm-1';
	await (random.generateIntegerBelow(4) === 0 ? bench.replaceNode(from, to) : bench.move(from, to));
}

function createId(wallMs: number, serial: number): string {
	const time = Math.floor(wallMs).toString(16).padStart(12, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${serial.toString(16).padStart(12, '0')}`;
}
