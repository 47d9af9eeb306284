import type {HeldKeys} from '@buckthornpoint/fleet-stand-in/held-keys.js';
import type {Disruptions} from './disruptions.js';
import type {Violation} from './requests.js';

/** A backend server that holds keys. */
export type KeyHolder = {readonly id: string; readonly service: string; readonly held: HeldKeys};

/** Two backend servers must not hold the same keys for longer (rule OWNER of the platform). */
const maxSharedMs = 500;

type SharedHold = {readonly holders: string; readonly example: string; readonly sinceMs: number; untilMs: number};

/** Finds backend servers that hold the same keys for too long. */
export class SharedHolds {
	/** The present shared holds, by the pair of holders. */
	readonly #open = new Map<string, SharedHold>();
	readonly #long: SharedHold[] = [];

	/** Records which servers hold the same keys at a time. */
	record(holders: readonly KeyHolder[], nowMs: number): void {
		const pairs = holders.flatMap((holder, index) => holders.slice(index + 1).filter(({service}) => service === holder.service).map(other => [holder, other] as const));
		for (const [holder, other] of pairs) {
			const name = `${holder.id} and ${other.id}`;
			const shared = this.#findShared(holder, other, nowMs);
			if (shared === undefined) {
				this.#open.delete(name);
			} else {
				this.#recordShared(name, shared, nowMs);
			}
		}
	}

	/** A delay of the whole test delays grants on their way, which excuses their holders. */
	listViolations(disruptions: readonly Disruptions[]): readonly Violation[] {
		return this.#long
			.filter(({sinceMs, untilMs}) => !disruptions.some(list => list.hasOverlapping(target => target === 'driver', sinceMs - maxSharedMs, untilMs)))
			.map(({holders, example, sinceMs, untilMs}) => ({rule: 'owner', atMs: untilMs, message: `${holders} both held keys, such as ${example}, for ${Math.round(untilMs - sinceMs)} ms`}));
	}

	#findShared(holder: KeyHolder, other: KeyHolder, nowMs: number): string | undefined {
		const otherRanges = other.held.listHeld(nowMs);
		const shared = holder.held.listHeld(nowMs).find(range => otherRanges.some(({from, to}) => from <= range.to && range.from <= to));
		return shared === undefined ? undefined : `${shared.from} to ${shared.to}`;
	}

	#recordShared(holders: string, example: string, nowMs: number): void {
		const known = this.#open.get(holders);
		if (known === undefined) {
			this.#open.set(holders, {
				holders, example, sinceMs: nowMs, untilMs: nowMs,
			});
			return;
		}

		const wasLong = known.untilMs - known.sinceMs > maxSharedMs;
		known.untilMs = nowMs;
		if (!wasLong && known.untilMs - known.sinceMs > maxSharedMs) {
			this.#long.push(known);
		}
	}
}
