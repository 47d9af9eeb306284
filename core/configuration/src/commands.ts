import {findSuggestion} from '@buckthornpoint/documents/objects.js';
import type {Finding} from '@buckthornpoint/errors/findings.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {FailureDomainName, VmId} from '@buckthornpoint/types/identity.js';
import {err, ok, type Result} from 'neverthrow';
import type {ConfigurationMember} from './eligible-members.js';

/** How long a VM must have been silent before it may be declared dead. */
export const minSilenceBeforeDeadMs = 5000;

/** A change that an operator requests by a single command instead of a release note. */
export type OperatorCommand
	= | {readonly kind: 'failure-domain-out' | 'failure-domain-back'; readonly name: FailureDomainName}
		| {readonly kind: 'vm-stop' | 'vm-back' | 'vm-declare-dead'; readonly name: VmId};

/** The kinds of operator commands. */
export const commandKinds = ['failure-domain-out', 'failure-domain-back', 'vm-stop', 'vm-back', 'vm-declare-dead'] as const satisfies ReadonlyArray<OperatorCommand['kind']>;

/**
 * Applies a command to a configuration. Returns the same configuration if the command changes nothing, so that it may be
 * repeated. `members` are the members that the controller knows.
 */
export function applyCommand(configuration: Configuration, command: OperatorCommand, members: readonly ConfigurationMember[]): Result<Configuration, readonly Finding[]> {
	switch (command.kind) {
		case 'failure-domain-out':
		case 'failure-domain-back': {
			return setFailureDomain(configuration, command.name, command.kind === 'failure-domain-out');
		}

		case 'vm-stop': {
			return checkVm(command.name, members)
				.map(() => withVms(configuration, {...configuration, stoppingVms: addName(configuration.stoppingVms, command.name)}));
		}

		case 'vm-back': {
			return ok(withVms(configuration, {
				...configuration,
				stoppingVms: configuration.stoppingVms.filter(vmId => vmId !== command.name),
				deadVms: configuration.deadVms.filter(vmId => vmId !== command.name),
			}));
		}

		case 'vm-declare-dead': {
			return checkVm(command.name, members).andThen(member => checkSilence(member)).map(() => withVms(configuration, {
				...configuration,
				stoppingVms: configuration.stoppingVms.filter(vmId => vmId !== command.name),
				deadVms: addName(configuration.deadVms, command.name),
			}));
		}
	}
}

function setFailureDomain(configuration: Configuration, name: FailureDomainName, out: boolean): Result<Configuration, readonly Finding[]> {
	const known = configuration.failureDomains.find(failureDomain => failureDomain.name === name);
	if (known === undefined) {
		return err([createNotFound('failure domain', name, configuration.failureDomains.map(failureDomain => failureDomain.name))]);
	}

	return ok(known.out === out
		? configuration
		: {
			...configuration,
			version: configuration.version + 1,
			failureDomains: configuration.failureDomains.map(failureDomain => failureDomain.name === name ? {...failureDomain, out} : failureDomain),
		});
}

function checkVm(name: VmId, members: readonly ConfigurationMember[]): Result<ConfigurationMember, readonly Finding[]> {
	const member = members.find(({vmId}) => vmId === name);
	return member === undefined ? err([createNotFound('VM', name, members.map(({vmId}) => vmId))]) : ok(member);
}

function checkSilence(member: ConfigurationMember): Result<ConfigurationMember, readonly Finding[]> {
	const {silentForMs, vmId} = member;
	return silentForMs !== undefined && silentForMs >= minSilenceBeforeDeadMs
		? ok(member)
		: err([{
			code: 'ERR_CONFIGURATION_INVALID',
			message: silentForMs === undefined
				? `nobody knows how long the VM "${vmId}" has been silent`
				: `the VM "${vmId}" was heard ${Math.round(silentForMs)} ms ago, so it is not dead`,
			hint: 'declare a VM dead only when its processes certainly run no more; stop a running one with "vm stop"',
		}]);
}

function withVms(before: Configuration, after: Configuration): Configuration {
	const isSame = before.stoppingVms.length === after.stoppingVms.length && before.deadVms.length === after.deadVms.length;
	return isSame ? before : {...after, version: before.version + 1};
}

function addName(names: readonly string[], name: string): readonly string[] {
	return names.includes(name) ? names : [...names, name];
}

function createNotFound(subject: string, name: string, known: readonly string[]): Finding {
	return {code: 'ERR_NOT_FOUND', message: `there is no ${subject} "${name}"`, hint: findSuggestion(name, known) ?? `known are ${known.join(', ') || 'none'}`};
}
