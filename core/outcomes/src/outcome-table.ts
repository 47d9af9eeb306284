import {hasPassed, addMilliseconds, type Timestamp} from '@buckthornpoint/clock/clock.js';
import type {RequestResult} from '@buckthornpoint/types/requests.js';
import {readIssueTime} from './request-id.js';

/** Limits of an outcome table. */
export type OutcomeTableOpts = {
	/** How long an outcome is kept. */
	readonly windowMs: number;
	/** Maximum difference between the clock of the issuer of a request id and the node's. */
	readonly maxSkewMs: number;
	/** Maximum number of request ids that are kept. */
	readonly maxEntries: number;
	/** Maximum total size of the answer bodies that are kept. */
	readonly maxBytes: number;
};

/** Default limits for one node. */
export const defaultOutcomeTableOpts: OutcomeTableOpts = {
	windowMs: 120_000, maxSkewMs: 500, maxEntries: 200_000, maxBytes: 33_554_432,
};

/** One attempt to execute a non-idempotent request. */
export type RequestAttempt = {
	readonly requestId: string;
	/**
	 * Increases with each attempt of the same id. Refusing one attempt also refuses all earlier ones, which may arrive
	 * later.
	 */
	readonly attempt: number;
	/** Hash of method, path and body. */
	readonly fingerprint: string;
};

/** Whether an attempt is admitted, or why it is not. */
export type AdmissionResult
	/** The attempt is admitted: it is recorded as running, and `complete` must follow. */
	= | {readonly kind: 'begun'}
	/** The same request is running; its result is also the result of this attempt. */
		| {readonly kind: 'running'}
	/** The request has run. The result is absent when its answer is no longer kept. */
		| {readonly kind: 'finished'; readonly result: RequestResult | undefined}
	/** The id was used for a request with another fingerprint. */
		| {readonly kind: 'reused'}
	/**
	 * The attempt must not run, because it was already reported as not run, to a later attempt or to an outcome query.
	 * `proved`: no node has run the refused attempt or an earlier one.
	 */
		| {readonly kind: 'refused'; readonly proved: boolean}
	/** The id is not a UUIDv7; no node executes such a request. */
		| {readonly kind: 'invalid-id'}
	/**
	 * The id may have been evicted, since an id that was issued at the same time or later has been, or its issue time
	 * lies in the future.
	 */
		| {readonly kind: 'unknown'};

/** The recorded state of a request id. */
export type KnownOutcome
	= | {readonly state: 'never-seen' | 'running' | 'unknown'}
		| {readonly state: 'refused'; readonly proved: boolean}
		| {readonly state: 'finished'; readonly result: RequestResult | undefined};

type Entry = {
	readonly issueTimeMs: number;
	readonly expiry: Timestamp;
	readonly fingerprint: string;
	readonly content:
		| {readonly kind: 'running'}
		| {readonly kind: 'finished'; readonly result: RequestResult | undefined}
		| {readonly kind: 'refused'; readonly attempt: number; readonly proved: boolean};
};

/**
 * The request ids that one node instance has seen, with their outcomes, bounded by age, number and size. An id that may
 * have been evicted is never treated as new.
 */
export class OutcomeTable {
	readonly #opts: OutcomeTableOpts;
	/** Ordered by when the id was first seen. */
	readonly #entries = new Map<string, Entry>();
	/** Size in bytes of each kept answer by request id, oldest first. */
	readonly #answerBytes = new Map<string, number>();
	#totalBytes = 0;
	/** The latest issue time of an evicted id, in milliseconds since the Unix epoch. */
	#latestEvictedIssueTimeMs = Number.NEGATIVE_INFINITY;

	constructor(opts: OutcomeTableOpts = defaultOutcomeTableOpts) {
		this.#opts = opts;
	}

	/** Admits an attempt if its id is new or no earlier attempt of it has run; otherwise returns the state of the id. */
	admit(request: RequestAttempt, now: Timestamp): AdmissionResult {
		this.#evictExpired(now);
		const issueTimeMs = readIssueTime(request.requestId);
		if (issueTimeMs === undefined) {
			return {kind: 'invalid-id'};
		}

		const entry = this.#entries.get(request.requestId);
		if (entry !== undefined && !mayExecuteAgain(entry, request)) {
			return classifyKnown(entry, request);
		}

		if (entry === undefined && this.#mayHaveEvicted(issueTimeMs, now)) {
			return {kind: 'unknown'};
		}

		this.#storeEntry(request, issueTimeMs, now, {kind: 'running'});
		return {kind: 'begun'};
	}

	/** Records the result of an admitted attempt. If it is proved not to have run, a later attempt may run. */
	complete(request: RequestAttempt, result: RequestResult, now: Timestamp): void {
		if (result.kind === 'failure' && result.outcome === 'not-run') {
			this.refuse(request, true, now);
			return;
		}

		const issueTimeMs = readIssueTime(request.requestId) ?? 0;
		this.#storeEntry(request, issueTimeMs, now, {kind: 'finished', result});
		const bytes = result.kind === 'answer' ? result.body.length : 0;
		this.#answerBytes.set(request.requestId, bytes);
		this.#totalBytes += bytes;
		this.#evictAnswers();
	}

	/**
	 * Refuses this attempt and all earlier attempts of the id, which may still arrive. `proved`: no node has run any of
	 * them.
	 */
	refuse(request: RequestAttempt, proved: boolean, now: Timestamp): void {
		const issueTimeMs = readIssueTime(request.requestId) ?? 0;
		const earlier = this.#entries.get(request.requestId)?.content;
		const attempt = earlier?.kind === 'refused' ? Math.max(earlier.attempt, request.attempt) : request.attempt;
		this.#storeEntry(request, issueTimeMs, now, {kind: 'refused', attempt, proved});
	}

	/** Returns the recorded state of an id and leaves it unchanged. An id that may have been evicted is `unknown`. */
	findOutcome(requestId: string, now: Timestamp): KnownOutcome {
		const entry = this.#entries.get(requestId);
		if (entry === undefined) {
			const issueTimeMs = readIssueTime(requestId);
			return {state: issueTimeMs === undefined || this.#mayHaveEvicted(issueTimeMs, now) ? 'unknown' : 'never-seen'};
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

	/**
	 * Returns whether an id was certainly issued at the given instant or later, for any clock difference up to
	 * `maxSkewMs`.
	 */
	isIssuedAfter(requestId: string, instant: Timestamp): boolean {
		const issueTimeMs = readIssueTime(requestId);
		return issueTimeMs !== undefined && issueTimeMs - this.#opts.maxSkewMs >= instant.wallMs;
	}

	countEntries(): number {
		return this.#entries.size;
	}

	#storeEntry(request: RequestAttempt, issueTimeMs: number, now: Timestamp, content: Entry['content']): void {
		this.#entries.set(request.requestId, {
			issueTimeMs, expiry: addMilliseconds(now, this.#opts.windowMs), fingerprint: request.fingerprint, content,
		});
	}

	#mayHaveEvicted(issueTimeMs: number, now: Timestamp): boolean {
		return issueTimeMs <= this.#latestEvictedIssueTimeMs || issueTimeMs > now.wallMs + this.#opts.maxSkewMs;
	}

	#evictExpired(now: Timestamp): void {
		for (const [requestId, entry] of this.#entries) {
			const isRetained = this.#entries.size <= this.#opts.maxEntries && !hasPassed(entry.expiry, now);
			if (isRetained) {
				return;
			}

			if (entry.content.kind !== 'running') {
				this.#evictEntry(requestId, entry);
			}
		}
	}

	#evictEntry(requestId: string, entry: Entry): void {
		this.#latestEvictedIssueTimeMs = Math.max(this.#latestEvictedIssueTimeMs, entry.issueTimeMs);
		this.#entries.delete(requestId);
		this.#totalBytes -= this.#answerBytes.get(requestId) ?? 0;
		this.#answerBytes.delete(requestId);
	}

	#evictAnswers(): void {
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

function mayExecuteAgain(entry: Entry, request: RequestAttempt): boolean {
	const {content} = entry;
	return content.kind === 'refused' && content.proved && request.attempt > content.attempt && hasSameFingerprint(entry, request);
}

function classifyKnown(entry: Entry, request: RequestAttempt): AdmissionResult {
	if (!hasSameFingerprint(entry, request)) {
		return {kind: 'reused'};
	}

	return entry.content;
}

/** An entry that was created by an outcome query has an empty fingerprint and matches any request. */
function hasSameFingerprint(entry: Entry, request: RequestAttempt): boolean {
	return entry.fingerprint === '' || entry.fingerprint === request.fingerprint;
}
