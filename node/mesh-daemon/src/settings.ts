import {
	decodeDocument, expectBoolean, expectDecimal, expectInteger, expectString, expectLiteral, type Decoder,
} from '@buckthornpoint/documents/decoders.js';
import {parseDocument} from '@buckthornpoint/documents/documents.js';
import {expectRequired, expectObject, expectOptional} from '@buckthornpoint/documents/objects.js';
import type {Finding} from '@buckthornpoint/errors/findings.js';
import type {Balance} from '@buckthornpoint/key-ranges/controller-state.js';
import type {LogLevel} from '@buckthornpoint/log/events.js';
import type {Result} from 'neverthrow';

/** Host and port of each interface of a node, as `host:port`. */
export type ListenAddresses = {
	/** For callers on this VM, including calls that the backend server makes. */
	readonly callers: string;
	/** For other nodes. */
	readonly peers: string;
	/** For readiness checks. */
	readonly readiness: string;
	/** For heartbeats and leave calls of the backend server. */
	readonly announcements: string;
};

/** Limits that the deployment sets. */
export type DeploymentBounds = {
	/** Once this time has passed since the acknowledgement of its leave call, a server must not receive requests. */
	readonly drainSeconds: number;
	/** Once this time has passed since the order to evacuate a failure domain, its servers must not receive requests. */
	readonly evacuationSeconds: number;
	/** Time from SIGTERM to SIGKILL. */
	readonly graceSeconds: number;
	/** Longest grant of keys to a backend server. */
	readonly maxHoldSeconds: number;
	/** Allowed extra attempts per request of a service, over all nodes. */
	readonly retryRatio: number;
	/** Extra attempts of a service that are allowed in addition to the ratio, over all nodes. */
	readonly retrySlack: number;
};

/** Limits of second tries: an idempotent request that takes long is sent to a second server as well. */
export type SecondTrySettings = {
	/** Highest share of second tries among the requests of a service that enter at this node; 0 for none. */
	readonly maxShare: number;
};

/** The settings of a mesh node. */
export type MeshSettings = {
	readonly vmId: string;
	readonly failureDomain: string;
	/** The service of the backend server on this VM, until the server announces one. */
	readonly service: string;
	/** Host and port of the backend server. */
	readonly backendServer: string;
	readonly listen: ListenAddresses;
	/** Host and port of the platform's store. */
	readonly store: string;
	/** Usual time between two heartbeats of the backend server. */
	readonly heartbeatSeconds: number;
	readonly bounds: DeploymentBounds;
	/** Without it, there are no second tries. */
	readonly secondTries?: SecondTrySettings;
	readonly logLevel: LogLevel;
	/** How load is divided among servers; the usual way if undefined. */
	readonly balance?: Balance;
	/** Whether services whose routes have several priorities share their capacity among these; the default is false. */
	readonly sharesCapacity?: boolean;
	/** Port of the metrics interface, at the host of the readiness interface; 0 for none. */
	readonly metricsPort: number;
	/** Memory of the VM in megabytes; a process that exceeds it is killed. Default: `defaultMemoryMb`. */
	readonly memoryMb?: number;
	/** Maximum number of open file descriptors of the process. Default: `defaultMaxDescriptors`. */
	readonly maxDescriptors?: number;
};

const maxPort = 65_535;
const maxSeconds = 3600;
const maxRetries = 1_000_000;
const maxMemoryMb = 1_000_000;
const maxDescriptorCount = 10_000_000;

/** Memory of the smallest VM of the deployments. */
export const defaultMemoryMb = 250;

/** Descriptors of the smallest VM of the deployments. */
export const defaultMaxDescriptors = 4100;

/** The platform allows extra attempts up to this share of a service's requests. */
const maxSecondTryShare = 0.2;

const addressDecoder = expectString({maxLength: 255, pattern: /^[\w.\-]+:\d{1,5}$/v, description: 'host and port, such as "10.0.0.9:7000"'});
const nameDecoder = expectString({maxLength: 200});
const secondsDecoder = expectDecimal({min: 0, max: maxSeconds});

const settingsDecoder: Decoder<MeshSettings> = expectObject<MeshSettings>({
	vmId: expectRequired(nameDecoder),
	failureDomain: expectRequired(nameDecoder),
	service: expectRequired(nameDecoder),
	backendServer: expectRequired(addressDecoder),
	listen: expectRequired(expectObject<ListenAddresses>({
		callers: expectRequired(addressDecoder),
		peers: expectRequired(addressDecoder),
		readiness: expectRequired(addressDecoder),
		announcements: expectRequired(addressDecoder),
	})),
	store: expectRequired(addressDecoder),
	heartbeatSeconds: expectRequired(expectDecimal({min: 0.01, max: maxSeconds})),
	bounds: expectRequired(expectObject<DeploymentBounds>({
		drainSeconds: expectRequired(secondsDecoder),
		evacuationSeconds: expectRequired(secondsDecoder),
		graceSeconds: expectRequired(secondsDecoder),
		maxHoldSeconds: expectRequired(secondsDecoder),
		retryRatio: expectRequired(expectDecimal({min: 0, max: 1})),
		retrySlack: expectRequired(expectDecimal({min: 0, max: maxRetries})),
	})),
	secondTries: expectOptional(expectObject<SecondTrySettings>({
		maxShare: expectRequired(expectDecimal({min: 0, max: maxSecondTryShare})),
	})),
	logLevel: expectOptional(expectLiteral(['error', 'warn', 'info', 'debug']), 'info'),
	balance: expectOptional(expectLiteral(['usual', 'by-rate']), 'usual'),
	sharesCapacity: expectOptional(expectBoolean(), false),
	metricsPort: expectOptional(expectInteger({min: 0, max: maxPort}), 0),
	memoryMb: expectOptional(expectInteger({min: 1, max: maxMemoryMb}), defaultMemoryMb),
	maxDescriptors: expectOptional(expectInteger({min: 1, max: maxDescriptorCount}), defaultMaxDescriptors),
});

/** Decodes the settings from JSON with comments. All findings are returned together, with their position in the file. */
export function parseMeshSettings(text: string, file: string): Result<MeshSettings, readonly Finding[]> {
	return parseDocument(text, file).andThen(document => decodeDocument(document, settingsDecoder));
}
