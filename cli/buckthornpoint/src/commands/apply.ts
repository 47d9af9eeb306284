import {ResultAsync} from 'neverthrow';
import {createOperatorFailure} from '@buckthornpoint/configuration/operator-protocol.js';
import {changeOptions, readChangeOpts, reportChange} from '../change-options.js';
import type {Command} from '../command.js';
import {sendNote, withControllerFirst} from '../operator-client.js';
import {connectionOptions, readOperatorSettings} from '../operator-settings.js';
import {reportFailure} from '../report-failure.js';

/** `apply <note>`: checks a release note, prints what it changes and puts it in force. */
export const applyCommand: Command = {
	usage: 'apply <note>',
	summary: 'Check a release note, show what it changes, and put it in force',
	options: {
		note: {type: 'string', describe: 'File with the release note'},
		...connectionOptions,
		...changeOptions,
	},
	examples: [
		['$0 apply note.jsonc --check', 'Print what the note would change'],
		['$0 apply note.jsonc --wait', 'Put the note in force and return when every live VM runs the new version'],
	],
	async run(values, context) {
		const isJson = values.json === true;
		const file = String(values.note);
		const settings = await readOperatorSettings(values, context);
		const text = await ResultAsync.fromPromise(context.readFile(file), () => createOperatorFailure('ERR_USAGE', `the note ${file} cannot be read`));
		if (settings.isErr() || text.isErr()) {
			return reportFailure(settings.isErr() ? settings.error : text._unsafeUnwrapErr(), context, isJson);
		}

		const controllerFirst = await withControllerFirst(settings.value);
		const request = {...readChangeOpts(values, controllerFirst, context), text: text.value, file};
		const checked = await sendNote(controllerFirst, {...request, checkOnly: true});
		const reportOpts = {values, settings: controllerFirst, isDraining: () => false};
		if (request.checkOnly || checked.isErr()) {
			return reportChange(checked, context, reportOpts);
		}

		if (!isJson) {
			context.print(checked.value.changes.join('\n'));
		}

		return reportChange(await sendNote(controllerFirst, request), context, {...reportOpts, hasPrintedChanges: true});
	},
};
