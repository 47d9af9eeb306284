import type {OperatorFailure} from '@buckthornpoint/configuration/operator-protocol.js';
import {formatFindings} from '@buckthornpoint/errors/findings.js';
import type {CommandContext} from './command.js';
import {getExitCode, type ExitCode} from './exit-codes.js';
import {formatHistory} from './render/history.js';

/** Prints why a request failed, for people or as JSON for programs, and returns the exit code. */
export function reportFailure(failure: OperatorFailure, context: CommandContext, isJson: boolean): ExitCode {
	if (isJson) {
		context.print(JSON.stringify(failure));
		return getExitCode(failure.code);
	}

	if (failure.findings.length > 0) {
		context.report(formatFindings(failure.findings));
	}

	if (failure.changedMeanwhile.length > 0) {
		context.report(`changed meanwhile:\n${formatHistory(failure.changedMeanwhile)}`);
	}

	context.report(`${failure.code}: ${failure.message}`);
	return getExitCode(failure.code);
}
