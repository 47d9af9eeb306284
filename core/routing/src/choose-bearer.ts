import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {VmId} from '@buckthornpoint/types/identity.js';
import type {BearerStatistics} from './bearer-statistics.js';

const probingShare = 0.02;
const outlierFactor = 3;
const minOutlierMs = 5;
const similarFactor = 1.5;

/** What a choice is made from. */
export type ChoiceInput = {
	/** VMs that may get the request; not empty. */
	readonly candidates: readonly VmId[];
	readonly statistics: BearerStatistics;
	readonly random: RandomSource;
};

/**
 * Chooses the less loaded of two random candidates, by outstanding requests and recent latency. Outliers are left out, at
 * most half of the candidates; a small share of requests goes to any candidate, so that what is known stays fresh.
 */
export function chooseBearer(input: ChoiceInput): VmId | undefined {
	const {candidates, statistics, random} = input;
	if (candidates.length <= 1 || random.drawFraction() < probingShare) {
		return candidates[random.drawBelow(candidates.length)];
	}

	const medianMs = findMedian(candidates, statistics);
	const usual = selectUsual(candidates, statistics, medianMs);
	const firstIndex = random.drawBelow(usual.length);
	const secondIndex = (firstIndex + 1 + random.drawBelow(usual.length - 1)) % usual.length;
	const [first, second] = [usual[firstIndex], usual[secondIndex]];
	if (first === undefined || second === undefined) {
		return first;
	}

	return measureScore(first, statistics, medianMs) <= measureScore(second, statistics, medianMs) ? first : second;
}

/** Returns the candidates that are no outliers: at least half of them, rounded up. */
export function selectUsual(candidates: readonly VmId[], statistics: BearerStatistics, medianMs: number): readonly VmId[] {
	const limitMs = Math.max(medianMs * outlierFactor, minOutlierMs);
	const ranked = candidates.toSorted((left, right) => readLatency(left, statistics, medianMs) - readLatency(right, statistics, medianMs));
	const kept = Math.ceil(candidates.length / 2);
	return ranked.filter((vmId, index) => index < kept || readLatency(vmId, statistics, medianMs) <= limitMs);
}

/** Returns the median of the known latencies, in milliseconds; 1 when none is known. */
function findMedian(candidates: readonly VmId[], statistics: BearerStatistics): number {
	const known = candidates.map(vmId => statistics.measureLatency(vmId)).filter(latencyMs => latencyMs !== undefined).toSorted((left, right) => left - right);
	return known[Math.floor((known.length - 1) / 2)] ?? 1;
}

/** Latencies near the median count as equal, so that small differences do not unbalance the load. */
function measureScore(vmId: VmId, statistics: BearerStatistics, medianMs: number): number {
	const latencyMs = readLatency(vmId, statistics, medianMs);
	return (statistics.countOutstanding(vmId) + 1) * (latencyMs <= medianMs * similarFactor ? medianMs : latencyMs);
}

function readLatency(vmId: VmId, statistics: BearerStatistics, medianMs: number): number {
	return statistics.measureLatency(vmId) ?? medianMs;
}
