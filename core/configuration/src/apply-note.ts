import type {Finding} from '@buckthornpoint/errors/findings.js';
import type {Configuration, FailureDomainConfiguration, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import {err, ok, type Result} from 'neverthrow';
import {checkNote} from './check-note.js';
import type {ParsedNote, ReleaseNote} from './release-note.js';

/** Applies a release note to a configuration and increments its version, or returns all findings that prevent this. */
export function applyReleaseNote(configuration: Configuration, parsed: ParsedNote): Result<Configuration, readonly Finding[]> {
	const findings = checkNote(configuration, parsed);
	if (findings.length > 0) {
		return err(findings);
	}

	const {note} = parsed;
	return ok({
		...configuration,
		version: configuration.version + 1,
		services: applyServices(configuration.services, note),
		failureDomains: applyFailureDomains(configuration.failureDomains, note),
	});
}

function applyServices(services: readonly ServiceConfiguration[], note: ReleaseNote): readonly ServiceConfiguration[] {
	const changes = new Map(note.changed.services.map(change => [change.name, change]));
	const kept = services
		.filter(({name}) => !note.withdrawn.services.includes(name))
		.map(service => ({...service, ...changes.get(service.name)}));
	return [...kept, ...note.added.services];
}

function applyFailureDomains(failureDomains: readonly FailureDomainConfiguration[], note: ReleaseNote): readonly FailureDomainConfiguration[] {
	const changes = new Map(note.changed.failureDomains.map(change => [change.name, change]));
	const kept = failureDomains
		.filter(({name}) => !note.withdrawn.failureDomains.includes(name))
		.map(failureDomain => ({...failureDomain, ...changes.get(failureDomain.name)}));
	return [...kept, ...note.added.failureDomains];
}
