import type {Command} from '../command.js';
import {exitCodes} from '../exit-codes.js';
import {requestStatus} from '../operator-client.js';
import {connectionOptions, readOperatorSettings} from '../operator-settings.js';
import {formatStatus} from '../render/status.js';
import {reportFailure} from '../report-failure.js';

/** `status`: prints services, backend servers, failure domains, versions, controller and store. */
export const statusCommand: Command = {
	usage: 'status',
	summary: 'Show services, VMs, failure domains, the version in force on each VM, the controller and the store',
	options: connectionOptions,
	examples: [['$0 status --json', 'Print the status as JSON']],
	async run(values, context) {
		const settings = await readOperatorSettings(values, context);
		const answer = settings.isOk() ? await requestStatus(settings.value) : settings;
		if (answer.isErr()) {
			return reportFailure(answer.error, context, values.json === true);
		}

		context.print(values.json === true ? JSON.stringify(answer.value) : formatStatus(answer.value));
		return exitCodes.done;
	},
};
