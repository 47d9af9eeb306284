import {checkClocks} from './clocks.js';
import type {LogLine} from './log-line.js';
import {
	getNumber, getString, listAttempts, type Attempt,
} from './members.js';
import {formatTime, classifyMissingLine, type LogCoverage} from './missing-line.js';
import {getReason, isLoggedByOwner} from './reasons.js';
import {findMove, isOwnershipChange, type TraceQuery} from './nearby-lines.js';
import type {TraceFindings} from './trace-search.js';

/**
How well the logs explain why a request failed. `explained`: other lines confirm the reason. `stated`: only the line of
the request itself gives the reason. `omitted`: its line may be among those that the log omitted because of its rate
limit. `not-collected`: the lines of that time are not among those read. `not-logged`: the logs of that time are complete
and have no line of the request. `unknown`: the time of the request or its entry VM is not given.
*/
export type CauseKind = 'explained' | 'stated' | 'omitted' | 'not-collected' | 'not-logged' | 'unknown';

/** Why a request ended as it did, as far as the logs show. */
export type Cause = {
	readonly kind: CauseKind;
	readonly reason: string | undefined;
	readonly status: number | undefined;
	readonly text: string;
	/** The lines nearest to the end of the request that confirm the reason. */
	readonly evidence: readonly LogLine[];
	readonly notes: readonly string[];
};

const maxEvidenceLines = 3;

/**
Lines logged up to this long after the end of the request may be evidence for its reason: clocks differ, and the loss of a
connection is detected late.
*/
const maxEvidenceDelayMs = 1000;

/** A lost connection to an address whose VM is unknown counts as evidence within this time before or after the end of the request. */
const unknownPeerWindowMs = 1000;

/** Statuses of answers that nodes generate themselves. */
const nodeStatuses: ReadonlySet<number> = new Set([400, 401, 404, 408, 413, 429, 431, 502, 503, 504]);

const entryEvents = ['request-refused', 'request-unknown', 'request-rejected', 'request-cancelled'];
const peerReasons: ReadonlySet<string> = new Set(['peer-lost', 'peer-unreachable', 'timeout']);

/** Derives the cause from the lines of a request and from other lines near it in time. */
export function deriveCause(query: TraceQuery, findings: TraceFindings, around: readonly LogLine[]): Cause {
	const requestLines = findings.lines.filter(line => line.data.requestId === query.requestId);
	const endLines = requestLines.filter(({event}) => entryEvents.includes(event));
	const entry = endLines.at(-1);
	const coverage: LogCoverage = {spans: findings.spans, around};
	const earlier = endLines.slice(0, -1).map(line => `an earlier attempt ended at ${formatTime(line.timeMs)}: ${getString(line, 'reason')}`);
	const notes = [...reportCalls(query, findings), ...earlier, ...checkClocks(requestLines, entry)];
	const ownerLine = requestLines.findLast(({event}) => event.startsWith('owner-'));
	if (entry !== undefined) {
		return deriveFromEntry(entry, requestLines, {coverage, notes, vmOfAddress: findings.vmOfAddress});
	}

	return ownerLine === undefined ? deriveWithoutLines(query, coverage, notes) : deriveFromOwner(ownerLine, query, {coverage, notes});
}

type CauseContext = {
	readonly coverage: LogCoverage;
	readonly notes: readonly string[];
};

type EntryContext = CauseContext & {
	readonly vmOfAddress: ReadonlyMap<string, string>;
};

function deriveFromEntry(entry: LogLine, requestLines: readonly LogLine[], {coverage, notes, vmOfAddress}: EntryContext): Cause {
	const reason = getString(entry, 'reason') ?? 'no reason';
	const status = getNumber(entry, 'status');
	const attempts = listAttempts(entry);
	const evidence = pickEvidence(entry, reason, {requestLines, around: coverage.around, vmOfAddress});
	const missing = attempts.filter(attempt => isLoggedByOwner(attempt.reason) && attempt.vmId !== entry.vmId && requestLines.every(line => line.vmId !== attempt.vmId))
		.map(({vmId}) => `no line of ${vmId} for this request: ${classifyMissingLine({vmId, timeMs: entry.timeMs, events: ['owner-refused', 'owner-lost']}, coverage).text}`);
	const isAboutPeers = peerReasons.has(reason);
	const ended = isAboutPeers ? reportEnded(attempts, entry, coverage) : [];
	const uncollected = isAboutPeers ? reportUncollected(attempts, entry, coverage) : [];
	const verb = {'request-refused': 'refused', 'request-unknown': 'outcome unknown', 'request-rejected': 'rejected'}[entry.event] ?? 'cancelled';
	const noAttempts = reason === 'timeout' ? 'no node that it was offered to had ended it' : 'no node was tried';
	const tried = attempts.length === 0 ? noAttempts : `tried ${attempts.map(({vmId, reason: why}) => why === undefined ? vmId : `${vmId} (${why})`).join(', ')}`;
	const meaning = entry.event === 'request-rejected' ? 'the request itself cannot be served' : getReason(reason).meaning;
	return {
		kind: evidence.length + ended.length > 0 ? 'explained' : 'stated',
		reason,
		status,
		text: [
			`${verb}${status === undefined ? '' : ` (${status})`} at ${entry.vmId ?? 'a node'}: ${reason}, ${meaning}`, tried, ...ended, ...evidence.map(line => formatEvidence(line, entry)),
		].join('; '),
		evidence,
		notes: [...notes, ...missing, ...uncollected],
	};
}

function deriveFromOwner(ownerLine: LogLine, {entryVm}: TraceQuery, {coverage, notes}: CauseContext): Cause {
	const reason = getString(ownerLine, 'reason') ?? 'no reason';
	const missing = entryVm === undefined
		? 'the line of the entry node is missing, and the entry node is not given (--entry)'
		: `the line of the entry node is missing: ${classifyMissingLine({vmId: entryVm, timeMs: ownerLine.timeMs, events: entryEvents}, coverage).text}`;
	return {
		kind: 'stated',
		reason,
		status: undefined,
		text: [
			`${ownerLine.event === 'owner-lost' ? 'lost' : 'refused'} at ${ownerLine.vmId ?? 'a node'}: ${reason}, ${getReason(reason).meaning}`,
			formatEvidence(ownerLine, ownerLine),
			'what the caller was told is not in the logs',
		].join('; '),
		evidence: [ownerLine],
		notes: [...notes, missing],
	};
}

function deriveWithoutLines({sentMs, entryVm, status}: TraceQuery, coverage: LogCoverage, notes: readonly string[]): Cause {
	const base = {
		reason: undefined, status, evidence: [], notes,
	};
	if (status !== undefined && !nodeStatuses.has(status)) {
		return {...base, kind: 'not-logged', text: `not in these logs: no node answers ${status} by itself, so a backend server did; nodes count answers, but don't log them`};
	}

	if (sentMs === undefined || entryVm === undefined) {
		return {...base, kind: 'unknown', text: 'not in these logs: no line has the id; give the time and the VM that the request was sent to with --at and --entry'};
	}

	const counted = `buckthornpoint_requests_total of ${entryVm} counts the reasons of that time`;
	const missing = classifyMissingLine({vmId: entryVm, timeMs: sentMs, events: entryEvents}, coverage);
	switch (missing.kind) {
		case 'omitted': {
			return {...base, kind: 'omitted', text: `not in these logs: ${missing.text}; the line of this request may be among them; ${counted}`};
		}

		case 'not-collected': {
			return {...base, kind: 'not-collected', text: `not in these logs: ${missing.text}; ${counted}`};
		}

		case 'none': {
			return {...base, kind: 'not-logged', text: `not in these logs: ${missing.text}; a backend server answered it, its caller disconnected, or it never arrived there; ${counted}`};
		}
	}
}

function reportCalls({requestId}: TraceQuery, {lines}: TraceFindings): readonly string[] {
	const callIds = new Set(lines.map(({data}) => data.requestId).filter(id => id !== requestId));
	return callIds.size === 0 ? [] : [`${callIds.size} calls made for the request have lines as well; trace their ids for their causes`];
}

/** Returns the lines nearest to the end of the request that confirm its reason. */
function pickEvidence(entry: LogLine, name: string, {requestLines, around, vmOfAddress}: EvidenceOpts): readonly LogLine[] {
	const reason = getReason(name);
	const failedVmIds = new Set(listAttempts(entry).filter(attempt => attempt.reason === name).map(({vmId}) => vmId));
	const isEvidence = (line: LogLine): boolean => {
		const isOfOwner = line.vmId !== undefined && failedVmIds.has(line.vmId) && reason.ownerEvents?.includes(line.event) === true;
		const isOfEntry = line.vmId === entry.vmId && reason.entryEvents?.includes(line.event) === true;
		const isOfController = reason.controllerEvents?.includes(line.event) === true && isOwnershipChange(line);
		return (isOfOwner || isOfEntry || isOfController) && line.timeMs <= entry.timeMs + maxEvidenceDelayMs && (line.event !== 'peer-failed' || isAboutPeer(line, entry, {failedVmIds, vmOfAddress}));
	};

	const candidates = [...requestLines.filter(line => line.event.startsWith('owner-')), ...around.filter(line => isEvidence(line))];
	return candidates.toSorted((left, right) => rankLine(left, entry) - rankLine(right, entry)).slice(0, maxEvidenceLines);
}

type EvidenceOpts = {
	readonly requestLines: readonly LogLine[];
	readonly around: readonly LogLine[];
	readonly vmOfAddress: ReadonlyMap<string, string>;
};

type PeerOpts = {
	readonly failedVmIds: ReadonlySet<string>;
	readonly vmOfAddress: ReadonlyMap<string, string>;
};

/** Returns whether a `peer-failed` line concerns a node on which the request failed. If the node is unknown, a line close to the end of the request counts. */
function isAboutPeer(line: LogLine, entry: LogLine, {failedVmIds, vmOfAddress}: PeerOpts): boolean {
	const peer = vmOfAddress.get(getString(line, 'vmId') ?? '');
	return peer === undefined || failedVmIds.size === 0 ? Math.abs(line.timeMs - entry.timeMs) <= unknownPeerWindowMs : failedVmIds.has(peer);
}

/** Ranks lines of the request and the move of its key first, then other lines by their distance to the end of the request. */
function rankLine(line: LogLine, entry: LogLine): number {
	const isDirect = line.data.requestId === entry.data.requestId || getString(line, 'kind') === 'moves-planned';
	return Math.abs(line.timeMs - entry.timeMs) - (isDirect ? Number.MAX_SAFE_INTEGER / 2 : 0);
}

/** Reports nodes whose last line is older than the end of the request: their processes may have ended. */
function reportEnded(attempts: readonly Attempt[], entry: LogLine, {spans}: LogCoverage): readonly string[] {
	return attempts.flatMap(({vmId}) => {
		const span = spans.get(vmId);
		return span !== undefined && span.lastMs < entry.timeMs
			? [`the last line of ${vmId} is from ${formatTime(span.lastMs)}, ${((entry.timeMs - span.lastMs) / 1000).toFixed(1)} s before the end`]
			: [];
	});
}

/** Reports nodes without lines before the end of the request: those lines would show whether the node ended or restarted. */
function reportUncollected(attempts: readonly Attempt[], entry: LogLine, coverage: LogCoverage): readonly string[] {
	const uncollected = attempts.filter(({vmId}) => (coverage.spans.get(vmId)?.firstMs ?? Number.POSITIVE_INFINITY) > entry.timeMs);
	return uncollected.map(({vmId}) => classifyMissingLine({vmId, timeMs: entry.timeMs, events: []}, coverage))
		.map(({text}) => `whether that node ended or restarted is not known: ${text}`);
}

function formatEvidence(line: LogLine, entry: LogLine): string {
	const beforeMs = entry.timeMs - line.timeMs;
	const when = line === entry ? '' : ` ${Math.abs(beforeMs)} ms ${beforeMs >= 0 ? 'before' : 'after'}`;
	const writer = line.vmId ?? 'an unnamed node';
	switch (line.event) {
		case 'owner-refused': {
			const load = `${getNumber(line, 'outstanding')} requests, ${getNumber(line, 'slots')} slots, ${getNumber(line, 'serviceMs')} ms a run`;
			return `${writer} refused it as ${getString(line, 'reason')}${when} (${load})`;
		}

		case 'owner-lost': {
			return `${writer} ended it${when}: ${getString(line, 'reason')}`;
		}

		case 'peer-failed': {
			return `${writer} lost ${getString(line, 'vmId')}${when}: ${getString(line, 'message')}`;
		}

		case 'backend-state': {
			return `the server of ${writer} became ${getString(line, 'state')}${when}: ${getString(line, 'reason')}`;
		}

		case 'control-event': {
			const move = findMove(line, getNumber(entry, 'key') ?? -1);
			return `${writer} ${getString(line, 'kind')}${move === undefined ? '' : ` ${move}`}${when}`;
		}

		default: {
			return `${writer} ${line.event}${when}`;
		}
	}
}
