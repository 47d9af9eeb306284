import type {ChangeAnswer, ChangeOpts, OperatorFailure} from '@buckthornpoint/configuration/operator-protocol.js';
import type {Result} from 'neverthrow';
import type {Arguments} from 'yargs';
import type {CommandOptions} from './command-options.js';
import type {CommandContext} from './command.js';
import {exitCodes, type ExitCode} from './exit-codes.js';
import type {OperatorSettings} from './operator-settings.js';
import {reportFailure} from './report-failure.js';
import type {MemberLine} from './status-answer.js';
import {waitUntilInForce} from './wait-in-force.js';

const defaultWaitSeconds = 60;

/** Options of every command that changes something. */
export const changeOptions: CommandOptions = {
	check: {type: 'boolean', default: false, describe: 'Only say what would change'},
	wait: {type: 'boolean', default: false, describe: 'Return when every live VM runs the new version'},
	'wait-seconds': {type: 'number', default: defaultWaitSeconds, describe: 'How long --wait waits'},
	force: {type: 'boolean', default: false, describe: 'Accept that a service is left without a backend server'},
};

/** Reads the options of a change, and draws its id. */
export function readChangeOpts(values: Arguments, settings: OperatorSettings, context: CommandContext): ChangeOpts {
	return {
		changeId: context.drawId(), operator: settings.operator, checkOnly: values.check === true, force: values.force === true,
	};
}

/** What the end of a change looks at. */
export type FinishOpts = {
	readonly values: Arguments;
	readonly settings: OperatorSettings;
	readonly isDraining: (member: MemberLine) => boolean;
	/** Whether the differences were printed already. */
	readonly isShown?: boolean;
};

/** Tells how a change ended, and waits until it is in force when that was asked for. */
export async function reportChange(outcome: Result<ChangeAnswer, OperatorFailure>, context: CommandContext, opts: FinishOpts): Promise<ExitCode> {
	const isJson = opts.values.json === true;
	if (outcome.isErr()) {
		return reportFailure(outcome.error, context, isJson);
	}

	const answer = outcome.value;
	context.print(isJson ? JSON.stringify(answer) : formatAnswer(answer, opts.isShown === true));
	return answer.outcome === 'checked' || opts.values.wait !== true
		? exitCodes.done
		: waitUntilInForce(opts.settings, context, {version: answer.version, timeoutSeconds: Number(opts.values['wait-seconds']), isDraining: opts.isDraining});
}

function formatAnswer(answer: ChangeAnswer, isShown: boolean): string {
	const lines = {
		accepted: `accepted as version ${answer.version}`,
		checked: `would be version ${answer.version}; nothing was changed`,
		unchanged: `is so already in version ${answer.version}; nothing was changed`,
	} as const;
	return [...isShown ? [] : answer.changes, lines[answer.outcome]].join('\n');
}
