import {createHash, timingSafeEqual} from 'node:crypto';

const scheme = 'Bearer ';

/** Returns whether an `authorization` header contains the shared operator key. The comparison takes constant time. */
export function isAuthorised(header: string | undefined, operatorKey: string): boolean {
	const providedKey = header?.startsWith(scheme) === true ? header.slice(scheme.length) : '';
	return timingSafeEqual(hashKey(providedKey), hashKey(operatorKey));
}

function hashKey(key: string): Uint8Array {
	return createHash('sha256').update(key).digest();
}
