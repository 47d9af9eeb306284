import {parseLogLine, type LogLine} from './log-line.js';
import {getNumber, getText, listTries} from './members.js';
import {sortByTime, type TraceFindings} from './trace-search.js';

/** What the operator asks about, and what whoever complains knows. */
export type TraceQuestion = {
	readonly requestId: string;
	/** How far around the request other lines are looked for, in milliseconds. */
	readonly windowMs: number;
	/** When the request was sent. */
	readonly sentMs: number | undefined;
	/** The VM that it was sent to. */
	readonly entryVm: string | undefined;
	/** The status of the answer. */
	readonly status: number | undefined;
};

/** Which lines may explain a request. */
export type Scope = {
	readonly fromMs: number;
	readonly toMs: number;
	/** The VMs that the request passed or was meant for. */
	readonly vmIds: ReadonlySet<string>;
	readonly keys: ReadonlySet<number>;
	/** Whether the request failed for want of an owner, so that the controller's lines matter wherever it ran. */
	readonly isAboutOwners: boolean;
};

/** Events that say how a node, its backend server, its links or what it knows changed. */
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
/** What a controller does to the owners of keys. */
const controllerKinds: ReadonlySet<string | undefined> = new Set(['took-over', 'stepped-down', 'maps-written', 'moves-planned']);

/** Lines around a request that are kept. */
const maxLines = 1000;

/** How long after a span that omitted lines the line that says so is looked for, in milliseconds: it comes with the next line after a second. */
export const omittedDelayMs = 2000;

/** Returns the time, VMs and keys to look at; undefined where neither the logs nor the question name a moment. */
export function deriveScope({lines}: TraceFindings, {windowMs, sentMs, entryVm}: TraceQuestion): Scope | undefined {
	const times = lines.flatMap(line => [line.timeMs, line.timeMs - (getNumber(line, 'tookMs') ?? 0)]);
	const moments = lines.length === 0 && sentMs !== undefined ? [sentMs] : times;
	if (moments.length === 0) {
		return undefined;
	}

	const vmIds = [...lines.map(({vmId}) => vmId), ...lines.flatMap(line => listTries(line).map(({vmId}) => vmId)), entryVm];
	const reasons = lines.flatMap(line => [getText(line, 'reason'), ...listTries(line).map(({reason}) => reason)]);
	return {
		fromMs: Math.min(...moments) - windowMs,
		toMs: Math.max(...moments) + Math.max(windowMs, omittedDelayMs),
		vmIds: new Set(vmIds.filter(vmId => vmId !== undefined)),
		keys: new Set(lines.map(line => getNumber(line, 'key')).filter(key => key !== undefined)),
		isAboutOwners: reasons.some(reason => ownerReasons.has(reason)),
	};
}

/** Reads the logs for the second time: finds the lines around a request that may explain it. */
export class SurroundingsSearch {
	readonly #scope: Scope;
	readonly #findings: TraceFindings;
	readonly #lines: LogLine[] = [];
	#linesLeftOut = 0;

	constructor(scope: Scope, findings: TraceFindings) {
		this.#scope = scope;
		this.#findings = findings;
	}

	/** Takes the next line of a source. */
	noteText(text: string | undefined, source: string): void {
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

	/** Returns the lines found so far, in order of time. */
	getLines(): readonly LogLine[] {
		return sortByTime(this.#lines);
	}

	/** Returns how many lines were found beyond the bound of what is kept. */
	countLeftOut(): number {
		return this.#linesLeftOut;
	}

	/** A collector's prefix may name the writer; otherwise the source may have but one. */
	#findWriter({prefix}: LogLine, source: string): string | undefined {
		const {spans, vmOfSource} = this.#findings;
		return prefix.split(/[^\p{L}\p{N}._\-]+/v).find(word => spans.has(word)) ?? vmOfSource.get(source);
	}

	#isExplaining(line: LogLine): boolean {
		const {fromMs, toMs, vmIds, isAboutOwners} = this.#scope;
		if (!isExplainingEvent(line) || line.timeMs < fromMs || line.timeMs > toMs) {
			return false;
		}

		const isController = isAboutOwners && isOfController(line);
		const isNamed = line.vmId === undefined || vmIds.has(line.vmId) || vmIds.size === 0;
		return (isNamed || isController) && this.#isAboutKeys(line);
	}

	/** Moves matter only where they take a key of the request. */
	#isAboutKeys(line: LogLine): boolean {
		return getText(line, 'kind') !== 'moves-planned' || [...this.#scope.keys].some(key => findMove(line, key) !== undefined);
	}
}

/** Tells whether a line is of a kind that may explain a request. */
export function isExplainingEvent({event}: LogLine): boolean {
	return explainingEvents.has(event);
}

/** Tells whether a line says what a controller did to the owners of keys. */
export function isOfController(line: LogLine): boolean {
	return line.event === 'control-event' && controllerKinds.has(getText(line, 'kind'));
}

/** Returns the planned move that takes a key: `FROM-TO OWNER>TARGET`. */
export function findMove(line: LogLine, key: number): string | undefined {
	const moves = /"moves":"(?<moves>[^"]*)/v.exec(getText(line, 'detail') ?? '')?.groups?.moves ?? '';
	return moves.match(/\d+-\d+ \S+/gv)?.find(move => {
		const [from = 0, to = -1] = move.split(/[\- ]/v, 2).map(Number);
		return from <= key && key <= to;
	});
}
