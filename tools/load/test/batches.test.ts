import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {NodePath} from '../src/call.js';
import {startDeployment} from '../src/deployment.js';
import type {DeploymentPlan} from '../src/deployments.js';
import {evaluateResults} from '../src/violations.js';
import {sendBatches} from '../src/batches.js';

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

test('every answer matches its call and no order is executed twice while answers are delayed, reordered, crossed, lost and truncated', async () => {
	const clock = new SystemClock();
	const deployment = await startDeployment(plan, clock, {serviceTimeMs: 1, slots: 18});
	const path = new NodePath(clock, {origins: deployment.vms.map(vm => vm.process.callerOrigin), connectionsPerNode: 8});
	try {
		const results = await sendBatches(deployment, path, {batchedCalls: 400, batchSize: 40, seed: 7});
		assert.deepEqual(await evaluateResults(results, deployment), {mismatches: 0, duplicateRuns: 0, falseNotRuns: 0});
		assert.ok(results.some(({kind}) => kind === 'answer'));
	} finally {
		await path.close();
		await deployment.close();
	}
});
