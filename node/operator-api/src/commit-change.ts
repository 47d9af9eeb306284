import type {Clock} from '@buckthornpoint/clock/clock.js';
import {checkEligibleMembers, type ConfigurationMember} from '@buckthornpoint/configuration/eligible-members.js';
import {formatChanges, listChanges} from '@buckthornpoint/configuration/changes.js';
import {
	createOperatorFailure, createRefusal, type ChangeAnswer, type ChangeOpts, type HistoryEntry, type OperatorFailure,
} from '@buckthornpoint/configuration/operator-protocol.js';
import type {Finding} from '@buckthornpoint/errors/findings.js';
import type {TableStore} from '@buckthornpoint/table-store/table-store.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import {err, ok, type Result} from 'neverthrow';
import {findWriteId, readStoredConfiguration, type StoredConfiguration} from './configuration-rows.js';
import {readHistory} from './history.js';
import {writeConfiguration} from './write-configuration.js';

const maxAttempts = 5;
const maxShownVersions = 10;

/** A change to be committed: a pure function of the configuration, and the texts for its entry in the history. */
export type PlannedChange = ChangeOpts & {
	readonly summary: string;
	/** Unmodified content of the release note; absent for a command. */
	readonly note?: string;
	/** Configuration version on which a note is based; absent for a command, which applies to any version. */
	readonly baseVersion?: number;
	readonly apply: (configuration: Configuration, members: readonly ConfigurationMember[]) => Result<Configuration, readonly Finding[]>;
};

/** Dependencies of `commitChange`. */
export type CommitDependencies = {
	readonly store: TableStore;
	readonly clock: Clock;
	readonly listMembers: () => readonly ConfigurationMember[];
	/** Returns the version in force on this node. */
	readonly getVersion: () => number;
	/** Passes an accepted configuration to the node. */
	readonly receiveConfiguration: (configuration: Configuration) => void;
};

/** Checks a change against the configuration in the store and writes it, unless `checkOnly` is set. */
export async function commitChange(change: PlannedChange, dependencies: CommitDependencies): Promise<Result<ChangeAnswer, OperatorFailure>> {
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const stored = await readStoredConfiguration(dependencies.store);
		if (stored.isErr()) {
			return err(stored.error);
		}

		const outcome = await commitOnce(change, stored.value, dependencies);
		if (outcome !== 'raced') {
			return outcome;
		}
	}

	return err(createOperatorFailure('ERR_CONFIGURATION_CONFLICT', 'other operators changed the configuration during each attempt; try again'));
}

async function commitOnce(change: PlannedChange, stored: StoredConfiguration, dependencies: CommitDependencies): Promise<Result<ChangeAnswer, OperatorFailure> | 'raced'> {
	const before = stored.configuration;
	if (before.version < dependencies.getVersion()) {
		return err(createOperatorFailure(
			'ERR_STORE_CONFLICT',
			`the store says version ${before.version}, but version ${dependencies.getVersion()} is in force here; nothing was accepted`,
		));
	}

	const after = planChange(change, before, dependencies.listMembers());
	if (after.isErr()) {
		return handleRefusal(change, before, {dependencies, findings: after.error});
	}

	const changes = formatChanges(listChanges(before, after.value));
	if (change.checkOnly || after.value === before) {
		return ok({outcome: after.value === before ? 'unchanged' : 'checked', version: after.value.version, changes});
	}

	const entry: HistoryEntry = {
		version: after.value.version, acceptedAtMs: dependencies.clock.readTimestamp().wallMs, operator: change.operator, summary: change.summary, changes,
	};
	const written = await writeConfiguration({
		writeId: formatWriteId(change, before.version), rowVersion: stored.rowVersion, configuration: after.value, entry, note: change.note,
	}, dependencies);
	if (written.isOk() && !written.value) {
		return 'raced';
	}

	return written.map(() => {
		dependencies.receiveConfiguration(after.value);
		return {outcome: 'accepted', version: after.value.version, changes};
	});
}

function planChange(change: PlannedChange, before: Configuration, members: readonly ConfigurationMember[]): Result<Configuration, readonly Finding[]> {
	return change.apply(before, members).andThen(after => {
		const findings = change.force ? [] : checkEligibleMembers(before, after, members);
		return findings.length > 0 ? err(findings) : ok(after);
	});
}

type RefusalOpts = {
	readonly dependencies: CommitDependencies;
	readonly findings: readonly Finding[];
};

/**
 * Creates the answer to a refused change. If the answer to a note was lost, the operator sends the note again and its base
 * version is no longer in force. In this case the result of the first acceptance is returned instead of the refusal.
 */
async function handleRefusal(change: PlannedChange, before: Configuration, opts: RefusalOpts): Promise<Result<ChangeAnswer, OperatorFailure>> {
	const {dependencies, findings} = opts;
	const {baseVersion} = change;
	if (baseVersion === undefined || baseVersion >= before.version) {
		return err(createRefusal(findings));
	}

	const writeId = await findWriteId(dependencies.store, baseVersion + 1);
	if (writeId.isOk() && writeId.value === formatWriteId(change, baseVersion)) {
		dependencies.receiveConfiguration(before);
		const entries = await readHistory(dependencies.store, {latest: baseVersion + 1, limit: 1});
		return ok({outcome: 'accepted', version: baseVersion + 1, changes: entries.unwrapOr([]).flatMap(({changes}) => changes)});
	}

	const limit = Math.min(before.version - baseVersion, maxShownVersions);
	const history = await readHistory(dependencies.store, {latest: before.version, limit});
	return err({...createRefusal(findings), changedMeanwhile: history.unwrapOr([])});
}

function formatWriteId(change: ChangeOpts, baseVersion: number): string {
	return `${change.changeId}/${baseVersion}`;
}
