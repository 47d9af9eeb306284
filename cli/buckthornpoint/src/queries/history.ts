import type {Command} from '../command.js';
import {exitCodes} from '../exit-codes.js';
import {requestHistory} from '../operator-client.js';
import {connectionOptions, readOperatorSettings} from '../operator-settings.js';
import {formatHistory} from '../render/history.js';
import {reportFailure} from '../report-failure.js';

const defaultLimit = 20;

/** `history`: prints the accepted versions of the configuration and the operator who made each change. */
export const historyCommand: Command = {
	usage: 'history',
	summary: 'Show the accepted versions, newest first',
	options: {...connectionOptions, limit: {type: 'number', default: defaultLimit, describe: 'How many versions at most'}},
	examples: [['$0 history --limit 5', 'The last five versions']],
	async run(values, context) {
		const settings = await readOperatorSettings(values, context);
		const answer = settings.isOk() ? await requestHistory(settings.value, Number(values.limit)) : settings;
		if (answer.isErr()) {
			return reportFailure(answer.error, context, values.json === true);
		}

		const empty = 'no version was accepted yet';
		context.print(values.json === true ? JSON.stringify(answer.value) : formatHistory(answer.value) || empty);
		return exitCodes.done;
	},
};
