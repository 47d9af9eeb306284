import {toBuckthornpointError} from '@buckthornpoint/errors/errors.js';
import yargs, {type Argv} from 'yargs';
import type {Command, CommandContext} from './command.js';
import {applyCommand} from './commands/apply.js';
import {failureDomainCommand} from './commands/failure-domain.js';
import {vmCommand} from './commands/vm.js';
import {exitCodes, exitCodesHelp, type ExitCode} from './exit-codes.js';
import {checkCommand} from './queries/check.js';
import {explainCommand} from './queries/explain.js';
import {fleetStatusCommand} from './queries/fleet-status.js';
import {historyCommand} from './queries/history.js';
import {logsCommand} from './queries/logs.js';
import {statusCommand} from './queries/status.js';
import {watchCommand} from './queries/watch.js';

const version = '0.1.0';
const helpColumns = 110;

const commands: readonly Command[] = [
	applyCommand, failureDomainCommand, vmCommand, statusCommand, explainCommand, watchCommand, historyCommand, logsCommand, checkCommand, fleetStatusCommand,
];

/** Runs a command line, given without the program name, and returns its exit code. */
export async function runCommandLine(args: readonly string[], context: CommandContext): Promise<ExitCode> {
	let exitCode: ExitCode = exitCodes.done;
	const parser = createParser(async runCommand => {
		exitCode = await runSafely(runCommand, context);
	}, context);
	await parser.parseAsync(args, {}, (error, _values, output) => {
		if (error !== undefined && error !== null) {
			context.report(output === '' ? error.message : output);
			exitCode = exitCodes.usage;
		} else if (output !== '') {
			context.print(output);
		}
	});
	return exitCode;
}

type CommandRunner = (runCommand: () => Promise<ExitCode>) => Promise<void>;

function createParser(run: CommandRunner, context: CommandContext): Argv {
	const parser = yargs().scriptName('buckthornpoint').locale('en').exitProcess(false).wrap(helpColumns);
	for (const command of commands) {
		addCommand(parser, command, {run, context});
	}

	return parser
		.completion('completion', 'Print a script that completes commands in bash or zsh')
		.demandCommand(1, 'Name a command; see --help.')
		.epilogue(exitCodesHelp)
		.strict()
		.help()
		.version(version);
}

type AddOpts = {
	readonly run: CommandRunner;
	readonly context: CommandContext;
};

function addCommand(parser: Argv, command: Command, opts: AddOpts): void {
	parser.command(
		command.usage,
		command.summary,
		builder => {
			for (const [example, description] of command.examples) {
				builder.example(example, description);
			}

			return builder.options(command.options).epilogue(exitCodesHelp);
		},
		async values => opts.run(async () => command.run(values, opts.context)),
	);
}

async function runSafely(runCommand: () => Promise<ExitCode>, context: CommandContext): Promise<ExitCode> {
	try {
		return await runCommand();
	} catch (error) {
		const failure = toBuckthornpointError(error);
		context.report(`${failure.code}: ${failure.message}`);
		return exitCodes.internal;
	}
}
