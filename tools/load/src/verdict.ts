import {readRuns} from './backend-control.js';
import type {CallResult} from './call.js';
import type {Deployment} from './deployment.js';

/** What must be zero after any load. */
export type Verdict = {
	/** Answers that were not byte for byte those to their call. */
	readonly mismatches: number;
	/** Non-idempotent requests that ran more than once. */
	readonly doubledRuns: number;
	/** Requests that were reported as `not-run` although they ran. */
	readonly falseNotRuns: number;
};

/** Compares the results of a load with what the backend servers counted. */
export async function judgeResults(results: readonly CallResult[], deployment: Deployment): Promise<Verdict> {
	const counted = await Promise.all(deployment.vms.map(async vm => readRuns(vm.process.backendOrigin)));
	const runs = (requestId: string): number => counted.reduce((sum, server) => sum + (server.get(requestId) ?? 0), 0);
	return {
		mismatches: results.filter(({isOwn}) => !isOwn).length,
		doubledRuns: results.filter(({call}) => !call.idempotent && runs(call.requestId) > 1).length,
		falseNotRuns: results.filter(({call, kind}) => kind === 'not-run' && runs(call.requestId) > 0).length,
	};
}

/** Tells whether nothing happened that must never happen. */
export function isClean(verdict: Verdict): boolean {
	return verdict.mismatches === 0 && verdict.doubledRuns === 0 && verdict.falseNotRuns === 0;
}

/** Returns the load of the busiest backend server of a service over the mean, from the requests that each began. */
export function measureImbalance(started: readonly number[]): number {
	const total = started.reduce((sum, count) => sum + count, 0);
	return total === 0 ? 1 : Math.max(...started) * started.length / total;
}
