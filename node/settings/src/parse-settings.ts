import {
	decodeDocument, expectInteger, expectString, expectLiteral, type Decoder,
} from '@buckthornpoint/documents/decoders.js';
import {parseDocument} from '@buckthornpoint/documents/documents.js';
import {expectRequired, expectObject, expectOptional} from '@buckthornpoint/documents/objects.js';
import type {Finding} from '@buckthornpoint/errors/findings.js';
import type {Result} from 'neverthrow';
import type {
	ListenAddress, LogSettings, MetricsSettings, NodeSettings,
} from './settings.js';

/** Minimum length of the operators' shared key, in characters. */
export const minOperatorKeyLength = 16;

const maxPort = 65_535;
const allInterfaces = '0.0.0.0';
const defaultLog: LogSettings = {level: 'info', reporter: 'json'};

/** Decodes the settings of a node from JSON with comments. All findings are returned together, with their position in the file. */
export function parseNodeSettings(text: string, file: string): Result<NodeSettings, readonly Finding[]> {
	return parseDocument(text, file).andThen(document => decodeDocument(document, nodeSettingsDecoder));
}

const nameDecoder = expectString({maxLength: 100, pattern: /^[\p{L}\d][\p{L}\d._\-]*$/v, description: 'a name of letters, digits, dots, dashes and underscores'});
const originDecoder = expectString({pattern: /^https?:\/\/[^\s\/?#@]+$/v, description: 'an origin such as "http://10.0.0.9:7000"'});
const hostDecoder = expectString({maxLength: 255, pattern: /^[\w.:\-]+$/v, description: 'an IP address or host name'});
const keyDecoder = expectString({
	minLength: minOperatorKeyLength, pattern: /^[\u0021-\u007E]+$/v, description: 'of printable ASCII characters without spaces', isSecret: true,
});

const listenDecoder: Decoder<ListenAddress> = expectObject<ListenAddress>({
	host: expectOptional(hostDecoder, allInterfaces),
	port: expectRequired(expectInteger({min: 0, max: maxPort})),
});

const logDecoder: Decoder<LogSettings> = expectObject<LogSettings>({
	level: expectOptional(expectLiteral(['error', 'warn', 'info', 'debug']), defaultLog.level),
	reporter: expectOptional(expectLiteral(['human', 'json', 'silent']), defaultLog.reporter),
});

const metricsDecoder: Decoder<MetricsSettings> = expectObject<MetricsSettings>({
	host: expectOptional(hostDecoder, '127.0.0.1'),
	port: expectOptional(expectInteger({min: 1, max: maxPort}), 8125),
	prefix: expectOptional(expectString({minLength: 0, maxLength: 100}), 'buckthornpoint.'),
});

const nodeSettingsDecoder: Decoder<NodeSettings> = expectObject<NodeSettings>({
	vmId: expectRequired(nameDecoder),
	cell: expectRequired(nameDecoder),
	failureDomain: expectRequired(nameDecoder),
	caller: expectRequired(listenDecoder),
	peer: expectRequired(listenDecoder),
	advertised: expectOptional(expectObject<NonNullable<NodeSettings['advertised']>>({
		callerOrigin: expectOptional(originDecoder),
		peerOrigin: expectOptional(originDecoder),
	})),
	tableStore: expectRequired(originDecoder),
	objectStore: expectRequired(originDecoder),
	operatorKey: expectRequired(keyDecoder),
	log: expectOptional(logDecoder, defaultLog),
	metrics: expectOptional(metricsDecoder),
});
