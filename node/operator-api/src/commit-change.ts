import type {Clock} from '@buckthornpoint/clock/clock.js';
import {checkBearers, type ConfigurationMember} from '@buckthornpoint/configuration/bearers.js';
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

/** A change as the commit sees it: a pure function of the configuration, with what the history says of it. */
export type PlannedChange = ChangeOpts & {
	readonly summary: string;
	/** The release note as it was written; absent for a command. */
	readonly note?: string;
	/** Version that the change was written against; absent for a command, which fits any version. */
	readonly baseVersion?: number;
	readonly apply: (configuration: Configuration, members: readonly ConfigurationMember[]) => Result<Configuration, readonly Finding[]>;
};

/** What a change works with. */
export type ChangeParts = {
	readonly store: TableStore;
	readonly clock: Clock;
	readonly listMembers: () => readonly ConfigurationMember[];
	/** Version in force on this node. */
	readonly getVersion: () => number;
	/** Hands an accepted configuration to the node. */
	readonly learnConfiguration: (configuration: Configuration) => void;
};

/** Checks a change against the configuration in the store, and writes it unless it is only checked. */
export async function commitChange(change: PlannedChange, parts: ChangeParts): Promise<Result<ChangeAnswer, OperatorFailure>> {
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const stored = await readStoredConfiguration(parts.store);
		if (stored.isErr()) {
			return err(stored.error);
		}

		const outcome = await commitOnce(change, stored.value, parts);
		if (outcome !== 'raced') {
			return outcome;
		}
	}

	return err(createOperatorFailure('ERR_CONFIGURATION_CONFLICT', 'other operators changed the configuration during each attempt; try again'));
}

async function commitOnce(change: PlannedChange, stored: StoredConfiguration, parts: ChangeParts): Promise<Result<ChangeAnswer, OperatorFailure> | 'raced'> {
	const before = stored.configuration;
	if (before.version < parts.getVersion()) {
		return err(createOperatorFailure(
			'ERR_STORE_CONFLICT',
			`the store says version ${before.version}, but version ${parts.getVersion()} is in force here; nothing was accepted`,
		));
	}

	const after = planChange(change, before, parts.listMembers());
	if (after.isErr()) {
		return judgeRefusal(change, before, {parts, findings: after.error});
	}

	const changes = formatChanges(listChanges(before, after.value));
	if (change.checkOnly || after.value === before) {
		return ok({outcome: after.value === before ? 'unchanged' : 'checked', version: after.value.version, changes});
	}

	const entry: HistoryEntry = {
		version: after.value.version, acceptedAtMs: parts.clock.readMoment().wallMs, operator: change.operator, summary: change.summary, changes,
	};
	const written = await writeConfiguration({
		writeId: formatWriteId(change, before.version), rowVersion: stored.rowVersion, configuration: after.value, entry, note: change.note,
	}, parts);
	if (written.isOk() && !written.value) {
		return 'raced';
	}

	return written.map(() => {
		parts.learnConfiguration(after.value);
		return {outcome: 'accepted', version: after.value.version, changes};
	});
}

function planChange(change: PlannedChange, before: Configuration, members: readonly ConfigurationMember[]): Result<Configuration, readonly Finding[]> {
	return change.apply(before, members).andThen(after => {
		const findings = change.force ? [] : checkBearers(before, after, members);
		return findings.length > 0 ? err(findings) : ok(after);
	});
}

type RefusalOpts = {
	readonly parts: ChangeParts;
	readonly findings: readonly Finding[];
};

/** A note may be refused because it was accepted before and its answer was lost: then that is the answer. */
async function judgeRefusal(change: PlannedChange, before: Configuration, opts: RefusalOpts): Promise<Result<ChangeAnswer, OperatorFailure>> {
	const {parts, findings} = opts;
	const {baseVersion} = change;
	if (baseVersion === undefined || baseVersion >= before.version) {
		return err(createRefusal(findings));
	}

	const writeId = await findWriteId(parts.store, baseVersion + 1);
	if (writeId.isOk() && writeId.value === formatWriteId(change, baseVersion)) {
		parts.learnConfiguration(before);
		const entries = await readHistory(parts.store, {latest: baseVersion + 1, limit: 1});
		return ok({outcome: 'accepted', version: baseVersion + 1, changes: entries.unwrapOr([]).flatMap(({changes}) => changes)});
	}

	const limit = Math.min(before.version - baseVersion, maxShownVersions);
	const history = await readHistory(parts.store, {latest: before.version, limit});
	return err({...createRefusal(findings), changedMeanwhile: history.unwrapOr([])});
}

function formatWriteId(change: ChangeOpts, baseVersion: number): string {
	return `${change.changeId}/${baseVersion}`;
}
