import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {Arguments} from 'yargs';
import type {CommandOptions} from './command-options.js';
import type {ExitCode} from './exit-codes.js';

/** Input, output, clock and environment variables of a command. Tests replace them. */
export type CommandContext = {
	readonly clock: Clock;
	readonly env: Readonly<Record<string, string | undefined>>;
	/** Writes a string and a newline to standard output. */
	readonly print: (text: string) => void;
	/** Writes a string and a newline to standard error: progress, refusals. */
	readonly report: (text: string) => void;
	/** Reads a file as UTF-8; throws if it cannot be read. */
	readonly readFile: (path: string) => Promise<string>;
	/** Returns the path itself if it is a file, or the log files in it if it is a folder. */
	readonly listLogFiles: (path: string) => Promise<readonly string[]>;
	/** Reads a file, or standard input if the path is `-`, as UTF-8 in chunks. */
	readonly readChunks: (path: string) => AsyncIterable<string>;
	/** Generates a unique id for a change. */
	readonly generateId: () => string;
	/** Aborts when the operator interrupts the command. */
	readonly signal: AbortSignal;
};

/** A command of the command line. */
export type Command = {
	/** Name and positional arguments in yargs notation, such as `apply <note>`. */
	readonly usage: string;
	readonly summary: string;
	readonly options: CommandOptions;
	/** Examples in the help: a command line and what it does. */
	readonly examples: ReadonlyArray<readonly [command: string, description: string]>;
	readonly run: (values: Arguments, context: CommandContext) => Promise<ExitCode>;
};
