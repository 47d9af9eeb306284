/** The part of yargs that the command line uses; the package brings no types. */
declare module 'yargs' {
	export type OptionSpec = {
		readonly type?: 'string' | 'number' | 'boolean';
		readonly default?: unknown;
		readonly demandOption?: boolean;
		readonly describe?: string;
	};
	export type Options = Readonly<Record<string, OptionSpec>>;
	export type Arguments = Readonly<Record<string, unknown>>;
	export type Argv = {
		scriptName(name: string): Argv;
		command(name: string, description: string, options: Options, handler: (values: Arguments) => Promise<void> | void): Argv;
		demandCommand(minimum: number, message: string): Argv;
		strict(): Argv;
		help(): Argv;
		version(version: string): Argv;
		parseAsync(): Promise<unknown>;
	};
	const yargs: (values: readonly string[]) => Argv;
	export default yargs;
}
