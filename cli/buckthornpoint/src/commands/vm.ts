import type {OperatorCommand} from '@buckthornpoint/configuration/commands.js';
import type {Arguments} from 'yargs';
import {changeOptions, readChangeOpts, reportChange} from '../change-options.js';
import type {Command, CommandContext} from '../command.js';
import type {ExitCode} from '../exit-codes.js';
import {sendCommand, withControllerFirst} from '../operator-client.js';
import {connectionOptions, readOperatorSettings} from '../operator-settings.js';
import {reportFailure} from '../report-failure.js';

/** `vm <action> <id>`: stops a VM as planned, brings it back, or declares it dead. */
export const vmCommand: Command = {
	usage: 'vm <action> <id>',
	summary: 'Stop a VM as planned, bring it back, or confirm that it is dead (action: stop, back, declare-dead)',
	options: {
		action: {choices: ['stop', 'back', 'declare-dead'], describe: 'What to do with the VM'},
		id: {type: 'string', describe: 'Identifier of the VM'},
		...connectionOptions,
		...changeOptions,
	},
	examples: [
		['$0 vm stop sklad-1 --wait', 'Return when the VM holds no partitions and may be switched off'],
		['$0 vm back sklad-1', 'Return the VM to service'],
		['$0 vm declare-dead sklad-1', 'Confirm that no process of the system runs on it any more'],
	],
	run: runVm,
};

const kinds: ReadonlyMap<unknown, OperatorCommand['kind']> = new Map([
	['stop', 'vm-stop'], ['back', 'vm-back'], ['declare-dead', 'vm-declare-dead'],
]);

async function runVm(values: Arguments, context: CommandContext): Promise<ExitCode> {
	const settings = await readOperatorSettings(values, context);
	if (settings.isErr()) {
		return reportFailure(settings.error, context, values.json === true);
	}

	const name = String(values.id);
	const kind = kinds.get(values.action) ?? 'vm-back';
	const controllerFirst = await withControllerFirst(settings.value);
	const outcome = await sendCommand(controllerFirst, {...readChangeOpts(values, controllerFirst, context), command: {kind, name}});
	return reportChange(outcome, context, {values, settings: controllerFirst, isDraining: member => kind === 'vm-stop' && member.vmId === name});
}
