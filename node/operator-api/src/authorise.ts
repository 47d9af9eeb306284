import {createHash, timingSafeEqual} from 'node:crypto';

const scheme = 'Bearer ';

/** Tells whether an `authorization` header carries the shared key of operators. Takes the same time for every wrong key. */
export function isAuthorised(header: string | undefined, operatorKey: string): boolean {
	const given = header?.startsWith(scheme) === true ? header.slice(scheme.length) : '';
	return timingSafeEqual(hashKey(given), hashKey(operatorKey));
}

function hashKey(key: string): Uint8Array {
	return createHash('sha256').update(key).digest();
}
