import assert from 'node:assert/strict';
import {after, beforeEach, test} from 'node:test';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {request, type Dispatcher} from 'undici';
import {StandInBackendServer, type BackendServerOpts} from '../src/backend-server.js';

const clock = new SystemClock();
const workMs = 1000;
const opts: BackendServerOpts = {
	name: 'sklad-1', service: 'sklad', slots: 4, checksFence: true, incarnation: 'a', nodeOrigin: 'http://127.0.0.1:1', serviceTimeMs: 5, announceIntervalMs: 1000,
};
const servers: StandInBackendServer[] = [];
let server: StandInBackendServer;

beforeEach(async () => {
	server = new StandInBackendServer(clock, opts);
	servers.push(server);
	await server.open();
});

after(async () => {
	await Promise.all(servers.map(async opened => opened.close()));
});

async function sendRequest(id: string, headers: Readonly<Record<string, string>> = {}, signal?: AbortSignal): Promise<Dispatcher.ResponseData> {
	return request(`${server.origin}/lots`, {
		method: 'POST', body: id, headers: {'buckthornpoint-request-id': id, 'buckthornpoint-fence': '1.1', ...headers}, signal,
	});
}

/** Sends requests that run concurrently: the clock advances only after all of them have started. */
async function sendConcurrently(manual: ManualClock, ids: readonly string[]): Promise<void> {
	const expected = server.counts.started + ids.length;
	const responses = ids.map(async id => sendRequest(id));
	while (server.counts.started < expected) {
		await clock.sleep(1);
	}

	const {finished} = server.counts;
	while (server.counts.finished < finished + ids.length) {
		manual.advance(workMs);
		await clock.sleep(1);
	}

	await Promise.all(responses);
}

test('a request is echoed with its id and its execution is counted', async () => {
	const response = await sendRequest('r-1');
	assert.equal(response.headers['buckthornpoint-request-id'], 'r-1');
	assert.deepEqual(await response.body.json(), {server: 'sklad-1', path: '/lots', body: 'r-1'});
	assert.equal(server.countRuns('r-1'), 1);
});

test('requests with a stale fence, a passed deadline or no free slot are refused and never executed', async () => {
	await sendRequest('r-1', {'buckthornpoint-fence': '2.1'});
	const refusals = [await sendRequest('r-2', {'buckthornpoint-fence': '1.9'}), await sendRequest('r-3', {'buckthornpoint-deadline-ms': '0', 'buckthornpoint-fence': '2.1'})];
	await server.setFaults({slowdown: 10_000});
	const controller = new AbortController();
	const pending = Array.from({length: 4}, async (_, index) => sendRequest(`c-${index}`, {'buckthornpoint-fence': '2.1'}, controller.signal));
	while (server.counts.started < 5) {
		await clock.sleep(1);
	}

	refusals.push(await sendRequest('r-4', {'buckthornpoint-fence': '2.1'}));
	controller.abort();
	await Promise.allSettled(pending);
	assert.deepEqual(refusals.map(({headers}) => headers['buckthornpoint-refused']), ['stale-fence', 'deadline', 'overloaded']);
	assert.equal(server.countRuns('r-2') + server.countRuns('r-3') + server.countRuns('r-4'), 0);
	assert.equal(server.counts.started, 5);
});

test('a cold server counts requests beyond its capacity, warms up with requests within it, and turns cold on request', async () => {
	const manual = new ManualClock();
	server = new StandInBackendServer(manual, {...opts, coldStart: {concurrency: 1, requestsPerStep: 2, slowdown: 3}});
	servers.push(server);
	await server.open();
	await sendConcurrently(manual, ['a', 'b', 'c']);
	assert.equal(server.counts.coldOverruns, 2);
	for (let index = 0; index < 8; index++) {
		await sendConcurrently(manual, [`warm-${index}`]);
	}

	const warm = server.counts.coldOverruns;
	await sendConcurrently(manual, ['d', 'e', 'f']);
	assert.equal(server.counts.coldOverruns, warm);
	await request(`${server.origin}/buckthornpoint/cold`, {method: 'POST'});
	await sendConcurrently(manual, ['g', 'h']);
	assert.equal(server.counts.coldOverruns, warm + 1);
});

test('lost, truncated and crossed answers can be injected; the requests are executed before', async () => {
	await server.setFaults({loseAnswers: 1});
	await assert.rejects(sendRequest('lost'));
	await server.setFaults({loseAnswers: 0, cutAnswers: 1});
	const cut = await sendRequest('cut');
	await assert.rejects(cut.body.text());
	await server.setFaults({cutAnswers: 0, crossAnswers: 1});
	const crossed = await sendRequest('crossed');
	assert.equal(crossed.headers['buckthornpoint-request-id'], 'cut');
	assert.deepEqual(['lost', 'cut', 'crossed'].map(id => server.countRuns(id)), [1, 1, 1]);
});

test('a request whose caller disconnects frees its slot early', async () => {
	await server.setFaults({slowdown: 10_000});
	const controller = new AbortController();
	const responses = request(`${server.origin}/lots`, {headers: {'buckthornpoint-request-id': 'x', 'buckthornpoint-fence': '1.1'}, signal: controller.signal});
	while (server.counts.started === 0) {
		await clock.sleep(1);
	}

	controller.abort();
	await assert.rejects(responses);
	while (server.counts.cancelled === 0) {
		await clock.sleep(1);
	}
});

test('a malformed update of the faults is rejected and changes nothing', async () => {
	const response = await request(`${server.origin}/buckthornpoint/faults`, {method: 'PUT', body: '{"slowdown":"much"}'});
	assert.equal(response.statusCode, 400);
	const faults = await request(`${server.origin}/buckthornpoint/faults`);
	assert.equal((await faults.body.json() as {readonly slowdown: number}).slowdown, 1); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
});
