import {hasPassed, addMilliseconds, type Moment} from '@buckthornpoint/clock/clock.js';
import type {RequestResult} from '@buckthornpoint/types/requests.js';
import {readIssueTime} from './request-id.js';

/** Limits of a record. */
export type OutcomeRecordOpts = {
	/** How long an outcome is kept, in milliseconds. */
	readonly windowMs: number;
	/** By how much the clock of an issuer of request ids may differ from the node's, in milliseconds. */
	readonly maxSkewMs: number;
	/** The most request ids that are kept. */
	readonly maxEntries: number;
	/** The most bytes of answers that are kept. */
	readonly maxBytes: number;
};

/** Limits for one node. */
export const defaultOutcomeRecordOpts: OutcomeRecordOpts = {
	windowMs: 120_000, maxSkewMs: 500, maxEntries: 200_000, maxBytes: 33_554_432,
};

/** One sending of a non-idempotent request. */
export type Sending = {
	readonly requestId: string;
	/** Grows with each sending of the same id. A refusal of one holds for all earlier ones, which may arrive late. */
	readonly attempt: number;
	/** Hash of method, path and body. */
	readonly fingerprint: string;
};

/** What the record says of a sending that wants to run. */
export type SendingVerdict
	/** The id is new here: it is recorded as running, and `complete` must follow. */
	= | {readonly kind: 'begun'}
	/** The same request runs; its result is the result of this sending too. */
		| {readonly kind: 'running'}
	/** It ran. The result is absent when its answer is no longer kept. */
		| {readonly kind: 'finished'; readonly result: RequestResult | undefined}
	/** The id belongs to another request. */
		| {readonly kind: 'reused'}
	/** A later sending, or a question for the outcome, was told before that this one did not run; it must not run now. */
		| {readonly kind: 'refused'; readonly proved: boolean}
	/** The id is no UUIDv7: no node ever runs it. */
		| {readonly kind: 'invalid-id'}
	/** The id is as old as others that the record has forgotten, or its issuer's clock runs ahead. */
		| {readonly kind: 'unknown'};

/** What the record knows of an id, without changing anything. */
export type KnownOutcome
	= | {readonly state: 'never-seen' | 'running' | 'unknown'}
		| {readonly state: 'refused'; readonly proved: boolean}
		| {readonly state: 'finished'; readonly result: RequestResult | undefined};

type Entry = {
	readonly issueTimeMs: number;
	readonly expiry: Moment;
	readonly fingerprint: string;
	readonly content:
		| {readonly kind: 'running'}
		| {readonly kind: 'finished'; readonly result: RequestResult | undefined}
		| {readonly kind: 'refused'; readonly attempt: number; readonly proved: boolean};
};

/**
 * The request ids that one run of a node has seen, with their outcomes, bounded by time, number and bytes. An id that
 * might have been forgotten is never taken for a new one.
 */
export class OutcomeRecord {
	readonly #opts: OutcomeRecordOpts;
	/** Ordered by when the id was seen first. */
	readonly #entries = new Map<string, Entry>();
	/** Bytes of the kept answers by id, oldest first. */
	readonly #answerBytes = new Map<string, number>();
	#totalBytes = 0;
	/** The latest issue time of a forgotten id, in milliseconds since the Unix epoch. */
	#forgottenMs = Number.NEGATIVE_INFINITY;

	constructor(opts: OutcomeRecordOpts = defaultOutcomeRecordOpts) {
		this.#opts = opts;
	}

	/** Admits a sending if its id is new, and says otherwise what became of the id. */
	admit(sending: Sending, now: Moment): SendingVerdict {
		this.#expire(now);
		const issueTimeMs = readIssueTime(sending.requestId);
		if (issueTimeMs === undefined) {
			return {kind: 'invalid-id'};
		}

		const entry = this.#entries.get(sending.requestId);
		if (entry !== undefined && !mayBeginAgain(entry, sending)) {
			return judgeKnown(entry, sending);
		}

		if (entry === undefined && this.#mayHaveForgotten(issueTimeMs, now)) {
			return {kind: 'unknown'};
		}

		this.#store(sending, issueTimeMs, now, {kind: 'running'});
		return {kind: 'begun'};
	}

	/** Records the result of a sending that was admitted. One that is proved not to have run may be sent again. */
	complete(sending: Sending, result: RequestResult, now: Moment): void {
		if (result.kind === 'failure' && result.outcome === 'not-run') {
			this.refuse(sending, true, now);
			return;
		}

		const issueTimeMs = readIssueTime(sending.requestId) ?? 0;
		this.#store(sending, issueTimeMs, now, {kind: 'finished', result});
		const bytes = result.kind === 'answer' ? result.body.length : 0;
		this.#answerBytes.set(sending.requestId, bytes);
		this.#totalBytes += bytes;
		this.#removeAnswers();
	}

	/** Refuses this sending and all earlier ones of the id, should they arrive late. `proved`: none of them ran anywhere. */
	refuse(sending: Sending, proved: boolean, now: Moment): void {
		const issueTimeMs = readIssueTime(sending.requestId) ?? 0;
		const earlier = this.#entries.get(sending.requestId)?.content;
		const attempt = earlier?.kind === 'refused' ? Math.max(earlier.attempt, sending.attempt) : sending.attempt;
		this.#store(sending, issueTimeMs, now, {kind: 'refused', attempt, proved});
	}

	/** Returns what is known of an id. */
	findOutcome(requestId: string, now: Moment): KnownOutcome {
		const entry = this.#entries.get(requestId);
		if (entry === undefined) {
			const issueTimeMs = readIssueTime(requestId);
			return {state: issueTimeMs === undefined || this.#mayHaveForgotten(issueTimeMs, now) ? 'unknown' : 'never-seen'};
		}

		const {content} = entry;
		switch (content.kind) {
			case 'running': {
				return {state: 'running'};
			}

			case 'finished': {
				return {state: 'finished', result: content.result};
			}

			case 'refused': {
				return {state: 'refused', proved: content.proved};
			}
		}
	}

	/** Tells whether an id was certainly issued after the moment, however far the two clocks are apart within the bound. */
	isIssuedAfter(requestId: string, moment: Moment): boolean {
		const issueTimeMs = readIssueTime(requestId);
		return issueTimeMs !== undefined && issueTimeMs - this.#opts.maxSkewMs >= moment.wallMs;
	}

	/** Returns how many ids are kept. */
	countEntries(): number {
		return this.#entries.size;
	}

	#store(sending: Sending, issueTimeMs: number, now: Moment, content: Entry['content']): void {
		this.#entries.set(sending.requestId, {
			issueTimeMs, expiry: addMilliseconds(now, this.#opts.windowMs), fingerprint: sending.fingerprint, content,
		});
	}

	#mayHaveForgotten(issueTimeMs: number, now: Moment): boolean {
		return issueTimeMs <= this.#forgottenMs || issueTimeMs > now.wallMs + this.#opts.maxSkewMs;
	}

	#expire(now: Moment): void {
		for (const [requestId, entry] of this.#entries) {
			const mayStay = this.#entries.size <= this.#opts.maxEntries && !hasPassed(entry.expiry, now);
			if (mayStay) {
				return;
			}

			if (entry.content.kind !== 'running') {
				this.#expireEntry(requestId, entry);
			}
		}
	}

	#expireEntry(requestId: string, entry: Entry): void {
		this.#forgottenMs = Math.max(this.#forgottenMs, entry.issueTimeMs);
		this.#entries.delete(requestId);
		this.#totalBytes -= this.#answerBytes.get(requestId) ?? 0;
		this.#answerBytes.delete(requestId);
	}

	#removeAnswers(): void {
		for (const [requestId, bytes] of this.#answerBytes) {
			if (this.#totalBytes <= this.#opts.maxBytes) {
				return;
			}

			const entry = this.#entries.get(requestId);
			if (entry !== undefined) {
				this.#entries.set(requestId, {...entry, content: {kind: 'finished', result: undefined}});
			}

			this.#answerBytes.delete(requestId);
			this.#totalBytes -= bytes;
		}
	}
}

function mayBeginAgain(entry: Entry, sending: Sending): boolean {
	const {content} = entry;
	return content.kind === 'refused' && content.proved && sending.attempt > content.attempt && hasSameFingerprint(entry, sending);
}

function judgeKnown(entry: Entry, sending: Sending): SendingVerdict {
	if (!hasSameFingerprint(entry, sending)) {
		return {kind: 'reused'};
	}

	return entry.content;
}

/** A refusal that came from a question for the outcome knows no fingerprint. */
function hasSameFingerprint(entry: Entry, sending: Sending): boolean {
	return entry.fingerprint === '' || entry.fingerprint === sending.fingerprint;
}
