import {toResult} from '@buckthornpoint/documents/either.js';
import type {Finding} from '@buckthornpoint/errors/findings.js';
import type {Configuration, RequestClass} from '@buckthornpoint/types/configuration.js';
import type {Result} from 'neverthrow';
import {
	array, boolean, Codec, exactly, number, oneOf, string,
} from 'purify-ts';

const requestClassCodec: Codec<RequestClass> = oneOf([exactly('interactive'), exactly('transactional'), exactly('service-to-service')]);

const ruleCodec = Codec.interface({
	method: string, pathPrefix: string, idempotent: boolean, requestClass: requestClassCodec, defaultDeadlineMs: number,
});

const serviceCodec = Codec.interface({
	name: string,
	tenant: string,
	divided: boolean,
	partitionCount: number,
	maxConnections: number,
	coldConcurrency: number,
	rules: array(ruleCodec),
});

const configurationCodec = Codec.interface({
	version: number,
	services: array(serviceCodec),
	failureDomains: array(Codec.interface({name: string, out: boolean})),
	stoppingVms: array(string),
	deadVms: array(string),
});

/** Decodes a configuration that a process wrote, such as the row of the table service. */
export function decodeConfiguration(value: unknown): Result<Configuration, readonly Finding[]> {
	return toResult(configurationCodec.decode(value))
		.mapErr(message => [{code: 'ERR_CONFIGURATION_INVALID', message}]);
}
