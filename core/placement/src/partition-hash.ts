import type {PartitionNumber} from '@buckthornpoint/types/identity.js';
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Returns the partition of a key. `partitionCount` is a power of two. */
export function findPartition(key: string, partitionCount: number): PartitionNumber {
	return hasher.h32(key) % partitionCount;
}

/** Returns a 32-bit hash of the string, the same in every process. */
export function hashString(text: string): number {
	return hasher.h32(text);
}
