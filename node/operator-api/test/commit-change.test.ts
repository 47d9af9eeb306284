import assert from 'node:assert/strict';
import test from 'node:test';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {applyReleaseNote} from '@buckthornpoint/configuration/apply-note.js';
import {applyCommand, type OperatorCommand} from '@buckthornpoint/configuration/commands.js';
import type {ChangeAnswer, OperatorFailure} from '@buckthornpoint/configuration/operator-protocol.js';
import {decodeConfiguration} from '@buckthornpoint/configuration/decode-configuration.js';
import {parseReleaseNote} from '@buckthornpoint/configuration/release-note.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import fc from 'fast-check';
import type {Result} from 'neverthrow';
import {commitChange, type CommitDependencies, type PlannedChange} from '../src/commit-change.js';
import {configurationKey} from '../src/configuration-rows.js';
import {ScriptedStore, type CommitFault} from './scripted-store.js';

const propertySettings = {seed: 6, numRuns: 300};

/** A clock whose sleeps return at once. */
class InstantClock extends ManualClock {
	override async sleep(): Promise<void> {
		// Returns at once.
	}
}

function createDependencies(store: ScriptedStore, received: Configuration[] = []): CommitDependencies {
	return {
		store, clock: new InstantClock(), listMembers: () => [], getVersion: () => 0, receiveConfiguration(configuration) {
			received.push(configuration);
		},
	};
}

function planNote(operator: string, baseVersion: number, failureDomain: string): PlannedChange {
	const text = JSON.stringify({baseVersion, summary: `adds ${failureDomain}`, added: {failureDomains: [{name: failureDomain}]}});
	const parsed = parseReleaseNote(text, `${operator}.jsonc`)._unsafeUnwrap();
	return {
		changeId: operator, operator, checkOnly: false, force: false, summary: parsed.note.summary, note: text, baseVersion, apply: configuration => applyReleaseNote(configuration, parsed),
	};
}

function planCommand(operator: string, command: OperatorCommand): PlannedChange {
	return {
		changeId: operator, operator, checkOnly: false, force: false, summary: command.kind, apply: (configuration, members) => applyCommand(configuration, command, members),
	};
}

function readVersions(store: ScriptedStore): readonly string[] {
	return store.table.readRows('history/').map(({writeId}) => writeId);
}

function readConfiguration(store: ScriptedStore): Configuration {
	return decodeConfiguration(store.table.readRow(configurationKey)?.value)._unsafeUnwrap();
}

function getOutcomeCode(outcome: Result<ChangeAnswer, OperatorFailure>): string {
	return outcome.match(({outcome: outcomeKind}) => outcomeKind, ({code}) => code);
}

const commitFault = fc.constantFrom<CommitFault>('none', 'answer-lost', 'effect-late', 'request-lost', 'unavailable');

test('of two concurrent notes, at most one is accepted and neither operator gets a wrong answer, for any order of the store operations and any store fault', async () => {
	await fc.assert(fc.asyncProperty(fc.scheduler(), fc.array(commitFault, {maxLength: 12}), async (scheduler, faults) => {
		const store = new ScriptedStore(async step => scheduler.schedule(Promise.resolve()).then(step), faults);
		const received: Configuration[] = [];
		const dependencies = createDependencies(store, received);
		const changes = [commitChange(planNote('anna', 0, 'kosice'), dependencies), commitChange(planNote('bela', 0, 'zilina'), dependencies)];
		await scheduler.waitFor(Promise.all(changes));
		const [anna, bela] = await Promise.all(changes);
		await scheduler.waitIdle();
		const versions = readVersions(store);
		assert.ok(versions.length <= 1);
		for (const [operator, outcome] of [['anna', anna], ['bela', bela]] as const) {
			const isInForce = versions.includes(`${operator}/0`);
			const code = outcome === undefined ? '' : getOutcomeCode(outcome);
			assert.ok(code === 'ERR_STORE_OUTCOME_UNKNOWN' || (code === 'accepted') === isInForce, `${operator}: ${code}, ${versions.join(' ')}`);
		}

		assert.ok(received.length <= 1);
	}), propertySettings);
});

test('without store faults, exactly one of two notes is accepted and the answer to the other lists the changes made meanwhile', async () => {
	await fc.assert(fc.asyncProperty(fc.scheduler(), async scheduler => {
		const store = new ScriptedStore(async step => scheduler.schedule(Promise.resolve()).then(step));
		const dependencies = createDependencies(store);
		const changes = [commitChange(planNote('anna', 0, 'kosice'), dependencies), commitChange(planNote('bela', 0, 'zilina'), dependencies)];
		await scheduler.waitFor(Promise.all(changes));
		const outcomes = await Promise.all(changes);
		assert.deepEqual(outcomes.map(outcome => getOutcomeCode(outcome)).toSorted(), ['ERR_CONFIGURATION_CONFLICT', 'accepted']);
		const loser = outcomes.find(outcome => outcome.isErr())?._unsafeUnwrapErr();
		const winner = readVersions(store)[0] === 'anna/0' ? 'anna' : 'bela';
		assert.deepEqual(loser?.changedMeanwhile.map(({operator}) => operator), [winner]);
	}), propertySettings);
});

test('two concurrent commands are applied one after the other and both take effect', async () => {
	await fc.assert(fc.asyncProperty(fc.scheduler(), async scheduler => {
		const store = new ScriptedStore(async step => scheduler.schedule(Promise.resolve()).then(step));
		const dependencies = createDependencies(store);
		const setup = commitChange(planNote('setup', 0, 'kosice'), dependencies).then(async () => commitChange(planNote('setup', 1, 'zilina'), dependencies));
		await scheduler.waitFor(setup);
		const commands = ['kosice', 'zilina'].map(async name => commitChange(planCommand(name, {kind: 'failure-domain-out', name}), dependencies));
		await scheduler.waitFor(Promise.all(commands));
		const outcomes = await Promise.all(commands);
		assert.deepEqual(outcomes.map(outcome => outcome._unsafeUnwrap().version).toSorted((left, right) => left - right), [3, 4]);
		const stored = readConfiguration(store);
		assert.deepEqual(stored.failureDomains.map(({out}) => out), [true, true]);
	}), propertySettings);
});

test('the commands out and back, each sent twice and with lost answers of the store, create one version each and leave the failure domain in service', async () => {
	const store = new ScriptedStore(undefined, ['none', 'answer-lost', 'answer-lost']);
	const dependencies = createDependencies(store);
	await commitChange(planNote('setup', 0, 'kosice'), dependencies);
	const outcomeCodes: string[] = [];
	for (const kind of ['failure-domain-out', 'failure-domain-out', 'failure-domain-back', 'failure-domain-back'] as const) {
		const outcome = await commitChange(planCommand(kind, {kind, name: 'kosice'}), dependencies);
		outcomeCodes.push(getOutcomeCode(outcome));
	}

	assert.deepEqual(outcomeCodes, ['accepted', 'unchanged', 'accepted', 'unchanged']);

	const stored = readConfiguration(store);
	assert.deepEqual([stored.version, stored.failureDomains[0]?.out], [3, false]);
});

test('a note that is sent again after its answer to the operator was lost is reported as accepted', async () => {
	const store = new ScriptedStore();
	const dependencies = createDependencies(store);
	await commitChange(planNote('anna', 0, 'kosice'), dependencies);
	await commitChange(planNote('bela', 1, 'zilina'), dependencies);
	const again = await commitChange(planNote('anna', 0, 'kosice'), dependencies);
	assert.deepEqual(again._unsafeUnwrap(), {outcome: 'accepted', version: 1, changes: ['+ failure domain kosice']});
});

test('a change is refused if the store has lost an accepted version', async () => {
	const store = new ScriptedStore();
	const outcome = await commitChange(planNote('anna', 0, 'kosice'), {...createDependencies(store), getVersion: () => 7});
	assert.equal(getOutcomeCode(outcome), 'ERR_STORE_CONFLICT');
	assert.equal(store.table.readRow(configurationKey), undefined);
});

test('while the store is down, changes are refused with a message that nothing was accepted', async () => {
	const store = new ScriptedStore();
	store.isDown = true;
	const received: Configuration[] = [];
	const outcome = await commitChange(planNote('anna', 0, 'kosice'), createDependencies(store, received));
	assert.match(outcome._unsafeUnwrapErr().message, /nothing was accepted/v);
	assert.equal(received.length, 0);
});
