import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';

/** An evacuation order that nodes know from an earlier era of the store and that the store lacks, with the time for which they keep it. */
export type RetainedEvacuation = {readonly domain: string; readonly remainingMs: number};

type Contradiction = {readonly isEvacuated: boolean; readonly endMs: number; readonly timer: Timer};

/** How long the known state of a failure domain outweighs the store's after a return: the operator writes lost orders again within seconds. */
const retentionMs = 10_000;

/**
 * Failure domains whose evacuation state, as known from an earlier era, contradicts the copy that the store returned from. The
 * known state was acknowledged to the operator, so it holds until the operator's row is written again or the retention ends.
 */
export class ContradictedOrders {
	readonly #clock: Clock;
	readonly #onExpired: (domain: string, wasEvacuated: boolean) => void;
	readonly #byDomain = new Map<string, Contradiction>();

	/** `onExpired` is called when the retention of a domain's known state ends; the store's state then applies. */
	constructor(clock: Clock, onExpired: (domain: string, wasEvacuated: boolean) => void) {
		this.#clock = clock;
		this.#onExpired = onExpired;
	}

	has(domain: string): boolean {
		return this.#byDomain.has(domain);
	}

	/** Keeps the known state of a domain. */
	add(domain: string, isEvacuated: boolean, durationMs = retentionMs): void {
		this.remove(domain);
		const timer = this.#clock.startTimer(durationMs, () => {
			this.#byDomain.delete(domain);
			this.#onExpired(domain, isEvacuated);
		});
		this.#byDomain.set(domain, {isEvacuated, endMs: this.#readNowMs() + durationMs, timer});
	}

	/** Drops the known state of a domain, whose row was written in the present era. */
	remove(domain: string): void {
		this.#byDomain.get(domain)?.timer.close();
		this.#byDomain.delete(domain);
	}

	/** Lists the evacuations that are kept although the store lacks them. */
	listRetained(): readonly RetainedEvacuation[] {
		return [...this.#byDomain].filter(([, {isEvacuated}]) => isEvacuated).map(([domain, {endMs}]) => ({domain, remainingMs: Math.max(0, Math.round(endMs - this.#readNowMs()))}));
	}

	close(): void {
		for (const domain of this.#byDomain.keys()) {
			this.remove(domain);
		}
	}

	#readNowMs(): number {
		return this.#clock.readTimestamp().monotonicMs;
	}
}
