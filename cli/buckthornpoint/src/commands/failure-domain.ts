import type {Arguments} from 'yargs';
import type {CommandContext, Command} from '../command.js';
import {changeOptions, readChangeOpts, reportChange} from '../change-options.js';
import type {ExitCode} from '../exit-codes.js';
import {sendCommand, withControllerFirst} from '../operator-client.js';
import {connectionOptions, readOperatorSettings} from '../operator-settings.js';
import {reportFailure} from '../report-failure.js';

/** `failure-domain <direction> <name>`: takes a failure domain out, or brings it back. */
export const failureDomainCommand: Command = {
	usage: 'failure-domain <direction> <name>',
	summary: 'Take a failure domain out, or bring it back (direction: out, back)',
	options: {
		direction: {choices: ['out', 'back'], describe: 'Whether to take the failure domain out or bring it back'},
		name: {type: 'string', describe: 'Name of the failure domain'},
		...connectionOptions,
		...changeOptions,
	},
	examples: [
		['$0 failure-domain out zilina --wait', 'Assign no new partitions to its VMs, and return when they hold none'],
		['$0 failure-domain back zilina --wait', 'Return the failure domain to service'],
	],
	run: runFailureDomain,
};

async function runFailureDomain(values: Arguments, context: CommandContext): Promise<ExitCode> {
	const settings = await readOperatorSettings(values, context);
	if (settings.isErr()) {
		return reportFailure(settings.error, context, values.json === true);
	}

	const name = String(values.name);
	const isOut = values.direction === 'out';
	const controllerFirst = await withControllerFirst(settings.value);
	const outcome = await sendCommand(controllerFirst, {
		...readChangeOpts(values, controllerFirst, context),
		command: {kind: isOut ? 'failure-domain-out' : 'failure-domain-back', name},
	});
	return reportChange(outcome, context, {values, settings: controllerFirst, isDraining: member => isOut && member.failureDomain === name});
}
