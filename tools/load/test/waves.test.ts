import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {NodePath} from '../src/call.js';
import {startDeployment} from '../src/deployment.js';
import type {DeploymentPlan} from '../src/deployments.js';
import {judgeResults} from '../src/verdict.js';
import {sendWaves} from '../src/waves.js';

const plan: DeploymentPlan = {
	tenant: 'medoplech',
	cell: 'sk-east-1',
	maxConnections: 110,
	failureDomains: ['kosice-a', 'kosice-b', 'zilina'],
	services: [
		{
			name: 'sklad', divided: true, size: 2, lookupPath: '/lots', orderPath: '/lots',
		},
		{
			name: 'rezervacie', divided: false, size: 2, lookupPath: '/reservations', orderPath: '/reservations',
		},
	],
};

test('every answer is the caller\'s own and no order runs twice while answers are delayed, reordered, crossed, lost and cut', async () => {
	const clock = new SystemClock();
	const deployment = await startDeployment(plan, clock, {serviceTimeMs: 1, slots: 18});
	const path = new NodePath(clock, {origins: deployment.vms.map(vm => vm.process.callerOrigin), connections: 8});
	try {
		const results = await sendWaves(deployment, path, {waveCalls: 400, waveSize: 40, seed: 7});
		assert.deepEqual(await judgeResults(results, deployment), {mismatches: 0, doubledRuns: 0, falseNotRuns: 0});
		assert.ok(results.some(({kind}) => kind === 'answer'));
	} finally {
		await path.close();
		await deployment.close();
	}
});
