import {readRuns} from './backend-control.js';
import type {CallResult} from './call.js';
import type {Deployment} from './deployment.js';

/** Violations of the guarantees to callers; each count must be zero after any load. */
export type Violations = {
	/** Answers that differed from the expected answer to their call. */
	readonly mismatches: number;
	/** Non-idempotent requests that were executed more than once. */
	readonly duplicateRuns: number;
	/** Requests that were reported as `not-run` although they were executed. */
	readonly falseNotRuns: number;
};

/** Compares the results of a load with the executions that the backend servers counted. */
export async function evaluateResults(results: readonly CallResult[], deployment: Deployment): Promise<Violations> {
	const counted = await Promise.all(deployment.vms.map(async vm => readRuns(vm.process.backendOrigin)));
	const runs = (requestId: string): number => counted.reduce((sum, server) => sum + (server.get(requestId) ?? 0), 0);
	return {
		mismatches: results.filter(({matchesCall}) => !matchesCall).length,
		duplicateRuns: results.filter(({call}) => !call.idempotent && runs(call.requestId) > 1).length,
		falseNotRuns: results.filter(({call, kind}) => kind === 'not-run' && runs(call.requestId) > 0).length,
	};
}

/** Returns whether all counts are zero. */
export function hasNoViolations(violations: Violations): boolean {
	return violations.mismatches === 0 && violations.duplicateRuns === 0 && violations.falseNotRuns === 0;
}

/** Returns the ratio of the busiest backend server to the mean, from the number of requests that each server of a service started. */
export function measureImbalance(started: readonly number[]): number {
	const total = started.reduce((sum, count) => sum + count, 0);
	return total === 0 ? 1 : Math.max(...started) * started.length / total;
}
