/** Splits `host:port` at its last colon. */
export function splitAddress(address: string): readonly [host: string, port: number] {
	const colon = address.lastIndexOf(':');
	return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
