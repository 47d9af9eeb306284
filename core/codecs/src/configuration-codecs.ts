import type {Configuration, RequestClass} from '@buckthornpoint/types/configuration.js';
import {
	array, boolean, Codec, exactly, number, oneOf, string,
} from 'purify-ts';
import type {RecordDecoder} from './record-decoder.js';

const requestClassCodec: Codec<RequestClass> = oneOf([exactly('interactive'), exactly('transactional'), exactly('service-to-service')]);

const ruleCodec = Codec.interface({
	method: string, pathPrefix: string, idempotent: boolean, requestClass: requestClassCodec, defaultDeadlineMs: number,
});

/** Decodes one service of a configuration. */
export const serviceCodec = Codec.interface({
	name: string,
	tenant: string,
	divided: boolean,
	partitionCount: number,
	maxConnections: number,
	coldConcurrency: number,
	rules: array(ruleCodec),
});

/** Decodes a configuration, for example from the row `configuration` of the table service. */
export const configurationCodec: RecordDecoder<Configuration> = Codec.interface({
	version: number,
	services: array(serviceCodec),
	failureDomains: array(Codec.interface({name: string, out: boolean})),
	stoppingVms: array(string),
	deadVms: array(string),
});
