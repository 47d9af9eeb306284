import type {Clock} from '@buckthornpoint/clock/clock.js';
import {createRandom} from './create-random.js';
import {Disruptions} from './disruptions.js';
import {checkAvailability} from './check-availability.js';
import {Ledger} from './ledger.js';
import {runSchedule} from './run-schedule.js';
import type {RequestRecord, Violation} from './requests.js';
import {pickMix, generateSchedule, type Mix} from './schedule.js';
import {SlownessWatch} from './slowness-watch.js';
import {SoakFleet} from './soak-fleet.js';
import {Trace} from './trace.js';

/** Options of a soak test. */
export type SoakOpts = {
	readonly seed: number;
	/** Duration of the phase in which faults start; 0 for no faults. */
	readonly durationMs: number;
	readonly nodes: number;
	/** Derived from the seed by default. */
	readonly mix?: Mix | undefined;
	/** The first two numbers of the loopback addresses, such as "127.20". */
	readonly network: string;
	/** Folder for settings, logs and the trace; it is removed if no guarantee was violated. */
	readonly folder: string;
};

/** Result of a soak test. */
export type SoakResult = {
	readonly seed: number;
	readonly mix: Mix;
	readonly faults: number;
	readonly requests: number;
	/** Number of requests by status of the answer, or by the way they ended without an answer. */
	readonly ends: Readonly<Record<string, number>>;
	/** Time from the end of the faults until everything was available; undefined if that took too long. */
	readonly recoveryMs: number | undefined;
	/** How long processes waited for a processor while they counted as slow. */
	readonly slowMs: number;
	/** Number of violations that are excused only by the slowness of the machine. */
	readonly suspects: number;
	readonly violations: readonly Violation[];
};

/** Everything must be available within this time after the faults (`recovery_s` of the platform's bounds). */
const maxRecoveryMs = 15_000;

/** Recovery time limit on a machine where processes have to wait for a processor. */
const maxSlowRecoveryMs = 45_000;

/** Length of the time window in which availability is measured. */
const windowMs = 2000;

/** How long runs may still start at backend servers after the last caller has stopped. */
const settleMs = 1500;

/** How often availability is checked. */
const pollIntervalMs = 200;

const msPerSecond = 1000;

/** Runs a fleet under load and faults, and returns the guarantees that were violated. */
export async function runSoak(clock: Clock, opts: SoakOpts): Promise<SoakResult> {
	const random = createRandom(opts.seed);
	const mix = opts.mix ?? pickMix(random);
	const schedule = generateSchedule(random, {durationMs: opts.durationMs, nodes: opts.nodes, mix});
	const disruptions = new Disruptions();
	const slowness = new Disruptions();
	let slowMs = 0;
	const ledger = new Ledger(clock);
	const trace = new Trace(clock, opts.folder);
	const onEvent = (event: string): void => {
		trace.write({event});
	};

	trace.write({seed: opts.seed, mix, schedule});
	const fleet = new SoakFleet({
		...opts, clock, ledger, disruptions, slowness, onEvent,
	});
	const watch = new SlownessWatch({
		clock,
		slowness,
		listProcessIds: () => fleet.nodes.map(node => node.processId),
		onSlow(target, waitedMs) {
			slowMs += waitedMs;
			trace.write({event: `slow: ${target}`, waitedMs: Math.round(waitedMs)});
		},
	});
	const watchOpts: ServiceWatchOpts = {
		clock, ledger, slowness, nodes: opts.nodes,
	};
	let servedAfterMs: number | undefined;
	try {
		watch.start();
		await fleet.start();
		await waitUntilServed(watchOpts);
		await runSchedule(schedule, {
			clock, fleet, disruptions, onEvent,
		});
		onEvent('all faults have ended');
		servedAfterMs = await waitUntilServed(watchOpts);
		await fleet.stopCallers();
		await clock.sleep(settleMs);
	} finally {
		watch.close();
		await fleet.close();
	}

	const violations = ledger.listViolations([disruptions, slowness]).filter(({isSlow}) => isSlow !== true);
	const strictViolations = ledger.listViolations([disruptions]);
	for (const violation of strictViolations) {
		const record = violation.requestId === undefined ? undefined : ledger.findRequest(violation.requestId);
		trace.write({violation, violatedSeconds: trace.toSeconds(violation.atMs), record});
	}

	if (strictViolations.length === 0) {
		trace.remove();
	}

	const records = ledger.listSince(trace.startMs);
	return {
		seed: opts.seed,
		mix,
		faults: schedule.length,
		requests: records.length,
		ends: countEnds(records),
		recoveryMs: servedAfterMs,
		slowMs: Math.round(slowMs),
		suspects: strictViolations.length - violations.length,
		violations: violations.map(violation => ({...violation, atMs: violation.atMs - trace.startMs})),
	};
}

type ServiceWatchOpts = {
	readonly clock: Clock;
	readonly ledger: Ledger;
	readonly slowness: Disruptions;
	readonly nodes: number;
};

/** Waits until everything was available for the length of a window. Returns the time from the call to the start of that window; undefined if it took too long. */
async function waitUntilServed({clock, ledger, slowness, nodes}: ServiceWatchOpts): Promise<number | undefined> {
	const fromMs = clock.readTimestamp().monotonicMs;
	for (let elapsedMs = 0; ; elapsedMs = clock.readTimestamp().monotonicMs - fromMs) {
		const endMs = fromMs + elapsedMs;
		const problem = elapsedMs < windowMs
			? 'not enough requests yet'
			: checkAvailability(ledger.listSince(endMs - windowMs).filter(({request}) => request.startMs < endMs - pollIntervalMs), nodes);
		if (problem === undefined) {
			return elapsedMs - windowMs;
		}

		// A VM that was slow counts as not recovered yet, so the longer limit applies if a process was slow within the recovery time.
		const isSlow = slowness.hasOverlapping(() => true, endMs - maxRecoveryMs - windowMs, endMs);
		if (elapsedMs > (isSlow ? maxSlowRecoveryMs : maxRecoveryMs + windowMs)) {
			ledger.addViolation({
				rule: 'not-served', atMs: endMs, isSlow, message: `${Math.round((elapsedMs - windowMs) / msPerSecond)} s after the last fault, these are not available: ${problem}`,
			});
			return undefined;
		}

		await clock.sleep(pollIntervalMs);
	}
}

function countEnds(records: readonly RequestRecord[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const {end} of records) {
		const name = end?.kind === 'answer' ? String(end.status) : end?.kind ?? 'open';
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}
