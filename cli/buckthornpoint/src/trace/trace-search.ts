import {parseLogLine, type LogLine} from './log-line.js';
import {getString} from './members.js';

/** Time range and number of the lines that were read from one VM. */
export type VmSpan = {
	readonly firstMs: number;
	readonly lastMs: number;
	readonly lines: number;
};

/** The result of the first pass over the logs. */
export type TraceFindings = {
	/** The lines with the id of the request, and those of calls made for it (`ID.…`), ordered by time. */
	readonly lines: readonly LogLine[];
	/** How many lines with the id were left out because of the limit. */
	readonly linesLeftOut: number;
	readonly spans: ReadonlyMap<string, VmSpan>;
	/** For each source, the VM that wrote it; undefined if several VMs wrote it. */
	readonly vmOfSource: ReadonlyMap<string, string | undefined>;
	/** VM by the address of its node, from the lines `node-started`. */
	readonly vmOfAddress: ReadonlyMap<string, string>;
	readonly readLines: number;
	readonly unreadableLines: number;
};

/** Maximum number of lines with the id that are kept. A request usually has about five. */
const maxLines = 1000;

/** First pass over the logs: finds the lines of an id, and the time range of the lines of each VM. */
export class TraceSearch {
	readonly #requestId: string;
	readonly #lines: LogLine[] = [];
	readonly #spans = new Map<string, VmSpan>();
	readonly #vmOfSource = new Map<string, string | undefined>();
	readonly #vmOfAddress = new Map<string, string>();
	#linesLeftOut = 0;
	#readLines = 0;
	#unreadableLines = 0;

	constructor(requestId: string) {
		this.#requestId = requestId;
	}

	/** Records the next line of a source; undefined for a line that was too long. */
	recordLine(text: string | undefined, source: string): void {
		if (text?.trim() === '') {
			return;
		}

		this.#readLines++;
		const line = text === undefined ? undefined : parseLogLine(text);
		if (line === undefined) {
			this.#unreadableLines++;
			return;
		}

		this.#recordWriter(line, source);
		const id = getString(line, 'requestId');
		if (id !== undefined && (id === this.#requestId || id.startsWith(`${this.#requestId}.`))) {
			this.#addLine(line);
		}
	}

	/** Returns the result so far. */
	getFindings(): TraceFindings {
		return {
			lines: sortByTime(this.#lines),
			linesLeftOut: this.#linesLeftOut,
			spans: this.#spans,
			vmOfSource: this.#vmOfSource,
			vmOfAddress: this.#vmOfAddress,
			readLines: this.#readLines,
			unreadableLines: this.#unreadableLines,
		};
	}

	#addLine(line: LogLine): void {
		if (this.#lines.length < maxLines) {
			this.#lines.push(line);
		} else {
			this.#linesLeftOut++;
		}
	}

	#recordWriter(line: LogLine, source: string): void {
		const {vmId, timeMs} = line;
		if (vmId === undefined) {
			return;
		}

		const span = this.#spans.get(vmId);
		this.#spans.set(vmId, {
			firstMs: Math.min(timeMs, span?.firstMs ?? timeMs), lastMs: Math.max(timeMs, span?.lastMs ?? timeMs), lines: (span?.lines ?? 0) + 1,
		});
		const address = line.event === 'node-started' ? getString(line, 'peerOrigin') : undefined;
		if (address !== undefined) {
			this.#vmOfAddress.set(address, vmId);
		}

		const isOnly = !this.#vmOfSource.has(source) || this.#vmOfSource.get(source) === vmId;
		this.#vmOfSource.set(source, isOnly ? vmId : undefined);
	}
}

/** Sorts lines by their timestamps; lines with the same timestamp stay in the order in which they were read. */
export function sortByTime(lines: readonly LogLine[]): readonly LogLine[] {
	return lines.toSorted((left, right) => left.timeMs - right.timeMs);
}
