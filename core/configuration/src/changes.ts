import type {Configuration, RequestRule, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import {formatRule} from './check-rules.js';

/** One difference between two configurations. */
export type Change = {
	readonly kind: 'added' | 'changed' | 'withdrawn';
	readonly subject: 'service' | 'failure domain' | 'stopping VM' | 'dead VM';
	readonly name: string;
	/** The differences, one string for each value. */
	readonly details: readonly string[];
};

const signs: Readonly<Record<Change['kind'], string>> = {added: '+', changed: '~', withdrawn: '-'};

/** Lists the differences between two configurations. */
export function listChanges(before: Configuration, after: Configuration): readonly Change[] {
	return [
		...compareNamed(before.services, after.services, {subject: 'service', listDetails: formatService, listDifferences: compareServices}),
		...compareNamed(before.failureDomains, after.failureDomains, {
			subject: 'failure domain',
			listDetails: ({out}) => out ? ['out'] : [],
			listDifferences: (left, right) => left.out === right.out ? [] : [right.out ? 'out: gets no new work' : 'back: gets work again'],
		}),
		...compareVms(before.stoppingVms, after.stoppingVms, 'stopping VM'),
		...compareVms(before.deadVms, after.deadVms, 'dead VM'),
	];
}

/** Formats differences for display, one line each: a sign, the subject and the difference. */
export function formatChanges(changes: readonly Change[]): readonly string[] {
	return changes.flatMap(({kind, subject, name, details}) => kind === 'changed'
		? details.map(detail => `${signs[kind]} ${subject} ${name}: ${detail}`)
		: [`${signs[kind]} ${subject} ${name}${details.length > 0 ? ` (${details.join(', ')})` : ''}`]);
}

type Named = {readonly name: string};

type CompareOpts<T> = {
	readonly subject: Change['subject'];
	readonly listDetails: (item: T) => readonly string[];
	readonly listDifferences: (left: T, right: T) => readonly string[];
};

function compareNamed<T extends Named>(before: readonly T[], after: readonly T[], opts: CompareOpts<T>): readonly Change[] {
	const earlier = new Map(before.map(item => [item.name, item]));
	const names = new Set(after.map(({name}) => name));
	const addedOrChanged = after.flatMap((item): readonly Change[] => {
		const old = earlier.get(item.name);
		if (old === undefined) {
			return [{
				kind: 'added', subject: opts.subject, name: item.name, details: opts.listDetails(item),
			}];
		}

		const details = opts.listDifferences(old, item);
		return details.length === 0
			? []
			: [{
				kind: 'changed', subject: opts.subject, name: item.name, details,
			}];
	});
	const withdrawn = before.filter(({name}) => !names.has(name)).map(({name}): Change => ({
		kind: 'withdrawn', subject: opts.subject, name, details: [],
	}));
	return [...addedOrChanged, ...withdrawn];
}

function compareVms(before: readonly string[], after: readonly string[], subject: Change['subject']): readonly Change[] {
	const toNamed = (names: readonly string[]): readonly Named[] => names.map(name => ({name}));
	return compareNamed(toNamed(before), toNamed(after), {subject, listDetails: () => [], listDifferences: () => []});
}

function formatService(service: ServiceConfiguration): readonly string[] {
	return [
		`tenant ${service.tenant}`,
		service.divided ? 'divided by key' : 'undivided',
		`${service.partitionCount} partitions`,
		`${service.rules.length} rules`,
	];
}

function compareServices(before: ServiceConfiguration, after: ServiceConfiguration): readonly string[] {
	const values = (['tenant', 'maxConnections', 'coldConcurrency'] as const)
		.filter(field => before[field] !== after[field])
		.map(field => `${field} ${before[field]} -> ${after[field]}`);
	return [...values, ...compareRules(before.rules, after.rules)];
}

function compareRules(before: readonly RequestRule[], after: readonly RequestRule[]): readonly string[] {
	const earlier = new Map(before.map(rule => [formatRule(rule), formatPolicy(rule)]));
	const later = new Map(after.map(rule => [formatRule(rule), formatPolicy(rule)]));
	const addedOrChanged = [...later].flatMap(([match, policy]) => {
		const old = earlier.get(match);
		if (old === undefined) {
			return [`rule ${match} added (${policy})`];
		}

		return old === policy ? [] : [`rule ${match}: ${old} -> ${policy}`];
	});
	const withdrawn = [...earlier.keys()].filter(match => !later.has(match)).map(match => `rule ${match} withdrawn`);
	const isReordered = addedOrChanged.length === 0 && withdrawn.length === 0 && [...earlier.keys()].join('\n') !== [...later.keys()].join('\n');
	return [...addedOrChanged, ...withdrawn, ...isReordered ? ['rules reordered'] : []];
}

function formatPolicy(rule: RequestRule): string {
	return `${rule.idempotent ? 'idempotent' : 'not idempotent'}, ${rule.requestClass}, ${rule.defaultDeadlineMs} ms`;
}
