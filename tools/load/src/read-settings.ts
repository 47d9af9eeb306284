import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {formatFindings, type Finding} from '@buckthornpoint/errors/findings.js';
import type {Result} from 'neverthrow';

const exitInvalidSettings = 2;

/** Reads and parses a settings file; if it is invalid, prints all findings and exits with code 2. */
export async function readSettings<T>(file: string, parse: (text: string, file: string) => Result<T, readonly Finding[]>): Promise<T> {
	const parsed = parse(await readFile(file, 'utf8'), file);
	if (parsed.isOk()) {
		return parsed.value;
	}

	process.stderr.write(`${formatFindings(parsed.error)}\n`);
	return process.exit(exitInvalidSettings); // eslint-disable-line unicorn/no-process-exit
}
