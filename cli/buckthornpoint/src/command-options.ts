import type {Options} from 'yargs';

/** The options of a command by name, as the argument parser takes them. */
export type CommandOptions = Readonly<Record<string, Options>>;
