import {
	decodeDocument, expectBoolean, expectArray, expectInteger, expectString, type Decoder,
} from '@buckthornpoint/documents/decoders.js';
import {parseDocument, type SourceDocument} from '@buckthornpoint/documents/documents.js';
import {expectRequired, expectObject, expectOptional} from '@buckthornpoint/documents/objects.js';
import type {Finding} from '@buckthornpoint/errors/findings.js';
import type {FailureDomainConfiguration, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import type {FailureDomainName, ServiceName} from '@buckthornpoint/types/identity.js';
import type {Result} from 'neverthrow';
import {
	nameDecoder, serviceChangeDecoder, serviceDecoder, type ServiceChange,
} from './service-decoders.js';

const maxServices = 500;
const maxFailureDomains = 100;
const maxSummaryLength = 200;

/** A change of a failure domain. */
export type FailureDomainChange = {
	readonly name: FailureDomainName;
	readonly out: boolean;
};

/** An operator's change to the configuration: what to add, change and withdraw relative to `baseVersion`. */
export type ReleaseNote = {
	readonly baseVersion: number;
	/** One line for the history. */
	readonly summary: string;
	readonly added: {
		readonly services: readonly ServiceConfiguration[];
		readonly failureDomains: readonly FailureDomainConfiguration[];
	};
	/** Fields that a change omits keep their values; a list of rules replaces the whole earlier list. */
	readonly changed: {
		readonly services: readonly ServiceChange[];
		readonly failureDomains: readonly FailureDomainChange[];
	};
	readonly withdrawn: {
		readonly services: readonly ServiceName[];
		readonly failureDomains: readonly FailureDomainName[];
	};
};

/** A release note and the document that it was parsed from, which gives the places of findings. */
export type ParsedNote = {
	readonly note: ReleaseNote;
	readonly document: SourceDocument;
};

/** Parses a release note from JSON with comments. Returns all findings about its form together. */
export function parseReleaseNote(text: string, file: string): Result<ParsedNote, readonly Finding[]> {
	return parseDocument(text, file).andThen(document =>
		decodeDocument(document, noteDecoder).map(note => ({note, document})));
}

const failureDomainDecoder: Decoder<FailureDomainConfiguration> = expectObject<FailureDomainConfiguration>({
	name: expectRequired(nameDecoder),
	out: expectOptional(expectBoolean(), false),
});

const failureDomainChangeDecoder: Decoder<FailureDomainChange> = expectObject<FailureDomainChange>({
	name: expectRequired(nameDecoder),
	out: expectRequired(expectBoolean()),
});

const noteDecoder: Decoder<ReleaseNote> = expectObject<ReleaseNote>({
	baseVersion: expectRequired(expectInteger({min: 0, max: Number.MAX_SAFE_INTEGER - 1})),
	summary: expectRequired(expectString({maxLength: maxSummaryLength, pattern: /^[^\p{Cc}]+$/v, description: 'one line of text'})),
	added: expectOptional(expectObject<ReleaseNote['added']>({
		services: expectOptional(expectArray(serviceDecoder, maxServices), []),
		failureDomains: expectOptional(expectArray(failureDomainDecoder, maxFailureDomains), []),
	}), {services: [], failureDomains: []}),
	changed: expectOptional(expectObject<ReleaseNote['changed']>({
		services: expectOptional(expectArray(serviceChangeDecoder, maxServices), []),
		failureDomains: expectOptional(expectArray(failureDomainChangeDecoder, maxFailureDomains), []),
	}), {services: [], failureDomains: []}),
	withdrawn: expectOptional(expectObject<ReleaseNote['withdrawn']>({
		services: expectOptional(expectArray(nameDecoder, maxServices), []),
		failureDomains: expectOptional(expectArray(nameDecoder, maxFailureDomains), []),
	}), {services: [], failureDomains: []}),
});
