import type {BackendInstanceKey} from './key-ranges.js';

/** Version of each owner's assignment (its list of granted ranges), so that an assignment is sent only when it changed. */
export class AssignmentVersions {
	readonly #epoch: number;
	readonly #versions = new Map<BackendInstanceKey, string>();
	#counter = 0;

	constructor(epoch: number) {
		this.#epoch = epoch;
	}

	/** Returns the current version of an owner's assignment. */
	get(key: BackendInstanceKey): string {
		const version = this.#versions.get(key) ?? `${this.#epoch}.0`;
		this.#versions.set(key, version);
		return version;
	}

	/** Gives an owner's assignment a new version after a change. */
	update(key: BackendInstanceKey): void {
		this.#counter++;
		this.#versions.set(key, `${this.#epoch}.${this.#counter}`);
	}
}
