import type {ClientAccount} from './client-account.js';

/** SHA-256 of keys. It is passed in so that this package needs no cryptography of its own. */
export type KeyHash = {
	/** Hashes a key. The digest is in hexadecimal. */
	readonly hash: (key: string) => string;
	/** Compares two digests in constant time. */
	readonly isEqual: (digest: string, other: string) => boolean;
};

type IndexedKey = {readonly digest: string; readonly account: ClientAccount};

/**
 * Digits of a digest by which it is looked up, 64 bits. The lookup in the map takes a time that depends on these digits; the whole digest
 * is compared in constant time only.
 */
const lookupDigits = 16;

/** Index of client accounts by their keys, for the accounts of one version of the configuration. It handles each request that carries a key. */
export class AccountIndex {
	readonly #hash: KeyHash;
	readonly #byLookup = new Map<string, readonly IndexedKey[]>();
	readonly #names: ReadonlySet<string>;

	constructor(accounts: readonly ClientAccount[], hash: KeyHash) {
		this.#hash = hash;
		this.#names = new Set(accounts.map(({name}) => name));
		for (const account of accounts) {
			for (const digest of account.keyDigests) {
				const lookup = digest.slice(0, lookupDigits);
				this.#byLookup.set(lookup, [...this.#byLookup.get(lookup) ?? [], {digest, account}]);
			}
		}
	}

	/** Finds the account of a key. */
	findByKey(key: string): ClientAccount | undefined {
		const digest = this.#hash.hash(key);
		const candidates = this.#byLookup.get(digest.slice(0, lookupDigits));
		return candidates?.find(candidate => this.#hash.isEqual(candidate.digest, digest))?.account;
	}

	/** Returns whether there is an account of this name. */
	hasAccount(name: string): boolean {
		return this.#names.has(name);
	}
}
