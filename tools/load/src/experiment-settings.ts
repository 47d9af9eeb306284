import {
	decodeDocument, expectBoolean, expectList, expectNumber, expectText, expectWord,
} from '@buckthornpoint/documents/decoders.js';
import {parseDocument} from '@buckthornpoint/documents/documents.js';
import {expectField, expectObject, expectOptional} from '@buckthornpoint/documents/objects.js';
import type {Finding} from '@buckthornpoint/errors/findings.js';
import type {Result} from 'neverthrow';

/** What happens to backend servers in the middle of an experiment. */
export type ExperimentFault = 'none' | 'straggler' | 'restart' | 'cold' | 'failure-domain';

/** The settings of an experiment: one service under an open load, with one fault in its middle. */
export type ExperimentSettings = {
	readonly name: string;
	readonly fault: ExperimentFault;
	readonly seeds: readonly number[];
	readonly divided: boolean;
	/** Backend servers of the service. */
	readonly size: number;
	readonly slots: number;
	readonly serviceTimeMs: number;
	/** Loads in percent of capacity, which is `size * slots / serviceTimeMs`; each is run for itself. */
	readonly loadPercents: readonly number[];
	readonly deadlineMs: number;
	/** Load before the counted part, at the same rate. */
	readonly warmUpMs: number;
	readonly durationMs: number;
	readonly faultStartMs: number;
	readonly faultEndMs: number;
	/** Backend servers that the fault happens to, from the first one. */
	readonly affected: number;
	/** How many times longer a straggler's requests take. */
	readonly slowdown: number;
	/** Requests that a server bears at once when it has just started; 0 for all slots. */
	readonly coldConcurrency: number;
	/** Percent of the calls that go to one key. */
	readonly hotPercent: number;
};

const maxMs = 120_000;
const maxCount = 100;

/** Decodes the settings from JSON with comments. */
export function parseExperimentSettings(text: string, file: string): Result<ExperimentSettings, readonly Finding[]> {
	return parseDocument(text, file).andThen(document => decodeDocument(document, settingsDecoder));
}

const milliseconds = expectNumber({min: 0, max: maxMs});
const count = expectNumber({min: 1, max: maxCount});

const settingsDecoder = expectObject<ExperimentSettings>({
	name: expectField(expectText({pattern: /^[a-z\d\-]+$/v, description: 'a name of small letters, digits and dashes'})),
	fault: expectField(expectWord(['none', 'straggler', 'restart', 'cold', 'failure-domain'])),
	seeds: expectField(expectList(expectNumber({min: 0, max: 1_000_000}), maxCount)),
	divided: expectOptional(expectBoolean(), false),
	size: expectField(count),
	slots: expectField(count),
	serviceTimeMs: expectField(milliseconds),
	loadPercents: expectField(expectList(expectNumber({min: 1, max: 1000}), maxCount)),
	deadlineMs: expectField(milliseconds),
	warmUpMs: expectField(milliseconds),
	durationMs: expectField(milliseconds),
	faultStartMs: expectOptional(milliseconds, 0),
	faultEndMs: expectOptional(milliseconds, maxMs),
	affected: expectOptional(expectNumber({min: 0, max: maxCount}), 0),
	slowdown: expectOptional(count, 1),
	coldConcurrency: expectOptional(expectNumber({min: 0, max: maxCount}), 0),
	hotPercent: expectOptional(expectNumber({min: 0, max: 100}), 0),
});
