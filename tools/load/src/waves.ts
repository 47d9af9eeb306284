import {noFaults, type BackendServerFaults} from '@buckthornpoint/backend-server/faults.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {setFaults} from './backend-control.js';
import type {CallPath, CallResult} from './call.js';
import {createCall} from './calls.js';
import type {Deployment} from './deployment.js';

const faults: Partial<BackendServerFaults> = {
	answerDelayMs: 30, crossAnswers: 0.02, loseAnswers: 0.01, cutAnswers: 0.01,
};

/** How many calls the waves have. */
export type WaveOpts = {
	readonly waveCalls: number;
	readonly waveSize: number;
	readonly seed: number;
};

/** Sends calls in waves while the backend servers delay, reorder, cross, lose and cut answers. */
export async function sendWaves(deployment: Deployment, path: CallPath, opts: WaveOpts): Promise<readonly CallResult[]> {
	const random = new SeededRandom(opts.seed);
	await setAllFaults(deployment, faults);
	const results: CallResult[] = [];
	while (results.length < opts.waveCalls) {
		const size = Math.min(opts.waveSize, opts.waveCalls - results.length);
		const calls = Array.from({length: size}, () => createCall(deployment.plan, random));
		results.push(...await Promise.all(calls.map(async call => path.send(call))));
	}

	await setAllFaults(deployment, noFaults);
	return results;
}

async function setAllFaults({vms}: Deployment, changed: Partial<BackendServerFaults>): Promise<void> {
	await Promise.all(vms.map(async vm => setFaults(vm.process.backendOrigin, changed)));
}
