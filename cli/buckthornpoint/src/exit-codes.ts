import type {ErrorCode} from '@buckthornpoint/errors/codes.js';

/** Exit codes of the command. Scripts rely on them, so a code never changes its meaning. */
export const exitCodes = {
	done: 0,
	internal: 1,
	usage: 2,
	refused: 3,
	conflict: 4,
	noBackendServer: 5,
	notAuthorised: 6,
	unavailable: 7,
	outcomeUnknown: 8,
	notInForce: 9,
	partial: 10,
} as const;

/** One of the exit codes. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

/** The exit codes as `--help` prints them. */
export const exitCodesHelp = [
	'Exit codes:',
	'  0  done',
	'  1  internal error',
	'  2  wrong usage',
	'  3  refused, with findings',
	'  4  conflict: another operator changed the configuration meanwhile',
	'  5  would leave a service without a backend server (see --force)',
	'  6  operator key missing or wrong',
	'  7  no node reached or read, or no node reaches the store; nothing was accepted',
	'  8  outcome unknown: see the history',
	'  9  accepted, but not in force everywhere within the time of --wait-seconds',
	'  10 partial: some of the nodes could not be read',
].join('\n');

const exitCodeByErrorCode: ReadonlyMap<ErrorCode, ExitCode> = new Map<ErrorCode, ExitCode>([
	['ERR_CONFIGURATION_CONFLICT', exitCodes.conflict],
	['ERR_STORE_CONFLICT', exitCodes.conflict],
	['ERR_WOULD_LEAVE_NO_BEARER', exitCodes.noBackendServer],
	['ERR_NOT_AUTHORISED', exitCodes.notAuthorised],
	['ERR_STORE_UNAVAILABLE', exitCodes.unavailable],
	['ERR_PEER_UNREACHABLE', exitCodes.unavailable],
	['ERR_STORE_OUTCOME_UNKNOWN', exitCodes.outcomeUnknown],
	['ERR_OUTCOME_UNKNOWN', exitCodes.outcomeUnknown],
	['ERR_USAGE', exitCodes.usage],
	['ERR_INTERNAL', exitCodes.internal],
]);

/** Returns the exit code for an error code. */
export function getExitCode(code: ErrorCode): ExitCode {
	return exitCodeByErrorCode.get(code) ?? exitCodes.refused;
}
