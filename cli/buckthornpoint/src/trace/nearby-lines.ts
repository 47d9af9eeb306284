import {parseLogLine, type LogLine} from './log-line.js';
import {getNumber, getString, listAttempts} from './members.js';
import {sortByTime, type TraceFindings} from './trace-search.js';

/** The request to trace, with what its caller reported about it. */
export type TraceQuery = {
	readonly requestId: string;
	/** How long before and after the request other lines are searched for. */
	readonly windowMs: number;
	/** When the request was sent. */
	readonly sentMs: number | undefined;
	/** The VM that the request was sent to. */
	readonly entryVm: string | undefined;
	/** The status of the answer. */
	readonly status: number | undefined;
};

/** Criteria for the lines that may explain the result of a request. */
export type Scope = {
	readonly fromMs: number;
	readonly toMs: number;
	/** The VMs that logged the request, those that it was sent to, and the entry VM. */
	readonly vmIds: ReadonlySet<string>;
	readonly keys: ReadonlySet<number>;
	/** Whether the request failed because its key had no owner: then the lines of the controller are relevant, on whichever node it ran. */
	readonly isAboutOwners: boolean;
};

/** Events that report a change of a node, its backend server, its connections, its configuration or its routes. */
const explainingEvents: ReadonlySet<string> = new Set([
	'node-started',
	'node-stopping',
	'node-stopped',
	'peer-failed',
	'backend-state',
	'ranges-assigned',
	'store-lost',
	'store-regained',
	'log-omitted',
	'control-event',
	'routes-in-force',
	'evacuation',
	'grant-shortened',
	'announcement-ignored',
	'operator-row-invalid',
	'settings-reloaded',
	'internal-error',
]);

const ownerReasons: ReadonlySet<string | undefined> = new Set(['not-held', 'no-owner', 'no-node', 'no-configuration']);
/** Kinds of `control-event` with which a controller changes the owners of keys. */
const ownershipChangeKinds: ReadonlySet<string | undefined> = new Set(['took-over', 'stepped-down', 'maps-written', 'moves-planned']);

/** Maximum number of nearby lines that are kept; further lines are only counted. */
const maxLines = 1000;

/** How long after a request a `log-omitted` line is searched for. The log counts omitted lines over 1 s and writes the counts before the first line after that. */
export const omittedDelayMs = 2000;

/** Returns the time, VMs and keys to search for; undefined if neither the logs nor the query give a time. */
export function deriveScope({lines}: TraceFindings, {windowMs, sentMs, entryVm}: TraceQuery): Scope | undefined {
	const times = lines.flatMap(line => [line.timeMs, line.timeMs - (getNumber(line, 'tookMs') ?? 0)]);
	const knownTimes = lines.length === 0 && sentMs !== undefined ? [sentMs] : times;
	if (knownTimes.length === 0) {
		return undefined;
	}

	const vmIds = [...lines.map(({vmId}) => vmId), ...lines.flatMap(line => listAttempts(line).map(({vmId}) => vmId)), entryVm];
	const reasons = lines.flatMap(line => [getString(line, 'reason'), ...listAttempts(line).map(({reason}) => reason)]);
	return {
		fromMs: Math.min(...knownTimes) - windowMs,
		toMs: Math.max(...knownTimes) + Math.max(windowMs, omittedDelayMs),
		vmIds: new Set(vmIds.filter(vmId => vmId !== undefined)),
		keys: new Set(lines.map(line => getNumber(line, 'key')).filter(key => key !== undefined)),
		isAboutOwners: reasons.some(reason => ownerReasons.has(reason)),
	};
}

/** Second pass over the logs: finds the lines near a request in time that may explain its result. */
export class NearbyLineSearch {
	readonly #scope: Scope;
	readonly #findings: TraceFindings;
	readonly #lines: LogLine[] = [];
	#linesLeftOut = 0;

	constructor(scope: Scope, findings: TraceFindings) {
		this.#scope = scope;
		this.#findings = findings;
	}

	/** Records the next line of a source; undefined for a line that was too long. */
	recordLine(text: string | undefined, source: string): void {
		const line = text === undefined ? undefined : parseLogLine(text);
		const attributed = line === undefined ? undefined : {...line, vmId: line.vmId ?? this.#findWriter(line, source)};
		if (attributed === undefined || !this.#isExplaining(attributed)) {
			return;
		}

		if (this.#lines.length < maxLines) {
			this.#lines.push(attributed);
		} else {
			this.#linesLeftOut++;
		}
	}

	/** Returns the lines found so far, ordered by time. */
	getLines(): readonly LogLine[] {
		return sortByTime(this.#lines);
	}

	/** Returns how many lines were found in excess of the limit. */
	countLeftOut(): number {
		return this.#linesLeftOut;
	}

	/** Finds the writer of a line in the prefix of the collector, or takes the only VM of the source. */
	#findWriter({prefix}: LogLine, source: string): string | undefined {
		const {spans, vmOfSource} = this.#findings;
		return prefix.split(/[^\p{L}\p{N}._\-]+/v).find(word => spans.has(word)) ?? vmOfSource.get(source);
	}

	#isExplaining(line: LogLine): boolean {
		const {fromMs, toMs, vmIds, isAboutOwners} = this.#scope;
		if (!isExplainingEvent(line) || line.timeMs < fromMs || line.timeMs > toMs) {
			return false;
		}

		const isController = isAboutOwners && isOwnershipChange(line);
		const isNamed = line.vmId === undefined || vmIds.has(line.vmId) || vmIds.size === 0;
		return (isNamed || isController) && this.#isAboutKeys(line);
	}

	/** Returns false for planned moves that move no key of the request. */
	#isAboutKeys(line: LogLine): boolean {
		return getString(line, 'kind') !== 'moves-planned' || [...this.#scope.keys].some(key => findMove(line, key) !== undefined);
	}
}

/** Returns whether the event of a line may explain the result of a request. */
export function isExplainingEvent({event}: LogLine): boolean {
	return explainingEvents.has(event);
}

/** Returns whether a line reports that a controller changed the owners of keys. */
export function isOwnershipChange(line: LogLine): boolean {
	return line.event === 'control-event' && ownershipChangeKinds.has(getString(line, 'kind'));
}

/** Returns the planned move that contains a key, in the form `FROM-TO OWNER>TARGET`. */
export function findMove(line: LogLine, key: number): string | undefined {
	const moves = /"moves":"(?<moves>[^"]*)/v.exec(getString(line, 'detail') ?? '')?.groups?.moves ?? '';
	return moves.match(/\d+-\d+ \S+/gv)?.find(move => {
		const [from = 0, to = -1] = move.split(/[\- ]/v, 2).map(Number);
		return from <= key && key <= to;
	});
}
