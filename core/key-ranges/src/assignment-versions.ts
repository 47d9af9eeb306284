import type {BackendKey} from './key-ranges.js';

/** Versions of the lists of ranges that owners are granted, so that a list is sent only where it changed. */
export class AssignmentVersions {
	readonly #epoch: number;
	readonly #versions = new Map<BackendKey, string>();
	#counter = 0;

	constructor(epoch: number) {
		this.#epoch = epoch;
	}

	/** Returns the version of an owner's list as it is now. */
	get(key: BackendKey): string {
		const version = this.#versions.get(key) ?? `${this.#epoch}.0`;
		this.#versions.set(key, version);
		return version;
	}

	/** Takes note that an owner's list changes. */
	update(key: BackendKey): void {
		this.#counter++;
		this.#versions.set(key, `${this.#epoch}.${this.#counter}`);
	}
}
