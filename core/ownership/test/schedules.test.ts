import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runSchedule} from './schedule.js';

const firstSeed = 1;
const scheduleCount = 150;
/** Seeds of schedules that once showed a fault. */
const regressionSeeds = [1225, 1603, 2658, 3403, 4035, 5802, 9300, 703_761];

test('no schedule of faults breaks an invariant, and every cell recovers', () => {
	const seeds = [...regressionSeeds, ...Array.from({length: scheduleCount}, (_, index) => firstSeed + index)];
	const broken = seeds.map(seed => runSchedule(seed)).filter(({violation}) => violation !== undefined);
	assert.deepEqual(broken.map(({seed, violation}) => `seed ${seed}: ${violation}`), []);
});
