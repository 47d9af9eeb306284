import assert from 'node:assert/strict';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {test} from 'node:test';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {StandInBackendServer} from '@buckthornpoint/backend-server/backend-server.js';
import {renderPlot} from '../src/experiment-report.js';
import {parseExperimentSettings} from '../src/experiment-settings.js';
import type {StepResult, WindowResult} from '../src/experiment.js';
import {NaivePath} from '../src/naive-path.js';

const folder = fileURLToPath(new URL('../../experiments/', import.meta.url));

test('the settings of every experiment are valid and are named after their file', async () => {
	const files = await readdir(folder);
	for (const file of files.filter(name => name !== 'hops.jsonc')) {
		const parsed = parseExperimentSettings(await readFile(path.join(folder, file), 'utf8'), file);
		assert.equal(`${parsed._unsafeUnwrap().name}.jsonc`, file);
	}
});

test('the plot names both routers', () => {
	const window: WindowResult = {
		p50: 1, p99: 2, p999: 3, max: 4, calls: 1, answers: 1, goodput: 1, failures: {},
	};
	const base = {
		seed: 1, loadPercent: 40, ratePerSecond: 1, before: window, during: window, after: window, mismatches: 0, attemptsPerCall: 1, coldOverruns: 0, lateWork: 0, imbalance: 1,
	};
	const steps: readonly StepResult[] = [{...base, router: 'policy'}, {...base, router: 'naive'}];
	const settings = parseExperimentSettings(JSON.stringify({
		name: 'x', fault: 'none', seeds: [1], size: 1, slots: 1, serviceTimeMs: 1, loadPercents: [40], deadlineMs: 1, warmUpMs: 0, durationMs: 1,
	}), 'x');
	const svg = renderPlot(settings._unsafeUnwrap(), steps);
	assert.ok(svg.startsWith('<svg') && svg.includes('policy p99') && svg.includes('naive p99'));
});

test('the naive router immediately retries a refused call, up to four attempts in total', async () => {
	const clock = new SystemClock();
	const server = new StandInBackendServer(clock, {
		name: 'a', service: 's', slots: 4, checksFence: true, incarnation: '1', nodeOrigin: 'http://127.0.0.1:1', serviceTimeMs: 1, announceIntervalMs: 1000,
	});
	await server.open();
	const naive = new NaivePath({clock, random: new SeededRandom(1), origins: [server.origin]});
	const result = await naive.send({
		requestId: 'r', service: 's', key: 'k', method: 'POST', path: '/x', body: 'b', idempotent: true, deadlineMs: 60_000,
	});
	await naive.close();
	await server.close();
	assert.deepEqual([result.kind, result.attempts, server.counts.refused], ['not-run', 4, 4]);
});
