import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {VmId} from '@buckthornpoint/types/identity.js';
import type {BackendStatistics} from './backend-statistics.js';

const probeProbability = 0.02;
const outlierFactor = 3;
const minOutlierLatencyMs = 5;
const similarLatencyFactor = 1.5;

/** The candidates of a choice, their measurements and the source of randomness. */
export type ChoiceInput = {
	/** VMs that may get the request; not empty. */
	readonly candidates: readonly VmId[];
	readonly statistics: BackendStatistics;
	readonly random: RandomSource;
};

/**
 * Chooses the less loaded of two random candidates, by outstanding requests and recent latency. Outliers are excluded, at
 * most half of the candidates. A small fraction of requests goes to any of the candidates at random, so that all measurements stay current.
 */
export function chooseBackend(input: ChoiceInput): VmId | undefined {
	const {candidates, statistics, random} = input;
	if (candidates.length <= 1 || random.generateFraction() < probeProbability) {
		return candidates[random.generateIntegerBelow(candidates.length)];
	}

	const medianMs = findMedianLatency(candidates, statistics);
	const remaining = filterOutliers(candidates, statistics, medianMs);
	const firstIndex = random.generateIntegerBelow(remaining.length);
	const secondIndex = (firstIndex + 1 + random.generateIntegerBelow(remaining.length - 1)) % remaining.length;
	const [first, second] = [remaining[firstIndex], remaining[secondIndex]];
	if (first === undefined || second === undefined) {
		return first;
	}

	return measureScore(first, statistics, medianMs) <= measureScore(second, statistics, medianMs) ? first : second;
}

/** Returns the candidates without the outliers: at least half of them, rounded up. */
export function filterOutliers(candidates: readonly VmId[], statistics: BackendStatistics, medianMs: number): readonly VmId[] {
	const limitMs = Math.max(medianMs * outlierFactor, minOutlierLatencyMs);
	const ranked = candidates.toSorted((left, right) => getLatency(left, statistics, medianMs) - getLatency(right, statistics, medianMs));
	const kept = Math.ceil(candidates.length / 2);
	return ranked.filter((vmId, index) => index < kept || getLatency(vmId, statistics, medianMs) <= limitMs);
}

/** Returns the median of the known latencies in milliseconds; 1 if none is known. */
function findMedianLatency(candidates: readonly VmId[], statistics: BackendStatistics): number {
	const known = candidates.map(vmId => statistics.measureLatency(vmId)).filter(latencyMs => latencyMs !== undefined).toSorted((left, right) => left - right);
	return known[Math.floor((known.length - 1) / 2)] ?? 1;
}

/**
 * Returns the score of a candidate, lower for less load. Latencies near the median count as equal, so that small
 * differences do not unbalance the load.
 */
function measureScore(vmId: VmId, statistics: BackendStatistics, medianMs: number): number {
	const latencyMs = getLatency(vmId, statistics, medianMs);
	return (statistics.countOutstanding(vmId) + 1) * (latencyMs <= medianMs * similarLatencyFactor ? medianMs : latencyMs);
}

function getLatency(vmId: VmId, statistics: BackendStatistics, medianMs: number): number {
	return statistics.measureLatency(vmId) ?? medianMs;
}
