/** A client account of the operator's configuration. */
export type ClientAccount = {
	readonly name: string;
	/** SHA-256 digests of its keys, in hexadecimal. The keys themselves are kept nowhere. */
	readonly keyDigests: readonly string[];
	/** Priority of its requests, 0 is served first; undefined if that of the route applies. */
	readonly priority: number | undefined;
	/** Requests per second over all nodes; 0 without a limit. */
	readonly ratePerS: number;
	/** Requests beyond the rate that may come at once, over all nodes. */
	readonly burst: number;
};
