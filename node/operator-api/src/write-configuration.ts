import type {Clock} from '@buckthornpoint/clock/clock.js';
import {createOperatorFailure, type OperatorFailure} from '@buckthornpoint/configuration/operator-protocol.js';
import type {TableStore} from '@buckthornpoint/table-store/table-store.js';
import {err, ok, type Result} from 'neverthrow';
import {
	buildTransaction, createStoreFailure, findWriteId, type ConfigurationWrite,
} from './configuration-rows.js';

const maxAttempts = 5;
const minDelayMs = 100;

/** Dependencies of `writeConfiguration`. */
export type WriteOpts = {
	readonly store: TableStore;
	readonly clock: Clock;
};

/**
 * Writes a configuration by compare-and-set. If the outcome is unknown, the same transaction is sent again: it takes effect
 * at most once, because its condition is met at most once, and the history row contains the id of the write that created the
 * version. Returns false if another operator's write created the version instead.
 */
export async function writeConfiguration(write: ConfigurationWrite, opts: WriteOpts): Promise<Result<boolean, OperatorFailure>> {
	const transaction = buildTransaction(write);
	let mayHaveTakenEffect = false;
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const committed = await opts.store.commitTransaction(transaction);
		if (committed.isOk()) {
			return ok(true);
		}

		const failure = committed.error;
		if (failure.kind === 'unavailable' && !mayHaveTakenEffect) {
			return err(createStoreFailure(failure));
		}

		if (failure.kind === 'conflict') {
			const writeId = await findWriteId(opts.store, write.configuration.version);
			if (writeId.isOk()) {
				return ok(writeId.value === write.writeId);
			}
		}

		mayHaveTakenEffect = true;
		await opts.clock.sleep(minDelayMs * (2 ** attempt));
	}

	return err(createOperatorFailure(
		'ERR_STORE_OUTCOME_UNKNOWN',
		`nobody can tell yet whether version ${write.configuration.version} was accepted: the store answered no more; look at the history once it does`,
	));
}
