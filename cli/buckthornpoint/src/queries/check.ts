import {formatFindings} from '@buckthornpoint/errors/findings.js';
import {checkConfiguration, listConfigurationChanges} from '@buckthornpoint/fleet/check-configuration.js';
import {decodeRouteTable} from '@buckthornpoint/fleet/operator-rows.js';
import {ResultAsync} from 'neverthrow';
import type {Command, CommandContext} from '../command.js';
import {exitCodes} from '../exit-codes.js';

/** `check <document>`: checks a fleet configuration before it is sent. It needs no node. */
export const checkCommand: Command = {
	usage: 'check <document>',
	summary: 'Check a fleet configuration before it is sent, and show what it changes',
	options: {
		document: {type: 'string', describe: 'File with the configuration'},
		'in-force': {type: 'string', describe: 'File with the configuration in force, to compare with'},
		json: {type: 'boolean', default: false, describe: 'Print one JSON document for programs'},
	},
	examples: [
		['$0 check config.json', 'Print what is wrong with the configuration'],
		['$0 check config.json --in-force current.json', 'The same, and what it adds, changes and removes'],
	],
	async run(values, context) {
		const file = String(values.document);
		const text = await readText(file, context);
		const inForce = typeof values.inForce === 'string' ? await readText(values.inForce, context) : undefined;
		const unreadable = [text, inForce].find(result => result?.isErr() === true);
		if (text.isErr() || unreadable?.isErr() === true) {
			context.report(`ERR_USAGE: ${unreadable?.isErr() === true ? unreadable.error : ''}`);
			return exitCodes.usage;
		}

		const inForceText = inForce?.unwrapOr('');
		const inForceTable = inForceText === undefined ? undefined : decodeRouteTable(inForceText);
		if (inForceTable?.isErr() === true) {
			context.report(`ERR_USAGE: the configuration in force cannot be decoded: ${inForceTable.error}`);
			return exitCodes.usage;
		}

		const findings = checkConfiguration(text.value, file, inForceText);
		const changes = inForceText === undefined ? [] : listConfigurationChanges(text.value, inForceText);
		if (values.json === true) {
			context.print(JSON.stringify({findings, changes}));
		} else {
			for (const change of changes) {
				context.print(change);
			}

			if (findings.length > 0) {
				context.report(formatFindings(findings));
			}
		}

		return findings.length > 0 ? exitCodes.refused : exitCodes.done;
	},
};

function readText(file: string, {readFile}: CommandContext): ResultAsync<string, string> {
	return ResultAsync.fromPromise(readFile(file), () => `the file ${file} cannot be read`);
}
