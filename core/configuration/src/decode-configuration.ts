import {configurationCodec} from '@buckthornpoint/codecs/configuration-codecs.js';
import {toResult} from '@buckthornpoint/documents/either.js';
import type {Finding} from '@buckthornpoint/errors/findings.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {Result} from 'neverthrow';

/** Decodes a configuration that a node wrote, such as the row in the table service. */
export function decodeConfiguration(value: unknown): Result<Configuration, readonly Finding[]> {
	return toResult(configurationCodec.decode(value))
		.mapErr(message => [{code: 'ERR_CONFIGURATION_INVALID', message}]);
}
