import {
	createFinding, expectBoolean, expectArray, expectInteger, expectString, expectLiteral, type Decoder,
} from '@buckthornpoint/documents/decoders.js';
import {expectRequired, expectObject, expectOptional} from '@buckthornpoint/documents/objects.js';
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
export const nameDecoder: Decoder<string> = expectString({
	maxLength: maxNameLength,
	pattern: /^[\p{L}\d][\p{L}\d._\-]*$/v,
	description: 'a name of letters, digits, dots, dashes and underscores',
});

const ruleDecoder: Decoder<RequestRule> = expectObject<RequestRule>({
	method: expectRequired(expectString({pattern: /^(?:\*|[A-Z]+)$/v, description: 'an HTTP method in capitals, or "*"'})),
	pathPrefix: expectRequired(expectString({pattern: /^\/[^\s?#]*$/v, description: 'the beginning of a path, such as "/lots"'})),
	idempotent: expectRequired(expectBoolean()),
	requestClass: expectRequired(expectLiteral(['interactive', 'transactional', 'service-to-service'])),
	defaultDeadlineMs: expectOptional(expectInteger({min: 1, max: maxDeadlineMs}), defaultDeadlineMs),
});

const partitionCountDecoder: Decoder<number> = (document, node) =>
	expectInteger({min: 1, max: maxPartitions})(document, node).andThen(count => isPowerOfTwo(count)
		? ok(count)
		: err([createFinding(document, node, 'ERR_CONFIGURATION_INVALID', `${count} is not a power of two`)]));

const decoders = {
	tenant: nameDecoder,
	divided: expectBoolean(),
	partitionCount: partitionCountDecoder,
	maxConnections: expectInteger({min: 1, max: maxConnections}),
	coldConcurrency: expectInteger({min: 1, max: maxConnections}),
	rules: expectArray(ruleDecoder, maxRules),
} as const;

/** Decodes a service that a note adds. */
export const serviceDecoder: Decoder<ServiceConfiguration> = expectObject<ServiceConfiguration>({
	name: expectRequired(nameDecoder),
	tenant: expectRequired(decoders.tenant),
	divided: expectRequired(decoders.divided),
	partitionCount: expectRequired(decoders.partitionCount),
	maxConnections: expectRequired(decoders.maxConnections),
	coldConcurrency: expectRequired(decoders.coldConcurrency),
	rules: expectOptional(decoders.rules, []),
});

/** Decodes a service that a note changes. */
export const serviceChangeDecoder: Decoder<ServiceChange> = expectObject<ServiceChange>({
	name: expectRequired(nameDecoder),
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
