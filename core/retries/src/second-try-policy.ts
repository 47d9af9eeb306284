import {LatencyWindow} from './latency-window.js';
import {RollingSum} from './rolling-sum.js';

/** Lowest percentile of a route's latencies after which a second try is sent. */
const minDelayPercentile = 0.95;

/** Latencies of a route that must be known: with fewer, the 95th percentile rests on less than four values. */
const minSamples = 64;

/** A second try is not brought forward below this multiple of the median: until then most first tries are about to end. */
const minMedianMultiple = 1.5;

const minDelayMs = 5;

/** Requests and second tries are compared over 10 s, the time over which the platform counts extra attempts. */
const shareWindow = {bucketMs: 500, buckets: 20};

/** Requests that found no free slot and all requests are compared over 2 s. */
const queuedWindow = {bucketMs: 200, buckets: 10};

/**
 * A service counts as overloaded above this share of requests that found no free slot. Single refusals don't count: servers in a
 * slow period are full while others have room, and are the reason for second tries.
 */
const maxQueuedShare = 0.1;

/** How long a service counts as overloaded after a request was refused for lack of capacity. */
const overloadMs = 1000;

/** The times of a request when its first try is sent, relative to then. */
export type SecondTryTimes = {
	/** Time until the latency target; may be negative. */
	readonly targetMs: number;
	/** Time until the caller stops waiting. */
	readonly remainingMs: number;
};

/**
 * Decides for one service when a second try of a request makes sense and whether the load allows one. It is meant for servers
 * that are slow for short periods at different times, while others have room. It sends no second tries into an overload.
 */
export class SecondTryPolicy {
	readonly #maxShare: number;
	readonly #latenciesByRoute = new Map<string, LatencyWindow>();
	readonly #requests = new RollingSum(shareWindow);
	readonly #secondTries = new RollingSum(shareWindow);
	readonly #recentRequests = new RollingSum(queuedWindow);
	readonly #queued = new RollingSum(queuedWindow);
	#refusedMs = Number.NEGATIVE_INFINITY;

	/** `maxShare` is the highest share of second tries among the requests of the service. */
	constructor(maxShare: number) {
		this.#maxShare = maxShare;
	}

	/** Records a request of the service, whether or not it may have a second try. */
	recordRequest(nowMs: number): void {
		this.#requests.add(nowMs);
		this.#recentRequests.add(nowMs);
	}

	/** Records how long a first try took, or how long it had taken when a second try was answered before it. */
	recordLatency(route: string, latencyMs: number): void {
		const known = this.#latenciesByRoute.get(route) ?? new LatencyWindow({percentile: Math.max(minDelayPercentile, 1 - this.#maxShare), minSamples});
		this.#latenciesByRoute.set(route, known);
		known.record(latencyMs);
	}

	/** Records that a request may wait for a slot, since the servers that it was offered to had none free. */
	recordQueued(nowMs: number): void {
		this.#queued.add(nowMs);
	}

	/** Records that a request was finally refused for lack of capacity. */
	recordRefusal(nowMs: number): void {
		this.#refusedMs = nowMs;
	}

	/** Returns how long after the first try a second one is sent; undefined if there is to be none. */
	deriveDelay(route: string, {targetMs, remainingMs}: SecondTryTimes): number | undefined {
		const latencies = this.#latenciesByRoute.get(route);
		const highMs = latencies?.estimateHedgeDelay();
		const medianMs = latencies?.estimateMedian();
		if (highMs === undefined || medianMs === undefined) {
			return undefined;
		}

		const latestForTargetMs = Math.max(targetMs - medianMs, medianMs * minMedianMultiple);
		const delayMs = Math.max(minDelayMs, Math.min(highMs, latestForTargetMs));
		return delayMs + medianMs <= remainingMs ? delayMs : undefined;
	}

	isOverloaded(nowMs: number): boolean {
		return nowMs - this.#refusedMs < overloadMs || this.#queued.read(nowMs) > this.#recentRequests.read(nowMs) * maxQueuedShare;
	}

	/** Whether one more second try stays within the share. */
	hasShare(nowMs: number): boolean {
		return this.#secondTries.read(nowMs) + 1 <= this.#requests.read(nowMs) * this.#maxShare;
	}

	recordSecondTry(nowMs: number): void {
		this.#secondTries.add(nowMs);
	}
}
