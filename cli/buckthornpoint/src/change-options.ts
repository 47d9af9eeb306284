import type {ChangeAnswer, ChangeOpts, OperatorFailure} from '@buckthornpoint/configuration/operator-protocol.js';
import type {Result} from 'neverthrow';
import type {Arguments} from 'yargs';
import type {CommandOptions} from './command-options.js';
import type {CommandContext} from './command.js';
import {exitCodes, type ExitCode} from './exit-codes.js';
import type {OperatorSettings} from './operator-settings.js';
import {reportFailure} from './report-failure.js';
import type {StatusMember} from './status-answer.js';
import {waitUntilInForce} from './wait-in-force.js';

const defaultWaitSeconds = 60;

/** Options of every command that changes the configuration. */
export const changeOptions: CommandOptions = {
	check: {type: 'boolean', default: false, describe: 'Only print what would change'},
	wait: {type: 'boolean', default: false, describe: 'Return when every live VM runs the new version'},
	'wait-seconds': {type: 'number', default: defaultWaitSeconds, describe: 'How long --wait waits'},
	force: {type: 'boolean', default: false, describe: 'Accept that a service is left without a backend server'},
};

/** Reads the options of a change and generates its id. */
export function readChangeOpts(values: Arguments, settings: OperatorSettings, context: CommandContext): ChangeOpts {
	return {
		changeId: context.generateId(), operator: settings.operator, checkOnly: values.check === true, force: values.force === true,
	};
}

/** Options for reporting the result of a change. */
export type ReportChangeOpts = {
	readonly values: Arguments;
	readonly settings: OperatorSettings;
	/** Members that must hold no partitions before `--wait` returns. */
	readonly isDraining: (member: StatusMember) => boolean;
	/** Whether the list of changes was already printed. */
	readonly hasPrintedChanges?: boolean;
};

/** Prints the result of a change and, with `--wait`, waits until the change is in force. */
export async function reportChange(outcome: Result<ChangeAnswer, OperatorFailure>, context: CommandContext, opts: ReportChangeOpts): Promise<ExitCode> {
	const isJson = opts.values.json === true;
	if (outcome.isErr()) {
		return reportFailure(outcome.error, context, isJson);
	}

	const answer = outcome.value;
	context.print(isJson ? JSON.stringify(answer) : formatAnswer(answer, opts.hasPrintedChanges === true));
	return answer.outcome === 'checked' || opts.values.wait !== true
		? exitCodes.done
		: waitUntilInForce(opts.settings, context, {version: answer.version, timeoutSeconds: Number(opts.values['wait-seconds']), isDraining: opts.isDraining});
}

function formatAnswer(answer: ChangeAnswer, hasPrintedChanges: boolean): string {
	const lines = {
		accepted: `accepted as version ${answer.version}`,
		checked: `would be version ${answer.version}; nothing was changed`,
		unchanged: `is so already in version ${answer.version}; nothing was changed`,
	} as const;
	return [...hasPrintedChanges ? [] : answer.changes, lines[answer.outcome]].join('\n');
}
