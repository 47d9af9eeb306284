import {
	decodeDocument, expectBoolean, expectArray, expectInteger, expectString, expectLiteral,
} from '@buckthornpoint/documents/decoders.js';
import {parseDocument} from '@buckthornpoint/documents/documents.js';
import {expectRequired, expectObject, expectOptional} from '@buckthornpoint/documents/objects.js';
import type {Finding} from '@buckthornpoint/errors/findings.js';
import type {Result} from 'neverthrow';

/**
 * Fault that is injected during an experiment.
 * - `straggler`: backend servers become slower by the factor `slowdown`.
 * - `restart`: backend servers restart with a new incarnation and are cold.
 * - `cold`: backend servers become cold without an announcement.
 * - `failure-domain`: a failure domain is taken out of service through the configuration.
 */
export type ExperimentFault = 'none' | 'straggler' | 'restart' | 'cold' | 'failure-domain';

/** Settings of an experiment: one service under an open-loop load, with one fault injected part way through. */
export type ExperimentSettings = {
	readonly name: string;
	readonly fault: ExperimentFault;
	readonly seeds: readonly number[];
	/** Whether the service is partitioned by key. */
	readonly divided: boolean;
	/** Number of backend servers of the service. */
	readonly size: number;
	readonly slots: number;
	readonly serviceTimeMs: number;
	/** Loads in percent of capacity, which is `size * slots / serviceTimeMs`; each is a separate step. */
	readonly loadPercents: readonly number[];
	readonly deadlineMs: number;
	/** Duration of the load that precedes the measured part at the same rate and is not counted. */
	readonly warmUpMs: number;
	readonly durationMs: number;
	readonly faultStartMs: number;
	readonly faultEndMs: number;
	/** Number of backend servers that the fault affects, starting with the first. */
	readonly affected: number;
	/** Factor by which the fault `straggler` lengthens the service time. */
	readonly slowdown: number;
	/** Concurrent requests that a server handles at full speed right after its start; 0 for all slots. */
	readonly coldConcurrency: number;
	/** Percentage of the calls that go to one key. */
	readonly hotPercent: number;
};

const maxMs = 120_000;
const maxCount = 100;

/** Decodes the settings from JSON with comments. */
export function parseExperimentSettings(text: string, file: string): Result<ExperimentSettings, readonly Finding[]> {
	return parseDocument(text, file).andThen(document => decodeDocument(document, settingsDecoder));
}

const milliseconds = expectInteger({min: 0, max: maxMs});
const count = expectInteger({min: 1, max: maxCount});

const settingsDecoder = expectObject<ExperimentSettings>({
	name: expectRequired(expectString({pattern: /^[a-z\d\-]+$/v, description: 'a name of lower-case letters, digits and hyphens'})),
	fault: expectRequired(expectLiteral(['none', 'straggler', 'restart', 'cold', 'failure-domain'])),
	seeds: expectRequired(expectArray(expectInteger({min: 0, max: 1_000_000}), maxCount)),
	divided: expectOptional(expectBoolean(), false),
	size: expectRequired(count),
	slots: expectRequired(count),
	serviceTimeMs: expectRequired(milliseconds),
	loadPercents: expectRequired(expectArray(expectInteger({min: 1, max: 1000}), maxCount)),
	deadlineMs: expectRequired(milliseconds),
	warmUpMs: expectRequired(milliseconds),
	durationMs: expectRequired(milliseconds),
	faultStartMs: expectOptional(milliseconds, 0),
	faultEndMs: expectOptional(milliseconds, maxMs),
	affected: expectOptional(expectInteger({min: 0, max: maxCount}), 0),
	slowdown: expectOptional(count, 1),
	coldConcurrency: expectOptional(expectInteger({min: 0, max: maxCount}), 0),
	hotPercent: expectOptional(expectInteger({min: 0, max: 100}), 0),
});
