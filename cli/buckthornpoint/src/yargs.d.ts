/** The part of yargs that the command line uses; the package brings no types. */
declare module 'yargs' {
	export type OptionSpec = {
		readonly type?: 'string' | 'number' | 'boolean' | 'array';
		readonly string?: boolean;
		readonly default?: unknown;
		readonly demandOption?: boolean;
		readonly choices?: readonly string[];
		readonly describe?: string;
	};
	export type Options = Readonly<Record<string, OptionSpec>>;
	export type Arguments = Readonly<Record<string, unknown>>;
	export type Argv = {
		scriptName(name: string): Argv;
		command(name: string, description: string, builder: (argv: Argv) => Argv, handler: (values: Arguments) => Promise<void>): Argv;
		options(options: Options): Argv;
		example(command: string, description: string): Argv;
		epilogue(text: string): Argv;
		completion(command: string, description: string): Argv;
		demandCommand(minimum: number, message: string): Argv;
		exitProcess(exits: boolean): Argv;
		locale(locale: string): Argv;
		strict(): Argv;
		help(): Argv;
		version(version: string): Argv;
		wrap(columns: number): Argv;
		parseAsync(args: readonly string[], context: Record<string, unknown>, callback: (error: Error | undefined, values: Arguments, output: string) => void): Promise<unknown>;
	};
	const yargs: () => Argv;
	export default yargs;
}
