import {judgeClocks} from './clocks.js';
import type {LogLine} from './log-line.js';
import {
	getNumber, getText, listTries, type Try,
} from './members.js';
import {formatTime, judgeMissing, type LogCoverage} from './missing-line.js';
import {getReason, isOfServer} from './reasons.js';
import {findMove, isOfController, type TraceQuestion} from './nearby-lines.js';
import type {TraceFindings} from './trace-search.js';

/**
How well the logs tell why a request failed. `explained`: other lines bear the reason out. `stated`: the reason stands
in a line of the request alone. `omitted`: its line may be among those that the log's bound left out. `not-collected`:
the lines of that time are not among those read. `not-logged`: the logs are whole there and have no line.
*/
export type CauseKind = 'explained' | 'stated' | 'omitted' | 'not-collected' | 'not-logged' | 'unknown';

/** Why a request ended as it did, as far as the logs tell. */
export type Cause = {
	readonly kind: CauseKind;
	readonly reason: string | undefined;
	readonly status: number | undefined;
	readonly text: string;
	/** The lines nearest to the end of the request that bear the reason out. */
	readonly evidence: readonly LogLine[];
	readonly notes: readonly string[];
};

const maxEvidence = 3;

/** What comes longer after the end than this does not bear it out, in milliseconds: clocks differ, and a loss is noticed late. */
const maxAfterMs = 1000;

/** A connection lost to an address of an unknown VM counts this near to the end, in milliseconds. */
const maxUnknownPeerMs = 1000;

/** Statuses of answers that nodes give themselves. */
const nodeStatuses: ReadonlySet<number> = new Set([400, 404, 413, 431, 502, 503, 504]);

const entryEvents = ['request-refused', 'request-unknown', 'request-rejected', 'request-cancelled'];
const peerReasons: ReadonlySet<string> = new Set(['peer-lost', 'peer-unreachable', 'timeout']);

/** Derives the cause from the lines of a request and those around it. */
export function deriveCause(question: TraceQuestion, findings: TraceFindings, around: readonly LogLine[]): Cause {
	const own = findings.lines.filter(line => line.data.requestId === question.requestId);
	const ends = own.filter(({event}) => entryEvents.includes(event));
	const entry = ends.at(-1);
	const coverage: LogCoverage = {spans: findings.spans, around};
	const earlier = ends.slice(0, -1).map(line => `an earlier attempt ended at ${formatTime(line.timeMs)}: ${getText(line, 'reason')}`);
	const notes = [...reportCalls(question, findings), ...earlier, ...judgeClocks(own, entry)];
	const server = own.findLast(({event}) => event.startsWith('owner-'));
	if (entry !== undefined) {
		return deriveFromEntry(entry, own, {coverage, notes, vmOfAddress: findings.vmOfAddress});
	}

	return server === undefined ? deriveWithoutLines(question, coverage, notes) : deriveFromServer(server, question, {coverage, notes});
}

type Context = {
	readonly coverage: LogCoverage;
	readonly notes: readonly string[];
};

type EntryContext = Context & {
	readonly vmOfAddress: ReadonlyMap<string, string>;
};

function deriveFromEntry(entry: LogLine, own: readonly LogLine[], {coverage, notes, vmOfAddress}: EntryContext): Cause {
	const reason = getText(entry, 'reason') ?? 'no reason';
	const status = getNumber(entry, 'status');
	const tries = listTries(entry);
	const evidence = pickEvidence(entry, reason, {own, around: coverage.around, vmOfAddress});
	const missing = tries.filter(attempt => isOfServer(attempt.reason) && attempt.vmId !== entry.vmId && own.every(line => line.vmId !== attempt.vmId))
		.map(({vmId}) => `no line of ${vmId} for this request: ${judgeMissing({vmId, timeMs: entry.timeMs, events: ['owner-refused', 'owner-lost']}, coverage).text}`);
	const isAboutPeers = peerReasons.has(reason);
	const ended = isAboutPeers ? reportEnded(tries, entry, coverage) : [];
	const uncollected = isAboutPeers ? reportUncollected(tries, entry, coverage) : [];
	const verb = {'request-refused': 'refused', 'request-unknown': 'outcome unknown', 'request-rejected': 'rejected'}[entry.event] ?? 'cancelled';
	const noTries = reason === 'timeout' ? 'no node that it was offered to had ended it' : 'no node was asked';
	const tried = tries.length === 0 ? noTries : `tried ${tries.map(({vmId, reason: why}) => why === undefined ? vmId : `${vmId} (${why})`).join(', ')}`;
	const meaning = entry.event === 'request-rejected' ? 'the request itself cannot be served' : getReason(reason).meaning;
	return {
		kind: evidence.length + ended.length > 0 ? 'explained' : 'stated',
		reason,
		status,
		text: [
			`${verb}${status === undefined ? '' : ` (${status})`} at ${entry.vmId ?? 'a node'}: ${reason}, ${meaning}`, tried, ...ended, ...evidence.map(line => reportEvidence(line, entry)),
		].join('; '),
		evidence,
		notes: [...notes, ...missing, ...uncollected],
	};
}

function deriveFromServer(server: LogLine, {entryVm}: TraceQuestion, {coverage, notes}: Context): Cause {
	const reason = getText(server, 'reason') ?? 'no reason';
	const missing = entryVm === undefined
		? 'the line of the entry node is missing, and nobody said which node that is (--entry)'
		: `the line of the entry node is missing: ${judgeMissing({vmId: entryVm, timeMs: server.timeMs, events: entryEvents}, coverage).text}`;
	return {
		kind: 'stated',
		reason,
		status: undefined,
		text: [
			`${server.event === 'owner-lost' ? 'lost' : 'refused'} at ${server.vmId ?? 'a node'}: ${reason}, ${getReason(reason).meaning}`,
			reportEvidence(server, server),
			'what the caller was told is not in the logs',
		].join('; '),
		evidence: [server],
		notes: [...notes, missing],
	};
}

function deriveWithoutLines({sentMs, entryVm, status}: TraceQuestion, coverage: LogCoverage, notes: readonly string[]): Cause {
	const base = {
		reason: undefined, status, evidence: [], notes,
	};
	if (status !== undefined && !nodeStatuses.has(status)) {
		return {...base, kind: 'not-logged', text: `not in these logs: no node answers ${status} by itself, so a backend server did; nodes count answers, but don't log them`};
	}

	if (sentMs === undefined || entryVm === undefined) {
		return {...base, kind: 'unknown', text: 'not in these logs: no line carries the id; say with --at and --entry when and to which VM it was sent'};
	}

	const counted = `buckthornpoint_requests_total of ${entryVm} counts the reasons of that time`;
	const missing = judgeMissing({vmId: entryVm, timeMs: sentMs, events: entryEvents}, coverage);
	switch (missing.kind) {
		case 'omitted': {
			return {...base, kind: 'omitted', text: `not in these logs: ${missing.text}; that of this request may be among them; ${counted}`};
		}

		case 'not-collected': {
			return {...base, kind: 'not-collected', text: `not in these logs: ${missing.text}; ${counted}`};
		}

		case 'none': {
			return {...base, kind: 'not-logged', text: `not in these logs: ${missing.text}; a backend server answered it, its caller left, or it never came there; ${counted}`};
		}
	}
}

function reportCalls({requestId}: TraceQuestion, {lines}: TraceFindings): readonly string[] {
	const calls = new Set(lines.map(({data}) => data.requestId).filter(id => id !== requestId));
	return calls.size === 0 ? [] : [`${calls.size} calls made for the request have lines as well; trace their ids for their causes`];
}

/** The nearest lines to the end of the request that bear its reason out. */
function pickEvidence(entry: LogLine, name: string, {own, around, vmOfAddress}: EvidenceOpts): readonly LogLine[] {
	const reason = getReason(name);
	const servers = new Set(listTries(entry).filter(attempt => attempt.reason === name).map(({vmId}) => vmId));
	const isEvidence = (line: LogLine): boolean => {
		const isOfTried = line.vmId !== undefined && servers.has(line.vmId) && reason.server?.includes(line.event) === true;
		const isOfEntry = line.vmId === entry.vmId && reason.entry?.includes(line.event) === true;
		const isOfAny = reason.any?.includes(line.event) === true && isOfController(line);
		return (isOfTried || isOfEntry || isOfAny) && line.timeMs <= entry.timeMs + maxAfterMs && (line.event !== 'peer-failed' || isAboutPeer(line, entry, {servers, vmOfAddress}));
	};

	const candidates = [...own.filter(line => line.event.startsWith('owner-')), ...around.filter(line => isEvidence(line))];
	return candidates.toSorted((left, right) => rankLine(left, entry) - rankLine(right, entry)).slice(0, maxEvidence);
}

type EvidenceOpts = {
	readonly own: readonly LogLine[];
	readonly around: readonly LogLine[];
	readonly vmOfAddress: ReadonlyMap<string, string>;
};

type PeerOpts = {
	readonly servers: ReadonlySet<string>;
	readonly vmOfAddress: ReadonlyMap<string, string>;
};

/** A lost connection matters where it was to a node that the request was offered to. */
function isAboutPeer(line: LogLine, entry: LogLine, {servers, vmOfAddress}: PeerOpts): boolean {
	const peer = vmOfAddress.get(getText(line, 'vmId') ?? '');
	return peer === undefined || servers.size === 0 ? Math.abs(line.timeMs - entry.timeMs) <= maxUnknownPeerMs : servers.has(peer);
}

/** Lines of the request and the move of its key go first; then the nearest ones do. */
function rankLine(line: LogLine, entry: LogLine): number {
	const isDirect = line.data.requestId === entry.data.requestId || getText(line, 'kind') === 'moves-planned';
	return Math.abs(line.timeMs - entry.timeMs) - (isDirect ? Number.MAX_SAFE_INTEGER / 2 : 0);
}

/** A node whose lines end before the request does may have ended. */
function reportEnded(tries: readonly Try[], entry: LogLine, {spans}: LogCoverage): readonly string[] {
	return tries.flatMap(({vmId}) => {
		const span = spans.get(vmId);
		return span !== undefined && span.lastMs < entry.timeMs
			? [`the last line of ${vmId} is from ${formatTime(span.lastMs)}, ${((entry.timeMs - span.lastMs) / 1000).toFixed(1)} s before the end`]
			: [];
	});
}

/** The lines of a node that was not reached would say whether it ended or restarted. */
function reportUncollected(tries: readonly Try[], entry: LogLine, coverage: LogCoverage): readonly string[] {
	const unseen = tries.filter(({vmId}) => (coverage.spans.get(vmId)?.firstMs ?? Number.POSITIVE_INFINITY) > entry.timeMs);
	return unseen.map(({vmId}) => judgeMissing({vmId, timeMs: entry.timeMs, events: []}, coverage))
		.map(({text}) => `whether that node ended or restarted is not known: ${text}`);
}

function reportEvidence(line: LogLine, entry: LogLine): string {
	const beforeMs = entry.timeMs - line.timeMs;
	const when = line === entry ? '' : ` ${Math.abs(beforeMs)} ms ${beforeMs >= 0 ? 'before' : 'after'}`;
	const writer = line.vmId ?? 'an unnamed node';
	switch (line.event) {
		case 'owner-refused': {
			const load = `${getNumber(line, 'outstanding')} requests, ${getNumber(line, 'slots')} slots, ${getNumber(line, 'serviceMs')} ms a run`;
			return `${writer} refused it as ${getText(line, 'reason')}${when} (${load})`;
		}

		case 'owner-lost': {
			return `${writer} ended it${when}: ${getText(line, 'reason')}`;
		}

		case 'peer-failed': {
			return `${writer} lost ${getText(line, 'vmId')}${when}: ${getText(line, 'message')}`;
		}

		case 'backend-state': {
			return `the server of ${writer} became ${getText(line, 'state')}${when}: ${getText(line, 'reason')}`;
		}

		case 'control-event': {
			const move = findMove(line, getNumber(entry, 'key') ?? -1);
			return `${writer} ${getText(line, 'kind')}${move === undefined ? '' : ` ${move}`}${when}`;
		}

		default: {
			return `${writer} ${line.event}${when}`;
		}
	}
}
