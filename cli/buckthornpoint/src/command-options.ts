import type {Options} from 'yargs';

/** The options of a command by name, in the form that yargs expects. */
export type CommandOptions = Readonly<Record<string, Options>>;
