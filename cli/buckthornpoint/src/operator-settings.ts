import {
	decodeDocument, expectArray, expectString, type Decoder,
} from '@buckthornpoint/documents/decoders.js';
import {parseDocument} from '@buckthornpoint/documents/documents.js';
import {expectObject, expectOptional} from '@buckthornpoint/documents/objects.js';
import {createOperatorFailure, createRefusal, type OperatorFailure} from '@buckthornpoint/configuration/operator-protocol.js';
import {
	err, ok, okAsync, ResultAsync, type Result,
} from 'neverthrow';
import type {Arguments} from 'yargs';
import type {CommandOptions} from './command-options.js';
import type {CommandContext} from './command.js';

/** Origins and credentials with which commands call the nodes. */
export type OperatorSettings = {
	/** Origins of the nodes to call, in the order in which they are tried. */
	readonly nodes: readonly string[];
	readonly operatorKey: string;
	/** Name of the operator, as recorded in the history. */
	readonly operator: string;
};

/** Options of every command that calls nodes. */
export const connectionOptions: CommandOptions = {
	node: {type: 'array', string: true, describe: 'Origin of a node; several are tried in order (BUCKTHORNPOINT_NODES)'},
	settings: {type: 'string', describe: 'Settings file with "nodes", "operatorKey" and "operator" (BUCKTHORNPOINT_SETTINGS)'},
	json: {type: 'boolean', default: false, describe: 'Print one JSON document for programs'},
};

const maxNodes = 100;

type FileSettings = Partial<OperatorSettings>;

/** Collects the settings. Options take precedence over environment variables, and those over the settings file. */
export function readOperatorSettings(values: Arguments, context: CommandContext): ResultAsync<OperatorSettings, OperatorFailure> {
	const {env} = context;
	const file = typeof values.settings === 'string' ? values.settings : env.BUCKTHORNPOINT_SETTINGS;
	return readSettingsFile(file, context).andThen(fromFile => {
		const fromOptions = Array.isArray(values.node) ? values.node.map(String) : undefined;
		const fromEnvironment = env.BUCKTHORNPOINT_NODES?.split(',').map(origin => origin.trim()).filter(origin => origin !== '');
		return checkSettings({
			nodes: fromOptions ?? fromEnvironment ?? fromFile.nodes,
			operatorKey: env.BUCKTHORNPOINT_OPERATOR_KEY ?? fromFile.operatorKey,
			operator: env.BUCKTHORNPOINT_OPERATOR ?? fromFile.operator ?? env.USER,
		});
	});
}

function readSettingsFile(file: string | undefined, context: CommandContext): ResultAsync<FileSettings, OperatorFailure> {
	if (file === undefined) {
		return okAsync({});
	}

	return ResultAsync.fromPromise(context.readFile(file), () => createOperatorFailure('ERR_USAGE', `the settings file ${file} cannot be read`))
		.andThen(text => parseDocument(text, file)
			.andThen(document => decodeDocument(document, fileSettingsDecoder))
			.mapErr(findings => createRefusal(findings)));
}

function checkSettings(settings: FileSettings): Result<OperatorSettings, OperatorFailure> {
	const {nodes, operatorKey, operator} = settings;
	if (nodes === undefined || nodes.length === 0) {
		return err(createOperatorFailure('ERR_USAGE', 'no node is given; use --node, BUCKTHORNPOINT_NODES or a settings file'));
	}

	if (nodes.some(node => !URL.canParse(node))) {
		return err(createOperatorFailure('ERR_USAGE', 'a node is given as an origin, such as http://10.0.0.1:7100'));
	}

	return operatorKey === undefined
		? err(createOperatorFailure('ERR_USAGE', 'no operator key is given; use BUCKTHORNPOINT_OPERATOR_KEY or a settings file'))
		: ok({nodes, operatorKey, operator: operator ?? 'unknown'});
}

const fileSettingsDecoder: Decoder<FileSettings> = expectObject<FileSettings>({
	nodes: expectOptional(expectArray(expectString(), maxNodes)),
	operatorKey: expectOptional(expectString({isSecret: true})),
	operator: expectOptional(expectString()),
});
