import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {StoreCondition} from '@buckthornpoint/fleet-stand-in/stand-in-store.js';
import type {LeaveAnnouncement} from '@buckthornpoint/fleet-stand-in/stand-in-backend.js';
import type {RepeatedRefusals} from '@buckthornpoint/fleet-stand-in/stand-in-executor.js';
import type {LinkCondition} from './faulty-proxy.js';

/** A fault; `atMs` is its start, relative to the start of the schedule. */
export type Fault = {readonly atMs: number} & (
	/** A planned stop with SIGTERM, further SIGTERMs at the given times after the first, and a restart. */
	| {readonly kind: 'stop'; readonly node: number; readonly repeatsMs: readonly number[]; readonly downMs: number}
	| {readonly kind: 'kill'; readonly node: number; readonly downMs: number}
	| {readonly kind: 'reload'; readonly node: number}
	| {readonly kind: 'pause'; readonly node: number; readonly forMs: number}
	| {readonly kind: 'store'; readonly condition: StoreCondition; readonly forMs: number}
	/** The operator writes a new version of the configuration, or the store removes its change history. */
	| {readonly kind: 'change'; readonly isHistoryLost: boolean}
	/** The store is away, returns from a copy of the given age, and the operator writes its rows again after a delay. */
	| {readonly kind: 'return'; readonly awayMs: number; readonly copyAgeMs: number; readonly repairDelayMs: number}
	/** A fault of the connection between one node and the store. */
	| {readonly kind: 'link'; readonly node: number; readonly condition: LinkCondition; readonly forMs: number}
	/** The backend server of a node leaves, and a new instance takes its place after `serveMs`. A ready heartbeat of before arrives `lateMs` after the announcement. */
	| {
		readonly kind: 'leave'; readonly node: number; readonly announcement: LeaveAnnouncement; readonly serveMs: number; readonly lateMs: number;
		/** If set, the node is killed this long after the acknowledgement. */
		readonly killAfterMs: number | undefined; readonly downMs: number;
	}
	/** The operator evacuates the failure domain of a node. */
	| {readonly kind: 'evacuate'; readonly node: number; readonly forMs: number}
	/** The backend server of a node refuses some requests once and sends each refusal again after a delay. */
	| {readonly kind: 'copies'; readonly node: number; readonly refusals: RepeatedRefusals; readonly forMs: number}
);

/** Selects the kinds of fault series in a schedule. */
export type Mix = 'planned' | 'planned-and-store' | 'all' | 'returns' | 'restarts';

/** Kind of a series of similar faults. */
type Series = 'stops' | 'reloads' | 'changes' | 'kills' | 'pauses' | 'store' | 'links' | 'returns' | 'leaves' | 'evacuations' | 'copies';

/** A kind listed twice is picked twice as often. */
const seriesOfMix: Readonly<Record<Mix, readonly Series[]>> = {
	planned: ['stops', 'stops', 'reloads', 'changes'],
	'planned-and-store': ['stops', 'stops', 'reloads', 'changes', 'store', 'links'],
	restarts: ['leaves', 'leaves', 'leaves', 'evacuations', 'evacuations', 'evacuations', 'copies', 'copies', 'kills', 'pauses', 'stops', 'links'],
	returns: ['returns', 'returns', 'returns', 'stops', 'changes', 'kills', 'kills', 'pauses', 'links'],
	all: ['stops', 'stops', 'reloads', 'changes', 'kills', 'kills', 'pauses', 'store', 'links'],
};

const maxSeriesGapMs = 4000;
const maxStepGapMs = 2500;
const maxDownMs = 2000;
const maxRepeats = 3;
const maxRepeatDelayMs = 4500;
const maxPauseMs = 4000;
const maxStoreFaultMs = 6000;
const maxDelayMs = 900;
const maxCopyAgeMs = 9000;
const maxRepairDelayMs = 1500;
const maxReloads = 6;
const maxChanges = 5;
const historyLossShare = 0.3;
const maxKillDelayMs = 700;
const immediateKillShare = 0.5;
const noKillShare = 0.2;
const minServeMs = 5000;
const maxServeMs = 10_000;
const maxLateMs = 4000;
const maxEvacuationMs = 5000;
const maxCopyDelayMs = 80;
const minRefusalShare = 0.02;
const maxRefusalShare = 0.3;

/** Generates the faults of a soak test. A series may start before earlier ones have ended. */
export function generateSchedule(random: RandomSource, {durationMs, nodes, mix}: {readonly durationMs: number; readonly nodes: number; readonly mix: Mix}): readonly Fault[] {
	const faults: Fault[] = [];
	for (let atMs = 0; atMs < durationMs; atMs += generateTimeMs(random, maxSeriesGapMs)) {
		const series = seriesOfMix[mix][random.generateIntegerBelow(seriesOfMix[mix].length)]!;
		faults.push(...generateSeries(random, series, nodes).map(fault => ({...fault, atMs: fault.atMs + atMs})));
	}

	return faults.filter(fault => fault.atMs < durationMs).toSorted((a, b) => a.atMs - b.atMs);
}

/** Picks a mix at random. Returns of the store and `restarts` are played on request only: more mixes would change the faults of the seeds that are kept. */
export function pickMix(random: RandomSource): Mix {
	const mixes: readonly Mix[] = ['planned', 'planned-and-store', 'all'];
	return mixes[random.generateIntegerBelow(mixes.length)]!;
}

function generateSeries(random: RandomSource, series: Series, nodes: number): readonly Fault[] {
	switch (series) {
		case 'stops': {
			return generateSteps(random, pickNodes(random, nodes, nodes), maxStepGapMs).map(step => ({
				...step, kind: 'stop', repeatsMs: generateTimes(random, maxRepeats, maxRepeatDelayMs), downMs: generateTimeMs(random, maxDownMs),
			}));
		}

		case 'reloads': {
			const list = Array.from({length: 1 + random.generateIntegerBelow(maxReloads)}, () => random.generateIntegerBelow(nodes));
			return generateSteps(random, list, maxStepGapMs / 2).map(step => ({...step, kind: 'reload'}));
		}

		case 'changes': {
			return Array.from({length: 1 + random.generateIntegerBelow(maxChanges)}, () => ({
				atMs: generateTimeMs(random, maxSeriesGapMs), kind: 'change', isHistoryLost: random.generateFraction() < historyLossShare,
			}));
		}

		case 'kills': {
			return generateSteps(random, pickNodes(random, nodes, Math.ceil(nodes / 2)), maxStepGapMs).map(step => ({...step, kind: 'kill', downMs: generateTimeMs(random, maxDownMs)}));
		}

		case 'pauses': {
			return generateSteps(random, pickNodes(random, nodes, Math.ceil(nodes / 2)), maxStepGapMs).map(step => ({...step, kind: 'pause', forMs: generateTimeMs(random, maxPauseMs)}));
		}

		case 'store': {
			const conditions: readonly StoreCondition[] = [{kind: 'refusing'}, {kind: 'silent'}, {kind: 'late'}, {kind: 'slow', delayMs: generateTimeMs(random, maxDelayMs)}];
			return [{
				atMs: 0, kind: 'store', condition: conditions[random.generateIntegerBelow(conditions.length)]!, forMs: generateTimeMs(random, maxStoreFaultMs),
			}];
		}

		case 'returns': {
			return [{
				atMs: 0, kind: 'return', awayMs: generateTimeMs(random, maxStoreFaultMs / 2), copyAgeMs: generateTimeMs(random, maxCopyAgeMs), repairDelayMs: generateTimeMs(random, maxRepairDelayMs),
			}];
		}

		case 'leaves': {
			return generateSteps(random, pickNodes(random, nodes, Math.ceil(nodes / 2)), maxStepGapMs).map(step => ({
				...step, kind: 'leave', announcement: random.generateFraction() < 0.5 ? 'draining' : 'deregister',
				killAfterMs: generateKillDelay(random), downMs: generateTimeMs(random, maxKillDelayMs),
				lateMs: generateTimeMs(random, maxLateMs), serveMs: minServeMs + generateTimeMs(random, maxServeMs - minServeMs),
			}));
		}

		case 'evacuations': {
			// The failure domain of a node that starts again is evacuated, while other nodes do not answer.
			const [node = 0, ...others] = pickNodes(random, nodes, nodes);
			const killed = [node, ...others.slice(0, random.generateIntegerBelow(Math.ceil(nodes / 2)))];
			const paused = others.filter(other => !killed.includes(other));
			return [
				...paused.map(other => ({
					atMs: 0, kind: 'pause' as const, node: other, forMs: generateTimeMs(random, maxPauseMs),
				})),
				...killed.map(other => ({
					atMs: generateTimeMs(random, maxKillDelayMs), kind: 'kill' as const, node: other, downMs: generateTimeMs(random, maxKillDelayMs),
				})),
				{
					atMs: generateTimeMs(random, 2 * maxKillDelayMs), kind: 'evacuate', node, forMs: generateTimeMs(random, maxEvacuationMs),
				},
			];
		}

		case 'copies': {
			return generateSteps(random, pickNodes(random, nodes, Math.ceil(nodes / 2)), maxStepGapMs).map(step => ({
				...step, kind: 'copies', forMs: generateTimeMs(random, maxStoreFaultMs),
				refusals: {share: minRefusalShare + (random.generateFraction() * (maxRefusalShare - minRefusalShare)), copyDelayMs: generateTimeMs(random, maxCopyDelayMs)},
			}));
		}

		case 'links': {
			const conditions: readonly LinkCondition[] = [{kind: 'cut'}, {kind: 'silent'}, {kind: 'one-way'}, {kind: 'delayed', delayMs: generateTimeMs(random, maxDelayMs)}];
			return generateSteps(random, pickNodes(random, nodes, nodes), maxStepGapMs / 2).map(step => ({
				...step, kind: 'link', condition: conditions[random.generateIntegerBelow(conditions.length)]!, forMs: generateTimeMs(random, maxStoreFaultMs),
			}));
		}
	}
}

function generateSteps(random: RandomSource, nodes: readonly number[], maxGapMs: number): ReadonlyArray<{readonly atMs: number; readonly node: number}> {
	let atMs = 0;
	return nodes.map(node => {
		const step = {atMs, node};
		atMs += generateTimeMs(random, maxGapMs);
		return step;
	});
}

/** Picks up to `max` distinct nodes at random. */
function pickNodes(random: RandomSource, nodes: number, max: number): readonly number[] {
	const count = 1 + random.generateIntegerBelow(max);
	return Array.from({length: nodes}, (_, node) => ({node, rank: random.generateFraction()}))
		.toSorted((a, b) => a.rank - b.rank)
		.slice(0, count)
		.map(({node}) => node);
}

/** Half of the kills follow the acknowledgement immediately. */
function generateKillDelay(random: RandomSource): number | undefined {
	const fraction = random.generateFraction();
	if (fraction < immediateKillShare) {
		return 0;
	}

	return fraction < 1 - noKillShare ? generateTimeMs(random, maxKillDelayMs) : undefined;
}

function generateTimes(random: RandomSource, maxCount: number, maxMs: number): readonly number[] {
	return Array.from({length: random.generateIntegerBelow(maxCount + 1)}, () => generateTimeMs(random, maxMs)).toSorted((a, b) => a - b);
}

function generateTimeMs(random: RandomSource, maxMs: number): number {
	return 1 + random.generateIntegerBelow(maxMs);
}
