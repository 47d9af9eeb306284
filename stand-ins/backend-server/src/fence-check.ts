import {compareFences, type Fence} from '@buckthornpoint/types/identity.js';

/** Remembers the newest fence of each partition and refuses older ones. */
export class FenceCheck {
	readonly #newest = new Map<string, Fence>();

	/** Takes note of a request's fence; false when a newer one was seen for the partition, or when the fence is missing. */
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
