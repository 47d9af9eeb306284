import {noFaults, type BackendServerFaults} from '@buckthornpoint/backend-server/faults.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {setFaults} from './backend-control.js';
import type {CallPath, CallResult} from './call.js';
import {createCall} from './calls.js';
import type {Deployment} from './deployment.js';

const faults: Partial<BackendServerFaults> = {
	answerDelayMs: 30, crossAnswers: 0.02, loseAnswers: 0.01, cutAnswers: 0.01,
};

/** Number and size of the batches. */
export type BatchOpts = {
	readonly batchedCalls: number;
	readonly batchSize: number;
	readonly seed: number;
};

/** Sends batches of concurrent calls while the backend servers delay, reorder, cross, lose and truncate answers. */
export async function sendBatches(deployment: Deployment, path: CallPath, opts: BatchOpts): Promise<readonly CallResult[]> {
	const random = new SeededRandom(opts.seed);
	await setAllFaults(deployment, faults);
	const results: CallResult[] = [];
	while (results.length < opts.batchedCalls) {
		const size = Math.min(opts.batchSize, opts.batchedCalls - results.length);
		const calls = Array.from({length: size}, () => createCall(deployment.plan, random));
		results.push(...await Promise.all(calls.map(async call => path.send(call))));
	}

	await setAllFaults(deployment, noFaults);
	return results;
}

async function setAllFaults({vms}: Deployment, changed: Partial<BackendServerFaults>): Promise<void> {
	await Promise.all(vms.map(async vm => setFaults(vm.process.backendOrigin, changed)));
}
