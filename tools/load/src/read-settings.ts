import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {formatFindings, type Finding} from '@buckthornpoint/errors/findings.js';
import type {Result} from 'neverthrow';

const exitInvalidSettings = 2;

/** Reads a file of settings; prints all findings and ends the process with 2 when there are any. */
export async function readSettings<T>(file: string, parse: (text: string, file: string) => Result<T, readonly Finding[]>): Promise<T> {
	const parsed = parse(await readFile(file, 'utf8'), file);
	if (parsed.isOk()) {
		return parsed.value;
	}

	process.stderr.write(`${formatFindings(parsed.error)}\n`);
	return process.exit(exitInvalidSettings); // eslint-disable-line unicorn/no-process-exit
}
