import {
	createFinding, expectBoolean, expectList, expectNumber, expectText, expectWord, type Decoder,
} from '@buckthornpoint/documents/decoders.js';
import {expectField, expectObject, expectOptional} from '@buckthornpoint/documents/objects.js';
import type {RequestRule, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import {err, ok} from 'neverthrow';

/** Maximum number of partitions of a service. */
export const maxPartitions = 16_384;

const maxNameLength = 100;
const maxRules = 200;
const maxConnections = 10_000;
const maxDeadlineMs = 600_000;
const defaultDeadlineMs = 2000;

/** A change to a service: the fields that are present replace those of the service. */
export type ServiceChange = Pick<ServiceConfiguration, 'name'> & Partial<ServiceConfiguration>;

/** Decodes the name of a service, tenant or failure domain. */
export const nameDecoder: Decoder<string> = expectText({
	maxLength: maxNameLength,
	pattern: /^[\p{L}\d][\p{L}\d._\-]*$/v,
	description: 'a name of letters, digits, dots, dashes and underscores',
});

const ruleDecoder: Decoder<RequestRule> = expectObject<RequestRule>({
	method: expectField(expectText({pattern: /^(?:\*|[A-Z]+)$/v, description: 'an HTTP method in capitals, or "*"'})),
	pathPrefix: expectField(expectText({pattern: /^\/[^\s?#]*$/v, description: 'the beginning of a path, such as "/lots"'})),
	idempotent: expectField(expectBoolean()),
	requestClass: expectField(expectWord(['interactive', 'transactional', 'service-to-service'])),
	defaultDeadlineMs: expectOptional(expectNumber({min: 1, max: maxDeadlineMs}), defaultDeadlineMs),
});

const partitionCountDecoder: Decoder<number> = (document, node) =>
	expectNumber({min: 1, max: maxPartitions})(document, node).andThen(count => isPowerOfTwo(count)
		? ok(count)
		: err([createFinding(document, node, 'ERR_CONFIGURATION_INVALID', `${count} is not a power of two`)]));

const decoders = {
	tenant: nameDecoder,
	divided: expectBoolean(),
	partitionCount: partitionCountDecoder,
	maxConnections: expectNumber({min: 1, max: maxConnections}),
	coldConcurrency: expectNumber({min: 1, max: maxConnections}),
	rules: expectList(ruleDecoder, maxRules),
} as const;

/** Decodes a service that a note adds. */
export const serviceDecoder: Decoder<ServiceConfiguration> = expectObject<ServiceConfiguration>({
	name: expectField(nameDecoder),
	tenant: expectField(decoders.tenant),
	divided: expectField(decoders.divided),
	partitionCount: expectField(decoders.partitionCount),
	maxConnections: expectField(decoders.maxConnections),
	coldConcurrency: expectField(decoders.coldConcurrency),
	rules: expectOptional(decoders.rules, []),
});

/** Decodes a service that a note changes. */
export const serviceChangeDecoder: Decoder<ServiceChange> = expectObject<ServiceChange>({
	name: expectField(nameDecoder),
	tenant: expectOptional(decoders.tenant),
	divided: expectOptional(decoders.divided),
	partitionCount: expectOptional(decoders.partitionCount),
	maxConnections: expectOptional(decoders.maxConnections),
	coldConcurrency: expectOptional(decoders.coldConcurrency),
	rules: expectOptional(decoders.rules),
});

function isPowerOfTwo(count: number): boolean {
	return Number.isInteger(Math.log2(count));
}
