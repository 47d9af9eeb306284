import assert from 'node:assert/strict';
import {createServer} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import test, {type TestContext} from 'node:test';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {createCallerHeaders, formatAnswer, readRequestHead} from '@buckthornpoint/fleet-stand-in/stand-in-messages.js';
import {formatBackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import {BackendGate} from '../src/backend-gate.js';
import type {Outcome} from '../src/outcome.js';

/** The users' rule: at most 1.5 times what the limit allows in any 4 s, and 5 requests more. */
const ruleWindowMs = 4000;
const ruleFactor = 1.5;
const ruleSlack = 5;

const stepMs = 20;

type Load = {readonly perS: number; readonly durationMs: number; readonly readLimitPerS: (nowMs: number) => number | undefined; readonly waitMs?: number};
type Result = {readonly arrivalsMs: readonly number[]; readonly outcomes: ReadonlyArray<{readonly outcome: Outcome; readonly tookMs: number}>};

/** Offers requests at a constant rate to a server that answers immediately and advertises a limit. */
async function sendLoad(t: TestContext, {perS, durationMs, readLimitPerS, waitMs = 0}: Load): Promise<Result> {
	const clock = new ManualClock();
	const readNowMs = (): number => clock.readTimestamp().monotonicMs;
	const arrivalsMs: number[] = [];
	const outcomes: Array<{readonly outcome: Outcome; readonly tookMs: number}> = [];
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			arrivalsMs.push(readNowMs());
			const limitPerS = readLimitPerS(readNowMs());
			socket.write(formatAnswer(readRequestHead(chunk.toString('latin1')).requestId ?? '', 'ok', limitPerS === undefined ? {} : {limitPerS}));
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	const gate = new BackendGate({
		host: '127.0.0.1', port: typeof address === 'object' ? address?.port ?? 0 : 0, clock, isHeld: () => true,
		onServerEnded: () => undefined, onCold: () => undefined, onLimitChange: () => undefined, onLeaving: () => undefined,
	});
	t.after(() => {
		gate.close();
		server.close();
	});
	gate.setBackend({
		id: 'i-1', key: formatBackendInstanceKey('i-1', 1), service: 'sklad', slots: 18, isDivided: false, coldPerS: undefined,
	});
	let offered = 0;
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
		for (; offered < perS * elapsedMs / 1000; offered++) {
			const startMs = readNowMs();
			const requestId = `id-${offered}`;
			gate.admit({
				requestId, method: 'GET', path: '/', headers: Object.entries(createCallerHeaders(requestId)).flat(), body: new Uint8Array(), key: undefined, service: 'sklad', route: 'r',
				callerService: 'c', priority: 1, isIdempotent: true, mayWait: waitMs > 0, remainingMs: 3000, targetMs: waitMs, lateMs: waitMs,
			}, outcome => {
				outcomes.push({outcome, tookMs: readNowMs() - startMs});
			});
		}

		for (let turn = 0; turn < 40 && outcomes.length < offered; turn++) {
			await setImmediate();
		}

		clock.advance(stepMs);
		gate.advance();
	}

	return {arrivalsMs, outcomes};
}

function countMostInWindow(timesMs: readonly number[]): number {
	return Math.max(...timesMs.map(startMs => timesMs.filter(timeMs => timeMs >= startMs && timeMs < startMs + ruleWindowMs).length));
}

for (const limitPerS of [0.5, 3.7, 19.4]) {
	test(`a server that advertises a limit of ${limitPerS} requests a second does not get more`, async t => {
		const {arrivalsMs} = await sendLoad(t, {perS: 100, durationMs: 10_000, readLimitPerS: () => limitPerS});
		assert.ok(countMostInWindow(arrivalsMs) <= (ruleFactor * limitPerS * ruleWindowMs / 1000) + ruleSlack, `${countMostInWindow(arrivalsMs)} requests in 4 s`);
	});
}

test('a server that advertises a limit of 0 gets an occasional request, which shows when the limit has ended', async t => {
	const {arrivalsMs} = await sendLoad(t, {perS: 100, durationMs: 20_000, readLimitPerS: nowMs => nowMs < 10_000 ? 0 : undefined});
	assert.ok(arrivalsMs.filter(timeMs => timeMs > 100 && timeMs < 10_000).length <= 3);
	assert.ok(arrivalsMs.filter(timeMs => timeMs > 15_000).length >= 400);
});

test('a limit that falls holds after the longest time that the rule allows, and one that rises or ends is used within a second', async t => {
	const readLimitPerS = (nowMs: number): number | undefined => [[4000, 20], [10_000, 4], [14_000, 40]].find(([endMs]) => nowMs < (endMs ?? 0))?.[1];
	const {arrivalsMs} = await sendLoad(t, {perS: 100, durationMs: 18_000, readLimitPerS});
	const countBetween = (fromMs: number, toMs: number): number => arrivalsMs.filter(timeMs => timeMs >= fromMs && timeMs < toMs).length;
	assert.ok(countBetween(1000, 4000) <= 61 && countBetween(1000, 4000) >= 55, `${countBetween(1000, 4000)}`);
	assert.ok(countBetween(4500, 9500) <= 21 && countBetween(4500, 9500) >= 18, `${countBetween(4500, 9500)}`);
	assert.ok(countBetween(11_000, 14_000) <= 130 && countBetween(11_000, 14_000) >= 110, `${countBetween(11_000, 14_000)}`);
	assert.ok(countBetween(15_000, 18_000) >= 290, `${countBetween(15_000, 18_000)}`);
});

test('a request beyond the limit that can not be served in time is refused on arrival', async t => {
	const {outcomes} = await sendLoad(t, {perS: 100, durationMs: 4000, readLimitPerS: () => 20});
	const refused = outcomes.flatMap(({outcome, tookMs}) => outcome.kind === 'not-run' ? [{...outcome, tookMs}] : []);
	assert.ok(refused.length > 250);
	assert.ok(refused.every(({reason, tookMs, wasOffered}) => reason === 'limited' && tookMs === 0 && !wasOffered));
});
