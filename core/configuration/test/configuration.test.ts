import assert from 'node:assert/strict';
import test from 'node:test';
import {formatFindings} from '@buckthornpoint/errors/findings.js';
import {emptyConfiguration, type Configuration} from '@buckthornpoint/types/configuration.js';
import fc from 'fast-check';
import {applyReleaseNote} from '../src/apply-note.js';
import {type ConfigurationMember, checkEligibleMembers} from '../src/eligible-members.js';
import {formatChanges, listChanges} from '../src/changes.js';
import {applyCommand, type OperatorCommand} from '../src/commands.js';
import {decodeConfiguration} from '../src/decode-configuration.js';
import {parseReleaseNote} from '../src/release-note.js';

function formatRefusal(configuration: Configuration, note: unknown): string {
	const parsed = parseReleaseNote(JSON.stringify(note), 'note');
	return formatFindings(parsed.andThen(value => applyReleaseNote(configuration, value))._unsafeUnwrapErr()).replaceAll(/note:1:\d+: /gv, '');
}

const firstNote = `{
	"baseVersion": 0,
	"summary": "first",
	"added": {
		"failureDomains": [{"name": "kosice-a"}, {"name": "kosice-b"}, {"name": "zilina"}],
		"services": [
			{
				"name": "sklad", "tenant": "medoplech", "divided": true, "partitionCount": 256, "maxConnections": 110, "coldConcurrency": 4,
				"rules": [
					{"method": "GET", "pathPrefix": "/lots", "idempotent": true, "requestClass": "interactive"}, // look-ups
					{"method": "POST", "pathPrefix": "/lots", "idempotent": false, "requestClass": "transactional", "defaultDeadlineMs": 5000},
				],
			},
			{"name": "rezervacie", "tenant": "medoplech", "divided": false, "partitionCount": 64, "maxConnections": 110, "coldConcurrency": 4},
			{"name": "fakturacia", "tenant": "medoplech", "divided": false, "partitionCount": 64, "maxConnections": 110, "coldConcurrency": 2},
		],
	},
}`;

const firstVersion = parseReleaseNote(firstNote, 'note').andThen(parsed => applyReleaseNote(emptyConfiguration, parsed))._unsafeUnwrap();

function createMember(vmId: string, failureDomain: string, opts: {readonly service: string; readonly silentForMs: number}): ConfigurationMember {
	return {
		vmId, failureDomain, phase: 'active', silentForMs: opts.silentForMs, backendServer: {
			name: vmId, service: opts.service, origin: 'http://127.0.0.1:1', slots: 18, checksFence: false, incarnation: '1', leaving: false,
		},
	};
}

test('a first note applies to an empty configuration, and the result can be stored and decoded', () => {
	assert.equal(firstVersion.version, 1);
	assert.equal(listChanges(emptyConfiguration, firstVersion).length, 6);
	const stored = JSON.stringify(firstVersion);
	assert.deepEqual(decodeConfiguration(JSON.parse(stored))._unsafeUnwrap(), firstVersion);
});

test('all findings of a note that contradicts itself or the configuration are returned at once', () => {
	assert.equal(formatRefusal(firstVersion, {
		baseVersion: 4,
		summary: 'x',
		added: {
			services: [{
				name: 'sklad', tenant: 'm', divided: true, partitionCount: 4, maxConnections: 1, coldConcurrency: 1, rules: [
					{
						method: '*', pathPrefix: '/', idempotent: false, requestClass: 'transactional',
					},
					{
						method: 'GET', pathPrefix: '/lots', idempotent: true, requestClass: 'interactive',
					},
				],
			}],
		},
		changed: {services: [{name: 'rezervacia', coldConcurrency: 1}, {name: 'fakturacia', partitionCount: 128}], failureDomains: [{name: 'zilina', out: true}]},
		withdrawn: {services: ['fakturacia'], failureDomains: ['zilina']},
	}), [
		'ERR_CONFIGURATION_CONFLICT: the note was written against version 4, but version 1 is in force (look at the history, then write the note against the version in force)',
		'ERR_CONFIGURATION_INVALID: the service "sklad" exists already (list it under "changed")',
		'ERR_CONFIGURATION_INVALID: the rule GET /lots is never reached: * / before it matches the same requests (the first match decides; put the narrower rule first)',
		'ERR_NOT_FOUND: there is no service "rezervacia" (did you mean "rezervacie"?)',
		'ERR_CONFIGURATION_INVALID: "partitionCount" of the service "fakturacia" is 64 and cannot change (it is fixed when the service is created, because it decides who owns each key)',
		'ERR_CONFIGURATION_INVALID: the service "fakturacia" stands under "changed" already (a note names each thing once)',
		'ERR_CONFIGURATION_INVALID: the failure domain "zilina" stands under "changed" already (a note names each thing once)',
	].join('\n'));
});

test('an empty note and a partition count that is not a power of two are refused', () => {
	assert.match(formatRefusal(firstVersion, {baseVersion: 1, summary: 'x'}), /nothing/v);
	assert.match(formatRefusal(firstVersion, {baseVersion: 1, summary: 'x', added: {services: [{...firstVersion.services[0], name: 'y', partitionCount: 100}]}}), /100 is not a power of two/v);
});

test('a change keeps the fields that it omits, and its differences are formatted', () => {
	const changed = {services: [{name: 'sklad', coldConcurrency: 6, rules: firstVersion.services[0]?.rules.slice(1)}], failureDomains: [{name: 'zilina', out: true}]};
	const text = JSON.stringify({baseVersion: 1, summary: 'x', changed});
	const after = parseReleaseNote(text, 'note').andThen(parsed => applyReleaseNote(firstVersion, parsed))._unsafeUnwrap();
	assert.equal(after.services[0]?.partitionCount, 256);
	assert.deepEqual(formatChanges(listChanges(firstVersion, after)), [
		'~ service sklad: coldConcurrency 4 -> 6',
		'~ service sklad: rule GET /lots withdrawn',
		'~ failure domain zilina: out: gets no new work',
	]);
});

test('taking out the failure domain of the last eligible member of a service is reported', () => {
	const members = [
		createMember('a', 'kosice-a', {service: 'sklad', silentForMs: 100}),
		createMember('b', 'kosice-b', {service: 'sklad', silentForMs: 60_000}),
	];
	const after = applyCommand(firstVersion, {kind: 'failure-domain-out', name: 'kosice-a'}, members)._unsafeUnwrap();
	assert.match(formatFindings(checkEligibleMembers(firstVersion, after, members)), /ERR_WOULD_LEAVE_NO_BEARER: the service "sklad" would be left without/v);
	assert.deepEqual(checkEligibleMembers(firstVersion, after, [...members, createMember('c', 'zilina', {service: 'sklad', silentForMs: 100})]), []);
});

test('a VM whose last heartbeat is recent cannot be declared dead', () => {
	const command = {kind: 'vm-declare-dead', name: 'a'} as const;
	assert.ok(applyCommand(firstVersion, command, [createMember('a', 'kosice-a', {service: 'sklad', silentForMs: 900})]).isErr());
	assert.deepEqual(applyCommand(firstVersion, command, [createMember('a', 'kosice-a', {service: 'sklad', silentForMs: 9000})])._unsafeUnwrap().deadVms, ['a']);
});

test('a repeated command changes nothing, and each effective command increments the version', () => {
	const members = ['a', 'b'].map(vmId => createMember(vmId, 'zilina', {service: 'sklad', silentForMs: 9000}));
	const command = fc.oneof(
		fc.record({kind: fc.constantFrom('failure-domain-out', 'failure-domain-back'), name: fc.constantFrom('kosice-a', 'zilina', 'brno')}),
		fc.record({kind: fc.constantFrom('vm-stop', 'vm-back', 'vm-declare-dead'), name: fc.constantFrom('a', 'b', 'c')}),
	) as fc.Arbitrary<OperatorCommand>;
	fc.assert(fc.property(fc.array(command, {maxLength: 12}), commands => {
		let configuration = firstVersion;
		for (const next of commands) {
			const after = applyCommand(configuration, next, members).unwrapOr(configuration);
			assert.equal(after.version - configuration.version, listChanges(configuration, after).length > 0 ? 1 : 0);
			assert.equal(applyCommand(after, next, members).unwrapOr(after), after);
			configuration = after;
		}
	}), {seed: 6, numRuns: 200});
});
