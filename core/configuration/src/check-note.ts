import {findLocation, type DocumentPath} from '@buckthornpoint/documents/documents.js';
import {findSuggestion} from '@buckthornpoint/documents/objects.js';
import type {Finding} from '@buckthornpoint/errors/findings.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import {checkRules} from './check-rules.js';
import type {ParsedNote, ReleaseNote} from './release-note.js';

/** A finding with its path in the document, from which its place is derived. */
export type FindingWithPath = Omit<Finding, 'place'> & {readonly path: DocumentPath};

/** Returns all reasons why a well-formed note cannot be applied to the configuration. */
export function checkNote(configuration: Configuration, parsed: ParsedNote): readonly Finding[] {
	const {note, document} = parsed;
	const findings = [
		...checkBaseVersion(configuration, note),
		...checkContent(note),
		...checkNames(configuration.services, note, 'services'),
		...checkNames(configuration.failureDomains, note, 'failureDomains'),
		...checkFixedValues(configuration, note),
		...checkRulesOfNote(note),
	];
	return findings.map(({path, ...finding}) => ({...finding, place: findLocation(document, path)}));
}

function checkBaseVersion(configuration: Configuration, note: ReleaseNote): readonly FindingWithPath[] {
	return note.baseVersion === configuration.version
		? []
		: [{
			code: 'ERR_CONFIGURATION_CONFLICT',
			message: `the note was written against version ${note.baseVersion}, but version ${configuration.version} is in force`,
			hint: 'look at the history, then write the note against the version in force',
			path: ['baseVersion'],
		}];
}

function checkContent(note: ReleaseNote): readonly FindingWithPath[] {
	const sections = [note.added, note.changed, note.withdrawn];
	const isEmpty = sections.every(({services, failureDomains}) => services.length === 0 && failureDomains.length === 0);
	return isEmpty ? [{code: 'ERR_CONFIGURATION_INVALID', message: 'the note adds, changes and withdraws nothing', path: []}] : [];
}

type NamedSection = 'services' | 'failureDomains';
type SectionName = {readonly name: string; readonly path: DocumentPath};

const sectionLabels: Readonly<Record<NamedSection, string>> = {services: 'service', failureDomains: 'failure domain'};

function checkNames(known: ReadonlyArray<{readonly name: string}>, note: ReleaseNote, section: NamedSection): readonly FindingWithPath[] {
	const knownNames = known.map(({name}) => name);
	const added = note.added[section].map(({name}, index) => ({name, path: ['added', section, index, 'name']}));
	const changed = note.changed[section].map(({name}, index) => ({name, path: ['changed', section, index, 'name']}));
	const withdrawn = note.withdrawn[section].map((name, index) => ({name, path: ['withdrawn', section, index]}));
	return [
		...checkRepeated([...added, ...changed, ...withdrawn], sectionLabels[section]),
		...added.filter(({name}) => knownNames.includes(name)).map(({name, path}): FindingWithPath => ({
			code: 'ERR_CONFIGURATION_INVALID', message: `the ${sectionLabels[section]} "${name}" exists already`, hint: 'list it under "changed"', path,
		})),
		...[...changed, ...withdrawn].filter(({name}) => !knownNames.includes(name)).map(({name, path}): FindingWithPath => ({
			code: 'ERR_NOT_FOUND', message: `there is no ${sectionLabels[section]} "${name}"`, hint: findSuggestion(name, knownNames), path,
		})),
	];
}

function checkRepeated(names: readonly SectionName[], label: string): readonly FindingWithPath[] {
	const seen = new Map<string, DocumentPath>();
	return names.flatMap(({name, path}) => {
		const first = seen.get(name);
		if (first === undefined) {
			seen.set(name, path);
			return [];
		}

		return [{
			code: 'ERR_CONFIGURATION_INVALID' as const,
			message: `the ${label} "${name}" stands under "${first[0] ?? ''}" already`,
			hint: 'a note names each thing once',
			path,
		}];
	});
}

function checkFixedValues(configuration: Configuration, note: ReleaseNote): readonly FindingWithPath[] {
	return note.changed.services.flatMap((change, index) => {
		const service = configuration.services.find(({name}) => name === change.name);
		return (['partitionCount', 'divided'] as const).flatMap((field): readonly FindingWithPath[] =>
			service === undefined || change[field] === undefined || change[field] === service[field]
				? []
				: [{
					code: 'ERR_CONFIGURATION_INVALID',
					message: `"${field}" of the service "${service.name}" is ${service[field]} and cannot change`,
					hint: 'it is fixed when the service is created, because it decides who owns each key',
					path: ['changed', 'services', index, field],
				}]);
	});
}

function checkRulesOfNote(note: ReleaseNote): readonly FindingWithPath[] {
	return (['added', 'changed'] as const).flatMap(section =>
		note[section].services.flatMap((service, index) =>
			checkRules(service.rules ?? []).map(({rule, ...finding}) => ({...finding, path: [section, 'services', index, 'rules', rule]}))));
}
