import assert from 'node:assert/strict';
import test from 'node:test';
import {createRandom} from '../src/create-random.js';
import {generateSchedule, type Mix} from '../src/schedule.js';

const opts = {durationMs: 20_000, nodes: 4};

test('a seed always generates the same faults', () => {
	const first = generateSchedule(createRandom(7), {...opts, mix: 'all'});
	assert.deepEqual(generateSchedule(createRandom(7), {...opts, mix: 'all'}), first);
	assert.notDeepEqual(generateSchedule(createRandom(8), {...opts, mix: 'all'}), first);
});

test('each mix generates exactly its kinds of faults', () => {
	const listKinds = (mix: Mix): readonly string[] => {
		const faults = Array.from({length: 30}, (_, seed) => generateSchedule(createRandom(seed), {...opts, mix})).flat();
		return [...new Set(faults.map(({kind}) => kind))].toSorted();
	};

	assert.deepEqual(listKinds('planned'), ['change', 'reload', 'stop']);
	assert.deepEqual(listKinds('planned-and-store'), ['change', 'link', 'reload', 'stop', 'store']);
	assert.deepEqual(listKinds('restarts'), ['copies', 'evacuate', 'kill', 'leave', 'link', 'pause', 'stop']);
	assert.deepEqual(listKinds('all'), ['change', 'kill', 'link', 'pause', 'reload', 'stop', 'store']);
});

test('some stops repeat SIGTERM', () => {
	const faults = Array.from({length: 10}, (_, seed) => generateSchedule(createRandom(seed), {...opts, mix: 'planned'})).flat();
	assert.ok(faults.some(fault => fault.kind === 'stop' && fault.repeatsMs.length > 1));
});
