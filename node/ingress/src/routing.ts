import type {BackendGate, CancelHandle} from '@buckthornpoint/backend-link/backend-gate.js';
import {
	createNotRun, type Outcome, type OwnerLoad, type OwnerRequest,
} from '@buckthornpoint/backend-link/outcome.js';
import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {frameTypes} from '@buckthornpoint/frames/frames.js';
import type {BackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {DirectoryEntry} from '@buckthornpoint/key-ranges/messages.js';
import type {PeerLink} from '@buckthornpoint/peers/peer-link.js';
import type {AdvertisedStates} from './advertised-states.js';
import {formatAttempt, isCapacityRefusal, type Attempt} from './attempt.js';
import {Candidates, noOwnerRetryAfterMs} from './candidates.js';
import type {FleetView} from './fleet-view.js';
import type {NodeStatisticsTable} from './node-statistics.js';
import {OfferBudget} from './offer-budget.js';
import {
	createOwnerRequest, decodeOutcome, encodeOwnerRequest, releaseOutcome,
} from './owner-messages.js';
import type {SecondTry} from './second-try.js';

/** A caller's request after its route and service were chosen. */
export type RoutedRequest = Omit<OwnerRequest, 'remainingMs' | 'targetMs' | 'lateMs' | 'mayWait'> & {
	readonly isDivided: boolean;
	/** Name of the client account; absent without one. */
	readonly account?: string;
	/** Maximum number of attempts that may reach a backend server. */
	readonly maxAttempts: number;
	/** Deadline on the node's clock: the caller stops waiting then. */
	readonly endMs: number;
	/** Target time on the node's clock, counted from the caller's first attempt as far as it can be estimated. */
	readonly targetEndMs: number;
	/** Latest time on the node's clock for an answer that is past its target. */
	readonly lateEndMs: number;
};

/** The outcome of a request, with its attempts for the log. */
export type RoutingResult = {
	readonly outcome: Outcome;
	/** The VMs that were tried, in the order in which they ended; each failed attempt with its reason, and whether it was a second try. */
	readonly tries: readonly string[];
};

/** Dependencies of request routing. */
export type RouterDependencies = {
	/** Host and port of this node's listener for other nodes. */
	readonly ownAddress: string;
	readonly failureDomain: string;
	readonly view: FleetView;
	readonly gate: Pick<BackendGate, 'admit' | 'readLoad' | 'readLimitPerS'>;
	/** Returns the link to a node. */
	readonly links: {readonly get: (address: string) => Pick<PeerLink, 'isDown' | 'call' | 'cancelCall'>};
	readonly statistics: NodeStatisticsTable;
	readonly advertisedStates: AdvertisedStates;
	readonly clock: Clock;
	readonly random: RandomSource;
};

/** How long to wait past the deadline for another node's answer: covers the transit and that node's own grace time. */
const answerGraceMs = 150;

/** A request with less time left than this is not retried. */
const minRemainingMs = 20;

/** Dependencies and state that the routing of all requests shares. */
export type RoutingOpts = RouterDependencies & {
	/** Whether the node is stopping, so that no further attempt may start. */
	readonly isStopped: () => boolean;
	/** Takes one retry from the budget of a service; returns false if it is exhausted. */
	readonly consumeRetry: (service: string) => boolean;
	/** Records the load that was returned with an answer of a node; undefined if there was no answer. */
	readonly recordLoad: (address: string, load: OwnerLoad | undefined) => void;
};

/** State of the routing of one request. */
export type RequestState = {
	/** The server that promised the caller a retry time; undefined if none did. */
	readonly promisedServer: BackendInstanceKey | undefined;
	/** The request's second try; undefined if they are off. */
	readonly secondTry: SecondTry | undefined;
};

/** Routes one request: sends its attempts one after the other, or two at a time with a second try, until it has a final outcome. */
export class Routing implements CancelHandle {
	readonly #request: RoutedRequest;
	readonly #opts: RoutingOpts;
	readonly #secondTry: SecondTry | undefined;
	readonly #finish: (result: RoutingResult) => void;
	readonly #candidates: Candidates;
	readonly #offers = new OfferBudget();
	readonly #tries: string[] = [];
	/** Attempts that reached, or may have reached, a backend server. */
	#backendAttempts = 0;
	#isFinished = false;
	#timer: Timer | undefined;
	#lastOutcome: Outcome | undefined;
	/** Attempts without an outcome: at most two, of which one is the second try. */
	readonly #inFlight = new Set<Attempt>();

	constructor(request: RoutedRequest, opts: RoutingOpts, {promisedServer, secondTry}: RequestState, finish: (result: RoutingResult) => void) {
		this.#request = request;
		this.#opts = opts;
		this.#secondTry = secondTry;
		this.#candidates = new Candidates(request, opts, promisedServer);
		this.#finish = finish;
	}

	start(): void {
		this.#timer = this.#opts.clock.startTimer(this.#request.endMs - this.#readNowMs() + answerGraceMs, () => {
			this.#complete({kind: 'unknown', reason: 'timeout'});
		});
		this.#sendNext();
	}

	cancel(): void {
		if (!this.#isFinished) {
			this.#stop();
		}
	}

	#sendNext(): void {
		const isLast = this.#request.isDivided || this.#offers.isLast;
		const untried = isLast ? undefined : this.#chooseCandidate(false);
		const entry = untried ?? this.#chooseCandidate(true);
		if (entry === undefined) {
			this.#complete(this.#lastOutcome ?? this.#candidates.createNoCandidateOutcome());
			return;
		}

		const mayWait = untried === undefined;
		if (mayWait && this.#candidates.hasFull) {
			this.#secondTry?.recordQueued();
		}

		this.#offers.recordOffered();
		const attempt = this.#send(entry, {mayWait, isSecond: false});
		// An attempt that may wait was refused elsewhere, or there is no other server: a second try would find no room.
		if (this.#inFlight.has(attempt) && !mayWait) {
			this.#secondTry?.schedule({
				earlierAttempts: this.#backendAttempts,
				chooseNode: () => this.#candidates.chooseSecond(entry, this.#readNowMs()),
				send: second => {
					this.#opts.statistics.recordOverdue(entry.address, this.#readNowMs());
					this.#send(second, {mayWait: false, isSecond: true});
				},
			});
		}
	}

	#send(entry: DirectoryEntry, {mayWait, isSecond}: Pick<Attempt, 'mayWait' | 'isSecond'>): Attempt {
		this.#candidates.recordTried(entry.address);
		const nowMs = this.#readNowMs();
		const attempt: Attempt = {
			entry, mayWait, isSecond, startMs: nowMs, handle: undefined,
		};
		this.#inFlight.add(attempt);
		const request = createOwnerRequest(this.#request, mayWait, nowMs);
		if (entry.address === this.#opts.ownAddress) {
			this.#sendToOwnGate(attempt, request);
		} else {
			this.#sendToPeer(attempt, request);
		}

		return attempt;
	}

	#sendToOwnGate(attempt: Attempt, request: OwnerRequest): void {
		attempt.handle = this.#opts.gate.admit(request, outcome => {
			this.#handleOutcome(attempt, outcome);
		});
	}

	#sendToPeer(attempt: Attempt, request: OwnerRequest): void {
		const {entry} = attempt;
		const {links, statistics, advertisedStates} = this.#opts;
		const link = links.get(entry.address);
		const advertised = advertisedStates.get(entry.address, this.#readNowMs());
		const {meta, body} = encodeOwnerRequest(request, advertised);
		statistics.recordSent(entry.address);
		let isCompleted = false;
		const recordCompleted = (load: OwnerLoad | undefined): void => {
			isCompleted = true;
			this.#opts.recordLoad(entry.address, load);
		};

		const id = link.call(frameTypes.request, meta, {
			// An idempotent request does not wait through a silence of the node: it fails and may be retried elsewhere.
			waitsForReconnect: !this.#request.isIdempotent,
			onAnswer: (answer, answerBody) => {
				const {outcome, load} = decodeOutcome(answer, answerBody);
				recordCompleted(load);
				this.#handleOutcome(attempt, outcome);
			},
			onFailure: ({wasSent}) => {
				recordCompleted(undefined);
				if (link.isDown()) {
					statistics.recordUnreachable(entry.address, this.#readNowMs());
				}

				const notSent = createNotRun(link.isDown() ? 'peer-unreachable' : 'lost-on-way', noOwnerRetryAfterMs);
				this.#handleOutcome(attempt, wasSent ? {kind: 'unknown', reason: 'peer-lost'} : notSent);
			},
		}, body);
		if (id !== undefined) {
			attempt.handle = {
				cancel() {
					if (!isCompleted) {
						link.cancelCall(id);
						recordCompleted(undefined);
					}
				},
			};
		}
	}

	#handleOutcome(attempt: Attempt, outcome: Outcome): void {
		const {entry, mayWait} = attempt;
		this.#inFlight.delete(attempt);
		if (this.#isFinished) {
			releaseOutcome(outcome);
			return;
		}

		this.#secondTry?.recordOutcome(attempt, outcome);
		if (outcome.kind === 'answer') {
			this.#tries.push(entry.vmId, ...[...this.#inFlight].map(other => formatAttempt(other, 'cancelled')));
			this.#complete(outcome);
			return;
		}

		this.#tries.push(formatAttempt(attempt, outcome.reason));
		this.#lastOutcome = this.#lastOutcome?.kind === 'unknown' ? this.#lastOutcome : outcome;
		if (outcome.kind === 'unknown' || outcome.wasOffered) {
			this.#backendAttempts++;
		} else if (!mayWait && isCapacityRefusal(outcome)) {
			this.#candidates.recordFull(entry.address);
			if (outcome.reason === 'limited') {
				this.#offers.recordLimitRefusal();
				this.#opts.statistics.recordLimited(entry.address, this.#readNowMs() + outcome.retryAfterMs);
			}
		}

		// While another try is in flight, it may be answered and counts as an attempt.
		if (this.#inFlight.size === 0) {
			if (this.#mayRetry(outcome)) {
				this.#sendNext();
			} else {
				this.#complete(this.#lastOutcome);
			}
		}
	}

	#mayRetry(outcome: Exclude<Outcome, {readonly kind: 'answer'}>): boolean {
		const {request, opts} = {request: this.#request, opts: this.#opts};
		if (opts.isStopped() || request.endMs - this.#readNowMs() < minRemainingMs || outcome.reason === 'timeout' || outcome.reason === 'cancelled') {
			return false;
		}

		if (outcome.kind === 'not-run' && !outcome.wasOffered) {
			return this.#offers.hasMore;
		}

		const isAllowed = outcome.kind === 'not-run' || request.isIdempotent;
		return isAllowed && this.#backendAttempts < request.maxAttempts && this.#chooseCandidate(true) !== undefined && opts.consumeRetry(request.service);
	}

	/** With `includeFull`, nodes that had no free slot when they were tried are candidates again. */
	#chooseCandidate(includeFull: boolean): DirectoryEntry | undefined {
		return this.#candidates.choose(this.#readNowMs(), {includeFull, includeTriedOwner: this.#mayRetryOwner()});
	}

	/** Only the owner of a key can run its requests. It is tried again if the request may have been lost, but not if it had no capacity. */
	#mayRetryOwner(): boolean {
		return this.#lastOutcome !== undefined && (this.#backendAttempts > 0 || this.#lastOutcome.kind === 'answer' || this.#lastOutcome.reason === 'lost-on-way') && this.#tries.length < 2;
	}

	#complete(outcome: Outcome): void {
		if (!this.#isFinished) {
			this.#stop(outcome);
			this.#finish({outcome, tries: this.#tries});
		}
	}

	/** Cancels all attempts in flight. */
	#stop(outcome?: Outcome): void {
		this.#isFinished = true;
		this.#timer?.close();
		this.#secondTry?.recordFinished([...this.#inFlight], outcome);
		for (const {handle} of this.#inFlight) {
			handle?.cancel();
		}
	}

	#readNowMs(): number {
		return this.#opts.clock.readTimestamp().monotonicMs;
	}
}
