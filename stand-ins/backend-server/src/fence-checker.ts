import {compareFences, type Fence} from '@buckthornpoint/types/identity.js';

/** Tracks the newest fence of each partition and rejects older ones. */
export class FenceChecker {
	readonly #newest = new Map<string, Fence>();

	/** Records the fence of a request; returns false if it is missing or malformed, or older than the newest one of the partition. */
	admit(partition: string, header: string | undefined): boolean {
		const fence = parseFence(header);
		const newest = this.#newest.get(partition);
		if (fence === undefined || (newest !== undefined && compareFences(fence, newest) < 0)) {
			return false;
		}

		this.#newest.set(partition, fence);
		return true;
	}
}

function parseFence(header: string | undefined): Fence | undefined {
	const match = /^(?<epoch>\d+)\.(?<counter>\d+)$/v.exec(header ?? '');
	return match === null ? undefined : {epoch: Number(match[1]), counter: Number(match[2])};
}
