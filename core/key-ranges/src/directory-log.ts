import type {DirectoryEntry, HeartbeatReply} from './messages.js';

/** A node's copy of the directory, with the version that a controller assigned to it. */
export type DirectorySnapshot = {
	readonly version: string;
	readonly entries: readonly DirectoryEntry[];
};

/** The directory update in a heartbeat reply. */
export type DirectoryReply = Pick<HeartbeatReply, 'directoryVersion' | 'directory' | 'directoryRemoved' | 'isDirectoryComplete'>;

type DirectoryUpdate = Pick<DirectoryReply, 'directoryRemoved'> & {readonly directory: readonly DirectoryEntry[]};

/** Suffix of the version of a directory that may still contain VMs that are gone: the controller has not yet given every node time to report. */
export const partialVersionSuffix = ' partial';

type LoggedEntry = {
	readonly entry: DirectoryEntry;
	readonly json: string;
	readonly changeSequence: number;
	/** Whether this controller, and not only its predecessor, received a heartbeat of the VM. */
	readonly hasHeartbeat: boolean;
};

/**
 * The controller's directory of VMs with the sequence number of each change, so that a node receives only the entries that
 * changed since its version. A new controller starts from the directory that its own node received from the previous
 * controller; nodes with the same version receive only later changes.
 */
export class DirectoryLog {
	readonly #epoch: number;
	readonly #baseVersion: string | undefined;
	readonly #entries = new Map<string, LoggedEntry>();
	readonly #removalSequences = new Map<string, number>();
	#sequence = 0;
	#isComplete = false;

	constructor(epoch: number, base?: DirectorySnapshot) {
		this.#epoch = epoch;
		this.#baseVersion = base?.version;
		for (const entry of base?.entries ?? []) {
			this.#entries.set(entry.vmId, {
				entry, json: JSON.stringify(entry), changeSequence: 0, hasHeartbeat: false,
			});
		}
	}

	/** The current version. It is unique across all states of this and every other controller. */
	get version(): string {
		return `${this.#epoch}.${this.#sequence}`;
	}

	/** Adds or replaces an entry; an unchanged entry keeps its sequence number. */
	record(entry: DirectoryEntry): void {
		const json = JSON.stringify(entry);
		const known = this.#entries.get(entry.vmId);
		const isChange = known?.json !== json;
		if (isChange) {
			this.#sequence++;
			this.#removalSequences.delete(entry.vmId);
		}

		if (isChange || !known.hasHeartbeat) {
			this.#entries.set(entry.vmId, {
				entry, json, changeSequence: isChange ? this.#sequence : known.changeSequence, hasHeartbeat: true,
			});
		}
	}

	remove(vmId: string): void {
		if (this.#entries.delete(vmId)) {
			this.#sequence++;
			this.#removalSequences.set(vmId, this.#sequence);
		}
	}

	/**
	 * Creates the update for a node with the given directory version. Until all nodes have had time to send a heartbeat, a full
	 * directory only adds to the entries that the node has, and its version ends in the partial suffix.
	 */
	createReply(known: string, isComplete: boolean): DirectoryReply {
		if (isComplete && !this.#isComplete) {
			this.#isComplete = true;
			this.#removeWithoutHeartbeat();
		}

		const isPartial = !isComplete && known.endsWith(partialVersionSuffix);
		const knownVersion = isPartial ? known.slice(0, -partialVersionSuffix.length) : known;
		if (knownVersion === this.version) {
			return {directoryVersion: known, isDirectoryComplete: isComplete};
		}

		const update = this.#createUpdate(knownVersion);
		const keepsOtherEntries = !isComplete && known !== '' && (isPartial || update.directoryRemoved === undefined);
		return {directoryVersion: keepsOtherEntries ? `${this.version}${partialVersionSuffix}` : this.version, isDirectoryComplete: isComplete, ...update};
	}

	/** Removes the VMs that only the previous controller received heartbeats of. */
	#removeWithoutHeartbeat(): void {
		for (const [vmId, {hasHeartbeat}] of this.#entries) {
			if (!hasHeartbeat) {
				this.remove(vmId);
			}
		}
	}

	#createUpdate(known: string): DirectoryUpdate {
		const since = this.#findSequence(known);
		if (since === undefined) {
			return {directory: [...this.#entries.values()].map(({entry}) => entry)};
		}

		return {
			directory: [...this.#entries.values()].filter(({changeSequence}) => changeSequence > since).map(({entry}) => entry),
			directoryRemoved: [...this.#removalSequences].filter(([, removalSequence]) => removalSequence > since).map(([vmId]) => vmId),
		};
	}

	#findSequence(version: string): number | undefined {
		if (version === this.#baseVersion) {
			return 0;
		}

		const prefix = `${this.#epoch}.`;
		const sequence = version.startsWith(prefix) ? Number(version.slice(prefix.length)) : Number.NaN;
		return sequence <= this.#sequence ? sequence : undefined;
	}
}
