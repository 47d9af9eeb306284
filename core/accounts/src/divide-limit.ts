import {cooldownMs} from './account-messages.js';

const windowSeconds = cooldownMs / 1000;

/** A node gets what it offers in a window and this multiple of the standard deviation of irregular arrivals. */
const ampleDeviations = 3;

/** With this multiple it is not short yet. */
const scantDeviations = 1.5;

/** Requests beyond that: a node with few requests gets at least this many. */
const minQuota = 2;

/** Part of the total that stays in reserve while the demand allows it. A node that gets its first requests finds a share there at once, although a share that is moved takes a second or two. */
const reserveShare = 0.15;

/** Part of what remains beyond that goes to the nodes with demand. */
const surplusShare = 0.5;

/** What a node needs of a limit: for regular arrivals, to be not short yet, and for nearly all irregular arrivals. */
export type Need = {readonly mean: number; readonly scant: number; readonly ample: number};

/** Measures what a node needs for the rate that it is offered. */
export function measureNeed(perS: number): Need {
	const mean = perS * windowSeconds;
	const deviation = Math.sqrt(mean);
	if (perS === 0) {
		return {mean: 0, scant: 0, ample: 0};
	}

	return {
		mean: Math.ceil(mean) + 1, scant: Math.ceil(mean + (scantDeviations * deviation)) + 1, ample: Math.ceil(mean + (ampleDeviations * deviation)) + minQuota,
	};
}

/**
 * Divides a total into whole requests, by max-min fairness: nodes that offer less than an equal part get what they offer, and the others equal
 * parts. Of what remains, nodes get the allowance for irregular arrivals, in proportion if it does not suffice; then a reserve is kept; then each node
 * without demand gets one request if that suffices for all, and nodes with demand get a part of the rest. `order` lists the nodes in the order in
 * which they get one request more if parts are not whole.
 */
export function assignQuotas(total: number, needs: readonly Need[], order: readonly number[]): readonly number[] {
	const active = order.filter(index => needs[index]!.mean > 0);
	const parts = assignEqually(total, needs.map(({mean}) => mean), active);
	let remaining = total - addUp(parts);
	const addInProportion = (amount: number, weights: ReadonlyMap<number, number>): void => {
		const weightSum = addUp([...weights.values()]);
		for (const [index, weight] of weightSum === 0 ? [] : weights) {
			const part = Math.floor(amount * weight / weightSum);
			parts[index]! += part;
			remaining -= part;
		}
	};

	const allowances = new Map(active.map(index => [index, Math.max(0, needs[index]!.ample - parts[index]!)]));
	if (remaining > 0) {
		addInProportion(Math.min(remaining, addUp([...allowances.values()])), allowances);
	}

	remaining -= Math.ceil(total * reserveShare);
	const idle = order.filter(index => needs[index]!.mean === 0);
	if (remaining >= idle.length) {
		for (const index of idle) {
			parts[index] = 1;
		}

		remaining -= idle.length;
	}

	if (remaining > 0) {
		addInProportion(remaining * surplusShare, new Map(active.map(index => [index, needs[index]!.ample])));
	}

	return parts;
}

function assignEqually(total: number, needs: readonly number[], active: readonly number[]): number[] {
	const parts = needs.map(() => 0);
	let remaining = total;
	for (const [position, index] of active.toSorted((left, right) => needs[left]! - needs[right]!).entries()) {
		const part = Math.min(needs[index]!, Math.floor(remaining / (active.length - position)));
		parts[index] = part;
		remaining -= part;
	}

	for (const index of active) {
		if (remaining > 0 && parts[index]! < needs[index]!) {
			parts[index]!++;
			remaining--;
		}
	}

	return parts;
}

/** Adds up numbers. */
export function addUp(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

/** Applies reductions at once, and growth beyond `bases` as far as `free` allows; first at the nodes with demand. */
export function applyGrowth(bases: readonly number[], {targets, demands, free}: {readonly targets: readonly number[]; readonly demands: readonly number[]; readonly free: number}): readonly number[] {
	let remaining = free;
	const granted = targets.map((target, index) => Math.min(target, bases[index]!));
	for (const hasDemand of [true, false]) {
		const indexes = [...targets.keys()].filter(index => (demands[index]! > 0) === hasDemand && targets[index]! > bases[index]!);
		const scale = Math.min(1, remaining / Math.max(1, addUp(indexes.map(index => targets[index]! - bases[index]!))));
		for (const index of indexes) {
			const part = Math.floor((targets[index]! - bases[index]!) * scale);
			granted[index]! += part;
			remaining -= part;
		}

		for (const index of indexes) {
			if (remaining >= 1 && granted[index]! < targets[index]!) {
				granted[index]!++;
				remaining--;
			}
		}
	}

	return granted;
}
