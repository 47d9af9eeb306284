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
import {commitChange, type ChangeParts, type PlannedChange} from '../src/commit-change.js';
import {configurationKey} from '../src/configuration-rows.js';
import {ScriptedStore, type CommitFault} from './scripted-store.js';

const runs = {seed: 6, numRuns: 300};

/** A clock on which nobody waits. */
class InstantClock extends ManualClock {
	override async sleep(): Promise<void> {
		// Returns at once.
	}
}

function createParts(store: ScriptedStore, learned: Configuration[] = []): ChangeParts {
	return {
		store, clock: new InstantClock(), listMembers: () => [], getVersion: () => 0, learnConfiguration(configuration) {
			learned.push(configuration);
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

function getCode(outcome: Result<ChangeAnswer, OperatorFailure>): string {
	return outcome.match(({outcome: word}) => word, ({code}) => code);
}

const commitFault = fc.constantFrom<CommitFault>('none', 'answer-lost', 'effect-late', 'request-lost', 'unavailable');

test('of two operators at once, in every order and with every loss of the store, at most one note is accepted, and nobody is told wrong', async () => {
	await fc.assert(fc.asyncProperty(fc.scheduler(), fc.array(commitFault, {maxLength: 12}), async (scheduler, faults) => {
		const store = new ScriptedStore(async step => scheduler.schedule(Promise.resolve()).then(step), faults);
		const learned: Configuration[] = [];
		const parts = createParts(store, learned);
		const changes = [commitChange(planNote('anna', 0, 'kosice'), parts), commitChange(planNote('bela', 0, 'zilina'), parts)];
		await scheduler.waitFor(Promise.all(changes));
		const [anna, bela] = await Promise.all(changes);
		await scheduler.waitIdle();
		const versions = readVersions(store);
		assert.ok(versions.length <= 1);
		for (const [operator, outcome] of [['anna', anna], ['bela', bela]] as const) {
			const isInForce = versions.includes(`${operator}/0`);
			const code = outcome === undefined ? '' : getCode(outcome);
			assert.ok(code === 'ERR_STORE_OUTCOME_UNKNOWN' || (code === 'accepted') === isInForce, `${operator}: ${code}, ${versions.join(' ')}`);
		}

		assert.ok(learned.length <= 1);
	}), runs);
});

test('without losses exactly one of two notes is accepted and the other is told what changed meanwhile', async () => {
	await fc.assert(fc.asyncProperty(fc.scheduler(), async scheduler => {
		const store = new ScriptedStore(async step => scheduler.schedule(Promise.resolve()).then(step));
		const parts = createParts(store);
		const changes = [commitChange(planNote('anna', 0, 'kosice'), parts), commitChange(planNote('bela', 0, 'zilina'), parts)];
		await scheduler.waitFor(Promise.all(changes));
		const outcomes = await Promise.all(changes);
		assert.deepEqual(outcomes.map(outcome => getCode(outcome)).toSorted(), ['ERR_CONFIGURATION_CONFLICT', 'accepted']);
		const loser = outcomes.find(outcome => outcome.isErr())?._unsafeUnwrapErr();
		const winner = readVersions(store)[0] === 'anna/0' ? 'anna' : 'bela';
		assert.deepEqual(loser?.changedMeanwhile.map(({operator}) => operator), [winner]);
	}), runs);
});

test('two commands at once are both in force, one after the other', async () => {
	await fc.assert(fc.asyncProperty(fc.scheduler(), async scheduler => {
		const store = new ScriptedStore(async step => scheduler.schedule(Promise.resolve()).then(step));
		const parts = createParts(store);
		const setup = commitChange(planNote('setup', 0, 'kosice'), parts).then(async () => commitChange(planNote('setup', 1, 'zilina'), parts));
		await scheduler.waitFor(setup);
		const commands = ['kosice', 'zilina'].map(async name => commitChange(planCommand(name, {kind: 'failure-domain-out', name}), parts));
		await scheduler.waitFor(Promise.all(commands));
		const outcomes = await Promise.all(commands);
		assert.deepEqual(outcomes.map(outcome => outcome._unsafeUnwrap().version).toSorted((left, right) => left - right), [3, 4]);
		const stored = readConfiguration(store);
		assert.deepEqual(stored.failureDomains.map(({out}) => out), [true, true]);
	}), runs);
});

test('out and at once back, sent again after lost answers, end in service with one version each', async () => {
	const store = new ScriptedStore(undefined, ['none', 'answer-lost', 'answer-lost']);
	const parts = createParts(store);
	await commitChange(planNote('setup', 0, 'kosice'), parts);
	const words: string[] = [];
	for (const kind of ['failure-domain-out', 'failure-domain-out', 'failure-domain-back', 'failure-domain-back'] as const) {
		const outcome = await commitChange(planCommand(kind, {kind, name: 'kosice'}), parts);
		words.push(getCode(outcome));
	}

	assert.deepEqual(words, ['accepted', 'unchanged', 'accepted', 'unchanged']);

	const stored = readConfiguration(store);
	assert.deepEqual([stored.version, stored.failureDomains[0]?.out], [3, false]);
});

test('a note that is sent again after its answer was lost on the way to the operator is told that it was accepted', async () => {
	const store = new ScriptedStore();
	const parts = createParts(store);
	await commitChange(planNote('anna', 0, 'kosice'), parts);
	await commitChange(planNote('bela', 1, 'zilina'), parts);
	const again = await commitChange(planNote('anna', 0, 'kosice'), parts);
	assert.deepEqual(again._unsafeUnwrap(), {outcome: 'accepted', version: 1, changes: ['+ failure domain kosice']});
});

test('a store that forgot an accepted version is refused', async () => {
	const store = new ScriptedStore();
	const outcome = await commitChange(planNote('anna', 0, 'kosice'), {...createParts(store), getVersion: () => 7});
	assert.equal(getCode(outcome), 'ERR_STORE_CONFLICT');
	assert.equal(store.table.readRow(configurationKey), undefined);
});

test('while the store is down nothing is accepted and the operator is told so', async () => {
	const store = new ScriptedStore();
	store.isDown = true;
	const learned: Configuration[] = [];
	const outcome = await commitChange(planNote('anna', 0, 'kosice'), createParts(store, learned));
	assert.match(outcome._unsafeUnwrapErr().message, /nothing was accepted/v);
	assert.equal(learned.length, 0);
});
