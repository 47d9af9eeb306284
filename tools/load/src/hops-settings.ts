import {decodeDocument, expectInteger} from '@buckthornpoint/documents/decoders.js';
import {parseDocument} from '@buckthornpoint/documents/documents.js';
import {expectRequired, expectObject} from '@buckthornpoint/documents/objects.js';
import type {Finding} from '@buckthornpoint/errors/findings.js';
import type {Result} from 'neverthrow';

/** Settings of the hop benchmark, which compares the direct path with the paths through one and two nodes. */
export type HopsSettings = {
	readonly seed: number;
	/** Concurrent requests that the backend server accepts. */
	readonly slots: number;
	/** Time that the backend server takes for a request. */
	readonly serviceTimeMs: number;
	/** Number of processes that send the load. */
	readonly senders: number;
	/** Calls that all senders together keep pending in the closed-loop load that finds saturation. */
	readonly concurrency: number;
	readonly warmUpMs: number;
	readonly saturationMs: number;
	/** Duration of the open-loop load, whose rate is half of the saturation of the path through two nodes. */
	readonly latencyMs: number;
};

const maxMs = 120_000;

/** Decodes the settings from JSON with comments. */
export function parseHopsSettings(text: string, file: string): Result<HopsSettings, readonly Finding[]> {
	return parseDocument(text, file).andThen(document => decodeDocument(document, expectObject<HopsSettings>({
		seed: expectRequired(expectInteger({min: 0, max: 1_000_000})),
		slots: expectRequired(expectInteger({min: 1, max: 1000})),
		serviceTimeMs: expectRequired(expectInteger({min: 0, max: maxMs})),
		senders: expectRequired(expectInteger({min: 1, max: 8})),
		concurrency: expectRequired(expectInteger({min: 1, max: 1000})),
		warmUpMs: expectRequired(expectInteger({min: 0, max: maxMs})),
		saturationMs: expectRequired(expectInteger({min: 1, max: maxMs})),
		latencyMs: expectRequired(expectInteger({min: 1, max: maxMs})),
	})));
}
