import type {KeyExplanation} from '@buckthornpoint/configuration/operator-protocol.js';
import type {Command} from '../command.js';
import {exitCodes} from '../exit-codes.js';
import {requestExplanation} from '../operator-client.js';
import {connectionOptions, readOperatorSettings} from '../operator-settings.js';
import {reportFailure} from '../report-failure.js';

/** `explain`: prints which VM owns a key, and why. */
export const explainCommand: Command = {
	usage: 'explain',
	summary: 'Show which VM owns a key, under which fence and lease, and why',
	options: {
		...connectionOptions,
		service: {type: 'string', demandOption: true, describe: 'Name of the service'},
		key: {type: 'string', demandOption: true, describe: 'The key'},
	},
	examples: [['$0 explain --service sklad --key lot-17', 'Show the owner of the key lot-17']],
	async run(values, context) {
		const settings = await readOperatorSettings(values, context);
		const answer = settings.isOk() ? await requestExplanation(settings.value, String(values.service), String(values.key)) : settings;
		if (answer.isErr()) {
			return reportFailure(answer.error, context, values.json === true);
		}

		context.print(values.json === true ? JSON.stringify(answer.value) : formatExplanation(answer.value));
		return exitCodes.done;
	},
};

function formatExplanation({owner, grant, ...explanation}: KeyExplanation): string {
	return [
		`service ${explanation.service}, key ${explanation.key}`,
		`partition ${explanation.partition}${explanation.isException ? ' (a hot key)' : ` of ${explanation.partitionCount}`}`,
		owner === undefined ? 'owner: none' : `owner: VM ${owner.vmId} in ${owner.failureDomain}, backend server ${owner.backendServer ?? 'not announced'}`,
		grant === undefined ? 'fence: not known; the owner was not reached' : `fence ${grant.fence}${grant.releasing ? ', being handed over' : ''}`,
		...grant === undefined ? [] : [`lease: ${grant.leaseRemainingMs} ms left`],
		...explanation.reasons.map(reason => `why: ${reason}`),
	].join('\n');
}
