import type {MessageInitShape} from '@bufbuild/protobuf';
import type {Configuration, RequestClass, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import {expectLiteral} from './convert-identity.js';
import type {
	Configuration as WireConfiguration, ConfigurationSchema, ServiceConfiguration as WireServiceConfiguration,
} from './generated/buckthornpoint/v1/cell_pb.js';

const requestClasses: readonly RequestClass[] = ['interactive', 'transactional', 'service-to-service'];

/** Converts a configuration to its wire format. */
export function encodeConfiguration(configuration: Configuration): MessageInitShape<typeof ConfigurationSchema> {
	return {
		version: BigInt(configuration.version),
		services: configuration.services.map(service => ({...service, rules: service.rules.map(rule => ({...rule}))})),
		failureDomains: configuration.failureDomains.map(({name, out}) => ({name, out})),
		stoppingVms: [...configuration.stoppingVms],
		deadVms: [...configuration.deadVms],
	};
}

/** Converts a configuration from its wire format. Throws `ERR_DOCUMENT_VALUE` for an unknown request class. */
export function decodeConfiguration(configuration: WireConfiguration): Configuration {
	return {
		version: Number(configuration.version),
		services: configuration.services.map(service => decodeService(service)),
		failureDomains: configuration.failureDomains.map(({name, out}) => ({name, out})),
		stoppingVms: configuration.stoppingVms,
		deadVms: configuration.deadVms,
	};
}

function decodeService(service: WireServiceConfiguration): ServiceConfiguration {
	const {name, tenant, divided, partitionCount, maxConnections, coldConcurrency} = service;
	const rules = service.rules.map(({method, pathPrefix, idempotent, requestClass, defaultDeadlineMs}) => ({
		method, pathPrefix, idempotent, requestClass: expectLiteral(requestClass, requestClasses), defaultDeadlineMs,
	}));
	return {
		name, tenant, divided, partitionCount, maxConnections, coldConcurrency, rules,
	};
}
